package scheduler

import (
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

// TaskBytes is the memory that a task takes from the submission of its job to its answer, whether it
// waits or runs.
const TaskBytes = 512

// job is a job without an answer, or an answered one with attempts that may still run.
// Times are durations since the scheduler's start.
type job struct {
	spec    *task.Job
	queue   *policy.Queue
	arrived time.Duration
	// forecast is the prediction made on arrival.
	forecast load.Forecast
	// objective is when the job should have ended, deadline when its caller stops
	// waiting.
	objective time.Duration
	deadline  time.Duration
	// latestStart is when its first task must start to meet the objective.
	latestStart time.Duration
	// fastest is the relative slowdown for which latestStart holds, that of a fast target.
	fastest float64
	steps   []step
	// overdue is set if the caller has already waited so long, at another entry or for
	// a connection, that the objective cannot be met.
	overdue bool
	// capacity is the prediction on which the job's admission was decided.
	capacity capacityPrediction
	// hasRestarts is set once a task has been started more than once.
	hasRestarts bool
	// tasksLeft is the number of tasks that are not done.
	tasksLeft int
	// unresolved is the number of attempts sent whose outcome is not known.
	unresolved int
	// yielded is set once the job has left free capacity to tasks of other entries.
	yielded bool
	// begun is set once an attempt has been sent.
	begun bool
	// ran is set once an attempt of the job or of its predecessor is known to have
	// started.
	ran bool
	// earlier is whether an earlier job of the same ID may have run here.
	earlier verdict.Verdict
	// ended is set once the job has been answered, at endedAt.
	ended   bool
	endedAt time.Duration
	// suspicion is what the crashes reported say about the job. separation is how far its
	// tasks are kept apart from those of other jobs, isolatedAt the target to itself.
	suspicion  load.Suspicion
	separation load.Separation
	isolatedAt *target
	// predecessor is an answered job of the same ID of which attempts may still run, or
	// nil.
	predecessor *job
	waiters     []*waiter
	// callerSeenAt is when a caller was last found connected, 0 if it has not been checked.
	callerSeenAt time.Duration
}

// capacityPrediction is how much capacity a job lacked on arrival, and how long it takes
// until the missing capacity becomes free.
type capacityPrediction struct {
	// missing is the capacity that the job and the tasks ahead of it needed beyond what
	// was free, in thousandths of a core.
	missing int64
	// wait is the time until the missing capacity becomes free.
	wait time.Duration
}

// step is the state of one step of a job.
type step struct {
	items    []*item
	left     int
	released bool
	// longestRun is the longest run time of its completed tasks.
	longestRun time.Duration
}

// item is one task of a job, as it is queued and attempted.
type item struct {
	job      *job
	key      task.Key
	step     *task.Step
	expected time.Duration
	position int
	// run is the number of the latest attempt.
	run      uint64
	failures int
	moves    int
	done     bool
	// attempt is the attempt in progress, if any.
	attempt *attempt
	// avoid names the target on which the latest attempt failed or was lost.
	avoid string
}

// attempt is one start of a task, as sent to an agent.
type attempt struct {
	item   *item
	id     task.Attempt
	target *target
	// sentAt and startedAt are durations since the scheduler's start; startedAt is 0 until
	// the start is confirmed.
	sentAt    time.Duration
	startedAt time.Duration
	// targetIncarnation is the incarnation of the target for which it was sent.
	targetIncarnation int64
	// unanswered is what the attempt counts in the window of its target.
	unanswered int
	// startNumber counts the starts on the link, up to this one.
	startNumber uint64
	// lateOrderReportedAt is when the agent reported that an order of the attempt may be executed late,
	// or 0; lateOrderReportedBy is the incarnation of the agent that did.
	lateOrderReportedAt time.Duration
	lateOrderReportedBy uint64
	// knownBy is the incarnation of the latest process of the agent that listed the attempt or
	// reported it as lost, 0 if none did. reportedLost is set if a process did that which does not
	// know of the late order.
	knownBy      uint64
	reportedLost bool
	// keptLogged is set once it has been logged that the attempt is kept for a late order.
	keptLogged bool
	// stopping is set once a stop order for the attempt has been sent.
	stopping bool
	// isolated and exclusiveFor are those of the start order.
	isolated     bool
	exclusiveFor time.Duration
}

// LatestStart implements load.QueuedTask.
func (it *item) LatestStart() time.Duration { return it.job.latestStart }

// Priority implements load.QueuedTask.
func (it *item) Priority() int { return it.job.queue.Priority }

// Begun implements load.QueuedTask.
func (it *item) Begun() bool { return it.job.begun }

// Overdue implements load.QueuedTask.
func (it *item) Overdue() bool { return it.job.overdue }

// Work implements load.QueuedTask.
func (it *item) Work() load.Work { return load.WorkOf(it.step.Need.CPU, it.expected) }

// CPU implements load.QueuedTask.
func (it *item) CPU() int64 { return it.step.Need.CPU }

// Position implements load.QueuedTask.
func (it *item) Position() *int { return &it.position }

func (s *Scheduler) newJob(spec *task.Job, queue *policy.Queue) *job {
	j := &job{
		spec:     spec,
		queue:    queue,
		arrived:  spec.Arrived.Sub(s.epoch),
		deadline: spec.Deadline.Sub(s.epoch),
		steps:    make([]step, len(spec.Steps)),
	}
	predicted := s.estimate.Predict(queue.Name, spec.CriticalPath())
	s.setSchedule(j, s.patience.Forecast(queue.Name, predicted, j.deadline-j.arrived, queue.Timeout))
	for i := range spec.Steps {
		declared := &spec.Steps[i]
		expected := s.estimate.Predict(queue.Name, declared.Estimate)
		expected = time.Duration(float64(expected) * float64(j.forecast.RunTime) / float64(max(predicted, 1)))
		expected = bounds.RunTime.Clamp(expected)
		items := make([]*item, declared.Count)
		for n := range items {
			items[n] = &item{
				job:      j,
				key:      task.Key{Job: spec.ID, Step: i, Index: n},
				step:     declared,
				expected: expected,
				position: -1,
			}
		}
		j.steps[i] = step{items: items, left: declared.Count}
		j.tasksLeft += declared.Count
	}
	return j
}

// setSchedule sets the times by which a job should start and end, counted from its
// caller's first request.
func (s *Scheduler) setSchedule(j *job, f load.Forecast) {
	j.forecast = f
	firstRequestAt := j.arrived - f.Waited
	objective := j.queue.Objective(f.RunTime)
	j.objective = firstRequestAt + objective
	j.fastest = s.fastestSlowdown(j.queue.Pool)
	latest := firstRequestAt + load.Slack(j.queue.Stretch, j.queue.TargetLatency, f)
	j.latestStart = load.LatestStartOn(latest, f, j.fastest)
	if j.latestStart < j.arrived {
		j.overdue = true
		j.latestStart = j.arrived + load.OverdueSlack(f, objective, j.deadline-j.arrived)
	}
}

// criticalRun returns the measured run time of the critical path of a completed job.
func (j *job) criticalRun() time.Duration {
	return task.LongestChain(j.spec.Steps, func(step int) time.Duration { return j.steps[step].longestRun })
}

// verdict returns whether any task of the job may have run. An unresolved attempt may
// have run.
func (j *job) verdict() verdict.Verdict {
	switch {
	case j.ran:
		return verdict.Ran
	case j.unresolved > 0, j.predecessor != nil:
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// reportedVerdict returns whether any request for the job at this entry may have run: a
// repeated request that does nothing does not undo an earlier one. Requests at other entries
// are not known here.
func (j *job) reportedVerdict() verdict.Verdict { return verdict.Worst(j.verdict(), j.earlier) }

// refusal returns the answer to a job that will not be run. It is a refusal only if nothing
// of the job has run here.
func (j *job) refusal(reason apiv1.Reason, retryAfter time.Duration, message string) Answer {
	v := j.reportedVerdict()
	if v == verdict.NotRun {
		return refuse(reason, retryAfter, message)
	}
	return Answer{State: StateUnfinished, Verdict: v, Reason: reason, Message: message}
}

// finish answers a job, and stops its remaining attempts.
func (s *Scheduler) finish(j *job, a Answer) {
	if j.ended {
		return
	}
	j.ended, j.endedAt = true, s.now()
	for i := range j.steps {
		for _, it := range j.steps[i].items {
			s.queueOf(j).Remove(it)
			if it.attempt != nil {
				s.stopAttempt(it.attempt)
			}
		}
	}
	delete(s.jobs, j.spec.ID)
	if j.unresolved > 0 {
		s.closing[j.spec.ID] = j
	}
	switch {
	case a.isFinal():
		s.answers.put(j.spec.ID, a, s.now())
	case a.Verdict != verdict.NotRun:
		s.unfinished.put(j.spec.ID, a, s.now())
	}
	s.logAnswer(j, a)
	for _, w := range j.waiters {
		w.answer <- a
	}
}

// stopAttempt sends a stop order for an attempt whose result no longer counts.
func (s *Scheduler) stopAttempt(at *attempt) {
	if at.stopping {
		return
	}
	at.stopping = true
	at.target.send(peer.Frame{Stops: []task.Attempt{at.id}})
}

// logAnswer logs and counts the answer of a job.
func (s *Scheduler) logAnswer(j *job, a Answer) {
	took := s.now() - j.arrived
	s.opts.Counters.ObserveJob(j.queue.Name, s.opts.DataCentre, took)
	s.opts.Counters.Counter("jobs_" + string(a.State)).Inc(1)
	if a.State == StateComplete {
		s.opts.Log.Info().Str("job", j.spec.ID).Str("queue", j.queue.Name).Dur("took", took).
			Bool("in_objective", s.now() <= j.objective).Msg("job complete")
		return
	}
	s.opts.Counters.CountRefusal(a.Reason)
	s.opts.Log.Warn().Str("job", j.spec.ID).Str("queue", j.queue.Name).Str("state", string(a.State)).
		Str("verdict", verdict.Name(a.Verdict)).Str("reason", verdict.ReasonName(a.Reason)).Str("detail", a.Message).
		Dur("took", took).Dur("objective", j.objective-j.arrived).Dur("expected", j.forecast.RunTime).
		Dur("waited", j.forecast.Waited).Bool("certain", j.forecast.Certain).
		Dur("deadline", j.deadline-j.arrived).Bool("overdue", j.overdue).
		Int64("missing_cpu", j.capacity.missing).Bool("yielded", j.yielded).
		Stringer("separation", j.separation).Int("crashes", j.suspicion.Crashes).Bool("crashed_alone", j.suspicion.Alone).
		Float64("suspicion", j.suspicion.Share).Dur("predicted_wait", j.capacity.wait).
		Dur("retry_after", a.RetryAfter).Int("tasks_left", j.tasksLeft).Int("unresolved", j.unresolved).
		Int("waiting", s.queue.Len()).Uint64("config_version", s.configVersion()).Msg("job not completed")
}

func (s *Scheduler) configVersion() uint64 {
	if snapshot := s.opts.View.Snapshot(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// giveUp answers a job that can no longer be completed, with the verdict that holds
// now.
func (s *Scheduler) giveUp(j *job, reason apiv1.Reason, message string) {
	s.finish(j, j.refusal(reason, s.retryAfter(), message))
}
