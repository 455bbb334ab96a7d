package runs

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/uptime"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

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
	// entrySilent, once closed, stops the answers of the entries that are connected meanwhile.
	entrySilent chan struct{}
	// suspended is the time that only the clock of the system has counted.
	suspended time.Duration
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
		CallerRetry: callerRetry,
		SinceBoot:   h.sinceBoot(),
	})
	h.run()
	h.announce(Announcement{Incarnation: 1, Sequence: 1})
	h.connect(7)
	h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && f.Target.Available })
	return h
}

// sinceBoot returns the clock of the system. h.manager.mu guards the time that it adds.
func (h *harness) sinceBoot() uptime.Source {
	begun := time.Now()
	return func() (time.Duration, bool) { return time.Since(begun) + h.suspended, true }
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
			h.manager.Receive(incarnation, agentLink, f)
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
	entry, silent := h.entry, h.entrySilent
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
			case <-silent:
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

// receive passes a frame to the manager as one of the entry's present link.
func (h *harness) receive(incarnation uint64, f peer.Frame) {
	h.manager.mu.Lock()
	link := h.manager.owners[incarnation].link
	h.manager.mu.Unlock()
	h.manager.Receive(incarnation, link, &f)
}

// clock returns the time that the frames of the agent carry.
func (h *harness) clock() int64 { return int64(h.manager.clock()) }

// pause sets the clock as after a pause of the agent, before any frame is read.
func (h *harness) pause(length time.Duration) {
	h.suspend(length)
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	h.manager.uptime.Measure()
}

// suspend lets the clock of the system run ahead, as while the machine is suspended.
func (h *harness) suspend(length time.Duration) {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	h.suspended += length
}

// expireOwnerLease sets the clock as after a pause of the agent that is longer than the
// lease of its entries, before any frame is read.
func (h *harness) expireOwnerLease() { h.pause(2 * peer.OwnerLease) }

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

// expectNoResult fails the test if a result of an attempt arrives within a time.
func (h *harness) expectNoResult(a task.Attempt, within time.Duration) {
	h.t.Helper()
	deadline := time.After(within)
	for {
		select {
		case f := <-h.frames:
			if slices.ContainsFunc(f.Results, func(r peer.Result) bool { return r.Attempt == a }) {
				h.t.Errorf("unexpected result of %v: %v", a, f.Results)
			}
		case <-deadline:
			return
		}
	}
}

// token returns the fencing token of the next order.
func (h *harness) token() uint64 {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	return h.manager.target.token
}

// waitRunning waits until the target runs an attempt.
func (h *harness) waitRunning(a task.Attempt) {
	for running := false; !running; time.Sleep(time.Millisecond) {
		running = h.target.isRunning(a)
	}
}

func (h *harness) waitStarted(a task.Attempt) {
	h.t.Helper()
	h.waitFor(func(f *peer.Frame) bool {
		return slices.ContainsFunc(f.Results, func(r peer.Result) bool { return r.Attempt == a && r.Outcome == peer.OutcomeStarted })
	})
}

func (h *harness) othersDemand(incarnation uint64) task.Demand {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	return h.manager.demandOfOthersLocked(h.manager.owners[incarnation])
}
