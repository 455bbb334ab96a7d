// Package scheduler runs the jobs of one entry: it queues their tasks, places
// them on targets, follows each attempt to its end and answers each job once.
//
// The decisions themselves are in package load. What the scheduler adds is the
// record of what has been sent and confirmed, which is what makes an answer
// true: a job is refused as not run only while no attempt of it is unresolved.
package scheduler

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

// Options configure a Scheduler.
type Options struct {
	DataCentre string
	Log        zerolog.Logger
	Counters   *metrics.Counters
	View       *policy.View
	// TargetLease is how long a target runs what its agent no longer renews.
	TargetLease time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
	// Behind is called when an agent knows a newer policy than this entry.
	Behind func(*peer.Policy)
	// Entries returns the number of entries that share the targets.
	Entries func() int
}

// Scheduler is safe for concurrent use.
type Scheduler struct {
	opts  Options
	epoch time.Time

	mu      sync.Mutex
	targets map[string]*target // by agent name
	jobs    map[string]*job
	// closing holds jobs that were answered while attempts of theirs may still
	// run; a job of the same ID waits for their end.
	closing  map[string]*job
	answers  answers
	queue    load.Queue[*item]
	drain    load.DrainRate
	estimate *load.Estimator
	patience *load.Patience
	reserve  *load.Reserve
	// contention is that with other entries for room.
	contention load.Contention
	// delays are those of starts by data centre.
	delays *load.StartDelays
	// releases is that of the present round of placement, for one pool.
	releases     load.Releases
	releasesPool string
	// stop says until when jobs are taken, if this entry stops.
	stop *load.PlannedStop
}

// New returns a scheduler without targets.
func New(opts Options) *Scheduler {
	return &Scheduler{
		opts:     opts,
		epoch:    time.Now(),
		targets:  make(map[string]*target),
		jobs:     make(map[string]*job),
		closing:  make(map[string]*job),
		answers:  newAnswers(),
		estimate: load.NewEstimator(),
		patience: load.NewPatience(),
		reserve:  load.NewReserve(),
		delays:   load.NewStartDelays(),
	}
}

func (s *Scheduler) now() time.Duration { return time.Since(s.epoch) }

// Submit queues the tasks of a job, or joins the job of the same ID. The answer
// arrives on the channel returned; cancel withdraws this caller, and the last
// one to withdraw ends the job.
func (s *Scheduler) Submit(spec *task.Job, queue *policy.Queue) (answered <-chan Answer, cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiter := make(chan Answer, 1)
	if a, ok := s.answers.get(spec.ID, s.now()); ok {
		s.opts.Counters.Counter("jobs_answered_again").Inc(1)
		waiter <- a
		return waiter, func() {}
	}
	j := s.jobs[spec.ID]
	if j == nil {
		j = s.newJob(spec, queue)
		j.predecessor = s.closing[spec.ID]
		if refused, ok := s.admit(j); !ok {
			s.logAnswer(j, refused)
			waiter <- refused
			return waiter, func() {}
		}
		s.begin(j)
	} else {
		s.opts.Counters.Counter("jobs_joined").Inc(1)
		s.opts.Log.Info().Str("job", spec.ID).Msg("request joined its job")
	}
	j.waiters = append(j.waiters, waiter)
	s.pump()
	return waiter, func() { s.withdraw(j, waiter) }
}

// begin queues the tasks of the steps that depend on no other.
func (s *Scheduler) begin(j *job) {
	s.jobs[j.spec.ID] = j
	s.opts.Counters.Counter("jobs_admitted").Inc(1)
	s.opts.Log.Info().Str("job", j.spec.ID).Str("queue", j.queue.Name).Int("tasks", j.spec.Tasks()).
		Dur("expected", j.forecast.RunTime).Bool("certain", j.forecast.Certain).Dur("waited", j.forecast.Waited).
		Dur("objective", j.objective-j.arrived).Dur("deadline", j.deadline-j.arrived).Bool("overdue", j.overdue).
		Int("waiting", s.queue.Len()).Msg("job admitted")
	if j.predecessor == nil {
		s.releaseAll(j)
	}
}

func (s *Scheduler) releaseAll(j *job) {
	for step := range j.spec.Steps {
		s.release(j, step)
	}
}

// release queues the tasks of a step once the steps before it are done.
func (s *Scheduler) release(j *job, step int) {
	st := &j.steps[step]
	if st.released {
		return
	}
	for _, before := range j.spec.Steps[step].After {
		if j.steps[before].left > 0 {
			return
		}
	}
	st.released = true
	for _, it := range st.items {
		s.queue.Push(it)
	}
}

// withdraw removes a caller that no longer waits.
func (s *Scheduler) withdraw(j *job, waiter chan Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.ended {
		return
	}
	for i, w := range j.waiters {
		if w == waiter {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			break
		}
	}
	if len(j.waiters) > 0 {
		return
	}
	s.finish(j, Answer{State: StateAbandoned, Verdict: j.verdict(), Reason: apiv1.Reason_REASON_CANCELLED, Message: "its caller left"})
	s.pump()
}

// Cancel ends a job at the wish of its caller, and reports whether it is known
// here. Attempts that other entries have sent for it are stopped as well.
func (s *Scheduler) Cancel(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		t.send(peer.Frame{CancelJobs: []string{id}})
	}
	if s.cancelHere(id) {
		s.pump()
		return true
	}
	return s.answers.cancel(id, s.now())
}

// cancelHere ends a job that was cancelled, if it is in progress here.
func (s *Scheduler) cancelHere(id string) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	s.finish(j, Answer{State: StateCancelled, Verdict: j.verdict(), Reason: apiv1.Reason_REASON_CANCELLED, Message: "cancelled"})
	return true
}

// State returns the state of a job, if it is known here.
func (s *Scheduler) State(id string) (State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[id]; j != nil {
		if j.begun {
			return StateRunning, true
		}
		return StateQueued, true
	}
	a, ok := s.answers.get(id, s.now())
	return a.State, ok
}

// Pending returns the number of jobs of a queue of which no task has started.
func (s *Scheduler) Pending(queue string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, j := range s.jobs {
		if j.queue.Name == queue && !j.begun {
			n++
		}
	}
	return n
}

// Jobs returns the number of jobs without an answer.
func (s *Scheduler) Jobs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.jobs)
}

// Patience returns what has been learned of how long callers wait.
func (s *Scheduler) Patience() map[string]load.Line {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.patience.Lines()
}

// RestorePatience takes what an earlier process, or another entry, has learned.
func (s *Scheduler) RestorePatience(lines map[string]load.Line) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.patience.Restore(lines)
}

// Stop takes any job for a time, and after that only those that surely end within
// another, counted from now too; those that are here go on.
func (s *Scheduler) Stop(open, within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = &load.PlannedStop{AdmitUntil: s.now() + open, EndsAt: s.now() + within}
}

// End gives up all jobs, since this entry ends.
func (s *Scheduler) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		s.giveUp(j, apiv1.Reason_REASON_STOPPING, "this entry ends")
	}
}

// Refresh places work after a change of the policy, and tells the agents.
func (s *Scheduler) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.policy()
	for _, t := range s.targets {
		t.send(peer.Frame{Policy: p})
	}
	s.pump()
}

func (s *Scheduler) policy() *peer.Policy {
	outages := s.opts.View.Outages()
	if outages.Revision == 0 {
		return nil
	}
	p := &peer.Policy{Revision: outages.Revision, Out: outages.Out}
	if snapshot := s.opts.View.Snapshot(); snapshot != nil {
		p.ConfigVersion = snapshot.Version
	}
	return p
}

// Unserved notes a request that is refused before it is a job.
func (s *Scheduler) Unserved(request, reason string, status int) {
	s.opts.Counters.Counter("requests_unserved").Inc(1)
	s.opts.Log.Warn().Str("job", request).Str("reason", reason).Int("status", status).
		Uint64("config_version", s.version()).Msg("request not taken")
}

// refuse returns the answer to a job of which nothing has run or will.
func refuse(reason verdict.Reason, retryAfter time.Duration, message string) Answer {
	return Answer{State: StateRefused, Verdict: verdict.NotRun, Reason: reason, RetryAfter: retryAfter, Message: message}
}
