// Package loadreplay replays a load in virtual time. It runs the production schedulers of
// some entries and the production run managers of some agents, connected by links with a
// delay, against simulated targets. A seed gives the same load to each policy that is
// compared.
package loadreplay

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
	"github.com/rosemarybay/rosemarybay/internal/process/scheduler"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

// setup describes a fleet and the load on it.
type setup struct {
	kinds   []kind
	entries int
	// linkDelay is the one-way delay between entries and agents.
	linkDelay time.Duration
	// speeds has one element for each target.
	speeds []float64
	// load is the work that arrives, as a share of the capacity of all targets.
	load   float64
	length time.Duration
	seed   uint64
	// killers, if set, adds jobs that crash their targets.
	killers *killers
	// targetCPU is the capacity of a target in thousandths of a core; 0 means targetCPU.
	targetCPU int64
	// slowedTogether are two kinds whose tasks run slowedBy times as long if one of the other kind is
	// at the target when they start, until slowedUntil; a slowedBy of 0 means that none are.
	slowedTogether [2]string
	slowedBy       float64
	slowedUntil    time.Duration
	// interference is that of scheduler.Options and runs.Options.
	interference bool
	// targetSpeeds, lateAnswers and startWait are those of scheduler.Options.
	targetSpeeds, lateAnswers bool
	startWait                 time.Duration
	// shrinks, if set, lets targets lose a part of their capacity for a while.
	shrinks *shrinks
}

// shrinks describes targets whose capacity shrinks and grows again.
type shrinks struct {
	targets int
	// capacity is what each of them is left with, in thousandths of a core.
	capacity int64
	from, to time.Duration
}

const targetCPU = 32_000

// restartTime is how long a crashed target takes to come back.
const restartTime = 3 * time.Second

// callerRetry is the delay before a caller submits its job again, at the next entry, after
// an answer that it did not end.
const callerRetry = 1300 * time.Millisecond

// overloaded is a fleet that has lost a part of its targets.
func overloaded(load float64, seed uint64) setup {
	return setup{
		kinds: desk, entries: 3, linkDelay: time.Millisecond,
		speeds: []float64{0.8, 1, 1.25, 0.8, 1, 1.25, 1},
		load:   load, length: 15 * time.Second, seed: seed,
	}
}

func (c *setup) cpuOfTarget() int64 { return cmp.Or(c.targetCPU, targetCPU) }

// tally counts the jobs of one kind by outcome.
type tally struct {
	inTime, late, refused, other int
	// doomed counts the jobs with a task that crashes its targets; they are not counted
	// elsewhere.
	doomed int
}

func (t tally) all() int { return t.inTime + t.late + t.refused + t.other }

func (t tally) servedShare() float64 { return float64(t.inTime+t.late) / float64(max(t.all(), 1)) }

func (t tally) inTimeShare() float64 { return float64(t.inTime) / float64(max(t.all(), 1)) }

func (t tally) String() string {
	return fmt.Sprintf("%d in time, %d late, %d refused, %d other", t.inTime, t.late, t.refused, t.other)
}

// result is the outcome of a replay.
type result struct {
	byKind map[string]tally
	// refusedStarts counts the starts that agents refused for lack of capacity.
	refusedStarts int64
	// wasted is the work of stopped runs, in core seconds.
	wasted float64
	// inTimeWork is the share of the submitted work whose job ended in time.
	inTimeWork float64
	// crashes is the number of crashes of targets, lostRuns that of the runs on them, and
	// mostCrashes the highest number of crashes by one task.
	crashes, lostRuns, mostCrashes int
	// sentStarts counts the starts that entries sent.
	sentStarts int64
	// learned and forgotten are the numbers of pairs of kinds that entries began and ceased to keep apart.
	learned, forgotten int64
	// overCapacity is the number of starts over a capacity that a target had announced.
	overCapacity int
}

// replay runs a load against a fleet.
func replay(t *testing.T, c setup) (r result) {
	synctest.Test(t, func(t *testing.T) {
		var capacity float64
		for _, speed := range c.speeds {
			capacity += float64(c.cpuOfTarget()) * speed
		}
		w := newWorkload(c.kinds, c.seed, c.load*capacity, c.length)
		w.slowedTogether, w.slowedBy, w.slowedUntil = c.slowedTogether, c.slowedBy, time.Now().Add(c.slowedUntil)
		if c.killers != nil {
			w.addKillers(*c.killers, c.seed)
		}
		f := newFleet(c, w)
		time.Sleep(500 * time.Millisecond)
		if c.shrinks != nil {
			go f.shrink(*c.shrinks)
		}
		r = f.play(w)
		f.close()
	})
	return r
}

// fleet holds the processes of a replay.
type fleet struct {
	entries  []*scheduler.Scheduler
	targets  []*target
	counters *metrics.Counters
	done     chan struct{}
	links    []*peer.Link
	mu       sync.Mutex
}

func newFleet(c setup, w *workload) *fleet {
	f := &fleet{done: make(chan struct{}), counters: metrics.New()}
	view := &policy.View{}
	view.Apply(&policy.Snapshot{Version: 1, Queues: w.queues})
	var jitter atomic.Uint64
	for i := range c.entries {
		s := scheduler.New(scheduler.Options{
			DataCentre:  "dc",
			Log:         replayLog(fmt.Sprint("entry-", i+1)),
			Counters:    f.counters,
			View:        view,
			TargetLease: time.Second,
			// A fixed sequence that is spread over [0, 1).
			Random:        func() float64 { return float64(jitter.Add(618_033_989)%1_000_000_000) / 1e9 },
			OnNewerPolicy: func(*peer.Policy) {},
			Entries:       func() int { return c.entries },
			TargetSpeeds:  c.targetSpeeds,
			LateAnswers:   c.lateAnswers,
			StartWait:     c.startWait,
			Interference:  c.interference,
		})
		f.entries = append(f.entries, s)
		go s.Run(f.done)
	}
	for i, speed := range c.speeds {
		f.addTarget(i, newTarget(w, c.cpuOfTarget(), speed), c)
	}
	return f
}

// replayLog returns the log of a process, which is written only if -replay.log is set.
func replayLog(process string) zerolog.Logger {
	if !*reportLog {
		return zerolog.Nop()
	}
	return zerolog.New(os.Stdout).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Time("time", time.Now())
	})).With().Str("process", process).Logger()
}

// addTarget starts the agent of a target and links it with all entries.
func (f *fleet) addTarget(index int, t *target, c setup) {
	f.targets = append(f.targets, t)
	name := fmt.Sprintf("agent-%d", index)
	current := t
	m := runs.New(runs.Options{
		Name: name, Incarnation: uint64(index + 1), DataCentre: "dc", Log: replayLog(name), Counters: f.counters,
		TargetLease: time.Second, Interference: c.interference,
		Dial: func(runs.Announcement) runs.TargetClient { return current },
	})
	incarnation := int64(0)
	var announce func(*target)
	announce = func(next *target) {
		incarnation++
		current = next
		next.onCrash = func() {
			time.AfterFunc(restartTime, func() {
				if !f.closed() {
					announce(newTarget(t.workload, t.capacity, t.speed))
				}
			})
		}
		m.Announce(runs.Announcement{
			ID: name, Incarnation: incarnation, Sequence: 1, Pool: "p", DataCentre: "dc",
			Capacity: task.Resources{CPU: t.capacity},
		})
	}
	announce(t)
	sequence := uint64(1)
	t.announce = func(capacity int64) {
		sequence++
		t.setCapacity(capacity)
		m.Announce(runs.Announcement{
			ID: name, Incarnation: 1, Sequence: sequence, Pool: "p", DataCentre: "dc", Capacity: task.Resources{CPU: capacity},
		})
	}
	go m.Run(f.done)
	time.Sleep(5 * time.Millisecond)
	for i, s := range f.entries {
		f.link(m, s, name, uint64(i+1), c.linkDelay)
	}
}

// shrink changes the capacity of some targets, and back.
func (f *fleet) shrink(s shrinks) {
	time.Sleep(s.from)
	for _, t := range f.targets[:s.targets] {
		t.announce(s.capacity)
	}
	time.Sleep(s.to - s.from)
	for _, t := range f.targets[:s.targets] {
		t.announce(targetCPU)
	}
}

// link connects an agent and an entry.
func (f *fleet) link(m *runs.Manager, s *scheduler.Scheduler, agent string, entry uint64, delay time.Duration) {
	agentSide, a := net.Pipe()
	b, entrySide := net.Pipe()
	go forward(a, b, delay)
	go forward(b, a, delay)
	agentLink := peer.NewLink(agentSide, func(frame *peer.Frame) { m.Stamp(entry, frame) })
	entryLink := peer.NewLink(entrySide, func(frame *peer.Frame) { s.Stamp(agent, frame) })
	f.links = append(f.links, agentLink, entryLink)
	s.Connect(&peer.Hello{Name: agent, Incarnation: 1}, entryLink)
	m.Connect(&peer.Hello{Name: fmt.Sprint("entry-", entry), Incarnation: entry}, fmt.Sprint("entry:", entry), agentLink)
	go func() {
		for frame, err := agentLink.Receive(); err == nil; frame, err = agentLink.Receive() {
			m.Receive(entry, agentLink, frame)
		}
	}()
	go func() {
		for frame, err := entryLink.Receive(); err == nil; frame, err = entryLink.Receive() {
			s.Receive(agent, entryLink, frame)
		}
	}()
}

// delayed is a piece of a stream that is due at a time.
type delayed struct {
	due  time.Time
	data []byte
}

// forward copies one direction of a link with a delay.
func forward(from, to net.Conn, delay time.Duration) {
	const maxInTransit = 10_000
	pieces := make(chan delayed, maxInTransit)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if _, err := to.Write(p.data); err != nil {
				_ = from.Close()
			}
		}
		_ = to.Close()
	}()
	defer close(pieces)
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		pieces <- delayed{due: time.Now().Add(delay), data: append([]byte(nil), buffer[:n]...)}
	}
}

// play submits all arrivals, each to one entry, and waits for the answers.
func (f *fleet) play(w *workload) result {
	r := result{byKind: make(map[string]tally)}
	start := time.Now()
	var all sync.WaitGroup
	var work, inTimeWork float64
	for i, a := range w.arrivals {
		all.Go(func() {
			time.Sleep(time.Until(start.Add(a.at)))
			state, took := f.call(w, a, i)
			f.mu.Lock()
			defer f.mu.Unlock()
			var jobWork float64
			for n := range a.job.Steps[0].Count {
				jobWork += float64(a.job.Steps[0].Need.CPU) * w.work(task.Key{Job: a.job.ID, Index: n}).Seconds()
			}
			work += jobWork
			t := r.byKind[a.kind.name]
			switch {
			case w.isDoomed(&a.job):
				t.doomed++
			case state == scheduler.StateComplete && took <= a.objective():
				t.inTime++
				inTimeWork += jobWork
			case state == scheduler.StateComplete:
				t.late++
			case state == scheduler.StateRefused:
				t.refused++
			default:
				t.other++
			}
			r.byKind[a.kind.name] = t
		})
	}
	all.Wait()
	r.inTimeWork = inTimeWork / work
	for _, t := range f.targets {
		r.wasted += t.wastedCPU / 1000
		r.overCapacity += t.overCapacity
	}
	for _, n := range w.crashesBy {
		r.crashes += n
		r.mostCrashes = max(r.mostCrashes, n)
	}
	r.lostRuns = w.lostRuns
	r.learned = f.counters.Counter("interference_learned").Count()
	r.forgotten = f.counters.Counter("interference_forgotten").Count()
	r.sentStarts = f.counters.Counter("attempts_sent").Count()
	r.refusedStarts = f.counters.Counter("starts_refused_room").Count()
	return r
}

// call submits a job until it has ended or its caller's patience does, each time at another
// entry. It returns the last state and the time from the first submission.
func (f *fleet) call(w *workload, a *arrival, first int) (scheduler.State, time.Duration) {
	begun := time.Now()
	deadline := begun.Add(patience + 4*a.work)
	for try := first; ; try++ {
		state := f.submit(w, a, deadline, f.entries[try%len(f.entries)])
		if state != scheduler.StateUnfinished || time.Until(deadline) < callerRetry {
			return state, time.Since(begun)
		}
		time.Sleep(callerRetry)
	}
}

// submit returns the state of a job's answer.
func (f *fleet) submit(w *workload, a *arrival, deadline time.Time, entry *scheduler.Scheduler) scheduler.State {
	job := a.job
	job.Arrived = time.Now()
	job.Deadline = deadline
	answered, cancel := entry.Submit(&job, w.queues[a.kind.name], func() bool { return true })
	select {
	case answer := <-answered:
		return answer.State
	case <-time.After(time.Until(job.Deadline)):
		cancel()
		return scheduler.StateAbandoned
	}
}

// closed reports whether close has been called.
func (f *fleet) closed() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// close ends all processes, and waits until their timers have expired.
func (f *fleet) close() {
	close(f.done)
	for _, l := range f.links {
		l.Close()
	}
	time.Sleep(time.Minute)
}
