// Package scheduler runs the jobs of one entry: it queues their tasks, places them on
// targets, tracks each attempt until it is resolved, and answers each job once.
//
// The policies are in package load. The scheduler records what has been sent and
// confirmed, and derives the verdict of an answer from it: a job is refused as not run
// only while none of its attempts is unresolved.
package scheduler

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/recent"
	"github.com/rosemarybay/rosemarybay/internal/request/crash"
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
	// TargetLease is how long a target keeps running tasks whose agent does not renew
	// them.
	TargetLease time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
	// OnNewerPolicy is called when an agent has a newer policy than this entry.
	OnNewerPolicy func(*peer.Policy)
	// PolicyAge returns how long ago the policy was last confirmed with the store; nil means that
	// it is always fresh.
	PolicyAge func() time.Duration
	// TargetSpeeds is set if targets of one pool may run tasks at different speeds.
	TargetSpeeds bool
	// StartWait is how long an agent may hold a start until its target has capacity; 0 means that
	// it refuses the start at once.
	StartWait time.Duration
	// LateAnswers is set if a job that can no longer meet its objective may wait for spare
	// capacity while its answer is still useful, in place of being refused.
	LateAnswers bool
	// Interference is set if tasks that slow each other down are kept apart where there is room.
	Interference bool
	// Entries returns the number of entries that share the targets.
	Entries func() int
}

// Scheduler schedules the jobs of one entry. It is safe for concurrent use.
type Scheduler struct {
	opts  Options
	epoch time.Time

	mu      sync.Mutex
	targets map[string]*target // by agent name
	jobs    map[string]*job
	// closing holds answered jobs of which attempts may still run. A new job of the
	// same ID waits until these have ended.
	closing map[string]*job
	answers answerCache
	// unfinished holds the answers of recent jobs that have not ended but may have run.
	unfinished answerCache
	// cancelled holds the jobs that were cancelled recently, here or at another entry, and
	// cancels the cancellations that no agent has recorded yet.
	cancelled *recent.IDs
	cancels   map[string]*cancellation
	queue     load.Queue[*item]
	drain     load.DrainRate
	estimate  *load.Estimator
	patience  *load.Patience
	// contention measures how often other entries take the capacity first.
	contention load.Contention
	// delays tracks delayed starts by data centre.
	delays *load.StartDelays
	// releases is valid for the current round of placement and for the jobs
	// of releasesPool that are, or are not, kept apart.
	releases      load.Releases
	releasesPool  string
	releasesApart bool
	// demandUpdatedAt is when the demand of the waiting tasks was computed; demandUnsent is
	// set while an agent may have an older one. demandedTargets is the number of targets of
	// which waiting tasks of other entries need a part.
	demandUpdatedAt time.Duration
	demandUnsent    bool
	demandedTargets int
	// topPriorities tracks the most urgent priority by pool.
	topPriorities map[string]*load.TopPriority
	// contendedPool is valid for the current round of placement.
	contendedPool contendedPool
	// crashes holds the crashes reported, suspects what they say about jobs, confinement
	// what they say about queues. unjudged holds those not yet observed by confinement.
	crashes     crash.Log
	unjudged    []unjudgedCrash
	suspects    load.Suspects
	confinement load.Confinement
	// apartQueue holds the waiting tasks of jobs that are kept apart.
	apartQueue load.Queue[*item]
	// targetsSetApart is set while targets may be set apart. suspectsUntil is when the
	// latest single suspect no longer waits for one.
	targetsSetApart bool
	suspectsUntil   time.Duration
	// averageSlowdown is the mean slowdown that agents report, by pool. unequalSpeeds is set while
	// some target is known to be slower or faster than the average one of its pool.
	averageSlowdown map[string]float64
	// fastest is the relative slowdown of the fastest target, by pool.
	fastest       map[string]float64
	unequalSpeeds bool
	// interference holds the pairs of queues whose tasks slow each other down.
	interference          load.InterferenceTable
	interferenceUpdatedAt time.Duration
	// restartTime is the time that crashed targets take to come back.
	restartTime time.Duration
	// speedsUpdatedAt is when the slowdowns were derived last.
	speedsUpdatedAt time.Duration
	// firstPolicyAt is when the first configuration was known, 0 before.
	firstPolicyAt time.Duration
	// stop is set once a planned stop of this entry has been requested.
	stop *load.PlannedStop
}

// New returns a scheduler without targets.
func New(opts Options) *Scheduler {
	return &Scheduler{
		opts:          opts,
		epoch:         time.Now(),
		targets:       make(map[string]*target),
		jobs:          make(map[string]*job),
		closing:       make(map[string]*job),
		answers:       newAnswerCache(),
		unfinished:    newAnswerCache(),
		cancelled:     recent.NewIDs(cancelRetention, maxCancelled),
		cancels:       make(map[string]*cancellation),
		estimate:      load.NewEstimator(),
		patience:      load.NewPatience(),
		delays:        load.NewStartDelays(),
		topPriorities: make(map[string]*load.TopPriority),
		restartTime:   defaultRestartTime,

		averageSlowdown: make(map[string]float64),
		fastest:         make(map[string]float64),
	}
}

func (s *Scheduler) now() time.Duration { return time.Since(s.epoch) }

// Submit queues the tasks of a job, or joins the job in progress with the same ID. The
// answer is sent on the returned channel. cancel withdraws this caller; the job ends
// when its last caller withdraws. connected reports, without blocking, whether the caller
// still waits; it is asked before the job's tasks are started.
func (s *Scheduler) Submit(spec *task.Job, queue *policy.Queue, connected func() bool) (answered <-chan Answer, cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &waiter{answer: make(chan Answer, 1), connected: connected}
	if a, ok := s.answers.get(spec.ID, s.now()); ok {
		s.opts.Counters.Counter("jobs_answered_again").Inc(1)
		w.answer <- a
		return w.answer, func() {}
	}
	if s.cancelled.Has(spec.ID, s.now()) {
		s.opts.Counters.Counter("jobs_cancelled_before").Inc(1)
		s.opts.Log.Info().Str("job", spec.ID).Msg("request of a cancelled job")
		w.answer <- cancelledAnswer(s.earlierVerdict(spec.ID))
		return w.answer, func() {}
	}
	j := s.jobs[spec.ID]
	if j == nil {
		j = s.newJob(spec, queue)
		j.predecessor = s.closing[spec.ID]
		j.earlier = s.earlierVerdict(spec.ID)
		s.suspectOnArrival(j)
		if refused, ok := s.admit(j); !ok {
			s.logAnswer(j, refused)
			w.answer <- refused
			return w.answer, func() {}
		}
		s.enqueue(j)
	} else {
		s.opts.Counters.Counter("jobs_joined").Inc(1)
		s.opts.Log.Info().Str("job", spec.ID).Msg("request joined the job in progress")
	}
	j.waiters = append(j.waiters, w)
	s.placeQueued()
	return w.answer, func() { s.withdraw(j, w) }
}

// earlierVerdict returns whether a job of an ID may have run here.
func (s *Scheduler) earlierVerdict(id string) verdict.Verdict {
	if a, ok := s.unfinished.get(id, s.now()); ok {
		return a.Verdict
	}
	return verdict.NotRun
}

// enqueue registers an admitted job and queues its steps without dependencies.
func (s *Scheduler) enqueue(j *job) {
	s.jobs[j.spec.ID] = j
	s.opts.Counters.Counter("jobs_admitted").Inc(1)
	s.opts.Log.Info().Str("job", j.spec.ID).Str("queue", j.queue.Name).Int("tasks", j.spec.Tasks()).
		Dur("expected", j.forecast.RunTime).Bool("certain", j.forecast.Certain).Dur("waited", j.forecast.Waited).
		Dur("objective", j.objective-j.arrived).Dur("deadline", j.deadline-j.arrived).Bool("overdue", j.overdue).
		Stringer("separation", j.separation).Int("crashes", j.suspicion.Crashes).Int("waiting", s.queue.Len()).Msg("job admitted")
	if j.predecessor == nil {
		s.releaseSteps(j)
	}
}

func (s *Scheduler) releaseSteps(j *job) {
	for step := range j.spec.Steps {
		s.releaseStep(j, step)
	}
}

// releaseStep queues the tasks of a step once all steps that it depends on are done.
func (s *Scheduler) releaseStep(j *job, step int) {
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
		s.queueOf(j).Push(it)
	}
}

// State returns the state of a job. It reports false if the job is not in progress at
// this entry and its answer is not kept.
func (s *Scheduler) State(id string) (State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[id]; j != nil {
		if j.begun {
			return StateRunning, true
		}
		return StateQueued, true
	}
	if a, ok := s.answers.get(id, s.now()); ok {
		return a.State, true
	}
	return StateCancelled, s.cancelled.Has(id, s.now())
}

// Pending returns the number of jobs of a queue of which no task has been sent.
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

// Patience returns the models of how long callers wait, by queue.
func (s *Scheduler) Patience() map[string]load.PatienceLine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.patience.Lines()
}

// RestorePatience loads models fitted by an earlier process or by another entry.
func (s *Scheduler) RestorePatience(lines map[string]load.PatienceLine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.patience.Restore(lines)
}

// Stop admits every job for the duration open, and after that only jobs that are
// expected to end within the duration within; both count from now. Jobs in progress
// continue.
func (s *Scheduler) Stop(open, within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = &load.PlannedStop{AdmitUntil: s.now() + open, EndsAt: s.now() + within}
}

// GiveUpAll gives up all jobs because this entry ends.
func (s *Scheduler) GiveUpAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		s.giveUp(j, apiv1.Reason_REASON_STOPPING, "this entry ends")
	}
}

// Refresh sends the changed policy to the agents and places queued tasks under it.
func (s *Scheduler) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstPolicyAt == 0 && s.opts.View.Snapshot() != nil {
		s.firstPolicyAt = s.now()
	}
	p := s.policy()
	for _, t := range s.targets {
		t.send(peer.Frame{Policy: p})
	}
	s.placeQueued()
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

// RecordUnserved records a request that is refused before it becomes a job.
func (s *Scheduler) RecordUnserved(request, reason string, status int) {
	s.opts.Counters.Counter("requests_unserved").Inc(1)
	s.opts.Log.Warn().Str("job", eventlog.Text(request)).Str("reason", eventlog.Text(reason)).Int("status", status).
		Uint64("config_version", s.configVersion()).Msg("request rejected before admission")
}

// refuse returns the answer to a job of which nothing has run or will run.
func refuse(reason verdict.Reason, retryAfter time.Duration, message string) Answer {
	return Answer{State: StateRefused, Verdict: verdict.NotRun, Reason: reason, RetryAfter: retryAfter, Message: message}
}
