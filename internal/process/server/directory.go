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
	"github.com/rosemarybay/rosemarybay/internal/version/entries"
)

const (
	// directoryWatch is how long a watch of the entries waits for a change.
	directoryWatch = 2 * time.Second
	// directoryRead is the time after which all entries are read again, since a watch
	// may miss what happens.
	directoryRead = 30 * time.Second
	// directoryRetry is the pause after a call that failed.
	directoryRetry = 200 * time.Millisecond
	// entryGrace is how long an entry is kept whose key has gone: one that lapsed while
	// the store was away is back within two seconds of its return.
	entryGrace = 3 * time.Second
)

// directory keeps the list of entries up to date from the store, and tells those who
// follow it of each change.
type directory struct {
	store rosterStore
	log   zerolog.Logger

	mu  sync.Mutex
	set *entries.Set
	// watched is the revision of the store up to which all is known, changed that of
	// the latest change of an entry.
	watched, changed uint64
	// followers are called with each change, in order; they must not block.
	followers map[*peer.Link]func(peer.Entries)
	lost      bool
}

func newDirectory(s rosterStore, log zerolog.Logger) *directory {
	return &directory{
		store:     s,
		log:       log,
		set:       entries.NewSet(entryGrace),
		followers: make(map[*peer.Link]func(peer.Entries)),
	}
}

// Len returns the number of entries known.
func (d *directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set.Len()
}

// follow calls tell with all entries, once they have been read, and then with each
// change until the link is closed. A follower that knows them is told so.
func (d *directory) follow(link *peer.Link, known peer.Follow, tell func(peer.Entries)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.followers[link]; !ok {
		go d.forget(link)
	}
	d.followers[link] = tell
	switch {
	case d.watched == 0:
	case known.Revision == d.changed && known.Count == d.set.Len():
		tell(peer.Entries{Revision: d.changed})
	default:
		tell(d.wholeLocked())
	}
}

func (d *directory) wholeLocked() peer.Entries {
	return peer.Entries{Revision: d.changed, Whole: true, Present: d.set.All()}
}

func (d *directory) forget(link *peer.Link) {
	<-link.Done()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.followers, link)
}

// run reads all entries, and then watches them.
func (d *directory) run(ctx context.Context) {
	list := d.store.ListStale
	for ctx.Err() == nil {
		err := d.read(ctx, list)
		list = d.store.ListStale
		for begun := time.Now(); err == nil && time.Since(begun) < directoryRead; {
			err = d.watch(ctx)
		}
		if errors.Is(err, errHistoryGone) {
			// A stale list may lie before the history that there is.
			list, err = d.store.List, nil
			sleep(ctx, directoryRetry)
		}
		d.note(ctx, err)
		if err != nil {
			d.expire()
			sleep(ctx, directoryRetry)
		}
	}
}

// note logs the loss of the store and its return.
func (d *directory) note(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case err != nil && !d.lost:
		d.log.Warn().Err(err).Int("entries", d.Len()).Msg("entries not read")
		d.lost = true
	case err == nil && d.lost:
		d.log.Info().Int("entries", d.Len()).Msg("entries read again")
		d.lost = false
	}
}

// errHistoryGone reports that the store has dropped the changes that a watch asked for.
var errHistoryGone = eris.New("history of the store is gone")

// read takes all entries. The answer may be seconds old: what has changed since is
// brought by the watch that follows.
func (d *directory) read(ctx context.Context, list func(context.Context, string) (store.Listing, error)) error {
	listing, err := list(ctx, rosterPrefix)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if listing.Revision < d.watched {
		return nil
	}
	first := d.watched == 0
	d.watched = listing.Revision
	d.changed = max(d.changed, latestOf(listing.Values))
	changed := d.set.Replace(decodeEntries(listing.Values, d.log), time.Now())
	if first {
		for _, tell := range d.followers {
			tell(d.wholeLocked())
		}
		return nil
	}
	d.tellLocked(changed, d.set.Expire(time.Now()))
	return nil
}

// watch waits for one change, or for directoryWatch.
func (d *directory) watch(ctx context.Context) error {
	d.mu.Lock()
	after := d.watched
	d.mu.Unlock()
	listing, err := d.store.Watch(ctx, rosterPrefix, after, directoryWatch)
	if err != nil {
		return err
	}
	if listing.Compacted {
		return errHistoryGone
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watched = max(d.watched, listing.Revision)
	d.changed = max(d.changed, latestOf(listing.Values))
	var changed []peer.Entry
	for _, v := range listing.Values {
		if v.Deleted {
			d.set.Miss(strings.TrimPrefix(v.Key, rosterPrefix), time.Now())
			continue
		}
		for _, e := range decodeEntries([]store.Value{v}, d.log) {
			if d.set.Put(e) {
				changed = append(changed, e)
			}
		}
	}
	d.tellLocked(changed, d.set.Expire(time.Now()))
	return nil
}

func (d *directory) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tellLocked(nil, d.set.Expire(time.Now()))
}

func (d *directory) tellLocked(changed []peer.Entry, gone []string) {
	if len(changed) == 0 && len(gone) == 0 {
		return
	}
	for _, e := range changed {
		d.log.Info().Str("entry", e.Name).Str("address", e.Address).Uint64("incarnation", e.Incarnation).
			Uint64("revision", d.changed).Msg("entry learned")
	}
	if len(gone) > 0 {
		d.log.Info().Strs("entries", gone).Uint64("revision", d.changed).Msg("entries gone")
	}
	for _, tell := range d.followers {
		tell(peer.Entries{Revision: d.changed, Present: changed, Gone: gone})
	}
}

// latestOf returns the revision of the latest change among values.
func latestOf(values []store.Value) uint64 {
	var latest uint64
	for _, v := range values {
		latest = max(latest, v.Revision)
	}
	return latest
}

// decodeEntries returns the entries in values of the store. A key that cannot be read
// names no entry.
func decodeEntries(values []store.Value, log zerolog.Logger) []peer.Entry {
	var list []peer.Entry
	for _, v := range values {
		var r registration
		if err := json.Unmarshal(v.Data, &r); err != nil || r.Address == "" {
			log.Warn().Err(err).Str("key", v.Key).Msg("registration not read")
			continue
		}
		list = append(list, peer.Entry{
			Name:        strings.TrimPrefix(v.Key, rosterPrefix),
			Address:     r.Address,
			DataCentre:  r.DataCentre,
			Incarnation: r.Incarnation,
		})
	}
	return list
}
