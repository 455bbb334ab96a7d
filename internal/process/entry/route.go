package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/link"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// ticketRequestOf returns the request in a call if it refers to a ticket, or nil.
func ticketRequestOf(call *peerv1.Call) ticketRequest {
	switch r := call.GetRequest().(type) {
	case *peerv1.Call_Submit:
		return r.Submit
	case *peerv1.Call_GetJob:
		return r.GetJob
	case *peerv1.Call_CancelJob:
		return r.CancelJob
	default:
		return nil
	}
}

// answerFromTable answers a call from one of the job tables of this entry.
func (e *Entry) answerFromTable(ctx context.Context, table *jobs.Table, call *peerv1.Call) (*apiv1.Answer, *verdict.Error) {
	switch r := call.GetRequest().(type) {
	case *peerv1.Call_Submit:
		return e.submitToTable(ctx, table, r.Submit)
	case *peerv1.Call_GetJob:
		return e.getFromTable(ctx, table, r.GetJob)
	case *peerv1.Call_CancelJob:
		return e.cancelInTable(ctx, table, r.CancelJob)
	default:
		return nil, verdict.NotRunError(apiv1.Reason_REASON_INVALID_ARGUMENT, "unknown call")
	}
}

func errHomeLost(format string, args ...any) *verdict.Error {
	err := verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_HOME_LOST, format, args...)
	err.RetryAfter = forwardBackoff
	return err
}

// answerLocally answers a call if this entry is responsible for its ticket: as its home,
// the incarnation that issued it, or as the adopter. Otherwise it reports false.
func (e *Entry) answerLocally(ctx context.Context, home uint64, call *peerv1.Call) (*apiv1.Answer, *verdict.Error, bool) {
	if home == e.incarnation {
		return e.answerOwnTicket(ctx, call)
	}
	held := e.adoptions.get(home)
	if held == nil {
		return nil, nil, false
	}
	select {
	case <-held.ready:
	case <-ctx.Done():
		return nil, errHomeLost("agents have not answered for the lost entry"), true
	}
	if !e.lease.isHeld(time.Now()) {
		return nil, errHomeLost("the entry lost its lease"), true
	}
	answer, err := e.answerFromTable(ctx, held.table, call)
	return answer, err, true
}

// answerOwnTicket answers a call for a ticket that this incarnation issued. While the entry
// stops, a new submission waits for the hand-over and is forwarded to the successor.
func (e *Entry) answerOwnTicket(ctx context.Context, call *peerv1.Call) (*apiv1.Answer, *verdict.Error, bool) {
	if !e.lease.isHeld(time.Now()) {
		return nil, errHomeLost("the entry lost its lease"), true
	}
	answer, err := e.answerFromTable(ctx, e.jobs, call)
	if err == nil || err.Reason != apiv1.Reason_REASON_STOPPING {
		return answer, err, true
	}
	select {
	case <-e.handedOver:
	case <-e.retired:
		return nil, errHomeLost("the entry lost its lease"), true
	case <-ctx.Done():
		return nil, err, true
	}
	successor := e.roster.Load().ByIncarnation(e.adoptions.adopter(e.incarnation))
	if successor == nil {
		return nil, err, true
	}
	reply, callErr := e.peers.call(ctx, successor, call)
	if callErr != nil {
		return nil, errHomeLost("successor of the ticket did not answer: %v", callErr), true
	}
	return reply.GetAnswer(), verdict.FromFailure(reply.GetFailure()), true
}

// route passes a call to the entry that is responsible for its ticket: the home, or its
// adopter. It retries until that entry answers, which is safe since a resubmission joins
// the job in progress. The refusal of a retry does not speak for the earlier ones.
func (e *Entry) route(ctx context.Context, t ticket.Ticket, call *peerv1.Call) (*apiv1.Answer, *verdict.Error) {
	var tries verdict.Tries
	for {
		if answer, err, ok := e.answerLocally(ctx, t.Home, call); ok {
			return answer, tries.RecordError(err)
		}
		answer, err, ok := e.forward(ctx, t.Home, call, &tries)
		if ok {
			return answer, err
		}
		e.counters.Counter("forwards_failed").Inc(1)
		sleep(ctx, forwardBackoff)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

// forward makes one attempt to have a call answered by the home or its adopter in the
// roster, and records it in tries. It reports false if a retry may succeed.
func (e *Entry) forward(ctx context.Context, home uint64, call *peerv1.Call, tries *verdict.Tries) (*apiv1.Answer, *verdict.Error, bool) {
	to := e.roster.Load().ByIncarnation(home)
	if to == nil {
		to = e.roster.Load().ByIncarnation(e.adoptions.adopter(home))
	}
	if to == nil || to.GetIncarnation() == e.incarnation {
		return e.tryAdopt(ctx, home)
	}
	reply, err := e.peers.call(ctx, to, call)
	if err != nil {
		tries.Record(proofOfCallError(err))
		return nil, verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_OUTCOME_UNKNOWN, "the entry that answers for the ticket did not: %v", err), false
	}
	failure := tries.RecordError(verdict.FromFailure(reply.GetFailure()))
	isLost := failure != nil && failure.Reason == apiv1.Reason_REASON_HOME_LOST
	return reply.GetAnswer(), failure, !isLost
}

// proofOfCallError returns what the error of a call to another entry proves about its
// execution there.
func proofOfCallError(err error) verdict.Proof {
	if eris.Is(err, link.ErrNotSent) {
		return verdict.ProvesRejected
	}
	return verdict.ProvesNothing
}

// tryAdopt tries to adopt a lost home and reports whether the returned error is final.
// Without the store no entry can adopt, so the caller has to retry later.
func (e *Entry) tryAdopt(ctx context.Context, home uint64) (*apiv1.Answer, *verdict.Error, bool) {
	err := e.adopt(ctx, home)
	if err == nil || eris.Is(err, errHomeRegistered) || eris.Is(err, errWriteConflict) {
		return nil, errHomeLost("the entry that issued the ticket is lost"), false
	}
	e.recordStoreResult(err)
	return nil, errHomeLost("the entry that issued the ticket is lost and the store cannot be reached: %v", err), true
}
