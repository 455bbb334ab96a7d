// Package model is a randomised simulation of entries and agents. It runs the production
// scheduler (entry) and run manager (agent) in virtual time against simulated targets,
// links and callers, injects faults by a random schedule, and checks the invariants: a
// task never runs twice at the same time, nothing keeps running, and a job answered as not
// run has not run.
package model

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	scheduling "github.com/rosemarybay/rosemarybay/internal/process/scheduler"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

const (
	targetLease = time.Second
	// callerRetry is the delay before a caller submits its job to another entry if the entry is dead,
	// does not answer within requestTimeout, or answers that the job did not finish. After a reset
	// of the caller's connection it is resendDelay.
	callerRetry = 1300 * time.Millisecond
	// callerTimeout is the deadline of a job, counted from its first submission.
	callerTimeout = 4 * time.Second
	// requestTimeout is how long an impatient caller waits for the answer to one request.
	requestTimeout = 1500 * time.Millisecond
	// disconnectInterval is how long an entry takes to notice that a caller has left.
	disconnectInterval = 100 * time.Millisecond
	// maxBacklogTime is how long an entry takes to read the requests that arrived in a pause.
	maxBacklogTime = 200 * time.Millisecond
	sweepInterval  = 10 * time.Millisecond
	// startWait lets agents hold starts, so that schedules end them in every state.
	startWait = 100 * time.Millisecond
	// queues is the number of queues; each has another priority.
	queues         = 2
	redialInterval = 20 * time.Millisecond
	// unfinished is the state in an answer after which a caller retries.
	unfinished = scheduling.StateUnfinished
)

// process simulates the life cycle of an entry or agent: it can be killed, started and
// paused.
type process struct {
	mu          sync.Mutex
	number      int // increases with each start
	alive       bool
	pausedUntil time.Time // end of the current or latest pause
	died        chan struct{}
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = time.Now().Add(d)
}

func (p *process) state() (number int, alive bool, pauseLeft time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.number, p.alive, time.Until(p.pausedUntil)
}

// waitRunnable waits while the process is paused. It reports whether the process with
// this number is still alive.
func (p *process) waitRunnable(number int) bool {
	for {
		current, alive, pauseLeft := p.state()
		if current != number || !alive {
			return false
		}
		if pauseLeft <= 0 {
			return true
		}
		time.Sleep(pauseLeft)
	}
}

// entry is a simulated entry.
type entry struct {
	process
	sim       *simulation
	name      string
	scheduler *scheduling.Scheduler
	// linkReset and callerReset are closed and replaced when its links to agents, or the
	// connections of its callers, are reset.
	linkReset, callerReset chan struct{}
}

// reset resets the connections of the entry's callers, its links to agents, or both.
func (e *entry) reset(callers, links bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if callers {
		close(e.callerReset)
		e.callerReset = make(chan struct{})
	}
	if links {
		close(e.linkReset)
		e.linkReset = make(chan struct{})
	}
}

type simulation struct {
	checker      *checker
	agents       []*agent
	entries      []*entry
	finished     atomic.Bool
	incarnations atomic.Uint64
	cuts         sync.Map        // by linkKey: end of the latest cut of the link
	queues       []*policy.Queue // in the order of their priority
	view         *policy.View
}

func newSimulation(agents, entries int, w workload) *simulation {
	sim := &simulation{checker: newChecker(w), view: &policy.View{}}
	byName := make(map[string]*policy.Queue)
	for priority := range queues {
		q := &policy.Queue{
			Name: fmt.Sprint("q", priority), Pool: "p", Priority: priority, MaxAttempts: 3,
			Stretch: 1.6, TargetLatency: 60 * time.Millisecond, Timeout: callerTimeout,
		}
		sim.queues = append(sim.queues, q)
		byName[q.Name] = q
	}
	sim.view.Apply(&policy.Snapshot{Version: 1, Queues: byName})
	for i := range agents {
		a := &agent{sim: sim, name: fmt.Sprintf("agent-%d", i)}
		a.target = newTarget(sim.checker, 0.02*float64(1-i%2))
		a.target.onKiller = a.crashTarget
		a.restartTarget()
		sim.agents = append(sim.agents, a)
		a.start()
	}
	for i := range entries {
		e := &entry{
			sim: sim, name: fmt.Sprintf("entry-%d", i),
			linkReset: make(chan struct{}), callerReset: make(chan struct{}),
		}
		sim.entries = append(sim.entries, e)
		e.start()
	}
	for _, a := range sim.agents {
		for _, e := range sim.entries {
			go a.dial(e)
		}
	}
	return sim
}

// next returns the number for the next start.
func (p *process) next() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.number + 1
}

// begin starts the process with this number. It calls set under the lock to install the
// process's components, so that no caller reads the new number and then uses components
// of the former process.
func (p *process) begin(number int, set func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set()
	p.number, p.alive, p.died = number, true, make(chan struct{})
}

func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alive {
		p.alive = false
		close(p.died)
	}
}

func (e *entry) start() {
	number := e.next()
	s := scheduling.New(scheduling.Options{
		DataCentre:    "dc",
		Log:           e.sim.checker.log.logger(e.name),
		Counters:      metrics.New(),
		View:          e.sim.view,
		TargetLease:   targetLease,
		Random:        func() float64 { return 0.5 },
		OnNewerPolicy: func(*peer.Policy) {},
		Entries:       func() int { return len(e.sim.entries) },
		TargetSpeeds:  true,
		LateAnswers:   true,
		StartWait:     startWait,
	})
	e.begin(number, func() { e.scheduler = s })
	go func() {
		for e.waitRunnable(number) && !e.sim.finished.Load() {
			s.Sweep()
			time.Sleep(sweepInterval)
		}
	}()
}
