package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

// Keys in the platform's key-value store.
const (
	keyPrefix     = "rosemarybay/"
	configPrefix  = keyPrefix + "config/"
	entriesPrefix = keyPrefix + "entries/"
	adoptedPrefix = keyPrefix + "adopted/"
	ticketKeyName = keyPrefix + "keys/ticket"
)

const (
	storeBackoff      = 200 * time.Millisecond
	readyPollInterval = 50 * time.Millisecond
	// maxStoreBackoff limits the backoff between watch calls while the store is down.
	maxStoreBackoff = time.Second
	// watchGrace is added to the wait of a watch call to give its deadline, for a slow
	// store.
	watchGrace = 2500 * time.Millisecond
	// watchTimeoutThreshold is the duration above which a failed watch call counts as
	// timed out rather than refused.
	watchTimeoutThreshold = time.Second
)

// syncWithStore registers the entry and keeps its configuration and roster up to date.
// If the store does not answer at start-up, the entry gets them from its peers and agents.
func (e *Entry) syncWithStore(ctx context.Context) {
	go e.contactLoop(ctx)
	e.retry(ctx, e.loadTicketKey)
	watcher := &storeWatcher{entry: e, entries: make(map[string]*peerv1.RosterEntry)}
	go func() {
		e.retry(ctx, e.register)
		e.retry(ctx, watcher.list)
		watcher.watch(ctx)
	}()
	e.becomeReady(ctx)
}

// becomeReady marks the entry ready once its configuration is confirmed as current.
func (e *Entry) becomeReady(ctx context.Context) {
	e.fetchFromPeers(ctx)
	for e.freshness.remaining(time.Now()) == 0 {
		sleep(ctx, readyPollInterval)
		if ctx.Err() != nil {
			return
		}
		e.fetchFromPeers(ctx)
	}
	e.ready.Store(true)
	e.log.Info().Uint64("incarnation", e.incarnation).Msg("entry ready")
}

// retry calls f until it succeeds or ctx ends.
func (e *Entry) retry(ctx context.Context, f func(context.Context) error) {
	for ctx.Err() == nil {
		err := f(ctx)
		e.recordStoreResult(err)
		if err == nil {
			return
		}
		sleep(ctx, storeBackoff)
	}
}

// recordStoreResult records whether the store is reachable, and logs each change.
func (e *Entry) recordStoreResult(err error) {
	if reachable := err == nil; e.storeReachable.Swap(reachable) != reachable {
		e.log.Info().Bool("reachable", reachable).AnErr("cause", err).Msg("store")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// storeWatcher tracks all keys of the fleet in the store through one watch.
type storeWatcher struct {
	entry    *Entry
	revision uint64
	entries  map[string]*peerv1.RosterEntry
	lapsed   []lapsedEntry
}

// lapsedEntry is an entry whose lease lapsed.
type lapsedEntry struct {
	entry    *peerv1.RosterEntry
	lapsedAt time.Time
}

func (s *storeWatcher) list(ctx context.Context) error {
	sent := time.Now()
	known := max(s.revision, s.entry.config.Load().Revision())
	listing, err := s.entry.store.List(ctx, keyPrefix)
	if err != nil {
		return err
	}
	if !s.entry.checkStoreRevision(known, listing.Revision) {
		return errStoreOld
	}
	s.removeMissingEntries(listing.Values)
	s.apply(listing.Values, listing.Revision)
	s.entry.recordContact(func(f *freshness) { f.recordStore(sent) })
	return nil
}

// removeMissingEntries removes the entries that are absent from a complete listing.
func (s *storeWatcher) removeMissingEntries(values []store.Value) {
	present := make(map[string]struct{}, len(values))
	for _, v := range values {
		present[v.Key] = struct{}{}
	}
	for key := range s.entries {
		if _, ok := present[key]; !ok {
			s.removeEntry(key)
		}
	}
}

func (s *storeWatcher) watch(ctx context.Context) {
	backoff := storeBackoff
	for ctx.Err() == nil {
		sent := time.Now()
		err := s.watchOnce(ctx)
		s.entry.recordStoreResult(err)
		if err == nil {
			backoff = storeBackoff
			continue
		}
		s.entry.counters.Counter("store_watch_failed").Inc(1)
		if time.Since(sent) > watchTimeoutThreshold {
			// While watch calls time out, changes are still read by listing.
			s.entry.recordStoreResult(s.list(ctx))
			continue
		}
		sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxStoreBackoff)
	}
}

func (s *storeWatcher) watchOnce(ctx context.Context) error {
	sent := time.Now()
	wait := s.entry.freshness.watchWait(sent)
	limited, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	listing, err := s.entry.store.Watch(limited, keyPrefix, s.revision, wait)
	if err != nil {
		return err
	}
	if !s.entry.checkStoreRevision(s.revision, listing.Revision) {
		return errStoreOld
	}
	if listing.Compacted {
		return s.list(ctx)
	}
	s.apply(listing.Values, listing.Revision)
	s.entry.recordContact(func(f *freshness) { f.recordStore(sent) })
	return nil
}

// apply applies changed values, which are ordered by revision.
func (s *storeWatcher) apply(values []store.Value, revision uint64) {
	s.revision = revision
	update := &peerv1.ConfigUpdate{FromRevision: s.entry.config.Load().Revision()}
	rosterChanged := false
	for _, v := range values {
		switch {
		case strings.HasPrefix(v.Key, configPrefix):
			s.entry.appendObject(update, v)
		case strings.HasPrefix(v.Key, adoptedPrefix):
			s.entry.adoptions.applyStored(v)
		case strings.HasPrefix(v.Key, entriesPrefix):
			rosterChanged = true
			s.applyEntry(v)
		}
	}
	if len(update.GetObjects()) > 0 {
		s.entry.applyConfig(update)
	}
	if rosterChanged {
		s.publishRoster()
	}
}

// appendObject appends a stored object to an update; one that cannot be used is recorded.
func (e *Entry) appendObject(update *peerv1.ConfigUpdate, v store.Value) {
	o, err := decodeObject(v)
	if err != nil {
		e.invalidObjects.Record(v.Key, v.Revision, err)
		return
	}
	update.Objects = append(update.Objects, o)
	update.Revision = max(update.GetRevision(), v.Revision)
}

// decodeObject decodes a stored object, which must be the one that its key names.
func decodeObject(v store.Value) (*apiv1.Object, error) {
	o := &apiv1.Object{}
	if v.Deleted {
		return nil, eris.New("object was deleted")
	}
	if err := proto.Unmarshal(v.Data, o); err != nil {
		return nil, eris.Wrap(err, "decode object")
	}
	if objectKey(o.GetKind(), o.GetName()) != v.Key {
		return nil, eris.Errorf("object %q of kind %v has another key", o.GetName(), o.GetKind())
	}
	o.Revision = v.Revision
	return o, nil
}

func (s *storeWatcher) applyEntry(v store.Value) {
	defer func() { s.entry.voters.record(s.entries, time.Now()) }()
	if v.Deleted {
		s.removeEntry(v.Key)
		return
	}
	e, err := decodeRosterEntry(v.Data)
	if err != nil {
		s.entry.invalidEntries.Record(v.Key, v.Revision, err)
		return
	}
	s.entries[v.Key] = e
	s.removeLapsed(e.GetName())
}

// decodeRosterEntry decodes the registration of an entry.
func decodeRosterEntry(data []byte) (*peerv1.RosterEntry, error) {
	e := &peerv1.RosterEntry{}
	if err := proto.Unmarshal(data, e); err != nil {
		return nil, eris.Wrap(err, "decode roster entry")
	}
	if e.GetIncarnation() == 0 {
		return nil, eris.New("incarnation is missing")
	}
	return e, errors.Join(
		bounds.CheckName("name", e.GetName()),
		bounds.CheckIPPort("peer address", e.GetPeerAddress()),
	)
}

// removeEntry removes an entry. One that did not stop as planned is kept as lapsed, since
// it may still run, partitioned from the store.
func (s *storeWatcher) removeEntry(key string) {
	e := s.entries[key]
	delete(s.entries, key)
	switch {
	case e == nil:
	case e.GetDraining():
		s.entry.voters.recordStop(e.GetName(), time.Now())
	default:
		s.lapsed = append(s.lapsed, lapsedEntry{entry: e, lapsedAt: time.Now()})
	}
}

// removeLapsed removes the lapsed entries of a name, which a new incarnation has
// replaced.
func (s *storeWatcher) removeLapsed(name string) {
	s.lapsed = slices.DeleteFunc(s.lapsed, func(l lapsedEntry) bool { return l.entry.GetName() == name })
}

func (s *storeWatcher) publishRoster() {
	entries := make([]*peerv1.RosterEntry, 0, len(s.entries))
	for _, e := range s.entries {
		entries = append(entries, e)
	}
	r := roster.New(s.revision, entries)
	for _, l := range s.lapsed {
		if time.Since(l.lapsedAt) < storeOutageLimit {
			r.Lapsed = append(r.Lapsed, l.entry)
		}
	}
	s.entry.applyRoster(r)
}

// applyRoster applies a roster if it is newer, and sends it to the agents.
func (e *Entry) applyRoster(r *roster.Roster) {
	if e.roster.Apply(r) {
		e.forEachAgent(func(a *agentLink) { a.sendRoster(r) })
		e.broker.RetainEntries(r.Entries)
	}
}

// applyConfig applies a configuration update and sends it to the agents.
func (e *Entry) applyConfig(u *peerv1.ConfigUpdate) {
	before := e.config.Load().Revision()
	isNewer, ok := e.config.Apply(u)
	if !ok {
		e.counters.Counter("config_gaps").Inc(1)
	}
	if !isNewer {
		return
	}
	snapshot := e.config.Load()
	e.forEachAgent(func(a *agentLink) { a.sendConfig(snapshot, before) })
	e.dispatcher.Refresh()
}
