package scheduler

import (
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// staleRunStep is added to the run number of a task if the target has seen a higher one,
// sent by another entry for the same job.
const staleRunStep = 16

// refusalPause is how long a target gets no starts after its agent has refused one because the target
// is not available: it may refuse all starts for some hundred milliseconds without saying so in
// its description.
const refusalPause = 20 * time.Millisecond

// refusalReasons maps an agent's refusal to the reason under which a retry is counted.
var refusalReasons = map[peer.Refusal]apiv1.Reason{
	peer.RefusalNoCapacity:    apiv1.Reason_REASON_TARGET_FULL,
	peer.RefusalUnavailable:   apiv1.Reason_REASON_TARGET_LEFT,
	peer.RefusalDataCentreOut: apiv1.Reason_REASON_DATA_CENTRE_OUT,
	peer.RefusalStaleRun:      apiv1.Reason_REASON_CONFLICT,
	peer.RefusalUnhealthy:     apiv1.Reason_REASON_TARGET_EJECTED,
	peer.RefusalInvalid:       apiv1.Reason_REASON_INVALID_ARGUMENT,
	peer.RefusalUnanswered:    apiv1.Reason_REASON_FENCED,
	peer.RefusalStopped:       apiv1.Reason_REASON_CANCELLED,
	peer.RefusalCancelled:     apiv1.Reason_REASON_CANCELLED,
	peer.RefusalIsolation:     apiv1.Reason_REASON_TARGET_CRASHED,
}

// handleResult handles a result reported by an agent. A result of an attempt that is
// already resolved, or that belongs to another entry, is ignored.
func (s *Scheduler) handleResult(t *target, r peer.Result) {
	at := t.attempts[r.Attempt]
	if at == nil {
		return
	}
	switch r.Outcome {
	case peer.OutcomeStarted:
		s.recordStart(at)
	case peer.OutcomeLost:
		s.handleLost(at)
	default:
		s.resolve(at, r.Outcome, r.Refusal)
	}
}

// recordStart records the confirmed start of an attempt.
func (s *Scheduler) recordStart(at *attempt) {
	at.startedAt = s.now()
	at.target.window.release(at)
	at.item.job.ran = true
	dataCentre := at.target.info.DataCentre
	before := s.delays.DelayedShare(dataCentre, at.startedAt)
	s.delays.Observe(dataCentre, at.startedAt, at.startedAt-at.sentAt)
	after := s.delays.DelayedShare(dataCentre, at.startedAt)
	if (before > 0) != (after > 0) {
		s.opts.Counters.Counter("data_centre_judgements").Inc(1)
		s.opts.Log.Warn().Str("target_data_centre", dataCentre).Float64("held_up", after).Float64("former", before).
			Dur("confirmed_after", at.startedAt-at.sentAt).Msg("data centre judged")
	}
}

// resolve ends an attempt, and completes, fails or requeues its task.
func (s *Scheduler) resolve(at *attempt, outcome peer.Outcome, refusal peer.Refusal) {
	it := at.item
	j := it.job
	delete(at.target.attempts, at.id)
	at.target.dropUnaccounted(at)
	at.target.window.release(at)
	if it.attempt == at {
		it.attempt = nil
	}
	j.unresolved--
	if outcome != peer.OutcomeRefused {
		j.ran = true
	}
	s.contention.Observe(s.now(), outcome == peer.OutcomeRefused && refusal == peer.RefusalNoCapacity)
	s.logResolved(at, outcome, refusal)
	if j.ended {
		s.releaseSuccessor(j)
		return
	}
	switch outcome {
	case peer.OutcomeDone:
		s.recordRunTime(at, s.now()-at.startTime())
		s.taskDone(it)
	case peer.OutcomeFailed:
		it.avoid = at.target.name
		s.taskFailed(it)
	case peer.OutcomeRefused:
		s.retryRefused(at, refusal)
	default:
		it.avoid = at.target.name
		s.opts.Counters.CountRetry(apiv1.Reason_REASON_AGENT_LOST)
		s.queueOf(j).Push(it)
	}
}

// recordRunTime records the run time of a completed task, as it would be on the average target.
func (s *Scheduler) recordRunTime(at *attempt, took time.Duration) {
	it := at.item
	took = time.Duration(float64(took) / at.target.slowdown)
	s.estimate.Observe(it.job.queue.Name, it.step.Estimate, took)
	st := &it.job.steps[it.key.Step]
	st.longestRun = max(st.longestRun, took)
}

// releaseSuccessor lets the next job of the same ID begin once no attempt of the
// previous one can still run.
func (s *Scheduler) releaseSuccessor(j *job) {
	if j.unresolved > 0 {
		return
	}
	if s.closing[j.spec.ID] == j {
		delete(s.closing, j.spec.ID)
	}
	if next := s.jobs[j.spec.ID]; next != nil && next.predecessor == j {
		next.predecessor = nil
		next.ran = true
		s.releaseSteps(next)
	}
}

// dropUnaccounted removes an attempt from those not yet accounted for by the agent.
func (t *target) dropUnaccounted(at *attempt) {
	for i, u := range t.unaccounted {
		if u == at {
			t.unaccounted = append(t.unaccounted[:i], t.unaccounted[i+1:]...)
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
		Dur("after", s.now()-at.sentAt).Dur("agent_heard", s.now()-at.target.lastFrameAt).Msg("attempt resolved")
}

func (s *Scheduler) taskDone(it *item) {
	j := it.job
	it.done = true
	j.tasksLeft--
	st := &j.steps[it.key.Step]
	st.left--
	if j.tasksLeft == 0 {
		if !j.hasRestarts {
			s.patience.Observe(j.queue.Name, j.criticalRun(), j.deadline-j.arrived)
		}
		s.finish(j, Answer{State: StateComplete, Verdict: verdict.Ran})
		if j.isApart() && s.confinement.RecordClean(s.now(), j.queue.Name) {
			s.announceRelease(j.queue.Name)
			s.releaseQueue(j.queue.Name)
		}
		return
	}
	if st.left > 0 {
		return
	}
	for i := range j.steps {
		s.releaseStep(j, i)
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
	s.opts.Counters.CountRetry(apiv1.Reason_REASON_TARGET_FAILED)
	s.queueOf(it.job).Push(it)
}

// retryRefused requeues a task whose attempt was refused without having run.
func (s *Scheduler) retryRefused(at *attempt, refusal peer.Refusal) {
	it := at.item
	s.opts.Counters.CountRetry(refusalReasons[refusal])
	switch refusal {
	case peer.RefusalInvalid:
		s.giveUp(it.job, apiv1.Reason_REASON_INVALID_ARGUMENT, "the target does not take such a task")
		return
	case peer.RefusalCancelled:
		s.cancelLocal(it.job.spec.ID)
		return
	case peer.RefusalStaleRun:
		it.run += staleRunStep
	case peer.RefusalNoCapacity, peer.RefusalIsolation:
	case peer.RefusalUnavailable:
		at.target.refusedUntil = s.now() + refusalPause
		it.avoid = at.target.name
	default:
		it.avoid = at.target.name
	}
	if s.isTooLate(it.job, s.now()) && !s.acceptLate(it.job, s.now()) {
		s.giveUp(it.job, apiv1.Reason_REASON_OVERLOAD, messageNoCapacity)
		return
	}
	s.queueOf(it.job).Push(it)
}

// startTime returns when the attempt started, or when it was sent if not yet confirmed.
func (at *attempt) startTime() time.Duration {
	if at.startedAt > 0 {
		return at.startedAt
	}
	return at.sentAt
}
