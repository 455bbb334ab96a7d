package entry

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
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
	storeBackoff = 200 * time.Millisecond
	watchWait    = 10 * time.Second
)

// follow registers the entry and keeps its configuration and roster up to date.
func (e *Entry) follow(ctx context.Context) {
	e.retry(ctx, e.loadTicketKey)
	e.retry(ctx, e.register)
	state := &storeState{entry: e, entries: make(map[string]*peerv1.RosterEntry)}
	e.retry(ctx, state.list)
	if ctx.Err() != nil {
		return
	}
	e.ready.Store(true)
	e.log.Info().Uint64("incarnation", e.incarnation).Msg("entry ready")
	state.watch(ctx)
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

// loadTicketKey reads the signing key of tickets, or makes it.
func (e *Entry) loadTicketKey(ctx context.Context) error {
	value, err := e.store.Get(ctx, ticketKeyName)
	if err != nil {
		return err
	}
	if value == nil {
		fresh := make([]byte, ticket.KeySize)
		_, _ = rand.Read(fresh)
		if _, err := e.store.CompareAndSwap(ctx, store.Change{Key: ticketKeyName, Data: fresh}); err != nil {
			return err
		}
		return eris.New("ticket key was just made")
	}
	if len(value.Data) != ticket.KeySize {
		return eris.Errorf("ticket key has %d bytes", len(value.Data))
	}
	key := ticket.Key(value.Data)
	e.jobs = jobs.NewTable(e.incarnation, key, e.settings.Entry.TicketLifetime.Std(), e.dispatcher, e.counters)
	e.jobs.SetMemory(e.memory)
	go e.jobs.Expire(ctx.Done())
	return nil
}

// storeState follows the store's keys by one watch.
type storeState struct {
	entry    *Entry
	revision uint64
	entries  map[string]*peerv1.RosterEntry
}

func (s *storeState) list(ctx context.Context) error {
	listing, err := s.entry.store.List(ctx, keyPrefix)
	if err != nil {
		return err
	}
	clear(s.entries)
	s.apply(listing.Values, listing.Revision)
	return nil
}

func (s *storeState) watch(ctx context.Context) {
	for ctx.Err() == nil {
		listing, err := s.entry.store.Watch(ctx, keyPrefix, s.revision, watchWait)
		s.entry.noteStore(err)
		switch {
		case err != nil:
			sleep(ctx, storeBackoff)
		case listing.Compacted:
			s.entry.retry(ctx, s.list)
		default:
			s.apply(listing.Values, listing.Revision)
		}
	}
}

// apply takes changed values in order of their revisions.
func (s *storeState) apply(values []store.Value, revision uint64) {
	if revision <= s.revision && s.revision != 0 {
		return
	}
	s.revision = revision
	update := &peerv1.ConfigUpdate{FromRevision: s.entry.config.Load().Revision()}
	rosterChanged := false
	for _, v := range values {
		switch {
		case strings.HasPrefix(v.Key, configPrefix):
			s.addObject(update, v)
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

func (s *storeState) addObject(update *peerv1.ConfigUpdate, v store.Value) {
	o := &apiv1.Object{}
	if err := proto.Unmarshal(v.Data, o); err != nil || v.Deleted {
		s.entry.counters.Counter("config_undecodable").Inc(1)
		return
	}
	o.Revision = v.Revision
	update.Objects = append(update.Objects, o)
	update.Revision = max(update.GetRevision(), v.Revision)
}

func (s *storeState) applyEntry(v store.Value) {
	if v.Deleted {
		delete(s.entries, v.Key)
		return
	}
	e := &peerv1.RosterEntry{}
	if err := proto.Unmarshal(v.Data, e); err == nil {
		s.entries[v.Key] = e
	}
}

func (s *storeState) publishRoster() {
	entries := make([]*peerv1.RosterEntry, 0, len(s.entries))
	for _, e := range s.entries {
		entries = append(entries, e)
	}
	r := roster.New(s.revision, entries)
	if s.entry.roster.Apply(r) {
		s.entry.eachAgent(func(a *agentLink) { a.sendRoster(r) })
		s.entry.broker.Keep(entries)
	}
}

// applyConfig puts an update in force here and passes it on to the agents.
func (e *Entry) applyConfig(u *peerv1.ConfigUpdate) {
	before := e.config.Load().Revision()
	if rose, _ := e.config.Apply(u); !rose {
		return
	}
	snapshot := e.config.Load()
	e.eachAgent(func(a *agentLink) { a.sendConfig(snapshot, before) })
	e.dispatcher.Refresh()
}
