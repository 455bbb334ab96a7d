package server

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/standin/faultstore"
)

// Another writer overwrote the key of an entry: agents that read the list did not find the
// entry for as long as it lived.
func TestOverwrittenRegistrationIsWrittenAgain(t *testing.T) {
	ctx := context.Background()
	for _, odd := range oddRegistrations() {
		f := newFakeStore()
		r := newTestRegistrar(f)
		if err := r.ensureRegistered(ctx); err != nil {
			t.Fatal(err)
		}
		f.set(func() { f.put(r.key, odd) })
		if err := r.ensureRegistered(ctx); err != nil {
			t.Fatal(err)
		}
		listing, _ := f.List(ctx, entryKeyPrefix)
		want := peer.Entry{Name: "e", Address: r.value.Address, Incarnation: r.value.Incarnation}
		if got := decodeEntries(listing.Values, ignoreInvalid()); !slices.Equal(got, []peer.Entry{want}) {
			t.Errorf("%.60s: entries %v", odd, got)
		}
	}
}

// Two processes with one name must not overwrite each other's registration for ever.
func TestRegistrationOfOtherProcessIsNotOverwritten(t *testing.T) {
	ctx := context.Background()
	f := newFakeStore()
	r := newTestRegistrar(f)
	if err := r.ensureRegistered(ctx); err != nil {
		t.Fatal(err)
	}
	f.set(func() { f.put(r.key, registered+"8}") })
	written := f.revision
	if err := r.ensureRegistered(ctx); err != nil || f.revision != written {
		t.Errorf("written again at revision %d: %v", f.revision, err)
	}
}

// newFaultyRegistrar returns a registrar whose store has faults.
func newFaultyRegistrar() (*faultstore.Store, *registrar) {
	f := faultstore.New()
	return f, &registrar{store: f, log: zerolog.Nop(), key: entryKeyPrefix + "e", value: registration{Address: "10.0.0.1:1", Incarnation: 3}}
}

// A stopping entry registered itself again at its next renewal: agents dialled it until the end of
// its lease, after the process had ended.
func TestStoppingEntryIsNotRegisteredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r := newFaultyRegistrar()
		ctx, cancel := context.WithCancel(t.Context())
		go r.run(ctx)
		time.Sleep(time.Second)
		if f.Data(r.key) == "" {
			t.Error("the entry is not registered")
		}
		cancel()
		time.Sleep(4 * renewInterval)
		if data := f.Data(r.key); data != "" {
			t.Errorf("registration after the stop: %s", data)
		}
	})
}

// The write of a registration is executed after its entry has stopped. It must not be stored: the
// entry would be back until the end of the lease.
func TestLateRegistrationOfStoppedEntryIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r := newFaultyRegistrar()
		f.Next(faultstore.Answered, faultstore.ExecutedLate)
		_ = r.ensureRegistered(t.Context())
		r.deregister(t.Context())
		f.ExecuteLate()
		if data := f.Data(r.key); data != "" {
			t.Errorf("registration after the stop: %s", data)
		}
	})
}

// The call that deletes the registration at a planned stop is lost.
func TestUnansweredDeregistrationIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fate := range []faultstore.Fate{faultstore.NotExecuted, faultstore.AnswerLost, faultstore.ExecutedLate} {
			f, r := newFaultyRegistrar()
			if err := r.ensureRegistered(t.Context()); err != nil {
				t.Fatal(err)
			}
			f.Next(fate)
			r.deregister(t.Context())
			if data := f.Data(r.key); data != "" {
				t.Errorf("%v: registration after the stop: %s", fate, data)
			}
		}
	})
}

// Whatever happens to one or two calls of a registration, the key is soon under the lease that is
// renewed, and no lease is left behind by a write without an answer.
func TestUnansweredRegistrationIsRepeatedUnderItsLease(t *testing.T) {
	all := []faultstore.Fate{faultstore.Answered, faultstore.NotExecuted, faultstore.AnswerLost, faultstore.ExecutedLate}
	for _, grant := range all {
		for _, write := range all {
			for _, repeat := range all {
				f, r := newFaultyRegistrar()
				f.Next(grant, write, repeat)
				for range 5 {
					_ = r.ensureRegistered(t.Context())
				}
				f.ExecuteLate()
				f.ExpireOtherLeases(r.lease)
				if err := r.ensureRegistered(t.Context()); err != nil || f.Data(r.key) == "" {
					t.Errorf("%v, %v, %v: %v, stored %q", grant, write, repeat, err, f.Data(r.key))
				}
				if grant == faultstore.Answered && f.Granted() > 1 {
					t.Errorf("%v, %v, %v: %d leases", grant, write, repeat, f.Granted())
				}
			}
		}
	}
}
