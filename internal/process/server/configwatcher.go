package server

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
	"github.com/rosemarybay/rosemarybay/platform"
)

const (
	// configWatchTimeout is how long a watch call waits for a change. It bounds how long
	// a change stays undetected when the connection is dead without a reset.
	configWatchTimeout = 1000 * time.Millisecond
	// unconfirmedAge is the age before the first read.
	unconfirmedAge = time.Hour
	// configRetryDelay is the delay after a failed call of the store.
	configRetryDelay = 100 * time.Millisecond
)

// configWatcher watches the store for the operators' configuration and the data centres
// out of service.
type configWatcher struct {
	store    store.Store
	log      zerolog.Logger
	invalid  *eventlog.InvalidValues
	view     *policy.View
	document atomic.Pointer[platform.Document]
	// first, if not nil, is closed once document is set.
	first     chan struct{}
	firstOnce sync.Once
	// changed is called after each change.
	changed func()
	// storeLost is set while the store cannot be reached.
	storeLost bool
	// confirmedAt is the latest time at which what is known was that of the store; nil before
	// the first read.
	confirmedAt atomic.Pointer[time.Time]
}

// age returns how long ago what is known was last confirmed with the store.
func (w *configWatcher) age() time.Duration {
	if at := w.confirmedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return unconfirmedAge
}

func (w *configWatcher) confirm(at time.Time) { w.confirmedAt.Store(&at) }

// run reads the configuration and then watches it. After a failed call it reads it again.
func (w *configWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := w.readOrAwait(ctx)
		for err == nil {
			revision, err = w.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if !w.storeLost {
			w.log.Warn().Err(err).Msg("store unreachable")
			w.storeLost = true
		}
		sleep(ctx, configRetryDelay)
	}
}

// readOrAwait reads the configuration. Before the first one it awaits the store.
func (w *configWatcher) readOrAwait(ctx context.Context) (uint64, error) {
	if w.confirmedAt.Load() != nil {
		return w.read(ctx)
	}
	first, err := awaitListing(ctx, w.store, platform.KeyPrefix, w.log)
	if err != nil {
		return 0, err
	}
	return w.applyListing(first.listing, first.sent)
}

func (w *configWatcher) read(ctx context.Context) (uint64, error) {
	sent := time.Now()
	listing, err := w.store.List(ctx, platform.KeyPrefix)
	if err != nil {
		return 0, err
	}
	return w.applyListing(listing, sent)
}

// applyListing applies what a read returned that was sent at a time.
func (w *configWatcher) applyListing(listing store.Listing, sent time.Time) (uint64, error) {
	defer w.confirm(sent)
	if w.storeLost {
		w.log.Info().Uint64("revision", listing.Revision).Msg("store reachable again")
		w.storeLost = false
	}
	decoded := w.decode(listing)
	w.apply(decoded.Document, decoded.OutOfService, listing.Revision)
	return listing.Revision, nil
}

// watch waits for changes and applies them. If the revision of the store has risen without
// an event, all is read again, since a watch may miss changes.
func (w *configWatcher) watch(ctx context.Context, after uint64) (uint64, error) {
	sent := time.Now()
	listing, err := w.store.Watch(ctx, platform.KeyPrefix, after, configWatchTimeout)
	if err != nil {
		return 0, err
	}
	if listing.Compacted {
		w.log.Info().Uint64("after", after).Msg("store has compacted the requested history; reading the configuration again")
		return w.read(ctx)
	}
	if len(listing.Values) == 0 {
		if listing.Revision > after {
			return w.read(ctx)
		}
		w.confirm(unchangedUntil(sent))
		return after, nil
	}
	defer w.confirm(sent)
	decoded := w.decode(listing)
	out := w.view.Outages().Out
	for _, dc := range decoded.OutOfService {
		if !slices.Contains(out, dc) {
			out = append(slices.Clone(out), dc)
		}
	}
	for _, dc := range decoded.BackInService {
		out = slices.DeleteFunc(slices.Clone(out), func(o string) bool { return o == dc })
	}
	w.apply(decoded.Document, out, listing.Revision)
	return listing.Revision, nil
}

// unchangedUntil returns the latest time at which the store is known to have had no change, after
// a watch without events that was sent at a time. The answer may have waited to be read; one
// that comes early is that of a watch which the store has cut.
func unchangedUntil(sent time.Time) time.Time {
	if time.Since(sent) < configWatchTimeout {
		return sent
	}
	return sent.Add(configWatchTimeout)
}

// decode decodes the operators' keys of a listing. Without a valid configuration the one in
// force stays.
func (w *configWatcher) decode(listing store.Listing) platform.OperatorConfig {
	recordUnreadable(w.invalid, platform.KeyPrefix, listing)
	decoded, err := platform.DecodeOperatorConfig(listing.Values)
	if err != nil {
		w.invalid.Record(platform.KeyPrefix, latestRevision(listing.Values), err)
	}
	return decoded
}

// apply replaces the known configuration and outages by newer ones, and calls changed if
// either has changed.
func (w *configWatcher) apply(d *platform.Document, out []string, revision uint64) {
	before := w.view.Outages()
	outagesChanged := w.view.ApplyOutages(&policy.Outages{Revision: revision, Out: out}) && !slices.Equal(before.Out, out)
	if outagesChanged {
		w.log.Info().Uint64("revision", revision).Strs("out", out).Strs("former", before.Out).Msg("data centres out of service changed")
	}
	newer := d != nil && w.view.Apply(d.Snapshot)
	if newer {
		w.document.Store(d)
		w.firstOnce.Do(func() {
			if w.first != nil {
				close(w.first)
			}
		})
		w.log.Info().Uint64("revision", revision).Uint64("version", d.Snapshot.Version).
			Int("queues", len(d.Snapshot.Queues)).Msg("configuration applied")
	}
	if outagesChanged || newer {
		w.changed()
	}
}
