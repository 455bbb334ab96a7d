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
	// watchWait bounds the age of what a silent watch has missed: a connection
	// may go silent without a reset.
	watchWait = 1000 * time.Millisecond
	// followRetry is the pause after a call that failed.
	followRetry = 100 * time.Millisecond
)

// follower keeps the operators' wishes up to date.
type follower struct {
	store    store.Store
	log      zerolog.Logger
	view     *policy.View
	document atomic.Pointer[platform.Document]
	// changed is called after each change.
	changed func()
	lost    bool
}

// run reads all, and then watches until a watch fails or its history is gone.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := f.read(ctx)
		for err == nil {
			revision, err = f.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if !f.lost {
			f.log.Warn().Err(err).Msg("store lost")
			f.lost = true
		}
		sleep(ctx, followRetry)
	}
}

func (f *follower) read(ctx context.Context) (uint64, error) {
	listing, err := f.store.List(ctx, platform.KeyPrefix)
	if err != nil {
		return 0, err
	}
	if f.lost {
		f.log.Info().Uint64("revision", listing.Revision).Msg("store reached again")
		f.lost = false
	}
	wishes, err := platform.DecodeWishes(listing.Values)
	if err != nil {
		f.log.Error().Err(err).Uint64("revision", listing.Revision).Msg("configuration not read")
	}
	f.apply(wishes.Document, wishes.Out, listing.Revision)
	return listing.Revision, nil
}

// watch waits for changes. Where the store has moved on without an event here,
// all is read again, since a watch may miss what happens.
func (f *follower) watch(ctx context.Context, after uint64) (uint64, error) {
	listing, err := f.store.Watch(ctx, platform.KeyPrefix, after, watchWait)
	if err != nil {
		return 0, err
	}
	if listing.Compacted {
		f.log.Info().Uint64("after", after).Msg("history of the store is gone, reading anew")
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
		f.log.Error().Err(err).Uint64("revision", listing.Revision).Msg("configuration not read")
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

// apply takes what is newer than what is known.
func (f *follower) apply(d *platform.Document, out []string, revision uint64) {
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
