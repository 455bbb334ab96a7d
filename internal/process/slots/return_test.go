package slots

import (
	"testing"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// An entry repeats a return whose answer was lost. The broker must not release the slots of
// other tasks for it, which would take the department beyond its quota.
func TestRepeatedReturnReleasesSlotsOnce(t *testing.T) {
	const quota = 4
	newBrokerInUse := func() *Broker {
		b := newBroker(newFakeClock(), map[string]uint32{"desk": quota})
		attach(b, "r1", "nbo1", "a", testSlots)
		if got := grantedByTarget(b.TryAcquire(acquireRequest("desk", quota)))["r1"]; got != quota {
			t.Fatalf("%d slots granted, want %d", got, quota)
		}
		return b
	}
	ended := func(entry, sequence uint64) *peerv1.ReturnSlots {
		return &peerv1.ReturnSlots{Entry: entry, Sequence: sequence, Ended: []*peerv1.EndedTasks{{Department: "desk", Tasks: 1}}}
	}
	for _, c := range []struct {
		name    string
		returns []*peerv1.ReturnSlots
		want    uint32
	}{
		{"one", []*peerv1.ReturnSlots{ended(1, 1)}, 1},
		{"repeated", []*peerv1.ReturnSlots{ended(1, 1), ended(1, 1), ended(1, 1)}, 1},
		{"two", []*peerv1.ReturnSlots{ended(1, 1), ended(1, 2)}, 2},
		{"two out of order, repeated", []*peerv1.ReturnSlots{ended(1, 2), ended(1, 1), ended(1, 2)}, 2},
		{"without numbers", []*peerv1.ReturnSlots{ended(1, 0), ended(1, 0)}, 2},
		{"another entry's", []*peerv1.ReturnSlots{ended(1, 1), ended(2, 1)}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBrokerInUse()
			for _, m := range c.returns {
				b.Return(m)
			}
			if got := grantedByTarget(b.TryAcquire(acquireRequest("desk", quota)))["r1"]; got != c.want {
				t.Errorf("%d slots granted afterwards, want %d", got, c.want)
			}
		})
	}
}

// A grant that is returned twice must not make the slot of another grant look free.
func TestRepeatedReturnOfUnusedSlotsCountsOnce(t *testing.T) {
	b := newBroker(newFakeClock(), nil)
	attach(b, "r1", "nbo1", "a", testSlots)
	for range 2 {
		b.TryAcquire(acquireRequest("desk", testSlots/2))
	}
	m := &peerv1.ReturnSlots{Entry: 1, Sequence: 1, Slots: []*peerv1.GrantedSlots{{Target: "r1", Slots: 1}}}
	b.Return(m)
	b.Return(m)
	if got := grantedByTarget(b.TryAcquire(acquireRequest("desk", testSlots)))["r1"]; got != 1 {
		t.Errorf("%d slots granted, want the returned one", got)
	}
}

// Each ended task of a department with a quota is a return; the broker must not keep them all.
func TestHandledReturnsAreForgotten(t *testing.T) {
	clock := newFakeClock()
	b := newBroker(clock, nil)
	b.Return(&peerv1.ReturnSlots{Entry: 1, Sequence: 1})
	clock.now = clock.now.Add(returnMemory)
	b.sweep()
	if len(b.returns) != 1 {
		t.Error("a return is forgotten while its repeat may arrive")
	}
	clock.now = clock.now.Add(time.Nanosecond)
	b.sweep()
	if len(b.returns) != 0 {
		t.Error("a return is kept although no repeat can arrive")
	}
}
