package client

import (
	"sync"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// maxKnownTickets limits the tickets of one generation in submissions.
const maxKnownTickets = 1 << 14

// submissions holds the tries of the tickets that this client knows completely: those that it
// fetched itself. Any other ticket, also one that was dropped for want of space, may have been
// submitted before. It is safe for concurrent use.
type submissions struct {
	mu sync.Mutex
	// current is filled up to maxKnownTickets and then becomes previous, which is dropped.
	current, previous map[string]*submission
}

// submission holds the tries to submit and to cancel the job of one ticket. A submission that
// was accepted is open until its job has ended. The lock of submissions guards the tries.
type submission struct {
	submits, cancels verdict.Tries
}

// add records a ticket that has not been submitted.
func (s *submissions) add(ticket []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(ticket, &submission{})
}

func (s *submissions) put(ticket []byte, sub *submission) {
	if s.current == nil || len(s.current) >= maxKnownTickets {
		s.previous, s.current = s.current, make(map[string]*submission)
	}
	s.current[string(ticket)] = sub
}

// forget drops a ticket whose job has ended.
func (s *submissions) forget(ticket []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.current, string(ticket))
	delete(s.previous, string(ticket))
}

// get returns the submission of a ticket. That of an unknown ticket has an open try.
func (s *submissions) get(ticket []byte) *submission {
	for _, known := range []map[string]*submission{s.current, s.previous} {
		if sub, ok := known[string(ticket)]; ok {
			return sub
		}
	}
	sub := &submission{submits: verdict.Tries{Sent: 1, Open: 1}}
	s.put(ticket, sub)
	return sub
}

// beginSubmit records that a submission is sent.
func (s *submissions) beginSubmit(ticket []byte) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := s.get(ticket)
	sub.submits.Begin()
	return sub
}

// endSubmit records the error that ended a submission, and returns that of all submissions of
// the ticket.
func (s *submissions) endSubmit(sub *submission, err *verdict.Error) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sub.submits.EndWithError(err)
}

// beginCancel records that a cancellation is sent.
func (s *submissions) beginCancel(ticket []byte) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := s.get(ticket)
	sub.cancels.Begin()
	return sub
}

// endCancel records the error that ended a cancellation and returns that of the call. A job
// that is unknown after an unanswered cancellation has been cancelled.
func (s *submissions) endCancel(sub *submission, err *verdict.Error) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub.cancels.End(verdict.ProofOf(err.Verdict))
	err = sub.submits.Qualify(err)
	if err.Reason == apiv1.Reason_REASON_JOB_UNKNOWN && sub.cancels.Open > 0 {
		return verdict.New(err.Verdict, apiv1.Reason_REASON_CANCELLED, "cancelled; the job is no longer known: %s", err.Message)
	}
	return err
}

// qualify returns the error of a call that reads the job of a ticket.
func (s *submissions) qualify(ticket []byte, err *verdict.Error) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(ticket).submits.Qualify(err)
}

// isFinal reports whether an answer is that of an ended job, which the home of its ticket
// returns to each later submission.
func isFinal(a *apiv1.Answer) bool {
	switch a.GetState() {
	case apiv1.JobState_JOB_STATE_COMPLETE, apiv1.JobState_JOB_STATE_FAILED:
		return true
	default:
		return false
	}
}
