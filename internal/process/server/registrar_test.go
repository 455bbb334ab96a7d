package server

import (
	"context"
	"slices"
	"testing"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
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
