package server

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
)

const (
	// recordPrefix holds a key for each agent: what its target said of itself.
	recordPrefix = "rosemarybay/targets/"
	// recordTimeout bounds the look for the record at the start.
	recordTimeout = 400 * time.Millisecond
	// recordWait bounds the wait for the record of a target that drains, before its
	// report is acknowledged.
	recordWait = 300 * time.Millisecond
	// recordRetry is the pause after a write that failed.
	recordRetry = time.Second
)

// record keeps the target's description in the store, so that an agent that
// starts again beside a target that still runs need not wait for its next
// report. The target itself says whether it is still the same lifetime.
type record struct {
	store    store.Store
	log      zerolog.Logger
	key      string
	revision uint64
	changes  chan runs.Announcement

	mu sync.Mutex
	// pending counts the changes that are not written; written is closed when there is
	// none any more.
	pending int
	written chan struct{}
}

func newRecord(s store.Store, log zerolog.Logger, name string) *record {
	return &record{store: s, log: log, key: recordPrefix + name, changes: make(chan runs.Announcement, 1)}
}

// recordedTargets acknowledges the report of a target that drains only once that is on
// record: an agent that starts again goes by its record.
type recordedTargets struct {
	*runs.Keeper
	record *record
}

// Announce implements platform.Targets.
func (t recordedTargets) Announce(a runs.Announcement) bool {
	taken := t.Keeper.Announce(a)
	if taken && a.Draining {
		t.record.await(recordWait)
	}
	return taken
}

// load returns the description kept, or nil.
func (r *record) load(ctx context.Context) *runs.Announcement {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	value, err := r.store.Get(ctx, r.key)
	if err != nil {
		r.log.Warn().Err(err).Msg("record of the target not read")
		return nil
	}
	if value == nil {
		return nil
	}
	r.revision = value.Revision
	var kept runs.Announcement
	if err := json.Unmarshal(value.Data, &kept); err != nil {
		r.log.Warn().Err(err).Str("key", r.key).Msg("record of the target not decoded")
		return nil
	}
	kept.Sequence = 0 // any report of the target is newer
	r.log.Info().Str("target", kept.ID).Int64("incarnation", kept.Incarnation).Uint64("revision", value.Revision).
		Msg("record of the target read")
	return &kept
}

// changed notes a description to keep. Only the latest counts.
func (r *record) changed(a runs.Announcement) {
	r.begin()
	for {
		select {
		case r.changes <- a:
			return
		default:
		}
		select {
		case <-r.changes:
			r.end()
		default:
		}
	}
}

func (r *record) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == 0 {
		r.written = make(chan struct{})
	}
	r.pending++
}

func (r *record) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending--; r.pending == 0 {
		close(r.written)
	}
}

// await waits until all changes are written, at most for a time.
func (r *record) await(limit time.Duration) {
	r.mu.Lock()
	pending, written := r.pending, r.written
	r.mu.Unlock()
	if pending == 0 {
		return
	}
	select {
	case <-written:
	case <-time.After(limit):
		r.log.Warn().Str("key", r.key).Msg("record of a draining target not written in time")
	}
}

// run writes descriptions as they change.
func (r *record) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-r.changes:
			r.save(ctx, a)
			r.end()
		}
	}
}

// save writes a description until it is there, or a newer one waits.
func (r *record) save(ctx context.Context, a runs.Announcement) {
	for ctx.Err() == nil && len(r.changes) == 0 {
		err := r.write(ctx, a)
		if err == nil {
			return
		}
		r.log.Warn().Err(err).Str("key", r.key).Msg("record of the target not written")
		sleep(ctx, recordRetry)
	}
}

func (r *record) write(ctx context.Context, a runs.Announcement) error {
	data, err := json.Marshal(a)
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	result, err := r.store.CompareAndSwap(ctx, store.Change{Key: r.key, Data: data, Expected: r.revision})
	if err != nil {
		return err
	}
	r.revision = result.Revision
	if !result.Swapped {
		return eris.New("record was changed by another process")
	}
	return nil
}
