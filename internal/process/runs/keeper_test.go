package runs

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

var errSilent = errors.New("no answer")

// fakeTarget behaves as a target does towards orders: it fences them, keeps runs
// under a lease and lists ends. Orders may be carried out without an answer, or
// much later.
type fakeTarget struct {
	mu      sync.Mutex
	token   uint64
	running map[task.Attempt]bool
	highest map[task.Key]uint64
	ended   []Ended
	number  uint64
	// mute answers nothing; loseStarts is the number of starts that are carried
	// out, or held back for deliver, without an answer.
	mute       bool
	loseStarts int
	holdBack   bool
	held       []func()
	starts     []task.Attempt
	renewals   int
	// calls counts the orders and looks that came while mute.
	calls int
	// reborn is set while another lifetime answers looks than the one that is
	// meant, rebornStarts while it carries out starts.
	reborn, rebornStarts bool
}

func newFakeTarget() *fakeTarget {
	return &fakeTarget{running: make(map[task.Attempt]bool), highest: make(map[task.Key]uint64)}
}

func (f *fakeTarget) fenced(token uint64) bool {
	if token < f.token {
		return true
	}
	f.token = token
	return false
}

func (f *fakeTarget) Start(_ context.Context, token uint64, s peer.Start) (Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mute {
		f.calls++
		return 0, errSilent
	}
	if f.loseStarts > 0 {
		f.loseStarts--
		if f.holdBack {
			f.held = append(f.held, func() { f.start(token, s) })
		} else {
			f.start(token, s)
		}
		return 0, errSilent
	}
	answer := f.start(token, s)
	if f.rebornStarts && answer == AnswerDone {
		return AnswerDoneByOther, nil
	}
	return answer, nil
}

func (f *fakeTarget) start(token uint64, s peer.Start) Answer {
	if f.fenced(token) {
		return AnswerFenced
	}
	if f.running[s.Attempt] {
		return AnswerDone
	}
	if f.highest[s.Attempt.Key] >= s.Attempt.Run {
		return AnswerStaleRun
	}
	f.highest[s.Attempt.Key] = s.Attempt.Run
	f.running[s.Attempt] = true
	f.starts = append(f.starts, s.Attempt)
	return AnswerDone
}

func (f *fakeTarget) Stop(_ context.Context, token uint64, a task.Attempt) (Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mute {
		f.calls++
		return 0, errSilent
	}
	if f.fenced(token) {
		return AnswerFenced, nil
	}
	f.highest[a.Key] = max(f.highest[a.Key], a.Run)
	if f.running[a] {
		f.endLocked(a, peer.OutcomeStopped)
	}
	return AnswerDone, nil
}

func (f *fakeTarget) Look(ctx context.Context, look Look) (Report, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mute {
		f.calls++
		return Report{}, errSilent
	}
	if f.fenced(look.Token) {
		return Report{Answer: AnswerFenced}, nil
	}
	if f.reborn {
		return Report{Answer: AnswerDoneByOther}, nil
	}
	if look.Renew {
		f.renewals++
	}
	report := Report{}
	for a := range f.running {
		report.Running = append(report.Running, Running{Attempt: a, Percent: 50})
	}
	for _, e := range f.ended {
		if e.Number > look.LastSeen {
			report.Ended = append(report.Ended, e)
		}
	}
	return report, ctx.Err()
}

func (f *fakeTarget) Close() {}

func (f *fakeTarget) endLocked(a task.Attempt, outcome peer.Outcome) {
	delete(f.running, a)
	f.number++
	f.ended = append(f.ended, Ended{Number: f.number, Attempt: a, Outcome: outcome})
}

func (f *fakeTarget) end(a task.Attempt, outcome peer.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endLocked(a, outcome)
}

func (f *fakeTarget) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeTarget) startsOf(a task.Attempt) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.starts {
		if s == a {
			n++
		}
	}
	return n
}

const testLease = 500 * time.Millisecond

// resend is when a caller without an answer asks again, at any entry: nothing of the
// first try may run then.
const resend = 1300 * time.Millisecond

var testCapacity = task.Resources{CPU: 8000, MemoryMB: 1000}

// suspectProbe is long enough for a probe of a target that has failed once to be due.
const suspectProbe = 70 * time.Millisecond

// world is a keeper between a fake target and one entry.
type world struct {
	t      *testing.T
	keeper *Keeper
	target *fakeTarget
	entry  *peer.Link
	frames chan *peer.Frame
	// silent stops the entry's answers.
	silent chan struct{}
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, target: newFakeTarget(), frames: make(chan *peer.Frame, 1000), silent: make(chan struct{})}
	w.keeper = New(Options{
		Name:        "agent",
		Log:         zerolog.Nop(),
		Counters:    metrics.New(),
		Dial:        func(Announcement) Target { return w.target },
		TargetLease: testLease,
	})
	w.run()
	w.announce(Announcement{Incarnation: 1, Sequence: 1})
	w.connect(7)
	w.waitFor(func(f *peer.Frame) bool { return f.Target != nil && f.Target.Available })
	return w
}

// run starts the keeper and ends it with the test. Time is that of the test's bubble,
// so what still sleeps then has time to end.
func (w *world) run() {
	done := make(chan struct{})
	w.t.Cleanup(func() {
		close(done)
		time.Sleep(time.Minute)
	})
	go w.keeper.Run(done)
}

func (w *world) announce(a Announcement) bool {
	a.ID, a.DataCentre, a.Capacity = "t1", "dc1", testCapacity
	return w.keeper.Announce(a)
}

// connect links an entry that echoes what it hears, as a living one does.
func (w *world) connect(incarnation uint64) {
	here, there := net.Pipe()
	agentLink := peer.NewLink(here, func(f *peer.Frame) { w.keeper.Stamp(incarnation, f) })
	w.keeper.Connect(&peer.Hello{Name: "entry", Incarnation: incarnation}, "entry:1", agentLink)
	go func() {
		defer agentLink.Close()
		for {
			f, err := agentLink.Receive()
			if err != nil {
				w.keeper.Disconnect(incarnation, agentLink, err)
				return
			}
			w.keeper.Receive(incarnation, f)
		}
	}()
	var mu sync.Mutex
	var heard int64
	var taken uint64
	w.entry = peer.NewLink(there, func(f *peer.Frame) {
		mu.Lock()
		defer mu.Unlock()
		f.Echo, f.Taken = heard, taken
	})
	w.t.Cleanup(w.entry.Close)
	entry := w.entry
	go func() {
		for {
			f, err := entry.Receive()
			if err != nil {
				return
			}
			mu.Lock()
			heard = max(heard, f.Sent)
			for _, r := range f.Results {
				taken = max(taken, r.Number)
			}
			mu.Unlock()
			select {
			case <-w.silent:
			default:
				entry.Send(peer.Frame{})
			}
			select {
			case w.frames <- f:
			default: // nobody waits for so many
			}
		}
	}()
}

func (w *world) start(index int, run uint64, need task.Resources) task.Attempt {
	a := task.Attempt{Key: task.Key{Job: "j", Index: index}, Run: run}
	w.entry.Send(peer.Frame{Starts: []peer.Start{{Attempt: a, Need: need, Incarnation: 1, Expected: 100 * time.Millisecond}}})
	return a
}

func (w *world) waitFor(match func(*peer.Frame) bool) *peer.Frame {
	w.t.Helper()
	deadline := time.After(3 * time.Second)
	for {
		select {
		case f := <-w.frames:
			if match(f) {
				return f
			}
		case <-deadline:
			w.t.Fatal("the frame waited for did not come")
		}
	}
}

// outcome waits for the result of an attempt.
func (w *world) outcome(a task.Attempt, outcome peer.Outcome) peer.Result {
	w.t.Helper()
	return w.over(a, outcome)
}

// over waits for the result of an attempt, which must be one of those given.
func (w *world) over(a task.Attempt, outcomes ...peer.Outcome) peer.Result {
	w.t.Helper()
	var found peer.Result
	w.waitFor(func(f *peer.Frame) bool {
		for _, r := range f.Results {
			if r.Attempt == a && r.Outcome != peer.OutcomeStarted {
				found = r
				return true
			}
		}
		return false
	})
	if !slices.Contains(outcomes, found.Outcome) {
		w.t.Fatalf("%v ended as %v (%s), want one of %v", a, found.Outcome, found.Refusal, outcomes)
	}
	return found
}

func (w *world) started(a task.Attempt) {
	w.t.Helper()
	w.waitFor(func(f *peer.Frame) bool {
		return slices.ContainsFunc(f.Results, func(r peer.Result) bool { return r.Attempt == a && r.Outcome == peer.OutcomeStarted })
	})
}

func TestRunEndsOnceAndFreesItsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.start(0, 1, testCapacity)
		w.started(a)
		full := w.start(1, 1, task.Resources{CPU: 1})
		if r := w.outcome(full, peer.OutcomeRefused); r.Refusal != peer.RefusalRoom {
			t.Errorf("refused for %q, want room", r.Refusal)
		}
		w.target.end(a, peer.OutcomeDone)
		w.outcome(a, peer.OutcomeDone)
		w.waitFor(func(f *peer.Frame) bool { return f.Room != nil && f.Room.Free == testCapacity })
	})
}

// An order is carried out and its answer is lost.
func TestUnansweredStartIsNotStartedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.target.set(func() { w.target.loseStarts = 2 })
		a := w.start(0, 1, task.Resources{CPU: 1000})
		w.started(a)
		if n := w.target.startsOf(a); n != 1 {
			t.Errorf("started %d times", n)
		}
	})
}

// No start is ever answered, and each arrives long after the attempt has been
// reported as not run: none of them may start anything.
func TestLateStartIsFencedAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.target.set(func() { w.target.loseStarts, w.target.holdBack = 100, true })
		a := w.start(0, 1, task.Resources{CPU: 1000})
		if r := w.outcome(a, peer.OutcomeRefused); r.Refusal != peer.RefusalUnanswered {
			t.Errorf("refused for %q", r.Refusal)
		}
		w.target.set(func() {
			for _, deliver := range w.target.held {
				deliver()
			}
		})
		if n := w.target.startsOf(a); n != 0 {
			t.Errorf("a late order started the attempt after it was reported as not run")
		}
	})
}

// An entry dies or is cut off: nothing of it may run when its caller asks again.
func TestRunsOfASilentEntryAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.start(0, 1, task.Resources{CPU: 1000})
		w.started(a)
		close(w.silent)
		begun := time.Now()
		w.outcome(a, peer.OutcomeStopped)
		if took := time.Since(begun); took > resend {
			t.Errorf("stopped after %v", took)
		}
	})
}

func TestRunsSurviveABrokenLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.start(0, 1, task.Resources{CPU: 1000})
		w.started(a)
		w.entry.Close()
		w.connect(7)
		f := w.waitFor(func(f *peer.Frame) bool { return f.Hello != nil })
		if !slices.Contains(f.Hello.Runs, a) {
			t.Errorf("hello names the runs %v, want %v", f.Hello.Runs, a)
		}
		time.Sleep(2 * peer.BrokenLinkLease)
		w.target.end(a, peer.OutcomeDone)
		w.outcome(a, peer.OutcomeDone)
	})
}

func TestRunsOfAnEntryThatStaysAwayAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.start(0, 1, task.Resources{CPU: 1000})
		w.started(a)
		w.entry.Close()
		deadline := time.Now().Add(resend)
		for time.Now().Before(deadline) {
			var running bool
			w.target.set(func() { running = w.target.running[a] })
			if !running {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Error("the run goes on without its entry")
	})
}

// The target crashes and is born again under its id: nothing runs there.
func TestNewLifetimeLosesTheRunsOfTheFormer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.start(0, 1, task.Resources{CPU: 1000})
		w.started(a)
		w.target.set(func() { clear(w.target.running) })
		w.announce(Announcement{Incarnation: 2, Sequence: 1})
		w.outcome(a, peer.OutcomeLost)
		if w.announce(Announcement{Incarnation: 1, Sequence: 99}) {
			t.Error("a delayed announcement of the former lifetime is taken")
		}
	})
}

// The target is born again under its id, and a start reaches the new lifetime before
// its first report: found by the soak, seed 107.
func TestStartCarriedOutByALaterLifetimeIsStoppedBeforeItIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.target.set(func() { w.target.rebornStarts, w.target.token = true, 0 })
		a := w.start(0, 1, task.Resources{CPU: 1000})
		w.over(a, peer.OutcomeLost, peer.OutcomeStopped)
		w.target.set(func() {
			if w.target.running[a] || len(w.target.starts) != 1 {
				t.Errorf("running %v after the report, starts %v", w.target.running, w.target.starts)
			}
		})
	})
}

// Clocks were set back before the target was born again: its reports must not be taken
// for those of a past lifetime for ever.
func TestLifetimeWithAnEarlierClockIsTakenOnceItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		if w.announce(Announcement{Incarnation: 0, Sequence: 1}) {
			t.Fatal("a delayed announcement of a past lifetime is taken while the present one answers")
		}
		w.target.set(func() { w.target.reborn = true })
		w.waitFor(func(f *peer.Frame) bool { return f.Target != nil && !f.Target.Available })
		w.target.set(func() { w.target.reborn = false })
		if !w.announce(Announcement{Incarnation: 0, Sequence: 1}) {
			t.Error("the announcement of the lifetime that answers is not taken")
		}
		w.waitFor(func(f *peer.Frame) bool { return f.Target != nil && f.Target.Available })
	})
}

// An order that was given to the former lifetime arrives at the new one.
func TestLateOrderAtANewLifetimeIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.target.set(func() { clear(w.target.running) })
		w.announce(Announcement{Incarnation: 2, Sequence: 1})
		w.waitFor(func(f *peer.Frame) bool { return f.Target != nil && f.Target.Incarnation == 2 && f.Target.Available })
		late := task.Attempt{Key: task.Key{Job: "late"}, Run: 1}
		w.target.set(func() { w.target.running[late] = true })
		for deadline := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
			var running bool
			w.target.set(func() { running = w.target.running[late] })
			if !running {
				return
			}
			if time.Now().After(deadline) {
				t.Fatal("a run that nobody asked for goes on")
			}
		}
	})
}

func TestDrainingTargetGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.announce(Announcement{Incarnation: 1, Sequence: 2, Draining: true})
		a := w.start(0, 1, task.Resources{CPU: 1000})
		if r := w.outcome(a, peer.OutcomeRefused); r.Refusal != peer.RefusalUnavailable {
			t.Errorf("refused for %q", r.Refusal)
		}
		w.announce(Announcement{Incarnation: 1, Sequence: 1})
		b := w.start(1, 1, task.Resources{CPU: 1000})
		w.outcome(b, peer.OutcomeRefused)
	})
}

// An entry that is cut off from the store sends work to a data centre that is
// out of service; another entry has told the agent.
func TestDataCentreOutIsGatedAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.entry.Send(peer.Frame{Policy: &peer.Policy{Revision: 9, Out: []string{"dc1"}}})
		a := w.start(0, 1, task.Resources{CPU: 1000})
		if r := w.outcome(a, peer.OutcomeRefused); r.Refusal != peer.RefusalOut {
			t.Errorf("refused for %q", r.Refusal)
		}
		w.entry.Send(peer.Frame{Policy: &peer.Policy{Revision: 8}})
		b := w.start(1, 1, task.Resources{CPU: 1000})
		if r := w.outcome(b, peer.OutcomeRefused); r.Refusal != peer.RefusalOut {
			t.Errorf("an older policy was taken: %q", r.Refusal)
		}
	})
}

// The target does not answer: its runs are reported as lost only when its lease
// on them is surely over, and nothing renews it meanwhile.
func TestMuteTargetIsNotRenewedAndItsRunsAreLostAfterTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.start(0, 1, task.Resources{CPU: 1000})
		w.started(a)
		w.target.set(func() { w.target.mute = true })
		begun := time.Now()
		w.waitFor(func(f *peer.Frame) bool { return f.Target != nil && !f.Target.Available })
		w.outcome(a, peer.OutcomeLost)
		if took := time.Since(begun); took < testLease {
			t.Errorf("lost after %v, the lease is %v", took, testLease)
		}
	})
}

// A target crashes and its machine resets each connection at once, while the orders of
// twenty tasks are on their way. Each call of it opens a connection.
func TestTargetThatResetsConnectionsIsNotCalledInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.target.set(func() { w.target.mute = true })
		const tasks = 20
		for n := range tasks {
			w.start(n, 1, task.Resources{CPU: 100})
		}
		ended := 0
		w.waitFor(func(f *peer.Frame) bool {
			ended += len(f.Results)
			return ended == tasks
		})
		// The tries of each order, and the looks of one lease.
		const most = tasks*orderTries + 40
		w.target.set(func() {
			if w.target.calls > most {
				t.Errorf("%d calls of a target that is down, want at most %d", w.target.calls, most)
			}
		})
	})
}

// A new process of the agent finds runs at the target: an entry that sent them
// claims them, the others are stopped.
func TestNewProcessKeepsClaimedRunsAndStopsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, target: newFakeTarget(), frames: make(chan *peer.Frame, 1000), silent: make(chan struct{})}
		mine := task.Attempt{Key: task.Key{Job: "mine"}, Run: 3}
		stray := task.Attempt{Key: task.Key{Job: "stray"}, Run: 1}
		ended := task.Attempt{Key: task.Key{Job: "ended"}, Run: 1}
		w.target.running[mine], w.target.running[stray] = true, true
		w.target.endLocked(ended, peer.OutcomeDone)
		w.keeper = New(Options{Log: zerolog.Nop(), Counters: metrics.New(), Dial: func(Announcement) Target { return w.target }, TargetLease: testLease})
		w.run()
		// The clock of the former process was ahead.
		w.target.set(func() { w.target.token = uint64(time.Now().UnixMilli()) + 5000 })
		w.announce(Announcement{Incarnation: 1, Sequence: 1})
		for !w.keeper.IsReady() {
			time.Sleep(time.Millisecond)
		}
		w.connect(7)
		f := w.waitFor(func(f *peer.Frame) bool { return f.Hello != nil })
		if !slices.Contains(f.Hello.Runs, mine) || !slices.Contains(f.Hello.Runs, stray) {
			t.Fatalf("hello names %v", f.Hello.Runs)
		}
		w.entry.Send(peer.Frame{Claims: &peer.Claims{Attempts: []peer.Claim{{Attempt: mine, Need: task.Resources{CPU: 500}}}}})
		time.Sleep(orphanLease + 100*time.Millisecond)
		w.target.set(func() {
			if !w.target.running[mine] || w.target.running[stray] {
				t.Errorf("running after the claim: %v", w.target.running)
			}
		})
	})
}

func TestStopWaitsForRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.start(0, 1, task.Resources{CPU: 1000})
		w.started(a)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		stopped := make(chan struct{})
		go func() {
			w.keeper.Stop(ctx)
			close(stopped)
		}()
		w.waitFor(func(f *peer.Frame) bool { return f.Target != nil && !f.Target.Available })
		b := w.start(1, 1, task.Resources{CPU: 1000})
		w.outcome(b, peer.OutcomeRefused)
		select {
		case <-stopped:
			t.Fatal("stopped with a run in progress")
		case <-time.After(50 * time.Millisecond):
		}
		w.target.end(a, peer.OutcomeDone)
		<-stopped
	})
}

// A target begins to fail all that it starts, at once, so that it is always the
// emptiest: the first failure tells the entries, and the good end of a run from before
// does not take it back.
func TestFirstFailureKeepsWorkAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		older := w.start(0, 1, task.Resources{CPU: 1000})
		w.started(older)
		time.Sleep(5 * time.Millisecond)
		a := w.start(1, 1, task.Resources{CPU: 1000})
		w.started(a)
		w.target.end(a, peer.OutcomeFailed)
		w.waitFor(func(f *peer.Frame) bool { return f.Room != nil && f.Room.Probation })
		w.target.end(older, peer.OutcomeDone)
		f := w.waitFor(func(f *peer.Frame) bool {
			return slices.ContainsFunc(f.Results, func(r peer.Result) bool { return r.Attempt == older && r.Outcome == peer.OutcomeDone })
		})
		if !f.Room.Probation {
			t.Error("a run from before the failure cleared the target")
		}
	})
}

// A target in doubt offers one probe to one entry, not to each of them.
func TestProbeIsOfferedToOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.connect(8)
		a := w.start(0, 1, task.Resources{CPU: 1000})
		w.started(a)
		w.target.end(a, peer.OutcomeFailed)
		w.outcome(a, peer.OutcomeFailed)
		time.Sleep(suspectProbe)
		offers := 0
		w.keeper.mu.Lock()
		for _, o := range w.keeper.owners {
			if w.keeper.roomLocked(o).Probe {
				offers++
			}
		}
		w.keeper.mu.Unlock()
		if offers != 1 {
			t.Errorf("%d entries may send a probe, want 1", offers)
		}
	})
}

// The agent turns from one entry to another: the former one sends nothing new, and is
// let go once what runs for it has ended and it has the result.
func TestRetiredEntryIsLetGoAfterItsLastRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		retired := make(chan string, 1)
		w.keeper.opts.Retired = func(address string) { retired <- address }
		a := w.start(0, 1, task.Resources{CPU: 1000})
		w.started(a)
		w.keeper.Retire("entry:1")
		w.waitFor(func(f *peer.Frame) bool { return f.Target != nil && !f.Target.Available })
		b := w.start(1, 1, task.Resources{CPU: 1000})
		if r := w.outcome(b, peer.OutcomeRefused); r.Refusal != peer.RefusalUnavailable {
			t.Errorf("refused for %q", r.Refusal)
		}
		time.Sleep(time.Second)
		if len(retired) > 0 {
			t.Fatal("let go while a task of it runs")
		}
		w.target.end(a, peer.OutcomeDone)
		w.outcome(a, peer.OutcomeDone)
		if address := <-retired; address != "entry:1" {
			t.Errorf("retired %s", address)
		}
	})
}

// A job is cancelled at an entry that does not hold it and has no link with the one
// that does: the agents pass the word on.
func TestCancelIsPassedOnToTheOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.connect(8)
		w.entry.Send(peer.Frame{CancelJobs: []string{"j"}})
		f := w.waitFor(func(f *peer.Frame) bool { return len(f.CancelJobs) > 0 })
		if !slices.Equal(f.CancelJobs, []string{"j"}) {
			t.Errorf("passed on %v", f.CancelJobs)
		}
	})
}

// The agent's process is paused for less than the target's lease: its entries are not
// silent, it was deaf. What runs for them goes on.
func TestRunsSurviveAPauseOfTheAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, pause := range []time.Duration{50 * time.Millisecond, peer.OwnerLease, 2*peer.OwnerLease - resumeGrace} {
			w := newWorld(t)
			a := w.start(0, 1, task.Resources{CPU: 1000})
			w.started(a)
			w.keeper.mu.Lock()
			// As the clock would be after the pause, before any frame is read.
			w.keeper.epoch = w.keeper.epoch.Add(-pause)
			w.keeper.swept = w.keeper.swept.Add(-pause)
			w.keeper.mu.Unlock()
			w.keeper.Sweep()
			time.Sleep(2 * resumeGrace)
			w.target.set(func() {
				if !w.target.running[a] {
					t.Errorf("stopped after a pause of %v", pause)
				}
			})
		}
	})
}

// The entry dies while the agent is paused: its runs still end before its caller asks
// another entry.
func TestRunsOfAnEntryThatDiedDuringAPauseAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.start(0, 1, task.Resources{CPU: 1000})
		w.started(a)
		close(w.silent)
		const pause = time.Second
		w.keeper.mu.Lock()
		w.keeper.epoch = w.keeper.epoch.Add(-pause)
		w.keeper.swept = w.keeper.swept.Add(-pause)
		w.keeper.mu.Unlock()
		begun := time.Now()
		w.keeper.Sweep()
		w.outcome(a, peer.OutcomeStopped)
		if took := pause + time.Since(begun); took > resend {
			t.Errorf("stopped %v after its entry died", took)
		}
	})
}
