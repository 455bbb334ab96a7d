package server

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/version/entries"
)

// testLinks is the links of an agent whose dials the test completes.
type testLinks struct {
	*links
	ctx              context.Context
	retiredAddresses []string
}

func newTestLinks(t *testing.T) *testLinks {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := &testLinks{links: newLinks("side-1", "dc0", zerolog.Nop()), ctx: ctx}
	l.maintain = func(ctx context.Context, _ *dialer) { <-ctx.Done() }
	l.retire = func(address string) { l.retiredAddresses = append(l.retiredAddresses, address) }
	l.resume = func(string) {}
	return l
}

// open establishes a link to an entry and returns both of its ends.
func (l *testLinks) open(t *testing.T, address string) (ours, theirs *peer.Link) {
	here, there := net.Pipe()
	ours, theirs = peer.NewLink(here, nil), peer.NewLink(there, nil)
	t.Cleanup(ours.Close)
	t.Cleanup(theirs.Close)
	l.linkOpened(address, ours)
	return ours, theirs
}

// dialled returns the sorted addresses that are dialled or linked, and not being retired.
func (l *testLinks) dialled() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for address, d := range l.dialers {
		if !d.retiring {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func newEntries(n int) []peer.Entry {
	var list []peer.Entry
	for i := range n {
		list = append(list, peer.Entry{
			Name:        fmt.Sprintf("entry-%d", i),
			Address:     fmt.Sprintf("10.0.0.%d:1", i),
			DataCentre:  fmt.Sprintf("dc%d", i%4),
			Incarnation: 1,
		})
	}
	return list
}

// In a large fleet an agent dials some of the entries. It replaces one that its source
// reports as gone.
func TestLostEntryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLinks(t)
		all := newEntries(40)
		l.applyStoreList(l.ctx, all, 100)
		before := l.dialled()
		if len(before) != entries.MaxLinks {
			t.Fatalf("%d entries are dialled, want %d", len(before), entries.MaxLinks)
		}
		_, theirs := l.open(t, before[1])
		if f, err := theirs.Receive(); err != nil || f.Subscribe == nil {
			t.Fatalf("no subscription on the first link: %+v, %v", f, err)
		}
		gone := slices.IndexFunc(all, func(e peer.Entry) bool { return e.Address == before[0] })
		l.applySourceChanges(l.ctx, before[1], &peer.Entries{Revision: 101, Removed: []string{all[gone].Name}})
		after := l.dialled()
		if len(after) != entries.MaxLinks || slices.Contains(after, before[0]) {
			t.Errorf("dialled after the loss of %s: %v", before[0], after)
		}
	})
}

// An entry that is cut off from the store sends an outdated list, which still has an entry
// that has left: the list is ignored and another source is selected.
func TestOutdatedListOfEntriesIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLinks(t)
		all := newEntries(3)
		l.applyStoreList(l.ctx, all[:2], 100)
		l.open(t, all[0].Address)
		_, theirs := l.open(t, all[1].Address)
		l.applySourceChanges(l.ctx, all[0].Address, &peer.Entries{Revision: 90, Complete: true, Present: all})
		if addresses := l.dialled(); len(addresses) != 2 {
			t.Errorf("dialled after an outdated list: %v", addresses)
		}
		if f, err := theirs.Receive(); err != nil || f.Subscribe == nil {
			t.Errorf("no subscription on the other link: %+v, %v", f, err)
		}
		l.applySourceChanges(l.ctx, all[1].Address, &peer.Entries{Revision: 101, Complete: true, Present: all})
		if addresses := l.dialled(); len(addresses) != 3 {
			t.Errorf("dialled after the new list: %v", addresses)
		}
	})
}

// A linked entry that is no longer chosen is retired once none of its tasks runs on the
// agent; one that is not linked is dropped at once.
func TestUnchosenEntryIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLinks(t)
		all := newEntries(entries.MaxLinks)
		l.applyStoreList(l.ctx, all, 100)
		l.open(t, all[0].Address)
		l.open(t, all[1].Address)
		source, linked := l.source, all[0].Address
		if source == linked {
			linked = all[1].Address
		}
		var rest []peer.Entry
		for _, e := range all {
			if e.Address == source {
				rest = append(rest, e)
			}
		}
		l.applySourceChanges(l.ctx, source, &peer.Entries{Revision: 101, Complete: true, Present: rest})
		time.Sleep(unlistedGrace)
		l.applySourceChanges(l.ctx, source, &peer.Entries{Revision: 102, Complete: true, Present: rest})
		if addresses := l.dialled(); !slices.Equal(addresses, []string{source}) {
			t.Errorf("dialled %v", addresses)
		}
		if !slices.Equal(l.retiredAddresses, []string{linked}) || l.dialers[linked] == nil {
			t.Errorf("retired %v", l.retiredAddresses)
		}
		l.linkRetired(linked)
		if l.dialers[linked] != nil {
			t.Error("a retired entry still has a dialer")
		}
	})
}

// An entry that is known to have restarted is dialled at once, without the rest of the
// delay.
func TestRestartedEntryIsDialledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLinks(t)
		all := newEntries(1)
		restarted := make(chan bool, 1)
		l.maintain = func(ctx context.Context, d *dialer) { restarted <- d.waitForRedial(ctx, time.Hour) }
		l.applyStoreList(l.ctx, all, 100)
		synctest.Wait()
		all[0].Incarnation = 2
		l.applyStoreList(l.ctx, all, 101)
		if ok := <-restarted; !ok {
			t.Error("the delay was not cut short")
		}
	})
}

// A source of another version sends entries that cannot be dialled, as read from the store.
func TestOddEntryOfSourceIsNotDialled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLinks(t)
		all := newEntries(2)
		l.applyStoreList(l.ctx, all[:1], 100)
		l.open(t, all[0].Address)
		for i, odd := range []peer.Entry{
			{Name: "odd", Address: "10.0.0.9:99999"}, {Name: "odd", Address: "10.0.0.9:0"}, {Name: "odd", Address: ""}, {Address: "10.0.0.9:1"},
		} {
			changes := peer.Entries{Revision: uint64(101 + i), Complete: i%2 == 0, Present: append([]peer.Entry{odd}, all...)}
			l.applySourceChanges(l.ctx, all[0].Address, &changes)
			if got := l.dialled(); !slices.Equal(got, []string{all[0].Address, all[1].Address}) {
				t.Errorf("beside %+v the agent dials %v", odd, got)
			}
		}
	})
}
