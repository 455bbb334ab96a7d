package server

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
)

const (
	// targetKeyPrefix is the prefix of the keys of agents, one key for each agent, with the
	// last announcement of its target.
	targetKeyPrefix = "rosemarybay/targets/"
	// recordReadTimeout bounds the read of the announcement at the start.
	recordReadTimeout = 400 * time.Millisecond
	// recordWriteTimeout bounds the wait for the write of a draining target's
	// announcement before its heartbeat is acknowledged.
	recordWriteTimeout = 300 * time.Millisecond
	// recordRetryDelay is the delay after a failed write.
	recordRetryDelay = time.Second
)

// targetRecord stores the last announcement of the target, so that an agent that restarts
// beside a running target need not wait for the next heartbeat. The stored incarnation may
// be outdated; the target's responses contain the present one.
type targetRecord struct {
	store   store.Store
	log     zerolog.Logger
	invalid *eventlog.InvalidValues
	writer  store.Writer
	changes chan runs.Announcement

	mu sync.Mutex
	// pending counts the changes that are not written yet; written is closed when it
	// reaches 0.
	pending int
	written chan struct{}
}

func newTargetRecord(s store.Store, log zerolog.Logger, invalid *eventlog.InvalidValues, name string) *targetRecord {
	return &targetRecord{
		store:   s,
		log:     log,
		invalid: invalid,
		writer:  store.Writer{Store: s, Key: targetKeyPrefix + name},
		changes: make(chan runs.Announcement, 1),
	}
}

// persistentRegistry acknowledges a heartbeat of a draining target only once the
// announcement is stored, since a restarted agent relies on the stored announcement.
type persistentRegistry struct {
	*runs.Manager
	record *targetRecord
}

// Announce implements platform.TargetRegistry.
func (p persistentRegistry) Announce(a runs.Announcement) bool {
	accepted := p.Manager.Announce(a)
	if accepted && a.Draining {
		p.record.waitWritten(recordWriteTimeout)
	}
	return accepted
}

// load returns the stored announcement, or nil.
func (r *targetRecord) load(ctx context.Context) *runs.Announcement {
	ctx, cancel := context.WithTimeout(ctx, recordReadTimeout)
	defer cancel()
	value, err := r.store.Get(ctx, r.writer.Key)
	if err != nil {
		r.log.Warn().Err(err).Msg("cannot read the stored announcement of the target")
		return nil
	}
	if value == nil {
		return nil
	}
	r.writer.Revision = value.Revision
	var stored runs.Announcement
	err = json.Unmarshal(value.Data, &stored)
	if err == nil {
		err = stored.Validate()
	}
	if err != nil {
		r.invalid.Record(r.writer.Key, value.Revision, err)
		return nil
	}
	stored.Sequence = 0 // each announcement of the running target counts as newer
	r.log.Info().Str("target", stored.ID).Int64("incarnation", stored.Incarnation).Uint64("revision", value.Revision).
		Msg("stored announcement of the target read")
	return &stored
}

// queue queues an announcement for writing, and replaces one that is still queued.
func (r *targetRecord) queue(a runs.Announcement) {
	r.addPending()
	for {
		select {
		case r.changes <- a:
			return
		default:
		}
		select {
		case <-r.changes:
			r.removePending()
		default:
		}
	}
}

// addPending counts a change that is to be written.
func (r *targetRecord) addPending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == 0 {
		r.written = make(chan struct{})
	}
	r.pending++
}

// removePending counts a change that has been written or replaced.
func (r *targetRecord) removePending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending--; r.pending == 0 {
		close(r.written)
	}
}

// waitWritten waits until all changes are written, or until limit has passed.
func (r *targetRecord) waitWritten(limit time.Duration) {
	r.mu.Lock()
	pending, written := r.pending, r.written
	r.mu.Unlock()
	if pending == 0 {
		return
	}
	select {
	case <-written:
	case <-time.After(limit):
		r.log.Warn().Str("key", r.writer.Key).Msg("announcement of a draining target not stored before its acknowledgement")
	}
}

// run writes queued announcements until ctx ends. One that could not be written is written
// again after a delay, unless a newer one is queued before.
func (r *targetRecord) run(ctx context.Context) {
	var unwritten *runs.Announcement
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-r.changes:
			if unwritten != nil {
				r.removePending()
			}
			unwritten = &a
		case <-retry:
		}
		retry = nil
		if err := r.write(ctx, unwritten); err != nil {
			r.log.Warn().Err(err).Str("key", r.writer.Key).Msg("cannot store the announcement of the target")
			retry = time.After(recordRetryDelay)
			continue
		}
		unwritten = nil
		r.removePending()
	}
}

func (r *targetRecord) write(ctx context.Context, a *runs.Announcement) error {
	data, err := json.Marshal(a)
	if err != nil {
		return eris.Wrap(err, "encode announcement of the target")
	}
	return r.writer.Write(ctx, data, 0)
}
