package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/platform/standin"
)

// cancelPatience is how long a client waits for the answer to a cancelling.
const cancelPatience = 2 * time.Second

// job is one job of a client and what became of it.
type job struct {
	id   string
	body []byte

	mu sync.Mutex
	// answeredAt and status are those of the latest answer to a submission.
	answeredAt time.Time
	status     int
	state      string
	// cancelledAt is when the cancelling was acknowledged.
	cancelledAt time.Time
}

func newJob(tasks int, run time.Duration) *job {
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), body: standin.JobBody(tasks, 1000, run)}
}

// submit sends a job to an entry and waits for its answer.
func (f *fleet) submit(j *job, entry int, deadline time.Duration) {
	f.add("job %s: POST to %s", j.id, f.entries[entry].name)
	status, state := f.call(http.MethodPost, j, entry, j.body, deadline)
	j.mu.Lock()
	j.answeredAt, j.status, j.state = time.Now(), status, state
	j.mu.Unlock()
	f.add("job %s: POST answered %d %s", j.id, status, state)
}

// cancel sends the cancelling of a job until it is acknowledged or the tries are used up.
func (f *fleet) cancel(j *job, entry int) {
	for range 4 {
		if f.cancelOnce(j, entry) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// cancelOnce sends the cancelling of a job and reports whether it is acknowledged.
func (f *fleet) cancelOnce(j *job, entry int) bool {
	f.add("job %s: DELETE to %s", j.id, f.entries[entry].name)
	status, _ := f.call(http.MethodDelete, j, entry, nil, cancelPatience)
	f.add("job %s: DELETE answered %d", j.id, status)
	if status/100 != 2 && status != http.StatusGone {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cancelledAt = time.Now()
	return true
}

// call makes one request about a job and returns the status, 0 without an answer, and the state.
func (f *fleet) call(method string, j *job, entry int, body []byte, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	url := "http://" + f.address(frontendNet, entry, callerPort) + prefix + j.id
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(standin.DeadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(response.Body).Decode(&answer) // only a 200 has a body
	return response.StatusCode, answer.State
}
