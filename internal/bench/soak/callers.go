package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/platform/standin"
)

const (
	// resendAfter is when a caller without an answer sends its job again.
	resendAfter = 1300 * time.Millisecond
	patience    = 3 * time.Second
	maxAttempts = 4
	host        = "desk.example"
	prefix      = "/jobs/"
)

// call is one job as its caller saw it.
type call struct {
	id       string
	tasks    int
	began    time.Time
	ended    time.Time
	statuses []int // of each attempt; 0 for none
	state    string
}

// isRefused reports whether each attempt was answered as not run.
func (c *call) isRefused() bool {
	for _, s := range c.statuses {
		if s != http.StatusServiceUnavailable && s != http.StatusTooManyRequests {
			return false
		}
	}
	return len(c.statuses) > 0
}

// callers submit jobs and keep their connections open until the entry is gone.
type callers struct {
	entries []string
	client  *http.Client

	mu    sync.Mutex
	calls []*call
	wait  sync.WaitGroup
}

func newCallers(entries []string) *callers {
	return &callers{entries: entries, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// submit runs one job to its end in the background.
func (c *callers) submit(ctx context.Context, random *rand.Rand) *call {
	job := &call{id: fmt.Sprintf("%016x", random.Uint64()), tasks: 1 + random.IntN(5), began: time.Now()}
	body := standin.JobBody(job.tasks, 1000, time.Duration(20+random.IntN(250))*time.Millisecond)
	first := random.IntN(len(c.entries))
	c.mu.Lock()
	c.calls = append(c.calls, job)
	c.mu.Unlock()
	c.wait.Go(func() { c.try(ctx, job, body, first) })
	return job
}

func (c *callers) try(ctx context.Context, job *call, body []byte, first int) {
	deadline := job.began.Add(patience)
	for attempt := range maxAttempts {
		left := time.Until(deadline)
		if left <= 0 {
			return
		}
		status, state := c.post(ctx, c.entries[(first+attempt)%len(c.entries)], job.id, body, left)
		c.mu.Lock()
		job.statuses = append(job.statuses, status)
		job.state, job.ended = state, time.Now()
		c.mu.Unlock()
		if status != 0 && status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resendAfter)
	}
}

// post sends one attempt, and returns its status and the state of the job.
func (c *callers) post(ctx context.Context, entry, id string, body []byte, left time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set(standin.DeadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
	response, err := c.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(content, &answer) // other answers than 200 have no body
	return response.StatusCode, answer.State
}
