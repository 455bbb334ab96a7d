// Package model runs the real scheduler of entries and the real keeper of agents in
// virtual time, between targets, links and callers that misbehave by a random schedule,
// and checks what must hold: no two runs of a task at a time, nothing left running, and
// "not run" is true.
package model

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
	"github.com/rosemarybay/rosemarybay/internal/process/scheduler"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

const (
	targetLease = time.Second
	// resend is when a caller whose connection broke, or who was told that its job did
	// not end, asks another entry.
	resend = 1300 * time.Millisecond
	// callerPatience is how long a caller waits.
	callerPatience = 4 * time.Second
	sweepInterval  = 10 * time.Millisecond
	redialInterval = 20 * time.Millisecond
	// unfinished is the answer after which a caller asks again.
	unfinished = scheduler.StateUnfinished
)

// process is what entries and agents have in common: it is killed, started and paused.
type process struct {
	mu     sync.Mutex
	number int // of the present process
	alive  bool
	paused time.Time // until when
	died   chan struct{}
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = time.Now().Add(d)
}

func (p *process) state() (number int, alive bool, rest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.number, p.alive, time.Until(p.paused)
}

// awaken waits until a process is not paused, and reports whether it still lives.
func (p *process) awaken(number int) bool {
	for {
		now, alive, rest := p.state()
		if now != number || !alive {
			return false
		}
		if rest <= 0 {
			return true
		}
		time.Sleep(rest)
	}
}

// agent is an agent with the target beside it.
type agent struct {
	process
	world  *world
	name   string
	keeper *runs.Keeper
	target *target
	born   int64
}

// entry is an entry.
type entry struct {
	process
	world     *world
	name      string
	scheduler *scheduler.Scheduler
}

type world struct {
	ledger  *ledger
	agents  []*agent
	entries []*entry
	over    atomic.Bool
	ids     atomic.Uint64
	cuts    sync.Map // of pairs of names, until when
	queue   *policy.Queue
	view    *policy.View
}

func newWorld(agents, entries int) *world {
	w := &world{ledger: newLedger(), view: &policy.View{}}
	w.queue = &policy.Queue{Name: "q", Pool: "p", MaxAttempts: 3, Stretch: 1.6, TargetLatency: 60 * time.Millisecond, Timeout: callerPatience}
	w.view.Apply(&policy.Snapshot{Version: 1, Queues: map[string]*policy.Queue{"q": w.queue}})
	for i := range agents {
		a := &agent{world: w, name: fmt.Sprintf("agent-%d", i)}
		a.rebirth()
		w.agents = append(w.agents, a)
		a.start()
	}
	for i := range entries {
		e := &entry{world: w, name: fmt.Sprintf("entry-%d", i)}
		w.entries = append(w.entries, e)
		e.start()
	}
	for _, a := range w.agents {
		for _, e := range w.entries {
			go a.dial(e)
		}
	}
	return w
}

// rebirth starts a new lifetime of the target.
func (a *agent) rebirth() {
	if a.target != nil {
		a.target.crash()
	}
	a.born++
	drift := 0.02 * float64(a.born%2)
	a.target = newTarget(a.world.ledger, fmt.Sprintf("%s.%d", a.name, a.born), drift)
	if _, alive, _ := a.state(); alive {
		a.announce()
	}
}

func (a *agent) announce() {
	a.keeper.Announce(runs.Announcement{
		ID:          fmt.Sprintf("%s.%d", a.name, a.born),
		Incarnation: a.born,
		Sequence:    1,
		Pool:        "p",
		DataCentre:  "dc",
		Capacity:    task.Resources{CPU: 8000},
	})
}

func (a *agent) start() {
	number := a.next()
	keeper := runs.New(runs.Options{
		Name:        a.name,
		Incarnation: a.world.ids.Add(1),
		DataCentre:  "dc",
		Log:         zerolog.Nop(),
		Counters:    metrics.New(),
		TargetLease: targetLease,
		Dial:        func(runs.Announcement) runs.Target { return &conn{target: a.target, agent: a, process: number} },
	})
	a.begin(number, func() { a.keeper = keeper })
	a.announce()
	go func() {
		for a.awaken(number) && !a.world.over.Load() {
			keeper.Sweep()
			time.Sleep(sweepInterval)
		}
		// As the process ends, so do its calls of the target.
		done := make(chan struct{})
		close(done)
		keeper.Run(done)
	}()
}

// next returns the number of the next process.
func (p *process) next() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.number + 1
}

// begin starts a process whose parts set puts in place: nobody must reach those of the
// former one by its number.
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
	s := scheduler.New(scheduler.Options{
		DataCentre:  "dc",
		Log:         zerolog.Nop(),
		Counters:    metrics.New(),
		View:        e.world.view,
		TargetLease: targetLease,
		Random:      func() float64 { return 0.5 },
		Behind:      func(*peer.Policy) {},
		Entries:     func() int { return len(e.world.entries) },
	})
	e.begin(number, func() { e.scheduler = s })
	go func() {
		for e.awaken(number) && !e.world.over.Load() {
			s.Sweep()
			time.Sleep(sweepInterval)
		}
	}()
}

func pair(a, e string) string { return a + "/" + e }

func (w *world) cut(a *agent, e *entry, d time.Duration) {
	w.cuts.Store(pair(a.name, e.name), time.Now().Add(d))
}

func (w *world) cutRest(a *agent, e *entry) time.Duration {
	until, ok := w.cuts.Load(pair(a.name, e.name))
	if !ok {
		return 0
	}
	return time.Until(until.(time.Time))
}

// dial keeps a link between an agent and an entry, as the agent's process does.
func (a *agent) dial(e *entry) {
	for !a.world.over.Load() {
		agentNumber, agentLives, agentRest := a.state()
		entryNumber, entryLives, entryRest := e.state()
		if agentLives && entryLives && agentRest <= 0 && entryRest <= 0 && a.world.cutRest(a, e) <= 0 && a.keeper.IsReady() {
			a.link(e, agentNumber, entryNumber)
		}
		time.Sleep(redialInterval)
	}
}

// link serves one link until a side dies or it breaks.
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
	agentDied, keeper, agentLives := a.died, a.keeper, a.number == agentNumber
	a.mu.Unlock()
	e.mu.Lock()
	entryDied, scheduler, entryLives := e.died, e.scheduler, e.number == entryNumber
	e.mu.Unlock()
	if !agentLives || !entryLives {
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
	a.serve(keeper, e, ours, agentNumber)
}

// relay copies one way of a link. It stands still while the link is cut or one of the
// sides is paused; nothing is lost but what is under way when the link ends.
func (a *agent) relay(e *entry, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		for {
			_, _, agentRest := a.state()
			_, _, entryRest := e.state()
			rest := max(agentRest, entryRest, a.world.cutRest(a, e))
			if rest <= 0 || a.world.over.Load() {
				break
			}
			time.Sleep(min(rest, 50*time.Millisecond))
		}
		time.Sleep(time.Millisecond)
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// serve is the agent's side of a link.
func (a *agent) serve(keeper *runs.Keeper, e *entry, c net.Conn, number int) {
	var incarnation atomic.Uint64
	link := peer.NewLink(c, func(f *peer.Frame) {
		if id := incarnation.Load(); id != 0 {
			keeper.Stamp(id, f)
		}
	})
	defer link.Close()
	f, err := link.Receive()
	if err != nil || f.Hello == nil || !a.awaken(number) {
		return
	}
	id := f.Hello.Incarnation
	incarnation.Store(id)
	keeper.Connect(f.Hello, e.name, link)
	for err == nil && a.awaken(number) {
		keeper.Receive(id, f)
		f, err = link.Receive()
	}
	if err == nil {
		err = io.EOF
	}
	keeper.Disconnect(id, link, err)
}

// serve is the entry's side of a link.
func (e *entry) serve(s *scheduler.Scheduler, c net.Conn, number int) {
	var name atomic.Pointer[string]
	link := peer.NewLink(c, func(f *peer.Frame) {
		if n := name.Load(); n != nil {
			s.Stamp(*n, f)
		}
	})
	defer link.Close()
	link.Send(peer.Frame{Hello: &peer.Hello{Name: e.name, Incarnation: uint64(number)<<32 | uint64(len(e.name))<<8 | uint64(e.name[len(e.name)-1])}})
	f, err := link.Receive()
	if err != nil || f.Hello == nil || !e.awaken(number) {
		return
	}
	agent := f.Hello.Name
	s.Connect(f.Hello, link)
	name.Store(&agent)
	for err == nil && e.awaken(number) {
		s.Receive(agent, link, f)
		f, err = link.Receive()
	}
	if err == nil {
		err = io.EOF
	}
	s.Disconnect(agent, link, err)
}

// call is a caller: it asks an entry, and another one when its connection breaks or it
// is told that its job did not end.
func (w *world) call(id string, tasks, first int) {
	deadline := time.Now().Add(callerPatience)
	for try := first; time.Now().Before(deadline); try++ {
		e := w.entries[try%len(w.entries)]
		if w.ask(e, id, tasks, deadline) {
			return
		}
		time.Sleep(resend)
	}
}

// ask sends a job to an entry, and reports whether the caller has its final answer.
func (w *world) ask(e *entry, id string, tasks int, deadline time.Time) bool {
	number, alive, _ := e.state()
	if !alive || !e.awaken(number) {
		return false
	}
	e.mu.Lock()
	died, scheduler, lives := e.died, e.scheduler, e.number == number
	e.mu.Unlock()
	if !lives {
		return false
	}
	w.ledger.asked(id)
	answered, cancel := scheduler.Submit(&task.Job{
		ID:       id,
		Queue:    "q",
		Steps:    []task.Step{{Count: tasks, Need: task.Resources{CPU: 1000}, Estimate: 300 * time.Millisecond}},
		Arrived:  time.Now(),
		Deadline: deadline,
	}, w.queue)
	select {
	case a := <-answered:
		w.ledger.answered(id, a)
		return a.State != unfinished
	case <-died:
		return false
	case <-time.After(time.Until(deadline)):
		cancel()
		return true
	}
}
