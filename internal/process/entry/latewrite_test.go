package entry

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/standin/faultstore"
)

var allFates = []faultstore.Fate{faultstore.Answered, faultstore.NotExecuted, faultstore.AnswerLost, faultstore.ExecutedLate}

// newFaultyEntry returns an entry without connections, whose store has faults.
func newFaultyEntry(incarnation uint64) (*faultstore.Store, *Entry) {
	f := faultstore.New()
	e := newTestWatcher().entry
	e.store, e.incarnation, e.lease = f, incarnation, newLease(testPeriod)
	e.freshness = newFreshness(testPeriod, time.Now())
	e.settings = &settings.Settings{Name: "e", Entry: &settings.Entry{PeerAdvertise: "10.0.0.1:7000"}}
	return f, e
}

// A registration whose answer was lost was removed and written anew: to all others the entry was
// lost in between, and its tickets could be adopted.
func TestUnansweredRegistrationIsNotRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, grant := range allFates {
			for _, write := range allFates {
				for _, repeat := range allFates {
					f, e := newFaultyEntry(7)
					f.Next(grant, write, repeat)
					e.retry(t.Context(), e.register)
					f.ExecuteLate()
					f.ExpireOtherLeases(e.lease.id)
					time.Sleep(2 * testPeriod)
					if data := f.Data(entryKey(7)); data == "" || f.Removed() > 0 {
						t.Errorf("%v, %v, %v: stored %q, %d times removed", grant, write, repeat, data, f.Removed())
					}
					if grant == faultstore.Answered && f.Granted() > 1 {
						t.Errorf("%v, %v, %v: %d leases", grant, write, repeat, f.Granted())
					}
				}
			}
		}
	})
}

// The successor of a stopping entry is stored and the answer is lost: the entry kept its remembered
// answers to itself, though the store named the successor.
func TestUnansweredSuccessorIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, first := range allFates {
			for _, second := range allFates {
				f, e := newFaultyEntry(7)
				f.Next(first, second)
				err := e.recordSuccessor(t.Context(), 9)
				if err != nil || e.adoptions.adopter(7) != 9 || f.Data(adoptedKey(7)) == "" {
					t.Errorf("%v, %v: %v, known adopter %d, stored %q", first, second, err, e.adoptions.adopter(7), f.Data(adoptedKey(7)))
				}
			}
		}
	})
}

// Another entry has adopted the tickets first: a repeat must not take its refusal for success.
func TestOtherAdopterIsNotReplacedBySuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fate := range allFates {
			f, e := newFaultyEntry(7)
			other := marshal(t, &peerv1.Adoption{Incarnation: 7, Adopter: 8, Generation: 1})
			f.Set(adoptedKey(7), other)
			f.Next(fate)
			if err := e.recordSuccessor(t.Context(), 9); err == nil || f.Data(adoptedKey(7)) != string(other) {
				t.Errorf("%v: %v", fate, err)
			}
		}
	})
}

// The mark of a stopping entry was written once: without an answer, all others took its end for a
// loss and counted it for majorities. A late mark must not list it again after its end.
func TestUnansweredDrainingMarkIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, first := range allFates {
			for _, second := range allFates {
				f, e := newFaultyEntry(7)
				e.retry(t.Context(), e.register)
				f.Next(first, second)
				e.announceDraining(t.Context())
				stored, err := decodeRosterEntry([]byte(f.Data(entryKey(7))))
				if err != nil || !stored.GetDraining() {
					t.Errorf("%v, %v: stored %v, %v", first, second, stored, err)
				}
				e.unregister()
				f.ExecuteLate()
				if data := f.Data(entryKey(7)); data != "" {
					t.Errorf("%v, %v: listed after its end", first, second)
				}
			}
		}
	})
}

// While the store is down, the end of an entry is not held up for long.
func TestDrainingMarkDoesNotHoldUpEndDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e := newFaultyEntry(7)
		e.retry(t.Context(), e.register)
		f.Next(slices.Repeat([]faultstore.Fate{faultstore.NotExecuted}, 1000)...)
		begun := time.Now()
		e.announceDraining(t.Context())
		if took := time.Since(begun); took > 2*time.Second {
			t.Errorf("held up for %v", took)
		}
		f.Next()
	})
}

// Two entries create the ticket key at the same time, one of them by a late write: both must use
// the one that is stored, or neither accepts the tickets of the other.
func TestLateTicketKeyReplacesNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, first := range allFates {
			for _, second := range allFates {
				f, a := newFaultyEntry(7)
				_, b := newFaultyEntry(8)
				b.store = f
				f.Next(first, second)
				keys := make(map[string]bool)
				for _, e := range []*Entry{a, b, a, b, a, b} {
					if key, err := e.readOrCreateTicketKey(t.Context()); err == nil {
						keys[string(key)] = true
					}
				}
				f.ExecuteLate()
				keys[f.Data(ticketKeyName)] = true
				if len(keys) != 1 {
					t.Errorf("%v, %v: %d ticket keys", first, second, len(keys))
				}
			}
		}
	})
}

// Two entries claim the tickets of a lost one, and the answers are lost or late: exactly one may
// hold them, and it must be the one that the store names.
func TestUnansweredClaimsHaveOneAdopter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, first := range allFates {
			for _, second := range allFates {
				f, a := newFaultyEntry(7)
				_, b := newFaultyEntry(8)
				b.store = f
				for _, e := range []*Entry{a, b} {
					e.jobs = jobs.NewTable(e.incarnation, ticket.Key{}, time.Minute, e.dispatcher, e.counters)
					e.retry(ctx, e.register)
				}
				f.Next(first, second)
				for i, e := range []*Entry{a, b, a, b, a, b} {
					_ = e.adopt(ctx, 9)
					if i == 3 {
						f.ExecuteLate()
					}
				}
				stored, err := decodeAdoption(store.Value{Key: adoptedKey(9), Data: []byte(f.Data(adoptedKey(9)))})
				if err != nil {
					t.Fatal(err)
				}
				for _, e := range []*Entry{a, b} {
					if holds := e.adoptions.get(9) != nil; holds != (stored.GetAdopter() == e.incarnation) {
						t.Errorf("%v, %v: entry %d holds the tickets: %t, adopter %d", first, second, e.incarnation, holds, stored.GetAdopter())
					}
				}
				for _, e := range []*Entry{a, b} {
					e.unregister()
					e.adoptions.abandon(0, "end of the test")
				}
			}
		}
	})
}
