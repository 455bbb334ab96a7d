package scheduler

import (
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

const (
	// cancelRetention is how long an entry remembers that a job was cancelled. Its request may
	// arrive again some seconds after its response.
	cancelRetention = 30 * time.Second
	// maxCancelled bounds the cancelled jobs remembered.
	maxCancelled = 20_000
	// maxUnknownCancelled is the number of them from which on a cancellation is refused of a job that is
	// not known here: clients can cancel any number of such jobs, and the oldest cancellations, which
	// have been acknowledged, would be forgotten for them.
	maxUnknownCancelled = maxCancelled / 2
	// cancelTimeout is how long a cancellation waits to be recorded by an agent.
	cancelTimeout = 2 * time.Second
)

// cancellation is the cancellation of a job that no agent has recorded yet.
type cancellation struct {
	recorded chan struct{}
	// since is when it was last requested.
	since time.Duration
}

// Cancel ends a job at its caller's request, and has the agents stop its attempts, whichever
// entry has sent them, and start no others. known reports whether the job was in progress here
// or its answer is kept. recorded is closed once an agent has recorded the cancellation: before
// that, the job may go on at another entry. It is nil if the cancellation is refused, as there are too
// many of jobs that are not known here.
func (s *Scheduler) Cancel(id string) (known bool, recorded <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.knows(id) && s.cancelled.Len(s.now()) >= maxUnknownCancelled {
		s.opts.Counters.Counter("cancellations_refused").Inc(1)
		return false, nil
	}
	c := s.cancels[id]
	if c == nil {
		c = &cancellation{recorded: make(chan struct{})}
		s.cancels[id] = c
	}
	c.since = s.now()
	for _, t := range s.targets {
		t.send(peer.Frame{CancelJobs: []string{id}})
	}
	known = s.answers.has(id, s.now())
	if s.cancelLocal(id) {
		s.placeQueued()
		known = true
	}
	return known, c.recorded
}

// Knows reports whether a job is or was here.
func (s *Scheduler) Knows(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knows(id)
}

func (s *Scheduler) knows(id string) bool {
	now := s.now()
	return s.jobs[id] != nil || s.closing[id] != nil || s.answers.has(id, now) || s.unfinished.has(id, now) || s.cancelled.Has(id, now)
}

// receiveCancels cancels jobs on behalf of another entry, and forwards those that were not known here
// to the other agents: the agent that sent them has links to some of the entries only.
func (s *Scheduler) receiveCancels(from *target, ids []string) {
	var added []string
	for _, id := range ids {
		if !s.cancelled.Has(id, s.now()) {
			added = append(added, id)
		}
		s.cancelLocal(id)
	}
	if len(added) == 0 {
		return
	}
	s.opts.Counters.Counter("cancellations_forwarded").Inc(int64(len(added)))
	for _, t := range s.targets {
		if t != from {
			t.send(peer.Frame{CancelJobs: added})
		}
	}
}

// RestoreCancelled remembers jobs that were cancelled before this process started.
func (s *Scheduler) RestoreCancelled(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.cancelLocal(id)
	}
}

// cancelLocal ends a cancelled job if it is in progress at this entry, and remembers that it was
// cancelled.
func (s *Scheduler) cancelLocal(id string) bool {
	s.cancelled.Add(id, s.now())
	j := s.jobs[id]
	if j == nil {
		return false
	}
	s.finish(j, cancelledAnswer(j.verdict()))
	return true
}

func cancelledAnswer(v verdict.Verdict) Answer {
	return Answer{State: StateCancelled, Verdict: v, Reason: apiv1.Reason_REASON_CANCELLED, Message: "cancelled"}
}

// recordCancels handles the jobs of which an agent has recorded the cancellation.
func (s *Scheduler) recordCancels(t *target, ids []string) {
	for _, id := range ids {
		c := s.cancels[id]
		if c == nil {
			continue
		}
		s.opts.Log.Info().Str("job", id).Str("agent", t.name).Dur("after", s.now()-c.since).Msg("cancellation recorded by an agent")
		close(c.recorded)
		delete(s.cancels, id)
	}
}

// sweepCancels forgets cancellations that no agent has recorded in time.
func (s *Scheduler) sweepCancels(now time.Duration) {
	for id, c := range s.cancels {
		if now-c.since > cancelTimeout {
			s.opts.Counters.Counter("cancellations_unrecorded").Inc(1)
			s.opts.Log.Warn().Str("job", id).Int("agents", len(s.targets)).Msg("cancellation recorded by no agent")
			delete(s.cancels, id)
		}
	}
}
