package server

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

// subscribe subscribes to a directory and returns the lists and changes it sends.
func subscribe(t *testing.T, d *directory) <-chan peer.Entries {
	here, there := net.Pipe()
	link := peer.NewLink(here, nil)
	t.Cleanup(link.Close)
	t.Cleanup(func() { _ = there.Close() })
	received := make(chan peer.Entries, 100)
	d.subscribe(link, peer.Subscribe{}, func(e peer.Entries) { received <- e })
	return received
}

func startDirectory(t *testing.T, f *fakeStore) *directory {
	d := newDirectory(f, zerolog.Nop(), ignoreInvalid())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

const registered = `{"address":"10.0.0.1:1","data_centre":"dc0","incarnation":`

// Subscribers get new entries and new processes at once, and the loss of an expired entry
// only after entryGrace. During an outage of the store all known entries stay.
func TestDirectoryKeepsEntriesDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.put(entryKeyPrefix+"a", registered+"1}")
		d := startDirectory(t, f)
		time.Sleep(time.Second)
		received := subscribe(t, d)
		if whole := <-received; !whole.Complete || len(whole.Present) != 1 || whole.Revision != 11 {
			t.Fatalf("first list is %+v", whole)
		}
		here, _ := net.Pipe()
		link := peer.NewLink(here, nil)
		defer link.Close()
		again := make(chan peer.Entries, 100)
		d.subscribe(link, peer.Subscribe{Revision: 11, Count: 1}, func(e peer.Entries) { again <- e })
		if same := <-again; same.Complete || len(same.Present) > 0 || same.Revision != 11 {
			t.Errorf("a subscriber with the present list got %+v", same)
		}
		f.set(func() { f.put(entryKeyPrefix+"b", registered+"2}") })
		if change := <-received; change.Complete || len(change.Present) != 1 || change.Present[0].Name != "b" {
			t.Errorf("after a new entry, the change is %+v", change)
		}
		f.set(func() { f.down = true })
		time.Sleep(time.Minute)
		if d.Len() != 2 {
			t.Errorf("%d entries are known during an outage of the store", d.Len())
		}
		f.set(func() { f.down = false; delete(f.values, entryKeyPrefix+"a"); f.revision++ })
		back := time.Now()
		gone := <-received
		if len(gone.Removed) != 1 || gone.Removed[0] != "a" || len(gone.Present) > 0 {
			t.Errorf("after an entry expired, the change is %+v", gone)
		}
		if after := time.Since(back); after < entryGrace || after > entryGrace+directoryReadInterval+directoryWatchTimeout {
			t.Errorf("an expired entry is removed after %v", after)
		}
	})
}

// The store has compacted its history and stale reads return an older state: all entries
// are read again without a stale read, and not in a tight loop.
func TestDirectoryReadsAgainAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.put(entryKeyPrefix+"a", registered+"1}")
		old, _ := f.List(context.Background(), entryKeyPrefix)
		f.put(entryKeyPrefix+"b", registered+"2}")
		f.stale, f.oldest = &old, f.revision
		d := startDirectory(t, f)
		time.Sleep(time.Second)
		if d.Len() != 2 {
			t.Errorf("%d entries are known", d.Len())
		}
		f.set(func() { f.calls = 0; f.oldest = f.revision + 1 })
		time.Sleep(10 * time.Second)
		f.set(func() {
			if f.calls > 200 {
				t.Errorf("%d calls of a store without history in ten seconds", f.calls)
			}
		})
	})
}

// A subscriber gets nothing before the first read of the store: it would treat an empty
// list as the complete one.
func TestDirectorySendsNothingBeforeFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.down = true
		f.put(entryKeyPrefix+"a", registered+"1}")
		d := startDirectory(t, f)
		received := subscribe(t, d)
		time.Sleep(time.Second)
		if len(received) > 0 {
			t.Fatalf("got %+v before the first read", <-received)
		}
		f.set(func() { f.down = false })
		if whole := <-received; !whole.Complete || len(whole.Present) != 1 {
			t.Errorf("first list is %+v", whole)
		}
	})
}
