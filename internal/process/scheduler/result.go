package scheduler

import (
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// staleRunStep is added to the number of a run when the target knows a higher
// one, which another entry has sent for the same job.
const staleRunStep = 16

// refusalReasons gives the reason counted for each refusal of an agent.
var refusalReasons = map[peer.Refusal]apiv1.Reason{
	peer.RefusalRoom:        apiv1.Reason_REASON_TARGET_FULL,
	peer.RefusalUnavailable: apiv1.Reason_REASON_TARGET_LEFT,
	peer.RefusalOut:         apiv1.Reason_REASON_DATA_CENTRE_OUT,
	peer.RefusalStaleRun:    apiv1.Reason_REASON_CONFLICT,
	peer.RefusalUnhealthy:   apiv1.Reason_REASON_TARGET_EJECTED,
	peer.RefusalInvalid:     apiv1.Reason_REASON_INVALID_ARGUMENT,
	peer.RefusalUnanswered:  apiv1.Reason_REASON_FENCED,
	peer.RefusalStopped:     apiv1.Reason_REASON_CANCELLED,
}

// result takes an agent's word on an attempt. A word on an attempt that has been
// resolved already, or on one of another entry, changes nothing.
func (s *Scheduler) result(t *target, r peer.Result) {
	at := t.attempts[r.Attempt]
	if at == nil {
		return
	}
	if r.Outcome == peer.OutcomeStarted {
		s.confirmed(at)
		return
	}
	s.resolve(at, r.Outcome, r.Refusal)
}

// confirmed notes that an attempt has started.
func (s *Scheduler) confirmed(at *attempt) {
	at.started = s.now()
	at.item.job.ran = true
	dataCentre := at.target.info.DataCentre
	before := s.delays.DelayedShare(dataCentre, at.started)
	s.delays.Observe(dataCentre, at.started, at.started-at.sent)
	after := s.delays.DelayedShare(dataCentre, at.started)
	if (before > 0) != (after > 0) {
		s.opts.Counters.Counter("data_centre_judgements").Inc(1)
		s.opts.Log.Warn().Str("target_data_centre", dataCentre).Float64("held_up", after).Float64("former", before).
			Dur("confirmed_after", at.started-at.sent).Msg("data centre judged")
	}
}

// resolve ends an attempt and decides what follows for its task.
func (s *Scheduler) resolve(at *attempt, outcome peer.Outcome, refusal peer.Refusal) {
	it := at.item
	j := it.job
	delete(at.target.attempts, at.id)
	at.target.drop(at)
	if it.attempt == at {
		it.attempt = nil
	}
	j.live--
	if outcome != peer.OutcomeRefused {
		j.ran = true
	}
	s.contention.Observe(s.now(), outcome == peer.OutcomeRefused && refusal == peer.RefusalRoom)
	s.logResolved(at, outcome, refusal)
	if j.ended {
		s.settleEnded(j)
		return
	}
	switch outcome {
	case peer.OutcomeDone:
		s.learn(it, s.now()-at.began())
		s.taskDone(it)
	case peer.OutcomeFailed:
		it.avoid = at.target.name
		s.taskFailed(it)
	case peer.OutcomeRefused:
		s.retryRefused(at, refusal)
	default:
		it.avoid = at.target.name
		s.opts.Counters.Retry(apiv1.Reason_REASON_AGENT_LOST)
		s.queue.Push(it)
	}
}

// learn takes the run time of a task that is done.
func (s *Scheduler) learn(it *item, took time.Duration) {
	s.estimate.Observe(it.job.queue.Name, it.step.Estimate, took)
	st := &it.job.steps[it.key.Step]
	st.longest = max(st.longest, took)
}

// settleEnded lets the next job of the same ID begin once nothing of the former
// one runs.
func (s *Scheduler) settleEnded(j *job) {
	if j.live > 0 {
		return
	}
	if s.closing[j.spec.ID] == j {
		delete(s.closing, j.spec.ID)
	}
	if next := s.jobs[j.spec.ID]; next != nil && next.predecessor == j {
		next.predecessor = nil
		next.ran = true
		s.releaseAll(next)
	}
}

// drop removes an attempt from those that the agent has not accounted for.
func (t *target) drop(at *attempt) {
	for i, u := range t.unseen {
		if u == at {
			t.unseen = append(t.unseen[:i], t.unseen[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) logResolved(at *attempt, outcome peer.Outcome, refusal peer.Refusal) {
	event := s.opts.Log.Info()
	if outcome == peer.OutcomeFailed || outcome == peer.OutcomeLost {
		event = s.opts.Log.Warn()
	}
	event.Str("job", at.id.Key.Job).Stringer("task", at.id.Key).Uint64("run", at.id.Run).Str("target", at.target.info.ID).
		Stringer("outcome", outcome).Str("refusal", string(refusal)).Int("failures", at.item.failures).
		Dur("after", s.now()-at.sent).Dur("agent_heard", s.now()-at.target.heard).Msg("attempt resolved")
}

func (s *Scheduler) taskDone(it *item) {
	j := it.job
	it.done = true
	j.left--
	st := &j.steps[it.key.Step]
	st.left--
	if j.left == 0 {
		if !j.disturbed {
			s.patience.Observe(j.queue.Name, j.criticalRun(), j.deadline-j.arrived)
		}
		s.finish(j, Answer{State: StateComplete, Verdict: verdict.Ran})
		return
	}
	if st.left > 0 {
		return
	}
	for i := range j.steps {
		s.release(j, i)
	}
}

func (s *Scheduler) taskFailed(it *item) {
	it.failures++
	if it.failures >= max(it.job.queue.MaxAttempts, 1) {
		s.finish(it.job, Answer{
			State:   StateFailed,
			Verdict: verdict.Ran,
			Reason:  apiv1.Reason_REASON_TARGET_FAILED,
			Message: "a task has failed as often as its queue allows",
		})
		return
	}
	s.opts.Counters.Retry(apiv1.Reason_REASON_TARGET_FAILED)
	s.queue.Push(it)
}

// retryRefused queues a task again whose attempt has not run.
func (s *Scheduler) retryRefused(at *attempt, refusal peer.Refusal) {
	it := at.item
	s.opts.Counters.Retry(refusalReasons[refusal])
	switch refusal {
	case peer.RefusalInvalid:
		s.giveUp(it.job, apiv1.Reason_REASON_INVALID_ARGUMENT, "the target does not take such a task")
		return
	case peer.RefusalStaleRun:
		it.run += staleRunStep
	case peer.RefusalRoom:
	default:
		it.avoid = at.target.name
	}
	if s.isTooLate(it.job, s.now()) {
		s.giveUp(it.job, apiv1.Reason_REASON_OVERLOAD, messageNoRoom)
		return
	}
	s.queue.Push(it)
}

// began returns when the attempt began to run, as far as is known.
func (at *attempt) began() time.Duration {
	if at.started > 0 {
		return at.started
	}
	return at.sent
}
