package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

// Keys in the platform's store.
const (
	keyPrefix     = "rosemarybay/"
	configPrefix  = keyPrefix + "config/"
	entriesPrefix = keyPrefix + "entries/"
	adoptedPrefix = keyPrefix + "adopted/"
	ticketKeyName = keyPrefix + "keys/ticket"
)

const (
	storeBackoff  = 200 * time.Millisecond
	startInterval = 50 * time.Millisecond
	// maxStoreBackoff bounds the calls of an entry while the store is down.
	maxStoreBackoff = time.Second
	// watchGrace is added to the wait of a watch, for a store that is slow.
	watchGrace = 2500 * time.Millisecond
	// silentAfter tells a watch without an answer from one that was refused.
	silentAfter = time.Second
)

// follow registers the entry and keeps its configuration and roster up to date.
// While the store does not answer at the start, the entry learns them from its
// peers and agents.
func (e *Entry) follow(ctx context.Context) {
	go e.keepContact(ctx)
	e.retry(ctx, e.loadTicketKey)
	state := &storeState{entry: e, entries: make(map[string]*peerv1.RosterEntry)}
	go func() {
		e.retry(ctx, e.register)
		e.retry(ctx, state.list)
		state.watch(ctx)
	}()
	e.start(ctx)
}

// start makes the entry ready once its configuration is the present one.
func (e *Entry) start(ctx context.Context) {
	e.learnFromPeers(ctx)
	for e.freshness.remaining(time.Now()) == 0 {
		sleep(ctx, startInterval)
		if ctx.Err() != nil {
			return
		}
		e.learnFromPeers(ctx)
	}
	e.ready.Store(true)
	e.log.Info().Uint64("incarnation", e.incarnation).Msg("entry ready")
}

// retry calls f until it succeeds or ctx ends.
func (e *Entry) retry(ctx context.Context, f func(context.Context) error) {
	for ctx.Err() == nil {
		err := f(ctx)
		e.noteStore(err)
		if err == nil {
			return
		}
		sleep(ctx, storeBackoff)
	}
}

// noteStore logs each change between a reachable and an unreachable store.
func (e *Entry) noteStore(err error) {
	if reachable := err == nil; e.reachable.Swap(reachable) != reachable {
		e.log.Info().Bool("reachable", reachable).AnErr("cause", err).Msg("store")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// storeState follows the store's keys by one watch.
type storeState struct {
	entry    *Entry
	revision uint64
	entries  map[string]*peerv1.RosterEntry
	lapsed   []lapsedEntry
}

// lapsedEntry is an entry whose lease lapsed at a time.
type lapsedEntry struct {
	entry *peerv1.RosterEntry
	at    time.Time
}

func (s *storeState) list(ctx context.Context) error {
	sent := time.Now()
	known := max(s.revision, s.entry.config.Load().Revision())
	listing, err := s.entry.store.List(ctx, keyPrefix)
	if err != nil {
		return err
	}
	if !s.entry.checkRevision(known, listing.Revision) {
		return errStoreOld
	}
	s.setEntries(listing.Values)
	s.apply(listing.Values, listing.Revision)
	s.entry.confirm(func(f *freshness) { f.noteStore(sent) })
	return nil
}

// setEntries drops the entries that a complete listing does not name.
func (s *storeState) setEntries(values []store.Value) {
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

func (s *storeState) watch(ctx context.Context) {
	backoff := storeBackoff
	for ctx.Err() == nil {
		sent := time.Now()
		err := s.watchOnce(ctx)
		s.entry.noteStore(err)
		if err == nil {
			backoff = storeBackoff
			continue
		}
		s.entry.counters.Counter("store_watch_failed").Inc(1)
		if time.Since(sent) > silentAfter {
			// A watch that never answers does not keep the changes away.
			s.entry.noteStore(s.list(ctx))
			continue
		}
		sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxStoreBackoff)
	}
}

func (s *storeState) watchOnce(ctx context.Context) error {
	sent := time.Now()
	wait := s.entry.freshness.watchWait(sent)
	limited, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	listing, err := s.entry.store.Watch(limited, keyPrefix, s.revision, wait)
	if err != nil {
		return err
	}
	if !s.entry.checkRevision(s.revision, listing.Revision) {
		return errStoreOld
	}
	if listing.Compacted {
		return s.list(ctx)
	}
	s.apply(listing.Values, listing.Revision)
	s.entry.confirm(func(f *freshness) { f.noteStore(sent) })
	return nil
}

// apply takes changed values in order of their revisions.
func (s *storeState) apply(values []store.Value, revision uint64) {
	s.revision = revision
	update := &peerv1.ConfigUpdate{FromRevision: s.entry.config.Load().Revision()}
	rosterChanged := false
	for _, v := range values {
		switch {
		case strings.HasPrefix(v.Key, configPrefix):
			s.entry.addObject(update, v)
		case strings.HasPrefix(v.Key, adoptedPrefix):
			s.entry.adoptions.learn(v)
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

func (e *Entry) addObject(update *peerv1.ConfigUpdate, v store.Value) {
	o := &apiv1.Object{}
	if err := proto.Unmarshal(v.Data, o); err != nil || v.Deleted {
		e.counters.Counter("config_undecodable").Inc(1)
		return
	}
	o.Revision = v.Revision
	update.Objects = append(update.Objects, o)
	update.Revision = max(update.GetRevision(), v.Revision)
}

func (s *storeState) applyEntry(v store.Value) {
	defer func() { s.entry.voters.record(s.entries, time.Now()) }()
	if v.Deleted {
		s.removeEntry(v.Key)
		return
	}
	e := &peerv1.RosterEntry{}
	if err := proto.Unmarshal(v.Data, e); err == nil {
		s.entries[v.Key] = e
		s.forgetLapsed(e.GetName())
	}
}

// removeEntry drops an entry. Unless it stopped as planned it is remembered,
// since it may still run, cut off from the store.
func (s *storeState) removeEntry(key string) {
	e := s.entries[key]
	delete(s.entries, key)
	switch {
	case e == nil:
	case e.GetDraining():
		s.entry.voters.stop(e.GetName(), time.Now())
	default:
		s.lapsed = append(s.lapsed, lapsedEntry{entry: e, at: time.Now()})
	}
}

// forgetLapsed drops the lapsed entries that a new incarnation of their name
// has replaced.
func (s *storeState) forgetLapsed(name string) {
	s.lapsed = slices.DeleteFunc(s.lapsed, func(l lapsedEntry) bool { return l.entry.GetName() == name })
}

func (s *storeState) publishRoster() {
	entries := make([]*peerv1.RosterEntry, 0, len(s.entries))
	for _, e := range s.entries {
		entries = append(entries, e)
	}
	r := roster.New(s.revision, entries)
	for _, l := range s.lapsed {
		if time.Since(l.at) < storeOutageLimit {
			r.Lapsed = append(r.Lapsed, l.entry)
		}
	}
	s.entry.applyRoster(r)
}

// applyRoster takes a newer roster and passes it on to the agents.
func (e *Entry) applyRoster(r *roster.Roster) {
	if e.roster.Apply(r) {
		e.eachAgent(func(a *agentLink) { a.sendRoster(r) })
		e.broker.Keep(r.Entries)
	}
}

// applyConfig puts an update in force here and passes it on to the agents.
func (e *Entry) applyConfig(u *peerv1.ConfigUpdate) {
	before := e.config.Load().Revision()
	rose, ok := e.config.Apply(u)
	if !ok {
		e.counters.Counter("config_gaps").Inc(1)
	}
	if !rose {
		return
	}
	snapshot := e.config.Load()
	e.eachAgent(func(a *agentLink) { a.sendConfig(snapshot, before) })
	e.dispatcher.Refresh()
}
