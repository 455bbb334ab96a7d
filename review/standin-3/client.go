package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// add registers a job before it is sent.
func (w *world) add(j *job) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.id] = j
	return j
}

// newClient returns a client with connections of its own.
func newClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }

// call sends one request about a job, and returns what came of it.
func (w *world) call(c *http.Client, entry int, method, id string, body []byte, budget time.Duration) attempt {
	a := attempt{entry: entry, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", w.entries[entry].ip, callerPort, prefix, id), bytes.NewReader(body))
	if err != nil {
		a.err = err.Error()
		return a
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.Deadline, fmt.Sprint(budget.Milliseconds()))
	response, err := c.Do(request)
	a.got = time.Now()
	if err != nil {
		a.err = err.Error()
		return a
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	a.got = time.Now()
	if err != nil {
		a.err = err.Error()
		return a
	}
	a.status = response.StatusCode
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(content, &answer)
	a.state = answer.State
	return a
}

func (j *job) body() []byte {
	body, _ := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps, wire.Unstored: true})
	return body
}

// post sends a job once, to an entry.
func (w *world) post(c *http.Client, j *job, entry int, budget time.Duration) attempt {
	a := w.call(c, entry, http.MethodPost, j.id, j.body(), budget)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, a)
	return a
}

// mustResend reports whether a sound client sends the job again after such an answer.
func (a attempt) mustResend() bool {
	return a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout
}

// submit sends a job as a client does: again after the resend time if there was no answer.
func (w *world) submit(j *job, budget time.Duration, tries int) {
	c := newClient()
	defer c.CloseIdleConnections()
	for range tries {
		entry := w.pick()
		if a := w.post(c, j, entry, budget); !a.mustResend() {
			break
		}
		j.mu.Lock()
		cancelled := len(j.cancels) > 0
		j.mu.Unlock()
		if cancelled {
			break
		}
		time.Sleep(resend)
	}
	j.mu.Lock()
	j.done = true
	j.mu.Unlock()
}

// pick returns an entry that is up, as the balancer chooses one.
func (w *world) pick() int {
	for range 20 {
		i := rand.N(len(w.entries))
		if w.entries[i].alive() {
			return i
		}
	}
	return 0
}

// cancel cancels a job at an entry.
func (w *world) cancel(j *job, entry int) attempt {
	c := newClient()
	defer c.CloseIdleConnections()
	a := w.call(c, entry, http.MethodDelete, j.id, nil, 4*time.Second)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cancels = append(j.cancels, a)
	return a
}
