package server

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/version/entries"
)

const (
	// directoryWatchTimeout is how long a watch call waits for a change.
	directoryWatchTimeout = 2 * time.Second
	// directoryReadInterval is the time between full reads of the list, since a watch may
	// miss changes.
	directoryReadInterval = 30 * time.Second
	// directoryRetryDelay is the delay after a failed call of the store.
	directoryRetryDelay = 200 * time.Millisecond
	// entryGrace is how long an entry is kept after its key is gone: an entry whose key
	// expired during an outage of the store registers again within two seconds after it.
	entryGrace = 3 * time.Second
)

// directory maintains the list of entries from the store and sends each change to its
// subscribers, the agents.
type directory struct {
	store   registryStore
	log     zerolog.Logger
	invalid *eventlog.InvalidValues

	mu    sync.Mutex
	known *entries.Set
	// watchedRevision is the store revision up to which all changes are known, 0 before
	// the first read; changeRevision is that of the latest change of an entry.
	watchedRevision, changeRevision uint64
	// subscribers are called with each change, in order. They must not block.
	subscribers map[*peer.Link]func(peer.Entries)
	storeLost   bool
}

func newDirectory(s registryStore, log zerolog.Logger, invalid *eventlog.InvalidValues) *directory {
	return &directory{
		store:       s,
		log:         log,
		invalid:     invalid,
		known:       entries.NewSet(entryGrace),
		subscribers: make(map[*peer.Link]func(peer.Entries)),
	}
}

// Len returns the number of known entries.
func (d *directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Len()
}

// subscribe calls notify with all entries, once they have been read, and then with each
// change until the link is closed. A subscriber that already has the present list first
// gets only its revision.
func (d *directory) subscribe(link *peer.Link, known peer.Subscribe, notify func(peer.Entries)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.subscribers[link]; !ok {
		go d.unsubscribeWhenClosed(link)
	}
	d.subscribers[link] = notify
	switch {
	case d.watchedRevision == 0:
	case known.Revision == d.changeRevision && known.Count == d.known.Len():
		notify(peer.Entries{Revision: d.changeRevision})
	default:
		notify(d.fullListLocked())
	}
}

// fullListLocked returns the whole list; the caller holds d.mu.
func (d *directory) fullListLocked() peer.Entries {
	return peer.Entries{Revision: d.changeRevision, Complete: true, Present: d.known.All()}
}

// unsubscribeWhenClosed removes the subscriber of a link once the link is closed.
func (d *directory) unsubscribeWhenClosed(link *peer.Link) {
	<-link.Done()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.subscribers, link)
}

// run reads the list and watches it for changes, until ctx ends.
func (d *directory) run(ctx context.Context) {
	list := d.store.ListStale
	for ctx.Err() == nil {
		err := d.read(ctx, list)
		list = d.store.ListStale
		for begun := time.Now(); err == nil && time.Since(begun) < directoryReadInterval; {
			err = d.watch(ctx)
		}
		if errors.Is(err, errCompacted) {
			// A stale list can be older than the history that the store keeps, and a
			// watch from there would fail again.
			list, err = d.store.List, nil
			sleep(ctx, directoryRetryDelay)
		}
		d.logStoreState(ctx, err)
		if err != nil {
			d.expire()
			sleep(ctx, directoryRetryDelay)
		}
	}
}

// logStoreState logs when the store becomes unreachable and when it is reachable again.
func (d *directory) logStoreState(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case err != nil && !d.storeLost:
		d.log.Warn().Err(err).Int("entries", d.Len()).Msg("cannot read the list of entries from the store")
		d.storeLost = true
	case err == nil && d.storeLost:
		d.log.Info().Int("entries", d.Len()).Msg("list of entries read from the store again")
		d.storeLost = false
	}
}

// errCompacted reports that the store has compacted the changes that a watch asked for.
var errCompacted = eris.New("store has compacted the requested history")

// read replaces the list by that of the store. A listing may be some seconds old: the
// watch that follows returns what has changed since.
func (d *directory) read(ctx context.Context, list func(context.Context, string) (store.Listing, error)) error {
	listing, err := list(ctx, entryKeyPrefix)
	if err != nil {
		return err
	}
	recordUnreadable(d.invalid, entryKeyPrefix, listing)
	d.mu.Lock()
	defer d.mu.Unlock()
	if listing.Revision < d.watchedRevision {
		return nil
	}
	first := d.watchedRevision == 0
	d.watchedRevision = listing.Revision
	d.changeRevision = max(d.changeRevision, latestRevision(listing.Values))
	changed := d.known.Replace(decodeEntries(listing.Values, d.invalid), time.Now())
	if first {
		for _, notify := range d.subscribers {
			notify(d.fullListLocked())
		}
		return nil
	}
	d.notifyLocked(changed, d.known.Expire(time.Now()))
	return nil
}

// watch waits for changes, at most for directoryWatchTimeout, and applies them.
func (d *directory) watch(ctx context.Context) error {
	d.mu.Lock()
	after := d.watchedRevision
	d.mu.Unlock()
	listing, err := d.store.Watch(ctx, entryKeyPrefix, after, directoryWatchTimeout)
	if err != nil {
		return err
	}
	if listing.Compacted {
		return errCompacted
	}
	recordUnreadable(d.invalid, entryKeyPrefix, listing)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchedRevision = max(d.watchedRevision, listing.Revision)
	d.changeRevision = max(d.changeRevision, latestRevision(listing.Values))
	var changed []peer.Entry
	for _, v := range listing.Values {
		var listed []peer.Entry
		if !v.Deleted {
			listed = decodeEntries([]store.Value{v}, d.invalid)
		}
		if len(listed) == 0 {
			d.known.MarkMissing(strings.TrimPrefix(v.Key, entryKeyPrefix), time.Now())
		}
		for _, e := range listed {
			if d.known.Put(e) {
				changed = append(changed, e)
			}
		}
	}
	d.notifyLocked(changed, d.known.Expire(time.Now()))
	return nil
}

func (d *directory) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notifyLocked(nil, d.known.Expire(time.Now()))
}

// notifyLocked logs changes and sends them to all subscribers; the caller holds d.mu.
func (d *directory) notifyLocked(changed []peer.Entry, gone []string) {
	if len(changed) == 0 && len(gone) == 0 {
		return
	}
	for _, e := range changed {
		d.log.Info().Str("entry", e.Name).Str("address", e.Address).Uint64("incarnation", e.Incarnation).
			Uint64("revision", d.changeRevision).Msg("entry learned")
	}
	if len(gone) > 0 {
		d.log.Info().Strs("entries", gone).Uint64("revision", d.changeRevision).Msg("entries gone")
	}
	for _, notify := range d.subscribers {
		notify(peer.Entries{Revision: d.changeRevision, Present: changed, Removed: gone})
	}
}

// latestRevision returns the highest revision of values.
func latestRevision(values []store.Value) uint64 {
	var latest uint64
	for _, v := range values {
		latest = max(latest, v.Revision)
	}
	return latest
}

// decodeEntries decodes registrations from the store. Invalid ones are recorded and skipped.
func decodeEntries(values []store.Value, invalid *eventlog.InvalidValues) []peer.Entry {
	var list []peer.Entry
	for _, v := range values {
		e, err := decodeEntry(v)
		if err != nil {
			invalid.Record(v.Key, v.Revision, err)
			continue
		}
		list = append(list, e)
	}
	return list
}

// decodeEntry decodes the registration of an entry.
func decodeEntry(v store.Value) (peer.Entry, error) {
	var r registration
	if err := json.Unmarshal(v.Data, &r); err != nil {
		return peer.Entry{}, eris.Wrap(err, "decode registration")
	}
	e := peer.Entry{
		Name:        strings.TrimPrefix(v.Key, entryKeyPrefix),
		Address:     r.Address,
		DataCentre:  r.DataCentre,
		Incarnation: r.Incarnation,
	}
	return e, e.Validate()
}
