package runs

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

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

// The hello of an entry is delayed on a link that has been open for a while.
func TestDelayedHelloDoesNotExtendTheLeaseOfItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		here, _ := net.Pipe()
		link := peer.NewLink(here, nil)
		defer link.Close()
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		close(h.entrySilent)
		silent := time.Now()
		time.Sleep(peer.OwnerLease - 50*time.Millisecond)
		h.manager.Connect(&peer.Hello{Name: "entry", Incarnation: 7}, "entry:1", link)
		for running := true; running; time.Sleep(5 * time.Millisecond) {
			running = h.target.isRunning(a)
		}
		if after := time.Since(silent); after > peer.OwnerLease+100*time.Millisecond {
			t.Errorf("the run ended %v after the latest echo, lease %v", after, peer.OwnerLease)
		}
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
			running := h.target.isRunning(a)
			if !running {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Error("the run continues after its entry was disconnected")
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
		h.target.place(mine)
		h.target.place(stray)
		h.target.place(ended)
		h.target.end(ended, peer.OutcomeDone)
		h.manager = New(Options{Log: zerolog.Nop(), Counters: metrics.New(), Dial: func(Announcement) TargetClient { return h.target }, TargetLease: testLease})
		h.run()
		// The clock of the former process was ahead.
		h.target.seeToken(uint64(time.Now().UnixMilli()) + 5000)
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
			if !h.target.isRunning(mine) || h.target.isRunning(stray) {
				t.Errorf("running after the claim: %v", h.target.running())
			}
		})
	})
}

// Two entries have sent an attempt of the same number, and the agent has restarted since.
func TestEachEntryThatClaimsARunGetsItsOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := task.Attempt{Key: task.Key{Job: "j"}, Run: 1}
		h := newHarness(t)
		h.manager.mu.Lock()
		h.manager.adoptRunLocked(ActiveRun{Attempt: a})
		h.manager.mu.Unlock()
		h.target.place(a)
		claims := &peer.Claims{Attempts: []peer.Claim{{Attempt: a, Need: task.Resources{CPU: 500}}}}
		h.entry.Send(peer.Frame{Claims: claims})
		time.Sleep(20 * time.Millisecond)
		h.connect(8)
		h.entry.Send(peer.Frame{Claims: claims})
		time.Sleep(20 * time.Millisecond)
		h.target.end(a, peer.OutcomeDone)
		h.waitOutcome(a, peer.OutcomeDone)
		h.waitOutcome(a, peer.OutcomeDone)
	})
}

// The need of an adopted run is unknown until an entry claims it, whatever it uses, and a start
// would extend its lease.
func TestNoCapacityIsFreeBesideRunWithoutAnEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, used := range []int64{0, 500} {
			a := task.Attempt{Key: task.Key{Job: "j"}, Run: 1}
			h := newHarness(t)
			h.manager.mu.Lock()
			h.manager.adoptRunLocked(ActiveRun{Attempt: a, CPU: used})
			h.manager.mu.Unlock()
			h.target.place(a)
			if r := h.waitOutcome(h.start(1, 1, task.Resources{CPU: 1000}), peer.OutcomeRefused); r.Refusal != peer.RefusalNoCapacity {
				t.Errorf("refused for %q beside a run that uses %d", r.Refusal, used)
			}
			h.entry.Send(peer.Frame{Claims: &peer.Claims{Attempts: []peer.Claim{{Attempt: a, Need: task.Resources{CPU: 500}}}}})
			h.waitFor(func(f *peer.Frame) bool { return f.Room != nil && f.Room.Free.CPU == testCapacity.CPU-500 })
		}
	})
}

// A run of the former process has ended before the new one gets its first report, and thus before
// any entry links.
func TestEndUnderFormerProcessIsReportedToEntriesThatLinkLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, target: newFakeTarget(), frames: make(chan *peer.Frame, 1000), entrySilent: make(chan struct{})}
		ended := task.Attempt{Key: task.Key{Job: "ended"}, Run: 1}
		h.target.place(ended)
		h.target.end(ended, peer.OutcomeDone)
		h.manager = New(Options{Log: zerolog.Nop(), Counters: metrics.New(), Dial: func(Announcement) TargetClient { return h.target }, TargetLease: testLease})
		h.run()
		h.announce(Announcement{Incarnation: 1, Sequence: 1})
		for !h.manager.IsReady() {
			time.Sleep(time.Millisecond)
		}
		h.connect(7)
		h.waitOutcome(ended, peer.OutcomeDone)
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
			h.pause(pause)
			h.manager.Sweep()
			time.Sleep(2 * resumeGrace)
			h.target.set(func() {
				if !h.target.isRunning(a) {
					t.Errorf("stopped after a pause of %v", pause)
				}
			})
		}
	})
}

// The same, but the entry links again before the agent notices its pause: the lease is valid
// anew, and yet the entry has given the attempt up.
func TestStartIsNotRepeatedAfterAPauseForAnEntryThatLinksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() {
			h.target.startsToLeaveUnanswered, h.target.delayStarts = 1, true
			h.target.beforeStart = func() {
				h.target.beforeStart = nil
				h.expireOwnerLease()
				h.connect(7)
			}
		})
		a := h.start(0, 1, task.Resources{CPU: 1000})
		time.Sleep(200 * time.Millisecond)
		if n := h.target.startsOf(a); n > 0 {
			t.Fatalf("started %d times after the pause", n)
		}
		h.waitOutcome(a, peer.OutcomeRefused)
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

// An entry fails while the agent is paused. Its runs must still end before its caller
// retries at another entry.
func TestRunsOfEntryThatFailedDuringPauseAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		close(h.entrySilent)
		const pause = time.Second
		h.pause(pause)
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

// An entry echoes the clock of a former process of the agent, which was ahead of this one's, and
// falls silent.
func TestEchoOfFormerProcessDoesNotExtendTheLeaseOfItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.receive(7, peer.Frame{Echo: int64(time.Hour)})
		close(h.entrySilent)
		silent := time.Now()
		h.waitOutcome(a, peer.OutcomeStopped)
		if after := time.Since(silent); after > peer.OwnerLease+100*time.Millisecond {
			t.Errorf("the run ended %v after the latest valid echo, lease %v", after, peer.OwnerLease)
		}
	})
}

// No figure stands for an entry that is not known: 0 would read as heard just now.
func TestLogDoesNotSayWhenAnUnknownEntryWasHeard(t *testing.T) {
	for name, logLine := range map[string]func(*Manager, *run){
		"run started": func(m *Manager, r *run) {
			r.phase = phaseStarting
			m.startConfirmed(m.target, r)
		},
		"run stopped": func(m *Manager, r *run) {
			m.mu.Lock()
			defer m.mu.Unlock()
			r.phase = phaseStopping
			m.stopLocked(r.attempt, "a reason")
		},
	} {
		for incarnation, known := range map[uint64]bool{7: true, 8: false} {
			t.Run(fmt.Sprint(name, " known ", known), func(t *testing.T) {
				var log bytes.Buffer
				m := New(Options{Log: zerolog.New(&log), Counters: metrics.New(), TargetLease: testLease})
				m.target = &targetIncarnation{}
				m.owners[7] = &owner{incarnation: 7}
				a := task.Attempt{Key: task.Key{Job: "j"}, Run: 1}
				r := &run{attempt: a, owner: incarnation}
				m.runs[a.Key] = r
				logLine(m, r)
				line := log.String()
				if !strings.Contains(line, name) || strings.Contains(line, "entry_heard") != known {
					t.Error(line)
				}
			})
		}
	}
}
