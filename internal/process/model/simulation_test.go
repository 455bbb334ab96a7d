// Package model is a randomised simulation of entries and agents. It runs the production
// scheduler (entry) and run manager (agent) in virtual time against simulated targets,
// links and callers, injects faults by a random schedule, and checks the invariants: a
// task never runs twice at the same time, nothing keeps running, and a job answered as not
// run has not run.
package model

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
	scheduling "github.com/rosemarybay/rosemarybay/internal/process/scheduler"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

const (
	targetLease = time.Second
	// callerRetry is the delay before a caller submits its job to another entry, after its
	// connection broke or the answer was that the job did not finish.
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
		e := &entry{sim: sim, name: fmt.Sprintf("entry-%d", i)}
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
	})
	e.begin(number, func() { e.scheduler = s })
	go func() {
		for e.waitRunnable(number) && !e.sim.finished.Load() {
			s.Sweep()
			time.Sleep(sweepInterval)
		}
	}()
}

func linkKey(a, e string) string { return a + "/" + e }

func (sim *simulation) cut(a *agent, e *entry, d time.Duration) {
	sim.cuts.Store(linkKey(a.name, e.name), time.Now().Add(d))
}

func (sim *simulation) cutRemaining(a *agent, e *entry) time.Duration {
	until, ok := sim.cuts.Load(linkKey(a.name, e.name))
	if !ok {
		return 0
	}
	return time.Until(until.(time.Time))
}

// dial connects the agent to an entry, and reconnects whenever the link has ended and
// both processes run.
func (a *agent) dial(e *entry) {
	for !a.sim.finished.Load() {
		agentNumber, agentAlive, agentPause := a.state()
		entryNumber, entryAlive, entryPause := e.state()
		if agentAlive && entryAlive && agentPause <= 0 && entryPause <= 0 && a.sim.cutRemaining(a, e) <= 0 && a.manager.IsReady() {
			a.link(e, agentNumber, entryNumber)
		}
		time.Sleep(redialInterval)
	}
}

// link serves one link until it breaks or one of the processes ends.
func (a *agent) link(e *entry, agentNumber, entryNumber int) {
	ours, relayA := net.Pipe()
	relayB, theirs := net.Pipe()
	closeAll := func() {
		for _, c := range []net.Conn{ours, relayA, relayB, theirs} {
			_ = c.Close()
		}
	}
	defer closeAll()
	a.mu.Lock()
	agentDied, manager, sameAgent := a.died, a.manager, a.number == agentNumber
	a.mu.Unlock()
	e.mu.Lock()
	entryDied, scheduler, sameEntry := e.died, e.scheduler, e.number == entryNumber
	e.mu.Unlock()
	if !sameAgent || !sameEntry {
		return
	}
	broken := make(chan struct{})
	defer close(broken)
	go func() {
		select {
		case <-agentDied:
		case <-entryDied:
		case <-broken:
		}
		closeAll()
	}()
	go a.relay(e, relayA, relayB)
	go a.relay(e, relayB, relayA)
	go e.serve(scheduler, theirs, entryNumber)
	a.serve(manager, e, ours, agentNumber)
}

// relay copies one direction of a link. It waits while the link is cut or one of the
// processes is paused. Data is lost only if it is in transit when the link ends.
func (a *agent) relay(e *entry, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		for {
			_, _, agentPause := a.state()
			_, _, entryPause := e.state()
			wait := max(agentPause, entryPause, a.sim.cutRemaining(a, e))
			if wait <= 0 || a.sim.finished.Load() {
				break
			}
			time.Sleep(min(wait, 50*time.Millisecond))
		}
		time.Sleep(time.Millisecond)
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// serve runs the agent's side of a link.
func (a *agent) serve(manager *runs.Manager, e *entry, c net.Conn, number int) {
	var incarnation atomic.Uint64
	link := peer.NewLink(c, func(f *peer.Frame) {
		if id := incarnation.Load(); id != 0 {
			manager.Stamp(id, f)
		}
	})
	defer link.Close()
	f, err := link.Receive()
	if err != nil || f.Hello == nil || !a.waitRunnable(number) {
		return
	}
	id := f.Hello.Incarnation
	incarnation.Store(id)
	manager.Connect(f.Hello, e.name, link)
	for err == nil && a.waitRunnable(number) {
		manager.Receive(id, link, f)
		f, err = link.Receive()
	}
	if err == nil {
		err = io.EOF
	}
	manager.Disconnect(id, link, err)
}

// serve runs the entry's side of a link.
func (e *entry) serve(s *scheduling.Scheduler, c net.Conn, number int) {
	var name atomic.Pointer[string]
	link := peer.NewLink(c, func(f *peer.Frame) {
		if n := name.Load(); n != nil {
			s.Stamp(*n, f)
		}
	})
	defer link.Close()
	link.Send(peer.Frame{Hello: &peer.Hello{Name: e.name, Incarnation: uint64(number)<<32 | uint64(len(e.name))<<8 | uint64(e.name[len(e.name)-1])}})
	f, err := link.Receive()
	if err != nil || f.Hello == nil || !e.waitRunnable(number) {
		return
	}
	agent := f.Hello.Name
	s.Connect(f.Hello, link)
	name.Store(&agent)
	for err == nil && e.waitRunnable(number) {
		s.Receive(agent, link, f)
		f, err = link.Receive()
	}
	if err == nil {
		err = io.EOF
	}
	s.Disconnect(agent, link, err)
}

// call simulates a caller. It submits a job to an entry, and to the next one after
// callerRetry if the connection breaks or the job did not finish. Each third caller also does so
// after requestTimeout without an answer.
func (sim *simulation) call(id string, tasks, first int) {
	deadline := time.Now().Add(callerTimeout)
	patience := callerTimeout
	if first%3 == 0 {
		patience = requestTimeout
	}
	for try := first; time.Now().Before(deadline); try++ {
		r := &request{
			sim: sim, entry: sim.entries[try%len(sim.entries)], queue: sim.queues[first%queues], id: id, tasks: tasks,
			timeout: min(patience, time.Until(deadline)), left: make(chan struct{}),
		}
		if r.send() {
			return
		}
		time.Sleep(callerRetry)
	}
}

// request is one request of a caller, sent to one entry.
type request struct {
	sim   *simulation
	entry *entry
	queue *policy.Queue
	id    string
	tasks int
	// timeout is how long the caller waits. The entry counts it from when it reads the request.
	timeout time.Duration
	// left is closed once the caller no longer waits.
	left chan struct{}
}

// send sends the request and waits. It reports whether the caller has a final answer.
func (r *request) send() bool {
	number, alive, _ := r.entry.state()
	if !alive {
		return false
	}
	r.entry.mu.Lock()
	died, scheduler, same := r.entry.died, r.entry.scheduler, r.entry.number == number
	r.entry.mu.Unlock()
	if !same {
		return false
	}
	defer close(r.left)
	answered := make(chan scheduling.Answer, 1)
	go r.read(number, scheduler, answered)
	select {
	case a := <-answered:
		return a.State != unfinished
	case <-died:
		return false
	case <-time.After(r.timeout):
		return false
	}
}

// read submits the request once the entry is not paused, also if the caller has left meanwhile,
// and withdraws it when the entry notices that the caller has left.
func (r *request) read(number int, s *scheduling.Scheduler, answered chan<- scheduling.Answer) {
	_, _, pauseLeft := r.entry.state()
	if !r.entry.waitRunnable(number) {
		return
	}
	if pauseLeft > 0 {
		time.Sleep(r.sim.checker.runTime(task.Key{Job: r.id}) % maxBacklogTime)
	}
	r.sim.checker.submitted(r.id)
	now := time.Now()
	answer, cancel := s.Submit(&task.Job{
		ID:       r.id,
		Queue:    r.queue.Name,
		Steps:    []task.Step{{Count: r.tasks, Need: task.Resources{CPU: 1000}, Estimate: 300 * time.Millisecond}},
		Arrived:  now,
		Deadline: now.Add(r.timeout),
	}, r.queue, r.isConnected)
	select {
	case a := <-answer:
		r.sim.checker.answered(r.id, a)
		answered <- a
	case <-r.left:
		time.Sleep(disconnectInterval)
		if r.entry.waitRunnable(number) {
			cancel()
		}
	}
}

// isConnected reports whether the caller still waits.
func (r *request) isConnected() bool {
	select {
	case <-r.left:
		return false
	default:
		return true
	}
}
