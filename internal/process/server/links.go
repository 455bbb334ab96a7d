package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/version/entries"
)

const (
	// unlistedGrace is how long an agent keeps an entry that is no longer listed: the key
	// of the entry may have expired during an outage of the store.
	unlistedGrace = 10 * time.Second
	// sourceInterval is how long an agent gets the list of entries from one entry before it
	// switches to another one, in case the first is cut off from the store.
	sourceInterval = 30 * time.Second
)

// links selects the entries that an agent links with, and the one from which it gets
// changes of the list of entries. It opens and closes no connections itself.
type links struct {
	name, dataCentre string
	log              zerolog.Logger
	// maintain keeps a link to an entry open until its context ends.
	maintain func(context.Context, *dialer)
	// retire starts to retire a linked entry: linkRetired is called once none of its tasks
	// runs on this agent. resume cancels this.
	retire, resume func(address string)

	mu    sync.Mutex
	known *entries.Set
	// revision is the store revision of the latest change in known.
	revision uint64
	// dialers holds the entries that are dialled or linked, by address.
	dialers map[string]*dialer
	// open holds the established links by address.
	// source is the address of the entry that sends changes of the list of entries, and
	// sourceSince the time at which it was selected.
	open        map[string]*peer.Link
	source      string
	sourceSince time.Time
}

// dialer maintains the link to one entry.
type dialer struct {
	address string
	cancel  context.CancelFunc
	// incarnation is the last known incarnation of the entry's process; restarted has a
	// value when it has changed.
	incarnation uint64
	restarted   chan struct{}
	// retiring is set while the entry is being retired.
	retiring bool
}

func newLinks(name, dataCentre string, log zerolog.Logger) *links {
	return &links{
		name:       name,
		dataCentre: dataCentre,
		log:        log,
		known:      entries.NewSet(unlistedGrace),
		dialers:    make(map[string]*dialer),
		open:       make(map[string]*peer.Link),
	}
}

// applyStoreList applies a list of entries read from the store, unless it is older than
// the known one.
func (l *links) applyStoreList(ctx context.Context, all []peer.Entry, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.revision {
		return
	}
	l.revision = revision
	now := time.Now()
	l.known.Replace(all, now)
	l.known.Expire(now)
	l.reconcileLocked(ctx)
}

// applySourceChanges applies a list of entries, or changes of it, from the source. If the
// list is older than the known one, it is ignored and another source is selected.
func (l *links) applySourceChanges(ctx context.Context, from string, changes *peer.Entries) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from != l.source {
		return
	}
	if changes.Revision < l.revision {
		l.log.Warn().Str("from", from).Uint64("revision", changes.Revision).Uint64("known", l.revision).
			Msg("outdated list of entries ignored")
		l.selectSourceLocked(from)
		return
	}
	l.revision = changes.Revision
	for _, name := range changes.Removed {
		l.known.Remove(name)
	}
	now := time.Now()
	present := slices.DeleteFunc(slices.Clone(changes.Present), func(e peer.Entry) bool { return e.Validate() != nil })
	if changes.Complete {
		l.known.Replace(present, now)
		l.known.Expire(now)
	} else {
		for _, e := range present {
			l.known.Put(e)
		}
	}
	l.reconcileLocked(ctx)
}

// linkOpened registers an established link. The first one becomes the source.
func (l *links) linkOpened(address string, link *peer.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[address] = link
	if d := l.dialers[address]; d != nil && d.retiring {
		l.retire(address)
	}
	if l.source == "" {
		l.selectSourceLocked("")
	}
}

// linkClosed removes a broken link, and selects another source if the link led to the
// source.
func (l *links) linkClosed(address string, link *peer.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[address] != link {
		return
	}
	delete(l.open, address)
	if l.source == address {
		l.selectSourceLocked("")
	}
}

// rotateSource selects another source if the present one has been used for sourceInterval.
func (l *links) rotateSource() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.source != "" && time.Since(l.sourceSince) > sourceInterval {
		l.selectSourceLocked(l.source)
	}
}

// selectSourceLocked selects a linked entry as the source and subscribes to its changes
// of the list. The former source is kept only if it is the only linked entry.
func (l *links) selectSourceLocked(former string) {
	l.source = ""
	// The iteration order of a map is random, and so is the selection.
	for address, link := range l.open {
		if l.source == "" || address != former {
			l.source = address
			if address != former {
				link.Send(peer.Frame{Subscribe: &peer.Subscribe{Revision: l.revision, Count: l.known.Len()}})
				break
			}
		}
	}
	l.sourceSince = time.Now()
}

// reconcileLocked dials the entries that are chosen from the list and retires all others.
func (l *links) reconcileLocked(ctx context.Context) {
	chosen := make(map[string]peer.Entry)
	for _, e := range entries.Choose(l.known.All(), l.name, l.dataCentre) {
		chosen[e.Address] = e
	}
	if len(chosen) == 0 {
		return // keep the present links when no entry is known
	}
	for address, e := range chosen {
		l.ensureDialerLocked(ctx, address, e.Incarnation)
	}
	for address, d := range l.dialers {
		if _, ok := chosen[address]; !ok {
			l.retireLocked(d)
		}
	}
}

// dialAddresses dials entries of which only the addresses are known.
func (l *links) dialAddresses(ctx context.Context, addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range addresses {
		l.ensureDialerLocked(ctx, address, 0)
	}
}

// ensureDialerLocked ensures that an entry has a dialer and is not being retired. A
// known restart of the entry cuts the delay before its next dial short.
func (l *links) ensureDialerLocked(ctx context.Context, address string, incarnation uint64) {
	d := l.dialers[address]
	if d == nil {
		dialing, cancel := context.WithCancel(ctx)
		d = &dialer{address: address, cancel: cancel, incarnation: incarnation, restarted: make(chan struct{}, 1)}
		l.dialers[address] = d
		go l.maintain(dialing, d)
		return
	}
	if d.retiring {
		d.retiring = false
		l.resume(address)
	}
	if incarnation != d.incarnation {
		d.incarnation = incarnation
		select {
		case d.restarted <- struct{}{}:
		default:
		}
	}
}

// retireLocked retires an entry. Without a link to it, dialling stops at once; otherwise
// the link is closed when none of the entry's tasks runs on this agent any more.
func (l *links) retireLocked(d *dialer) {
	if l.open[d.address] == nil {
		d.cancel()
		delete(l.dialers, d.address)
		return
	}
	if !d.retiring {
		d.retiring = true
		l.log.Info().Str("entry", d.address).Msg("entry retired")
		l.retire(d.address)
	}
}

// linkRetired closes the link to an entry that is being retired. It is called once none of
// the entry's tasks runs on this agent.
func (l *links) linkRetired(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.dialers[address]; d != nil && d.retiring {
		d.cancel()
		delete(l.dialers, address)
	}
}

// count returns the number of established links.
func (l *links) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
