package scheduler

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

const (
	testLease = 300 * time.Millisecond
	// reportDelay is the network delay of a report: in a synctest bubble nothing else
	// takes time.
	reportDelay = time.Millisecond
)

// fakeAgent is an agent whose responses are given by the test.
type fakeAgent struct {
	t       *testing.T
	name    string
	cluster *testCluster
	// incarnation is that of this process of the agent.
	incarnation uint64
	dataCentre  string
	link        *peer.Link
	starts      chan peer.Start
	stops       chan task.Attempt

	mu       sync.Mutex
	accepted uint64
	number   uint64
	free     task.Resources
	claims   []peer.Claim
	// exclusiveJob is the job that the target is kept for.
	exclusiveJob string
	// crashes is the number of reports of crashes received.
	crashes int
	// epoch is the start of the agent's clock, echo the latest time of it that the entry echoed.
	epoch time.Time
	echo  int64
	// cancelled counts how often each cancelled job was received.
	cancelled map[string]int
	// policy is the latest policy received.
	policy *peer.Policy
	// others is the demand that the agent reports, received that of the entry.
	others, received task.Demand
}

func (a *fakeAgent) setDemand(d task.Demand) {
	a.mu.Lock()
	a.others = d
	a.mu.Unlock()
	a.link.Send(peer.Frame{})
}

func (a *fakeAgent) crashCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crashes
}

// clock returns the time that the agent's frames carry.
func (a *fakeAgent) clock() time.Duration { return time.Since(a.epoch) }

func (a *fakeAgent) echoed() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.echo)
}

func (a *fakeAgent) isOut(dataCentre string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.policy != nil && slices.Contains(a.policy.Out, dataCentre)
}

func (a *fakeAgent) demand() task.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received
}

// testCluster is a scheduler with fake agents.
type testCluster struct {
	t         *testing.T
	scheduler *Scheduler
	view      *policy.View
	queue     *policy.Queue
	// processes counts the processes of agents.
	processes uint64
}

func newTestCluster(t *testing.T) *testCluster {
	tc := &testCluster{t: t, view: &policy.View{}}
	tc.queue = &policy.Queue{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.6, TargetLatency: 60 * time.Millisecond, Timeout: time.Second}
	tc.view.Apply(&policy.Snapshot{Version: 1, Queues: map[string]*policy.Queue{"q": tc.queue}})
	tc.scheduler = New(Options{
		Log:           zerolog.Nop(),
		Counters:      metrics.New(),
		View:          tc.view,
		TargetLease:   testLease,
		Random:        func() float64 { return 0 },
		Entries:       func() int { return 1 },
		OnNewerPolicy: func(*peer.Policy) {},
	})
	// The sleep uses the bubble's fake clock, so goroutines still sleeping at the end
	// can finish.
	done := make(chan struct{})
	t.Cleanup(func() {
		close(done)
		time.Sleep(time.Minute)
	})
	go tc.scheduler.Run(done)
	return tc
}

func (tc *testCluster) agent(name string, runs ...task.Attempt) *fakeAgent {
	return tc.agentIn("dc1", name, runs...)
}

func (tc *testCluster) agentIn(dataCentre, name string, runs ...task.Attempt) *fakeAgent {
	return tc.agentWithClock(dataCentre, name, time.Unix(0, 0), runs...)
}

// agentWithClock starts a process of an agent whose clock counts from epoch, and connects it.
func (tc *testCluster) agentWithClock(dataCentre, name string, epoch time.Time, runs ...task.Attempt) *fakeAgent {
	tc.processes++
	a := &fakeAgent{
		t: tc.t, name: name, cluster: tc, incarnation: tc.processes, dataCentre: dataCentre, epoch: epoch,
		starts: make(chan peer.Start, 100),
		stops:  make(chan task.Attempt, 100),
		free:   task.Resources{CPU: 8000},

		cancelled: make(map[string]int),
	}
	a.connect(runs...)
	return a
}

// connect opens a link of this process of the agent, which lists runs.
func (a *fakeAgent) connect(runs ...task.Attempt) {
	tc := a.cluster
	here, there := net.Pipe()
	link := peer.NewLink(here, func(f *peer.Frame) { tc.scheduler.Stamp(a.name, f) })
	a.mu.Lock()
	a.accepted = 0
	a.mu.Unlock()
	a.link = peer.NewLink(there, func(f *peer.Frame) {
		a.mu.Lock()
		defer a.mu.Unlock()
		f.Accepted = a.accepted
		f.Room = &peer.Room{Free: a.free, Demand: a.others, ExclusiveJob: a.exclusiveJob}
		f.Sent = int64(a.clock())
	})
	tc.t.Cleanup(a.link.Close)
	tc.t.Cleanup(link.Close)
	go a.receive(a.link)
	hello := &peer.Hello{Name: a.name, Incarnation: a.incarnation, Runs: runs}
	tc.scheduler.Connect(hello, link)
	go func() {
		for {
			f, err := link.Receive()
			if err != nil {
				tc.scheduler.Disconnect(a.name, link, err)
				return
			}
			tc.scheduler.Receive(a.name, link, f)
		}
	}()
	a.link.Send(peer.Frame{Hello: hello, Target: &peer.Target{
		ID: a.name, Incarnation: 1, Pool: "p", DataCentre: a.dataCentre, Available: true,
		Capacity: task.Resources{CPU: 8000}, Labels: []string{a.name},
	}})
	for !tc.hasUsableTarget(a.name) {
		time.Sleep(time.Millisecond)
	}
}

// relink replaces the link of this process of the agent, which now lists runs.
func (a *fakeAgent) relink(runs ...task.Attempt) {
	a.link.Close()
	time.Sleep(reportDelay)
	a.connect(runs...)
}

func (tc *testCluster) hasUsableTarget(name string) bool {
	tc.scheduler.mu.Lock()
	defer tc.scheduler.mu.Unlock()
	t := tc.scheduler.targets[name]
	return t != nil && t.usable(tc.scheduler.now())
}

func (a *fakeAgent) receive(link *peer.Link) {
	for {
		f, err := link.Receive()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.accepted += uint64(len(f.Starts))
		a.received, a.echo = f.Demand, f.Echo
		a.crashes += len(f.Crashes)
		for _, id := range f.CancelJobs {
			a.cancelled[id]++
		}
		if f.Policy != nil {
			a.policy = f.Policy
		}
		if f.Claims != nil {
			a.claims = append(a.claims, f.Claims.Attempts...)
		}
		for _, s := range f.Starts {
			a.free = a.free.Sub(s.Need)
		}
		a.mu.Unlock()
		for _, s := range f.Starts {
			a.starts <- s
		}
		for _, s := range f.Stops {
			a.stops <- s
		}
	}
}

func (a *fakeAgent) report(at task.Attempt, need task.Resources, outcome peer.Outcome, refusal peer.Refusal) {
	time.Sleep(reportDelay)
	a.mu.Lock()
	a.number++
	number := a.number
	if outcome != peer.OutcomeStarted {
		a.free = a.free.Add(need)
	}
	a.mu.Unlock()
	a.link.Send(peer.Frame{Results: []peer.Result{{Number: number, Attempt: at, Outcome: outcome, Refusal: refusal}}})
}

func (a *fakeAgent) nextStart() peer.Start {
	a.t.Helper()
	select {
	case s := <-a.starts:
		return s
	case <-time.After(2 * time.Second):
		a.t.Fatal("no task was started")
		return peer.Start{}
	}
}

func (a *fakeAgent) done(s peer.Start) {
	a.report(s.Attempt, s.Need, peer.OutcomeStarted, "")
	a.report(s.Attempt, s.Need, peer.OutcomeDone, "")
}

func (tc *testCluster) job(id string, tasks int, cpu int64) *task.Job {
	return &task.Job{
		ID: id, Queue: "q",
		Steps:    []task.Step{{Count: tasks, Need: task.Resources{CPU: cpu}, Estimate: 100 * time.Millisecond}},
		Arrived:  time.Now(),
		Deadline: time.Now().Add(2 * time.Second),
	}
}

func (tc *testCluster) submit(j *task.Job) (<-chan Answer, func()) {
	return tc.scheduler.Submit(j, tc.queue, connected)
}

// connected is the state of the connection of a caller that waits for its answer.
func connected() bool { return true }

func await(t *testing.T, answered <-chan Answer) Answer {
	t.Helper()
	select {
	case a := <-answered:
		return a
	case <-time.After(4 * time.Second):
		t.Fatal("no answer")
		return Answer{}
	}
}
