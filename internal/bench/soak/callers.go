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
	// retryDelay is the wait after an attempt without a final answer, before the next.
	retryDelay  = 1300 * time.Millisecond
	jobTimeout  = 3 * time.Second
	maxAttempts = 4
	// patience is how long impatient callers wait for a response, impatientShare that one in so
	// many callers is impatient.
	patience       = 500 * time.Millisecond
	impatientShare = 3
	host           = "desk.example"
	prefix         = "/jobs/"
)

// submittedJob records one job and the responses that its caller received.
type submittedJob struct {
	id    string
	tasks int
	// impatient is set if the caller leaves after patience and sends the job again.
	impatient bool
	began     time.Time
	ended     time.Time // of the last attempt
	statuses  []int     // HTTP status of each attempt; 0 without a response
	state     string    // of the job, in the last response
}

// isRefused reports whether every attempt was answered with 503 or 429, which
// guarantee that the job was not run.
func (j *submittedJob) isRefused() bool {
	for _, s := range j.statuses {
		if s != http.StatusServiceUnavailable && s != http.StatusTooManyRequests {
			return false
		}
	}
	return len(j.statuses) > 0
}

// callers submits jobs over HTTP. Connections stay open until the entry closes them.
type callers struct {
	entries []string
	client  *http.Client

	mu      sync.Mutex
	jobs    []*submittedJob
	pending sync.WaitGroup
}

func newCallers(entries []string) *callers {
	return &callers{entries: entries, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// submit starts one job, whose retries run in the background. The job's content
// and the first entry are drawn from random.
func (c *callers) submit(ctx context.Context, random *rand.Rand) *submittedJob {
	number := random.Uint64()
	job := &submittedJob{id: fmt.Sprintf("%016x", number), tasks: 1 + random.IntN(5), impatient: number%impatientShare == 0, began: time.Now()}
	body := standin.JobBody(job.tasks, 1000, time.Duration(20+random.IntN(250))*time.Millisecond)
	first := random.IntN(len(c.entries))
	c.mu.Lock()
	c.jobs = append(c.jobs, job)
	c.mu.Unlock()
	c.pending.Go(func() { c.submitWithRetries(ctx, job, body, first) })
	return job
}

// submitWithRetries sends a job until it has a final answer. An attempt that failed
// or timed out at the gateway is repeated at the next entry.
func (c *callers) submitWithRetries(ctx context.Context, job *submittedJob, body []byte, first int) {
	deadline := job.began.Add(jobTimeout)
	for attempt := range maxAttempts {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return
		}
		wait := remaining
		if job.impatient {
			wait = min(wait, patience)
		}
		status, state := c.post(ctx, c.entries[(first+attempt)%len(c.entries)], job.id, body, wait, remaining)
		c.mu.Lock()
		job.statuses = append(job.statuses, status)
		job.state, job.ended = state, time.Now()
		c.mu.Unlock()
		if status != 0 && status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(retryDelay)
	}
}

// post sends one attempt, waits for the response and returns its HTTP status, 0 without one, and
// the state of the job. The request says that the caller waits for timeout.
func (c *callers) post(ctx context.Context, entry, id string, body []byte, wait, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set(standin.DeadlineHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
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
	_ = json.Unmarshal(content, &answer) // responses other than 200 have no body
	return response.StatusCode, answer.State
}
