package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

const (
	// minCompressBytes is the body size from which responses are compressed.
	minCompressBytes = 4 << 10
	// forwardBackoff is the time between attempts to reach the entry that is responsible
	// for a ticket.
	forwardBackoff = 100 * time.Millisecond
	// forwardGrace is added to a job's deadline to bound the forwarding of its submission.
	forwardGrace = 2 * time.Second
	// maxGetJobWait bounds the wait of GetJob.
	maxGetJobWait = time.Minute
)

type jobService struct {
	entry *Entry
}

func (e *Entry) jobService() (string, http.Handler) {
	return apiv1connect.NewJobServiceHandler(&jobService{entry: e}, e.handlerOptions())
}

// refuse counts an error and turns it into an RPC error.
func (e *Entry) refuse(err *verdict.Error) error {
	return e.counters.CountRefusalError(err)
}

func (e *Entry) checkReady() *verdict.Error {
	if !e.ready.Load() {
		return verdict.NotRunError(apiv1.Reason_REASON_STORE_UNAVAILABLE, "entry has not reached the platform's store yet")
	}
	return nil
}

// checkReadyForTicket refuses a call for a ticket while this entry cannot determine
// which entry is responsible for it. The verdict is MayHaveRun, since the ticket may have
// been submitted before through another entry.
func (e *Entry) checkReadyForTicket() *verdict.Error {
	err := e.checkReady()
	if err != nil {
		err.Verdict = verdict.MayHaveRun
	}
	return err
}

// IssueTickets issues new tickets to an owner.
func (s *jobService) IssueTickets(ctx context.Context, r *connect.Request[apiv1.IssueTicketsRequest]) (*connect.Response[apiv1.IssueTicketsResponse], error) {
	e, m := s.entry, r.Msg
	e.awaitFresh(ctx)
	if err := e.validateIssue(m); err != nil {
		return nil, e.refuse(err)
	}
	return connect.NewResponse(&apiv1.IssueTicketsResponse{
		Tickets:     e.jobs.Issue(m.GetDepartment(), m.GetOwner(), int(m.GetCount())),
		ExpiresInMs: uint32(e.jobs.Lifetime().Milliseconds()),
	}), nil
}

func (e *Entry) validateIssue(m *apiv1.IssueTicketsRequest) *verdict.Error {
	if err := e.checkReady(); err != nil {
		return err
	}
	if e.draining.Load() {
		return verdict.NotRunError(apiv1.Reason_REASON_STOPPING, "entry is stopping")
	}
	if err := jobs.ValidateOwner(m.GetDepartment(), m.GetOwner()); err != nil {
		return err
	}
	if n := m.GetCount(); n == 0 || n > jobs.MaxTicketBatch {
		return verdict.NotRunError(apiv1.Reason_REASON_INVALID_ARGUMENT, "count must be between 1 and %d", jobs.MaxTicketBatch)
	}
	return e.checkDepartment(m.GetDepartment())
}

// Submit submits a job under a ticket and returns its answer.
func (s *jobService) Submit(ctx context.Context, r *connect.Request[apiv1.SubmitRequest]) (*connect.Response[apiv1.SubmitResponse], error) {
	answer, err := s.entry.submit(ctx, r.Msg)
	if err != nil {
		return nil, s.entry.refuse(err)
	}
	return connect.NewResponse(&apiv1.SubmitResponse{Answer: answer}), nil
}

func (e *Entry) submit(ctx context.Context, m *apiv1.SubmitRequest) (*apiv1.Answer, *verdict.Error) {
	if err := e.checkReadyForTicket(); err != nil {
		return nil, err
	}
	if err := jobs.Validate(m); err != nil {
		err.Verdict = e.invalidSubmitVerdict(m)
		return nil, err
	}
	t, err := e.decodeUnexpired(m)
	if err != nil {
		return nil, err
	}
	limit := time.Duration(m.GetDeadlineMs())*time.Millisecond + forwardGrace
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return e.route(ctx, t, &peerv1.Call{Request: &peerv1.Call_Submit{Submit: m}})
}

// invalidSubmitVerdict returns the verdict of an invalid submission: NotRun, unless its
// ticket is valid and may have been submitted before.
func (e *Entry) invalidSubmitVerdict(m ticketRequest) verdict.Verdict {
	t, err := e.jobs.Decode(m.GetTicket(), m.GetDepartment(), m.GetOwner())
	if err != nil {
		return verdict.NotRun
	}
	if t.Home != e.incarnation {
		return verdict.MayHaveRun
	}
	if _, err := e.jobs.Get(t); err != nil {
		return err.Verdict
	}
	return verdict.MayHaveRun
}

// submitToTable handles a submission under a ticket that this entry is responsible for.
func (e *Entry) submitToTable(ctx context.Context, table *jobs.Table, m *apiv1.SubmitRequest) (*apiv1.Answer, *verdict.Error) {
	t, err := table.Decode(m.GetTicket(), m.GetDepartment(), m.GetOwner())
	if err != nil {
		return nil, err
	}
	e.awaitFresh(ctx)
	j, err := table.Submit(t, m, func() *verdict.Error {
		return e.checkDepartment(m.GetDepartment())
	})
	if err != nil {
		return nil, err
	}
	if m.GetNoWait() {
		return j.Result()
	}
	return j.Wait(ctx)
}

// GetJob returns the answer of a submitted job.
func (s *jobService) GetJob(ctx context.Context, r *connect.Request[apiv1.GetJobRequest]) (*connect.Response[apiv1.GetJobResponse], error) {
	e := s.entry
	answer, err := e.routeByTicket(ctx, r.Msg, &peerv1.Call{Request: &peerv1.Call_GetJob{GetJob: r.Msg}})
	if err != nil {
		return nil, e.refuse(err)
	}
	return connect.NewResponse(&apiv1.GetJobResponse{Answer: answer}), nil
}

// CancelJob cancels a submitted job and returns its answer.
func (s *jobService) CancelJob(ctx context.Context, r *connect.Request[apiv1.CancelJobRequest]) (*connect.Response[apiv1.CancelJobResponse], error) {
	e := s.entry
	answer, err := e.routeByTicket(ctx, r.Msg, &peerv1.Call{Request: &peerv1.Call_CancelJob{CancelJob: r.Msg}})
	if err != nil {
		return nil, e.refuse(err)
	}
	return connect.NewResponse(&apiv1.CancelJobResponse{Answer: answer}), nil
}

// ticketRequest is a request that refers to a job by its ticket.
type ticketRequest interface {
	GetTicket() []byte
	GetDepartment() string
	GetOwner() string
}

// routeByTicket passes a call to the entry that is responsible for the ticket in its
// request.
func (e *Entry) routeByTicket(ctx context.Context, m ticketRequest, call *peerv1.Call) (*apiv1.Answer, *verdict.Error) {
	if err := e.checkReadyForTicket(); err != nil {
		return nil, err
	}
	t, err := e.decodeUnexpired(m)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxGetJobWait+forwardGrace)
	defer cancel()
	return e.route(ctx, t, call)
}

// decodeUnexpired verifies a ticket and refuses one that has expired, since its home no
// longer remembers the job.
func (e *Entry) decodeUnexpired(m ticketRequest) (ticket.Ticket, *verdict.Error) {
	t, err := e.jobs.Decode(m.GetTicket(), m.GetDepartment(), m.GetOwner())
	if err != nil {
		return t, err
	}
	if !time.Now().Before(t.Expires) {
		return t, verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_TICKET_EXPIRED, "ticket expired at %s", t.Expires.UTC().Format(time.RFC3339))
	}
	return t, nil
}

func (e *Entry) getFromTable(ctx context.Context, table *jobs.Table, m *apiv1.GetJobRequest) (*apiv1.Answer, *verdict.Error) {
	t, err := table.Decode(m.GetTicket(), m.GetDepartment(), m.GetOwner())
	if err != nil {
		return nil, err
	}
	j, err := table.Get(t)
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(m.GetWaitMs())*time.Millisecond, maxGetJobWait)
	if wait == 0 {
		return j.Result()
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return j.Wait(ctx)
}

func (e *Entry) cancelInTable(ctx context.Context, table *jobs.Table, m *apiv1.CancelJobRequest) (*apiv1.Answer, *verdict.Error) {
	t, err := table.Decode(m.GetTicket(), m.GetDepartment(), m.GetOwner())
	if err != nil {
		return nil, err
	}
	j, err := table.Cancel(t)
	if err != nil {
		return nil, err
	}
	return j.Wait(ctx)
}
