package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/request/crash"
)

const (
	// crashKeyPrefix is the prefix of the keys of agents with the recent crashes of their
	// targets.
	crashKeyPrefix = "rosemarybay/crashes/"
	// crashReadTimeout bounds the read at the start.
	crashReadTimeout = 400 * time.Millisecond
)

// crashStore is the part of the platform's store that crashRecord uses.
type crashStore interface {
	store.Swapper
	Get(ctx context.Context, key string) (*store.Value, error)
}

// crashRecord stores the recent crashes of an agent's target, so that they still count if
// all processes lose power together. There is one write for each crash.
type crashRecord struct {
	store   crashStore
	log     zerolog.Logger
	invalid *eventlog.InvalidValues
	writer  store.Writer
	changes chan []crash.Report
}

// storedCrashes is the stored value. The ages of the reports count from WrittenMS, the Unix
// time in milliseconds.
type storedCrashes struct {
	WrittenMS int64          `json:"written_ms"`
	Reports   []crash.Report `json:"reports"`
}

func newCrashRecord(s crashStore, log zerolog.Logger, invalid *eventlog.InvalidValues, name string) *crashRecord {
	return &crashRecord{
		store:   s,
		log:     log,
		invalid: invalid,
		writer:  store.Writer{Store: s, Key: crashKeyPrefix + name},
		changes: make(chan []crash.Report, 1),
	}
}

// queue queues reports for writing, in place of those still queued.
func (r *crashRecord) queue(reports []crash.Report) {
	select {
	case <-r.changes:
	default:
	}
	select {
	case r.changes <- reports:
	default:
	}
}

// run writes queued reports until ctx ends.
func (r *crashRecord) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case reports := <-r.changes:
			r.save(ctx, reports, time.Now())
		}
	}
}

// save retries the write until it succeeds or newer reports are queued.
func (r *crashRecord) save(ctx context.Context, reports []crash.Report, at time.Time) {
	data, err := json.Marshal(storedCrashes{WrittenMS: at.UnixMilli(), Reports: reports})
	if err != nil {
		r.log.Error().Err(err).Str("key", r.writer.Key).Msg("cannot encode the crashes of the target")
		return
	}
	for ctx.Err() == nil && len(r.changes) == 0 {
		if err = r.writer.Write(ctx, data, 0); err == nil {
			r.log.Info().Str("key", r.writer.Key).Int("crashes", len(reports)).Msg("crashes of the target stored")
			return
		}
		r.log.Warn().Err(err).Str("key", r.writer.Key).Msg("cannot store the crashes of the target")
		sleep(ctx, recordRetryDelay)
	}
}

// load returns the stored reports, with their present ages.
func (r *crashRecord) load(ctx context.Context) ([]crash.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, crashReadTimeout)
	defer cancel()
	value, err := r.store.Get(ctx, r.writer.Key)
	if err != nil || value == nil {
		return nil, err
	}
	r.writer.Revision = value.Revision
	stored, err := decodeCrashes(value.Data)
	if err != nil {
		r.invalid.Record(r.writer.Key, value.Revision, err)
		return nil, errInvalidValue
	}
	// Clocks may differ between two processes of the agent.
	since := min(max(time.Since(time.UnixMilli(stored.WrittenMS)), 0), crash.Retention)
	for i := range stored.Reports {
		stored.Reports[i].Age += since
	}
	return stored.Reports, nil
}

func decodeCrashes(data []byte) (storedCrashes, error) {
	var stored storedCrashes
	if err := json.Unmarshal(data, &stored); err != nil {
		return stored, eris.Wrap(err, "decode stored crashes")
	}
	for i := range stored.Reports {
		if err := stored.Reports[i].Validate(); err != nil {
			return stored, eris.Wrapf(err, "stored crash %d", i)
		}
	}
	return stored, nil
}
