// Package client submits jobs to a fleet. It fetches tickets in batches, so that a
// submission costs one round trip. A job resubmitted under its own ticket never starts
// a task twice.
package client

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Error is a rejection or failure. Its Verdict states whether the request may have run.
type Error = verdict.Error

// Verdict states whether a request may have run.
type Verdict = apiv1.Verdict

// Verdicts of an Error.
const (
	NotRun     = verdict.NotRun
	MayHaveRun = verdict.MayHaveRun
	Ran        = verdict.Ran
)

const (
	// ticketBatchSize is the number of tickets fetched by one RPC.
	ticketBatchSize = 64
	// expiryMargin is the time before expiry from which tickets are no longer used.
	expiryMargin = time.Minute
)

// Config configures a Client.
type Config struct {
	// URL is the address of an entry or of the load balancer in front of the entries.
	URL string
	// Department and Owner identify the caller.
	Department string
	Owner      string
	// HTTP sends the requests; if nil, New creates an HTTP client.
	HTTP *http.Client
}

// Client submits the jobs of one owner. It is safe for concurrent use.
type Client struct {
	config      Config
	jobs        apiv1connect.JobServiceClient
	submissions submissions

	mu      sync.Mutex
	tickets [][]byte
	expires time.Time
}

// maxIdleConns is the maximum number of idle connections per host.
const maxIdleConns = 64

// maxIdleTime is less than the idle timeout of an entry, so that no request is sent on
// a connection that the entry is closing.
const maxIdleTime = time.Minute

// New returns a client without connecting to an entry.
func New(c Config) *Client {
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: maxIdleTime}}
	}
	return &Client{config: c, jobs: apiv1connect.NewJobServiceClient(c.HTTP, c.URL)}
}

// Job is a job to submit. Deadline is the time allowed for the whole job.
type Job struct {
	Label    string
	Deadline time.Duration
	Tasks    []*apiv1.Task
}

// Ticket returns a ticket, the ID under which one job is submitted. It fetches a new
// batch only if the current one is used up or about to expire. Errors have the verdict
// NotRun.
func (c *Client) Ticket(ctx context.Context) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tickets) == 0 || time.Now().After(c.expires) {
		if err := c.fetchTickets(ctx); err != nil {
			return nil, err
		}
	}
	t := c.tickets[0]
	c.tickets = c.tickets[1:]
	return t, nil
}

func (c *Client) fetchTickets(ctx context.Context) error {
	response, err := c.jobs.IssueTickets(ctx, connect.NewRequest(&apiv1.IssueTicketsRequest{
		Department: c.config.Department,
		Owner:      c.config.Owner,
		Count:      ticketBatchSize,
	}))
	if err != nil {
		e := *verdict.FromError(err)
		e.Verdict = NotRun
		return &e
	}
	lifetime := time.Duration(response.Msg.GetExpiresInMs()) * time.Millisecond
	c.tickets = response.Msg.GetTickets()
	for _, t := range c.tickets {
		c.submissions.add(t)
	}
	c.expires = time.Now().Add(lifetime - min(expiryMargin, lifetime/2))
	return nil
}

// Submit submits a job under a new ticket and waits for its answer.
func (c *Client) Submit(ctx context.Context, j Job) (*apiv1.Answer, error) {
	ticket, err := c.Ticket(ctx)
	if err != nil {
		return nil, err
	}
	return c.Resubmit(ctx, ticket, j)
}

// Resubmit submits a job under a ticket that may already have been used for it, and
// waits for its answer. The failure of a failed answer is returned as an *Error.
//
// An error without an answer has the verdict NotRun only if this client fetched the ticket and
// no earlier submission is without an answer. With the verdict MayHaveRun, submit the job again
// under the same ticket.
func (c *Client) Resubmit(ctx context.Context, ticket []byte, j Job) (*apiv1.Answer, error) {
	return c.submit(ctx, c.submitRequest(ticket, j))
}

func (c *Client) submit(ctx context.Context, r *apiv1.SubmitRequest) (*apiv1.Answer, error) {
	sub := c.submissions.beginSubmit(r.GetTicket())
	response, err := c.jobs.Submit(ctx, connect.NewRequest(r))
	if err != nil {
		e := c.submissions.endSubmit(sub, verdict.FromError(err))
		if e.Reason == apiv1.Reason_REASON_HOME_LOST {
			c.Discard(r.GetTicket())
		}
		return nil, e
	}
	answer := response.Msg.GetAnswer()
	if answer.GetFailure().GetReason() == apiv1.Reason_REASON_HOME_LOST {
		c.Discard(r.GetTicket())
	}
	return c.receive(r.GetTicket(), answer)
}

// receive returns the answer of a job and, if it is a failure, the matching *Error.
func (c *Client) receive(ticket []byte, a *apiv1.Answer) (*apiv1.Answer, error) {
	if isFinal(a) {
		c.submissions.forget(ticket)
	}
	if f := a.GetFailure(); f != nil {
		return a, verdict.FromFailure(f)
	}
	return a, nil
}

// Discard drops the fetched tickets issued by the same entry as the given one. Call it
// when that entry is lost: non-repeatable tasks no longer run under its tickets.
func (c *Client) Discard(lost []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = slices.DeleteFunc(c.tickets, func(t []byte) bool { return ticket.IsSameHome(t, lost) })
}

// Start submits a job without waiting for its answer. Its errors are those of Resubmit.
func (c *Client) Start(ctx context.Context, ticket []byte, j Job) error {
	r := c.submitRequest(ticket, j)
	r.NoWait = true
	if answer, err := c.submit(ctx, r); answer == nil {
		return err
	}
	return nil
}

func (c *Client) submitRequest(ticket []byte, j Job) *apiv1.SubmitRequest {
	return &apiv1.SubmitRequest{
		Ticket:     ticket,
		Department: c.config.Department,
		Owner:      c.config.Owner,
		Label:      j.Label,
		DeadlineMs: uint32(j.Deadline.Milliseconds()),
		Tasks:      j.Tasks,
	}
}

// Get returns the answer of a job and waits for it for at most wait. If the job is
// still in progress, the answer has the state JOB_STATE_RUNNING.
func (c *Client) Get(ctx context.Context, ticket []byte, wait time.Duration) (*apiv1.Answer, error) {
	response, err := c.jobs.GetJob(ctx, connect.NewRequest(&apiv1.GetJobRequest{
		Ticket:     ticket,
		Department: c.config.Department,
		Owner:      c.config.Owner,
		WaitMs:     uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return nil, c.submissions.qualify(ticket, verdict.FromError(err))
	}
	return c.receive(ticket, response.Msg.GetAnswer())
}

// Cancel cancels a job and returns its answer. The error of a cancelled job has the reason
// REASON_CANCELLED, also if its answer was lost with an earlier cancellation.
func (c *Client) Cancel(ctx context.Context, ticket []byte) (*apiv1.Answer, error) {
	sub := c.submissions.beginCancel(ticket)
	response, err := c.jobs.CancelJob(ctx, connect.NewRequest(&apiv1.CancelJobRequest{
		Ticket:     ticket,
		Department: c.config.Department,
		Owner:      c.config.Owner,
	}))
	if err != nil {
		return nil, c.submissions.endCancel(sub, verdict.FromError(err))
	}
	return c.receive(ticket, response.Msg.GetAnswer())
}
