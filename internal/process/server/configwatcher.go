package server

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
	"github.com/rosemarybay/rosemarybay/platform"
)

const (
	// configWatchTimeout is how long a watch call waits for a change. It bounds how long
	// a change stays unnoticed when the connection is dead without a reset.
	configWatchTimeout = 1000 * time.Millisecond
	// configRetryDelay is the pause after a failed call of the store.
	configRetryDelay = 100 * time.Millisecond
)

// configWatcher watches the store for the operators' configuration and the data centres
// out of service.
type configWatcher struct {
	store    store.Store
	log      zerolog.Logger
	view     *policy.View
	document atomic.Pointer[platform.Document]
	// changed is called after each change.
	changed func()
	// storeLost is set while the store cannot be reached.
	storeLost bool
}

// run reads the configuration and then watches it. After a failed call it reads it again.
func (f *configWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := f.read(ctx)
		for err == nil {
			revision, err = f.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if !f.storeLost {
			f.log.Warn().Err(err).Msg("store unreachable")
			f.storeLost = true
		}
		sleep(ctx, configRetryDelay)
	}
}

func (f *configWatcher) read(ctx context.Context) (uint64, error) {
	listing, err := f.store.List(ctx, platform.KeyPrefix)
	if err != nil {
		return 0, err
	}
	if f.storeLost {
		f.log.Info().Uint64("revision", listing.Revision).Msg("store reachable again")
		f.storeLost = false
	}
	wishes, err := platform.DecodeWishes(listing.Values)
	if err != nil {
		f.log.Error().Err(err).Uint64("revision", listing.Revision).Msg("configuration is invalid")
	}
	f.apply(wishes.Document, wishes.Out, listing.Revision)
	return listing.Revision, nil
}

// watch waits for changes and applies them. If the revision of the store has risen without
// an event, all is read again, since a watch may miss changes.
func (f *configWatcher) watch(ctx context.Context, after uint64) (uint64, error) {
	listing, err := f.store.Watch(ctx, platform.KeyPrefix, after, configWatchTimeout)
	if err != nil {
		return 0, err
	}
	if listing.Compacted {
		f.log.Info().Uint64("after", after).Msg("store has compacted the requested history; reading the configuration again")
		return f.read(ctx)
	}
	if len(listing.Values) == 0 {
		if listing.Revision > after {
			return f.read(ctx)
		}
		return after, nil
	}
	wishes, err := platform.DecodeWishes(listing.Values)
	if err != nil {
		f.log.Error().Err(err).Uint64("revision", listing.Revision).Msg("configuration is invalid")
	}
	out := f.view.Outages().Out
	for _, dc := range wishes.Out {
		if !slices.Contains(out, dc) {
			out = append(slices.Clone(out), dc)
		}
	}
	for _, dc := range wishes.Back {
		out = slices.DeleteFunc(slices.Clone(out), func(o string) bool { return o == dc })
	}
	f.apply(wishes.Document, out, listing.Revision)
	return listing.Revision, nil
}

// apply replaces the known configuration and outages by newer ones, and calls changed if
// either has changed.
func (f *configWatcher) apply(d *platform.Document, out []string, revision uint64) {
	before := f.view.Outages()
	moved := f.view.ApplyOutages(&policy.Outages{Revision: revision, Out: out}) && !slices.Equal(before.Out, out)
	if moved {
		f.log.Info().Uint64("revision", revision).Strs("out", out).Strs("former", before.Out).Msg("data centres out of service changed")
	}
	newer := d != nil && f.view.Apply(d.Snapshot)
	if newer {
		f.document.Store(d)
		f.log.Info().Uint64("revision", revision).Uint64("version", d.Snapshot.Version).
			Int("queues", len(d.Snapshot.Queues)).Msg("configuration applied")
	}
	if moved || newer {
		f.changed()
	}
}
