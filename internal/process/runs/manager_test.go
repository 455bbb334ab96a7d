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

// fakeTarget behaves like a target towards orders: it rejects fenced ones, keeps a list
// of runs and numbers the ended ones. It can execute orders without an answer or much
// later.
type fakeTarget struct {
	mu      sync.Mutex
	token   uint64
	running map[task.Attempt]bool
	highest map[task.Key]uint64
	ended   []EndedRun
	number  uint64
	// unresponsive drops all orders and polls without an answer. startsToLeaveUnanswered is the
	// number of next starts without an answer; they are executed at once, or put into
	// delayedStarts if delayStarts is set.
	unresponsive bool
	// refuses is set while nothing listens at the target's address.
	refuses                 bool
	startsToLeaveUnanswered int
	delayStarts             bool
	delayedStarts           []func()
	starts                  []task.Attempt
	renewals                int
	// beforeStart, if set, is called before each start order is executed.
	beforeStart func()
	// calls counts the orders and polls received while unresponsive.
	calls int
	// pollsByOther is set while another incarnation than the intended one answers polls,
	// startsByOther while it executes starts.
	pollsByOther, startsByOther bool
}

func newFakeTarget() *fakeTarget {
	return &fakeTarget{running: make(map[task.Attempt]bool), highest: make(map[task.Key]uint64)}
}

func (f *fakeTarget) fencedLocked(token uint64) bool {
	if token < f.token {
		return true
	}
	f.token = token
	return false
}

func (f *fakeTarget) Start(_ context.Context, permit Permit, s peer.Start) (Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.beforeStart != nil {
		f.beforeStart()
	}
	if f.refuses {
		return 0, ErrRefused
	}
	if f.unresponsive {
		f.calls++
		return 0, errSilent
	}
	if f.startsToLeaveUnanswered > 0 {
		f.startsToLeaveUnanswered--
		if f.delayStarts {
			f.delayedStarts = append(f.delayedStarts, func() { f.startLocked(permit.Token, s) })
		} else {
			f.startLocked(permit.Token, s)
		}
		return 0, errSilent
	}
	answer := f.startLocked(permit.Token, s)
	if f.startsByOther && answer == AnswerDone {
		return AnswerDoneByOtherIncarnation, nil
	}
	return answer, nil
}

func (f *fakeTarget) startLocked(token uint64, s peer.Start) Answer {
	if f.fencedLocked(token) {
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
	if f.refuses {
		return 0, ErrRefused
	}
	if f.unresponsive {
		f.calls++
		return 0, errSilent
	}
	if f.fencedLocked(token) {
		return AnswerFenced, nil
	}
	f.highest[a.Key] = max(f.highest[a.Key], a.Run)
	if f.running[a] {
		f.endLocked(a, peer.OutcomeStopped)
	}
	return AnswerDone, nil
}

func (f *fakeTarget) Poll(ctx context.Context, request PollRequest) (Report, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuses {
		return Report{}, ErrRefused
	}
	if f.unresponsive {
		f.calls++
		return Report{}, errSilent
	}
	if f.fencedLocked(request.Token) {
		return Report{Answer: AnswerFenced}, nil
	}
	if f.pollsByOther {
		return Report{Answer: AnswerDoneByOtherIncarnation}, nil
	}
	if request.Renew {
		f.renewals++
	}
	report := Report{}
	for a := range f.running {
		report.Running = append(report.Running, ActiveRun{Attempt: a, Percent: 50})
	}
	for _, e := range f.ended {
		if e.Number > request.LastSeen {
			report.Ended = append(report.Ended, e)
		}
	}
	return report, ctx.Err()
}

func (f *fakeTarget) Close() {}

func (f *fakeTarget) endLocked(a task.Attempt, outcome peer.Outcome) {
	delete(f.running, a)
	f.number++
	f.ended = append(f.ended, EndedRun{Number: f.number, Attempt: a, Outcome: outcome})
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

// callerRetry is the time after which a caller without an answer sends its job again, to
// any entry. No run of the first submission may be left by then.
const callerRetry = 1300 * time.Millisecond

var testCapacity = task.Resources{CPU: 8000, MemoryMB: 1000}

// firstProbeDelay is longer than the time after which a target that has failed once is
// due for a probe.
const firstProbeDelay = 70 * time.Millisecond

// harness connects the run manager to a fake target and one entry.
type harness struct {
	t       *testing.T
	manager *Manager
	target  *fakeTarget
	entry   *peer.Link
	frames  chan *peer.Frame
	// entrySilent, once closed, stops the entry's answers.
	entrySilent chan struct{}
	// demand is sent with each frame of the entries that are connected later.
	demand task.Demand
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, target: newFakeTarget(), frames: make(chan *peer.Frame, 1000), entrySilent: make(chan struct{})}
	h.manager = New(Options{
		Name:        "agent",
		Log:         zerolog.Nop(),
		Counters:    metrics.New(),
		Dial:        func(Announcement) TargetClient { return h.target },
		TargetLease: testLease,
	})
	h.run()
	h.announce(Announcement{Incarnation: 1, Sequence: 1})
	h.connect(7)
	h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && f.Target.Available })
	return h
}

// run starts the run manager and ends it with the test. The time is that of the synctest
// bubble; the last sleep lets pending timers of its goroutines expire.
func (h *harness) run() {
	done := make(chan struct{})
	h.t.Cleanup(func() {
		close(done)
		time.Sleep(time.Minute)
	})
	go h.manager.Run(done)
}

func (h *harness) announce(a Announcement) bool {
	a.ID, a.DataCentre, a.Capacity = "t1", "dc1", testCapacity
	return h.manager.Announce(a)
}

// connect links an entry that echoes each frame, as a live entry does.
func (h *harness) connect(incarnation uint64) {
	here, there := net.Pipe()
	agentLink := peer.NewLink(here, func(f *peer.Frame) { h.manager.Stamp(incarnation, f) })
	h.manager.Connect(&peer.Hello{Name: "entry", Incarnation: incarnation}, "entry:1", agentLink)
	go func() {
		defer agentLink.Close()
		for {
			f, err := agentLink.Receive()
			if err != nil {
				h.manager.Disconnect(incarnation, agentLink, err)
				return
			}
			h.manager.Receive(incarnation, f)
		}
	}()
	var mu sync.Mutex
	var echo int64
	var acked uint64
	demand := h.demand
	h.entry = peer.NewLink(there, func(f *peer.Frame) {
		mu.Lock()
		defer mu.Unlock()
		f.Echo, f.AckedResults = echo, acked
		f.Demand = demand
	})
	h.t.Cleanup(h.entry.Close)
	entry := h.entry
	go func() {
		for {
			f, err := entry.Receive()
			if err != nil {
				return
			}
			mu.Lock()
			echo = max(echo, f.Sent)
			for _, r := range f.Results {
				acked = max(acked, r.Number)
			}
			mu.Unlock()
			select {
			case <-h.entrySilent:
			default:
				entry.Send(peer.Frame{})
			}
			select {
			case h.frames <- f:
			default: // drops the frame if the buffer is full
			}
		}
	}()
}

// expireOwnerLease sets the clocks as after a pause of the agent that is longer than the
// lease of its entries, before any frame is read.
func (h *harness) expireOwnerLease() {
	const pause = 2 * peer.OwnerLease
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	h.manager.epoch = h.manager.epoch.Add(-pause)
	h.manager.lastSweep = h.manager.lastSweep.Add(-pause)
}

func (h *harness) start(index int, run uint64, need task.Resources) task.Attempt {
	a := task.Attempt{Key: task.Key{Job: "j", Index: index}, Run: run}
	h.entry.Send(peer.Frame{Starts: []peer.Start{{Attempt: a, Need: need, Incarnation: 1, Expected: 100 * time.Millisecond}}})
	return a
}

func (h *harness) waitFor(match func(*peer.Frame) bool) *peer.Frame {
	h.t.Helper()
	deadline := time.After(3 * time.Second)
	for {
		select {
		case f := <-h.frames:
			if match(f) {
				return f
			}
		case <-deadline:
			h.t.Fatal("expected frame not received within 3 s")
		}
	}
}

// waitOutcome waits for the result of an attempt, which must be the given one.
func (h *harness) waitOutcome(a task.Attempt, outcome peer.Outcome) peer.Result {
	h.t.Helper()
	return h.waitResult(a, outcome)
}

// waitResult waits for the result of an attempt, which must be one of the given ones.
func (h *harness) waitResult(a task.Attempt, outcomes ...peer.Outcome) peer.Result {
	h.t.Helper()
	var found peer.Result
	h.waitFor(func(f *peer.Frame) bool {
		for _, r := range f.Results {
			if r.Attempt == a && r.Outcome != peer.OutcomeStarted {
				found = r
				return true
			}
		}
		return false
	})
	if !slices.Contains(outcomes, found.Outcome) {
		h.t.Fatalf("%v ended as %v (%s), want one of %v", a, found.Outcome, found.Refusal, outcomes)
	}
	return found
}

func (h *harness) waitStarted(a task.Attempt) {
	h.t.Helper()
	h.waitFor(func(f *peer.Frame) bool {
		return slices.ContainsFunc(f.Results, func(r peer.Result) bool { return r.Attempt == a && r.Outcome == peer.OutcomeStarted })
	})
}

func TestRunEndsOnceAndFreesItsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, testCapacity)
		h.waitStarted(a)
		full := h.start(1, 1, task.Resources{CPU: 1})
		if r := h.waitOutcome(full, peer.OutcomeRefused); r.Refusal != peer.RefusalNoCapacity {
			t.Errorf("refused for %q, want room", r.Refusal)
		}
		h.target.end(a, peer.OutcomeDone)
		h.waitOutcome(a, peer.OutcomeDone)
		h.waitFor(func(f *peer.Frame) bool { return f.Room != nil && f.Room.Free == testCapacity })
	})
}

// The target executes a start order, but its answer is lost.
func TestUnansweredStartIsNotStartedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.startsToLeaveUnanswered = 2 })
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		if n := h.target.startsOf(a); n != 1 {
			t.Errorf("started %d times", n)
		}
	})
}

// No start order is answered, and all arrive long after the attempt has been reported as
// not run. They must be fenced.
func TestDelayedStartIsFencedAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.startsToLeaveUnanswered, h.target.delayStarts = 100, true })
		a := h.start(0, 1, task.Resources{CPU: 1000})
		if r := h.waitOutcome(a, peer.OutcomeRefused); r.Refusal != peer.RefusalUnanswered {
			t.Errorf("refused for %q", r.Refusal)
		}
		h.target.set(func() {
			for _, deliver := range h.target.delayedStarts {
				deliver()
			}
		})
		if n := h.target.startsOf(a); n != 0 {
			t.Errorf("a late order started the attempt after it was reported as not run")
		}
	})
}

// When an entry fails or is cut off from the network, the runs that it started must end
// before callers submit their jobs again; otherwise a task could run twice at once.
func TestRunsOfASilentEntryAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		close(h.entrySilent)
		startTime := time.Now()
		h.waitOutcome(a, peer.OutcomeStopped)
		if took := time.Since(startTime); took > callerRetry {
			t.Errorf("stopped after %v", took)
		}
	})
}

func TestRunsSurviveABrokenLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.entry.Close()
		h.connect(7)
		f := h.waitFor(func(f *peer.Frame) bool { return f.Hello != nil })
		if !slices.Contains(f.Hello.Runs, a) {
			t.Errorf("hello names the runs %v, want %v", f.Hello.Runs, a)
		}
		time.Sleep(2 * peer.BrokenLinkLease)
		h.target.end(a, peer.OutcomeDone)
		h.waitOutcome(a, peer.OutcomeDone)
	})
}

func TestRunsOfDisconnectedEntryAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.entry.Close()
		deadline := time.Now().Add(callerRetry)
		for time.Now().Before(deadline) {
			var running bool
			h.target.set(func() { running = h.target.running[a] })
			if !running {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Error("the run continues after its entry was disconnected")
	})
}

// The target crashes and restarts under the same ID: the runs of the former incarnation
// are lost.
func TestRestartedTargetLosesRunsOfFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.set(func() { clear(h.target.running) })
		h.announce(Announcement{Incarnation: 2, Sequence: 1})
		h.waitOutcome(a, peer.OutcomeLost)
		if h.announce(Announcement{Incarnation: 1, Sequence: 99}) {
			t.Error("a delayed announcement of the former incarnation is accepted")
		}
	})
}

// The target restarts under the same ID, and a start order reaches the new incarnation
// before its first report. Found by the soak test with seed 107.
func TestStartExecutedByLaterIncarnationIsStoppedBeforeItIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.startsByOther, h.target.token = true, 0 })
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitResult(a, peer.OutcomeLost, peer.OutcomeStopped)
		h.target.set(func() {
			if h.target.running[a] || len(h.target.starts) != 1 {
				t.Errorf("running %v after the report, starts %v", h.target.running, h.target.starts)
			}
		})
	})
}

// Clocks were set back before the target restarted, so its new incarnation has a lower
// number. Its announcements must not be rejected as outdated for ever.
func TestIncarnationWithEarlierClockIsAcceptedOnceItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		if h.announce(Announcement{Incarnation: 0, Sequence: 1}) {
			t.Fatal("a delayed announcement of an earlier incarnation is accepted while the current one answers")
		}
		h.target.set(func() { h.target.pollsByOther = true })
		h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && !f.Target.Available })
		h.target.set(func() { h.target.pollsByOther = false })
		if !h.announce(Announcement{Incarnation: 0, Sequence: 1}) {
			t.Error("the announcement of the incarnation that answers is not accepted")
		}
		h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && f.Target.Available })
	})
}

// A delayed order to the former incarnation of the target reaches the new one.
func TestDelayedOrderAtNewIncarnationIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { clear(h.target.running) })
		h.announce(Announcement{Incarnation: 2, Sequence: 1})
		h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && f.Target.Incarnation == 2 && f.Target.Available })
		late := task.Attempt{Key: task.Key{Job: "late"}, Run: 1}
		h.target.set(func() { h.target.running[late] = true })
		for deadline := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
			var running bool
			h.target.set(func() { running = h.target.running[late] })
			if !running {
				return
			}
			if time.Now().After(deadline) {
				t.Fatal("a run that no entry requested continues")
			}
		}
	})
}

func TestDrainingTargetGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.announce(Announcement{Incarnation: 1, Sequence: 2, Draining: true})
		a := h.start(0, 1, task.Resources{CPU: 1000})
		if r := h.waitOutcome(a, peer.OutcomeRefused); r.Refusal != peer.RefusalUnavailable {
			t.Errorf("refused for %q", r.Refusal)
		}
		h.announce(Announcement{Incarnation: 1, Sequence: 1})
		b := h.start(1, 1, task.Resources{CPU: 1000})
		h.waitOutcome(b, peer.OutcomeRefused)
	})
}

// An entry without access to the store sends work to a data centre that is out of
// service; the agent has received the policy from another entry.
func TestStartInDataCentreOutOfServiceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.entry.Send(peer.Frame{Policy: &peer.Policy{Revision: 9, Out: []string{"dc1"}}})
		a := h.start(0, 1, task.Resources{CPU: 1000})
		if r := h.waitOutcome(a, peer.OutcomeRefused); r.Refusal != peer.RefusalDataCentreOut {
			t.Errorf("refused for %q", r.Refusal)
		}
		h.entry.Send(peer.Frame{Policy: &peer.Policy{Revision: 8}})
		b := h.start(1, 1, task.Resources{CPU: 1000})
		if r := h.waitOutcome(b, peer.OutcomeRefused); r.Refusal != peer.RefusalDataCentreOut {
			t.Errorf("an older policy was taken: %q", r.Refusal)
		}
	})
}

// The target does not answer. Its runs may be reported as lost only when its lease on
// them has certainly expired, and nothing may renew the lease meanwhile.
func TestRunsOfUnresponsiveTargetAreLostAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.set(func() { h.target.unresponsive = true })
		startTime := time.Now()
		h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && !f.Target.Available })
		h.waitOutcome(a, peer.OutcomeLost)
		if took := time.Since(startTime); took < testLease {
			t.Errorf("lost after %v, the lease is %v", took, testLease)
		}
	})
}

// A target crashes and its machine resets each connection at once, while the orders of 20
// tasks are in progress. Each call opens a connection, so their number must be bounded.
func TestRetriesToFailingTargetAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.unresponsive = true })
		const tasks = 20
		for n := range tasks {
			h.start(n, 1, task.Resources{CPU: 100})
		}
		ended := 0
		h.waitFor(func(f *peer.Frame) bool {
			ended += len(f.Results)
			return ended == tasks
		})
		// The tries of each order, and the polls until the lease has expired.
		const maxCalls = tasks*startTries + 40
		h.target.set(func() {
			if h.target.calls > maxCalls {
				t.Errorf("%d calls of a target that is down, want at most %d", h.target.calls, maxCalls)
			}
		})
	})
}

// A new process of the agent finds runs at the target. Those that an entry claims are
// kept, the others are stopped.
func TestNewProcessKeepsClaimedRunsAndStopsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, target: newFakeTarget(), frames: make(chan *peer.Frame, 1000), entrySilent: make(chan struct{})}
		mine := task.Attempt{Key: task.Key{Job: "mine"}, Run: 3}
		stray := task.Attempt{Key: task.Key{Job: "stray"}, Run: 1}
		ended := task.Attempt{Key: task.Key{Job: "ended"}, Run: 1}
		h.target.running[mine], h.target.running[stray] = true, true
		h.target.endLocked(ended, peer.OutcomeDone)
		h.manager = New(Options{Log: zerolog.Nop(), Counters: metrics.New(), Dial: func(Announcement) TargetClient { return h.target }, TargetLease: testLease})
		h.run()
		// The clock of the former process was ahead.
		h.target.set(func() { h.target.token = uint64(time.Now().UnixMilli()) + 5000 })
		h.announce(Announcement{Incarnation: 1, Sequence: 1})
		for !h.manager.IsReady() {
			time.Sleep(time.Millisecond)
		}
		h.connect(7)
		f := h.waitFor(func(f *peer.Frame) bool { return f.Hello != nil })
		if !slices.Contains(f.Hello.Runs, mine) || !slices.Contains(f.Hello.Runs, stray) {
			t.Fatalf("hello names %v", f.Hello.Runs)
		}
		h.entry.Send(peer.Frame{Claims: &peer.Claims{Attempts: []peer.Claim{{Attempt: mine, Need: task.Resources{CPU: 500}}}}})
		time.Sleep(orphanLease + 100*time.Millisecond)
		h.target.set(func() {
			if !h.target.running[mine] || h.target.running[stray] {
				t.Errorf("running after the claim: %v", h.target.running)
			}
		})
	})
}

func TestStopWaitsForRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		stopped := make(chan struct{})
		go func() {
			h.manager.Drain(ctx)
			close(stopped)
		}()
		h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && !f.Target.Available })
		b := h.start(1, 1, task.Resources{CPU: 1000})
		h.waitOutcome(b, peer.OutcomeRefused)
		select {
		case <-stopped:
			t.Fatal("stopped with a run in progress")
		case <-time.After(50 * time.Millisecond):
		}
		h.target.end(a, peer.OutcomeDone)
		<-stopped
	})
}

// A target fails each task immediately, so that it always has the most free capacity. The
// first failure must put it on probation, and a success of a run that started before the
// failure must not end the probation.
func TestFirstFailurePutsTargetOnProbation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		older := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(older)
		time.Sleep(5 * time.Millisecond)
		a := h.start(1, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.end(a, peer.OutcomeFailed)
		h.waitFor(func(f *peer.Frame) bool { return f.Room != nil && f.Room.Probation })
		h.target.end(older, peer.OutcomeDone)
		f := h.waitFor(func(f *peer.Frame) bool {
			return slices.ContainsFunc(f.Results, func(r peer.Result) bool { return r.Attempt == older && r.Outcome == peer.OutcomeDone })
		})
		if !f.Room.Probation {
			t.Error("a run started before the failure ended the probation")
		}
	})
}

// A target on probation offers its probe to one entry at a time.
func TestProbeIsOfferedToOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.connect(8)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.end(a, peer.OutcomeFailed)
		h.waitOutcome(a, peer.OutcomeFailed)
		time.Sleep(firstProbeDelay)
		offers := 0
		h.manager.mu.Lock()
		for _, o := range h.manager.owners {
			if h.manager.roomLocked(o).Probe {
				offers++
			}
		}
		h.manager.mu.Unlock()
		if offers != 1 {
			t.Errorf("%d entries may send a probe, want 1", offers)
		}
	})
}

// The agent replaces one entry by another: the former one may send no new work, and
// retires once its runs have ended and it has acknowledged the results.
func TestEntryRetiresAfterItsLastRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		retired := make(chan string, 1)
		h.manager.opts.Retired = func(address string) { retired <- address }
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.manager.Retire("entry:1")
		h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && !f.Target.Available })
		b := h.start(1, 1, task.Resources{CPU: 1000})
		if r := h.waitOutcome(b, peer.OutcomeRefused); r.Refusal != peer.RefusalUnavailable {
			t.Errorf("refused for %q", r.Refusal)
		}
		time.Sleep(time.Second)
		if len(retired) > 0 {
			t.Fatal("retired while one of its tasks runs")
		}
		h.target.end(a, peer.OutcomeDone)
		h.waitOutcome(a, peer.OutcomeDone)
		if address := <-retired; address != "entry:1" {
			t.Errorf("retired %s", address)
		}
	})
}

// A job is cancelled at an entry that does not hold it and has no link to the one that
// does: agents must forward the cancellation.
func TestCancelIsForwardedToOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.connect(8)
		h.entry.Send(peer.Frame{CancelJobs: []string{"j"}})
		f := h.waitFor(func(f *peer.Frame) bool { return len(f.CancelJobs) > 0 })
		if !slices.Equal(f.CancelJobs, []string{"j"}) {
			t.Errorf("forwarded %v", f.CancelJobs)
		}
	})
}

// The agent's process is paused for less than the target's lease. Its entries only seem
// silent, and their runs must continue.
func TestRunsSurviveAPauseOfTheAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, pause := range []time.Duration{50 * time.Millisecond, peer.OwnerLease, 2*peer.OwnerLease - resumeGrace} {
			h := newHarness(t)
			a := h.start(0, 1, task.Resources{CPU: 1000})
			h.waitStarted(a)
			h.manager.mu.Lock()
			// Sets the clocks as after the pause, before any frame is read.
			h.manager.epoch = h.manager.epoch.Add(-pause)
			h.manager.lastSweep = h.manager.lastSweep.Add(-pause)
			h.manager.mu.Unlock()
			h.manager.Sweep()
			time.Sleep(2 * resumeGrace)
			h.target.set(func() {
				if !h.target.running[a] {
					t.Errorf("stopped after a pause of %v", pause)
				}
			})
		}
	})
}

// The agent is paused between sending a start order and the target's answer, which is
// lost. The entry's lease has expired meanwhile and the entry may have started the task
// elsewhere, so the order must not be sent again.
func TestStartIsNotRepeatedAfterTheLeaseOfItsEntryHasExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() {
			h.target.startsToLeaveUnanswered, h.target.delayStarts = 1, true
			h.target.beforeStart = func() {
				h.target.beforeStart = nil
				h.expireOwnerLease()
			}
		})
		a := h.start(0, 1, task.Resources{CPU: 1000})
		r := h.waitOutcome(a, peer.OutcomeRefused)
		if n := h.target.startsOf(a); n > 0 {
			t.Errorf("started %d times after the lease had expired", n)
		}
		if r.Refusal != peer.RefusalUnanswered {
			t.Errorf("refused as %q, want %q", r.Refusal, peer.RefusalUnanswered)
		}
	})
}

// The data centre is taken out of service between a start order and its repetition.
func TestStartIsNotRepeatedInDataCentreOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() {
			h.target.startsToLeaveUnanswered, h.target.delayStarts = 1, true
			h.target.beforeStart = func() {
				h.target.beforeStart = nil
				h.manager.mu.Lock()
				defer h.manager.mu.Unlock()
				h.manager.policy.Out = []string{"dc1"}
			}
		})
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitOutcome(a, peer.OutcomeRefused)
		if n := h.target.startsOf(a); n > 0 {
			t.Errorf("started %d times in a data centre out of service", n)
		}
	})
}

// An entry fails while the agent is paused. Its runs must still end before its caller
// retries at another entry.
func TestRunsOfEntryThatFailedDuringPauseAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		close(h.entrySilent)
		const pause = time.Second
		h.manager.mu.Lock()
		h.manager.epoch = h.manager.epoch.Add(-pause)
		h.manager.lastSweep = h.manager.lastSweep.Add(-pause)
		h.manager.mu.Unlock()
		startTime := time.Now()
		h.manager.Sweep()
		h.waitOutcome(a, peer.OutcomeStopped)
		if took := pause + time.Since(startTime); took > callerRetry {
			t.Errorf("stopped %v after its entry died", took)
		}
	})
}

// What the waiting tasks of one entry need is reported to the others, and no longer once
// the entry is disconnected or silent.
func TestDemandIsReportedToOtherEntries(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(h *harness, entry *peer.Link)
	}{
		{"link lost", func(_ *harness, entry *peer.Link) { entry.Close() }},
		{"silent", func(h *harness, _ *peer.Link) { close(h.entrySilent) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.demand = task.Demand{}.Add(0, 6200).Add(2, 3100)
				h.connect(8)
				demanding := h.entry
				demanding.Send(peer.Frame{})
				time.Sleep(50 * time.Millisecond)
				if got := h.othersDemand(7); got.UpTo(1) != 6200 || got.UpTo(2) != 9300 {
					t.Errorf("the other entry has the demand %v", got)
				}
				if got := h.othersDemand(8); len(got) > 0 {
					t.Errorf("the entry has its own demand %v", got)
				}
				c.end(h, demanding)
				time.Sleep(2 * peer.SuspectAfter)
				if got := h.othersDemand(7); len(got) > 0 {
					t.Errorf("the other entry still has the demand %v", got)
				}
			})
		})
	}
}

func (h *harness) othersDemand(incarnation uint64) task.Demand {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	return h.manager.demandOfOthersLocked(h.manager.owners[incarnation])
}
