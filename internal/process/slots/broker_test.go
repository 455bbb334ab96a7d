package slots

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

const testSlots = 8

// fakeClock is a clock that the tests set.
type fakeClock struct{ now time.Time }

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1000, 0)} }

func newBroker(c *fakeClock, quotas map[string]uint32) *Broker {
	view := config.NewView()
	u := &peerv1.ConfigUpdate{Revision: 1, Snapshot: true}
	for name, quota := range quotas {
		u.Objects = append(u.Objects, &apiv1.Object{
			Kind: apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, Name: name, Revision: 1, QuotaSlots: quota,
		})
	}
	view.Apply(u)
	b := New(view, metrics.New())
	b.now = func() time.Time { return c.now }
	return b
}

func attach(b *Broker, name, dataCentre, rack string, free uint32) {
	b.Attach(&peerv1.TargetInfo{
		Name: name, DataCentre: dataCentre, Rack: rack, Slots: testSlots,
		Size: &apiv1.Size{Cpus: 30, MemoryMb: 1000},
	})
	b.Report(name, &peerv1.Load{Free: free}, true)
}

func acquireRequest(department string, tasks uint32) *peerv1.AcquireSlots {
	return &peerv1.AcquireSlots{
		Entry: 1, DataCentre: "nbo1", Department: department, Tasks: tasks,
		Size: &apiv1.Size{Cpus: 1, MemoryMb: 10},
	}
}

func grantedByTarget(got *peerv1.AcquiredSlots) map[string]uint32 {
	m := make(map[string]uint32)
	for _, s := range got.GetSlots() {
		m[s.GetTarget()] += s.GetSlots()
	}
	return m
}

// A broker never grants more slots than are free, in any order of grants, starts,
// returns and ends of tasks.
func TestBrokerGrantsNoSlotTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBroker(newFakeClock(), nil)
		attach(b, "r1", "nbo1", "a", testSlots)
		idle, running := 0, 0
		load := &peerv1.Load{Free: testSlots}
		report := func() {
			load.Free = uint32(testSlots - running)
			b.Report("r1", &peerv1.Load{Free: load.Free, GrantedStarts: load.GrantedStarts, Ended: load.Ended}, true)
		}
		steps := rapid.SliceOf(rapid.IntRange(0, 3)).Draw(t, "steps")
		for _, step := range steps {
			switch {
			case step == 0:
				idle += int(grantedByTarget(b.TryAcquire(acquireRequest("desk", 3)))["r1"])
			case step == 1 && idle > 0:
				idle--
				running++
				load.GrantedStarts++
			case step == 2 && idle > 0:
				idle--
				b.Return(&peerv1.ReturnSlots{Slots: []*peerv1.GrantedSlots{{Target: "r1", Slots: 1}}})
			case step == 3 && running > 0:
				running--
				load.Ended++
				report()
			}
			if idle+running > testSlots {
				t.Fatalf("%d slots granted and %d used of %d", idle, running, testSlots)
			}
		}
		report()
		free := testSlots - idle - running
		if got := len(b.TryAcquire(acquireRequest("desk", testSlots)).GetSlots()); (got > 0) != (free > 0) {
			t.Fatalf("granted %v with %d free", got > 0, free)
		}
	})
}

func TestBrokerPrefersLocalDataCentreAndSpreadsRacks(t *testing.T) {
	b := newBroker(newFakeClock(), nil)
	attach(b, "near-a", "nbo1", "a", 2)
	attach(b, "near-b", "nbo1", "b", 2)
	attach(b, "far", "nbo2", "c", testSlots)
	got := grantedByTarget(b.TryAcquire(acquireRequest("desk", 2)))
	if got["near-a"] != 1 || got["near-b"] != 1 {
		t.Errorf("granted %v, want one slot in each local rack", got)
	}
	got = grantedByTarget(b.TryAcquire(acquireRequest("desk", 3)))
	if got["near-a"] != 1 || got["near-b"] != 1 || got["far"] != 1 {
		t.Errorf("granted %v, want the remote target once the local ones are full", got)
	}
}

// Slots of a target are granted only to entries that have a link to its agent.
func TestOnlyLinkedEntriesGetSlots(t *testing.T) {
	b := newBroker(newFakeClock(), nil)
	attach(b, "r1", "nbo1", "a", testSlots)
	b.Report("r1", &peerv1.Load{Free: testSlots, LinkedEntries: []uint64{2, 3}}, true)
	b.Report("r1", &peerv1.Load{Free: testSlots}, true)
	if got := grantedByTarget(b.TryAcquire(acquireRequest("desk", 1))); len(got) != 0 {
		t.Errorf("granted %v to an entry without a link", got)
	}
	linked := acquireRequest("desk", 1)
	linked.Entry = 2
	if got := grantedByTarget(b.TryAcquire(linked)); got["r1"] != 1 {
		t.Errorf("granted %v, want a slot", got)
	}
}

// Guards against a department with many requests taking the slots of the others.
func TestDepartmentsAreServedRoundRobin(t *testing.T) {
	b := newBroker(newFakeClock(), nil)
	attach(b, "r1", "nbo1", "a", 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan string, 100)
	ask := func(department string) {
		w := acquireRequest(department, 1)
		w.WaitMs = 10_000
		if len(b.Acquire(ctx, w).GetSlots()) > 0 {
			results <- department
		}
	}
	for range 20 {
		go ask("flood")
	}
	for range 2 {
		go ask("small")
	}
	waitFor(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.waitingRequests == 22
	})
	b.Report("r1", &peerv1.Load{Free: 4}, true)
	counts := make(map[string]int)
	for range 4 {
		counts[<-results]++
	}
	if counts["small"] != 2 || counts["flood"] != 2 {
		t.Errorf("slots were granted to %v, want two each", counts)
	}
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition did not come true within 5 s")
}

// A request that no target can serve now does not block the requests behind it.
func TestNoHeadOfLineBlocking(t *testing.T) {
	b := newBroker(newFakeClock(), nil)
	attach(b, "r1", "nbo1", "a", 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	huge := acquireRequest("desk", 1)
	huge.Size.Cpus, huge.WaitMs, huge.WaitedMs = 100, 10_000, 1000
	go b.Acquire(ctx, huge)
	waitFor(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.waitingRequests == 1
	})
	b.Report("r1", &peerv1.Load{Free: 1}, true)
	if got := grantedByTarget(b.TryAcquire(acquireRequest("desk", 1))); got["r1"] != 1 {
		t.Errorf("granted %v, want a slot", got)
	}
}

func TestQuotaBoundsSlotsInUse(t *testing.T) {
	b := newBroker(newFakeClock(), map[string]uint32{"desk": 3})
	attach(b, "r1", "nbo1", "a", testSlots)
	if got := grantedByTarget(b.TryAcquire(acquireRequest("desk", 5))); got["r1"] != 3 {
		t.Fatalf("granted %v, want the quota of 3", got)
	}
	if got := grantedByTarget(b.TryAcquire(acquireRequest("desk", 1))); got["r1"] != 0 {
		t.Fatalf("granted %v above the quota", got)
	}
	b.Return(&peerv1.ReturnSlots{Entry: 1, Ended: []*peerv1.EndedTasks{{Department: "desk", Tasks: 1}}})
	if got := grantedByTarget(b.TryAcquire(acquireRequest("desk", 2))); got["r1"] != 1 {
		t.Errorf("granted %v, want the slot that was freed", got)
	}
	if got := grantedByTarget(b.TryAcquire(acquireRequest("other", 1))); got["r1"] != 1 {
		t.Errorf("granted %v, want a slot for a department without quota", got)
	}
}

// Slots granted to a lost entry are free again after two sweeps.
func TestUnclaimedSlotsAreReclaimed(t *testing.T) {
	b := newBroker(newFakeClock(), nil)
	attach(b, "r1", "nbo1", "a", testSlots)
	b.TryAcquire(acquireRequest("desk", testSlots))
	b.sweep()
	if got := grantedByTarget(b.TryAcquire(acquireRequest("desk", 1))); len(got) != 0 {
		t.Fatalf("granted %v again after one sweep", got)
	}
	b.sweep()
	if got := grantedByTarget(b.TryAcquire(acquireRequest("desk", testSlots))); got["r1"] != testSlots {
		t.Errorf("granted %v, want all slots again", got)
	}
}

// fakeFleet is a broker with targets whose agents report once per step of 100 ms.
type fakeFleet struct {
	b     *Broker
	clock *fakeClock
	loads map[string]*peerv1.Load
}

func newFakeFleet(n int) *fakeFleet {
	p := &fakeFleet{clock: newFakeClock(), loads: make(map[string]*peerv1.Load)}
	p.b = newBroker(p.clock, nil)
	for i := range n {
		name := fmt.Sprintf("r%d", i)
		attach(p.b, name, "nbo1", "a", 0)
		p.loads[name] = &peerv1.Load{}
	}
	return p
}

// step advances the clock by 100 ms and reports for each target the attempts that ended
// on its eight busy slots.
func (p *fakeFleet) step(ends func(name string) (ended, failed uint64)) {
	p.clock.now = p.clock.now.Add(100 * time.Millisecond)
	for name, l := range p.loads {
		ended, failed := ends(name)
		l.Ended += ended
		l.Failed += failed
		l.BusyMs += 100 * testSlots
		copied := &peerv1.Load{Ended: l.Ended, Failed: l.Failed, BusyMs: l.BusyMs}
		p.b.Report(name, copied, true)
	}
	if p.clock.now.UnixMilli()%evaluationInterval.Milliseconds() == 0 {
		p.b.evaluate(p.clock.now)
	}
}

func healthyAttempts(string) (uint64, uint64) { return 2, 0 }

func TestOutliersAreEjectedAndReadmitted(t *testing.T) {
	for _, test := range []struct {
		name          string
		ended, failed uint64
	}{
		{"fails all", 20, 20},
		{"hangs", 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newFakeFleet(10)
			for range 20 {
				p.step(healthyAttempts)
			}
			steps := 0
			for ; len(p.b.EjectedTargets()) == 0 && steps < 30; steps++ {
				p.step(func(name string) (uint64, uint64) {
					if name == "r3" {
						return test.ended, test.failed
					}
					return 2, 0
				})
			}
			if got := p.b.EjectedTargets(); len(got) != 1 || got[0] != "r3" {
				t.Fatalf("ejected %v after %d ms, want r3", got, steps*100)
			}
			p.clock.now = p.clock.now.Add(ejectBase)
			p.b.evaluate(p.clock.now)
			p.b.Report("r3", &peerv1.Load{Free: 8, Ended: p.loads["r3"].Ended, Failed: p.loads["r3"].Failed, BusyMs: p.loads["r3"].BusyMs}, true)
			if got := grantedByTarget(p.b.TryAcquire(acquireRequest("desk", 1))); len(got) != 0 {
				t.Fatalf("probed with a task that is not repeatable: %v", got)
			}
			probe := acquireRequest("desk", 4)
			probe.Repeatable = true
			if got := grantedByTarget(p.b.TryAcquire(probe)); got["r3"] != 1 {
				t.Fatalf("granted %v, want one probe", got)
			}
			for range 10 {
				p.step(healthyAttempts)
			}
			if got := p.b.EjectedTargets(); len(got) != 0 {
				t.Errorf("ejected %v after a successful probe", got)
			}
		})
	}
}

// If all targets fail alike, none is ejected; if many fail, no more than maxEjectedShare.
func TestEjectionIsCapped(t *testing.T) {
	p := newFakeFleet(10)
	for range 30 {
		p.step(func(string) (uint64, uint64) { return 5, 5 })
	}
	if got := p.b.EjectedTargets(); len(got) != 0 {
		t.Errorf("ejected %v while all fail alike", got)
	}
	p = newFakeFleet(10)
	for range 30 {
		p.step(func(name string) (uint64, uint64) {
			if name < "r4" {
				return 5, 5
			}
			return 2, 0
		})
	}
	if got := p.b.EjectedTargets(); len(got) != 2 {
		t.Errorf("ejected %v, want two of ten", got)
	}
}

// Choosing a target must take less than 1 us and not allocate, with as many targets as
// one data centre has.
func BenchmarkPlacement(b *testing.B) {
	const targets = 1450
	broker := newBroker(newFakeClock(), map[string]uint32{"desk": 0})
	for i := range targets {
		attach(broker, fmt.Sprintf("r%d", i), fmt.Sprintf("nbo%d", i%3+1), fmt.Sprintf("rack-%d", i/3), uint32(i%testSlots))
	}
	r := &request{params: acquireRequest("desk", 1)}
	b.ReportAllocs()
	for b.Loop() {
		t := broker.chooseTarget(r)
		t.granted++
		broker.updateIndex(t)
		t.granted--
		broker.updateIndex(t)
	}
}
