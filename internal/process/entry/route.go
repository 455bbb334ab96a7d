package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// ticketOf returns the request inside a call that names a ticket, or nil.
func ticketOf(call *peerv1.Call) ticketed {
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

// answerHere answers a call from a table of this entry.
func (e *Entry) answerHere(ctx context.Context, table *jobs.Table, call *peerv1.Call) (*apiv1.Answer, *verdict.Error) {
	switch r := call.GetRequest().(type) {
	case *peerv1.Call_Submit:
		return e.submitHere(ctx, table, r.Submit)
	case *peerv1.Call_GetJob:
		return e.getHere(ctx, table, r.GetJob)
	case *peerv1.Call_CancelJob:
		return e.cancelHere(ctx, table, r.CancelJob)
	default:
		return nil, verdict.NotRunError(apiv1.Reason_REASON_INVALID_ARGUMENT, "unknown call")
	}
}

func errHomeLost(format string, args ...any) *verdict.Error {
	err := verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_HOME_LOST, format, args...)
	err.RetryAfter = forwardBackoff
	return err
}

// local answers a call whose ticket this entry answers for. It reports false
// for other tickets.
func (e *Entry) local(ctx context.Context, home uint64, call *peerv1.Call) (*apiv1.Answer, *verdict.Error, bool) {
	if home == e.incarnation {
		return e.own(ctx, call)
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
	answer, err := e.answerHere(ctx, held.table, call)
	return answer, err, true
}

// own answers a call for a ticket issued here. While the entry stops, a new
// submission waits for the successor of its ticket.
func (e *Entry) own(ctx context.Context, call *peerv1.Call) (*apiv1.Answer, *verdict.Error, bool) {
	if !e.lease.isHeld(time.Now()) {
		return nil, errHomeLost("the entry lost its lease"), true
	}
	answer, err := e.answerHere(ctx, e.jobs, call)
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

// route passes a call to the entry that answers for its ticket: the home, or
// its adopter. It is repeated until that entry answers, since a resubmission
// joins the job in progress.
func (e *Entry) route(ctx context.Context, t ticket.Ticket, call *peerv1.Call) (*apiv1.Answer, *verdict.Error) {
	for {
		if answer, err, ok := e.local(ctx, t.Home, call); ok {
			return answer, err
		}
		answer, err, ok := e.remote(ctx, t.Home, call)
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

// remote makes one try to have a call answered by the entry that the roster
// names. It reports false when another try may help.
func (e *Entry) remote(ctx context.Context, home uint64, call *peerv1.Call) (*apiv1.Answer, *verdict.Error, bool) {
	to := e.roster.Load().ByIncarnation(home)
	if to == nil {
		to = e.roster.Load().ByIncarnation(e.adoptions.adopter(home))
	}
	if to == nil || to.GetIncarnation() == e.incarnation {
		return e.tryAdopt(ctx, home)
	}
	reply, err := e.peers.call(ctx, to, call)
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_OUTCOME_UNKNOWN, "the entry that answers for the ticket did not: %v", err), false
	}
	failure := verdict.FromFailure(reply.GetFailure())
	isLost := failure != nil && failure.Reason == apiv1.Reason_REASON_HOME_LOST
	return reply.GetAnswer(), failure, !isLost
}

// tryAdopt adopts a lost home. Without the store nobody can, and the caller may
// ask again later.
func (e *Entry) tryAdopt(ctx context.Context, home uint64) (*apiv1.Answer, *verdict.Error, bool) {
	err := e.adopt(ctx, home)
	if err == nil || eris.Is(err, errHomePresent) || eris.Is(err, errLostRace) {
		return nil, errHomeLost("the entry that issued the ticket is lost"), false
	}
	e.noteStore(err)
	return nil, errHomeLost("the entry that issued the ticket is lost and the store cannot be reached: %v", err), true
}
