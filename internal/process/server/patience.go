package server

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
)

const (
	// patienceKey is the key of the stored patience of callers, by queue. All entries share
	// it.
	patienceKey = "rosemarybay/learned"
	// patienceReadTimeout bounds the read at the start.
	patienceReadTimeout = 400 * time.Millisecond
	// patienceCheckInterval is the time between comparisons with the stored patience.
	patienceCheckInterval = 3 * time.Second
	// minPatienceChange is the relative change of a parameter above which the patience is
	// written.
	minPatienceChange = 0.1
)

// patienceEstimator is the part of the scheduler that estimates the patience of callers:
// how long they are willing to wait.
type patienceEstimator interface {
	Patience() map[string]load.PatienceLine
	RestorePatience(map[string]load.PatienceLine)
}

// patienceStore is the part of the platform's store that patienceRecord uses.
type patienceStore interface {
	store.Swapper
	Get(ctx context.Context, key string) (*store.Value, error)
}

// patienceRecord stores the patience of callers: for each queue, how long its callers
// wait as a linear function of a job's run time. With it, entries that start after a
// power loss can distinguish new requests from repeated ones. The value is only a hint, so
// the last write of any entry wins.
type patienceRecord struct {
	store     patienceStore
	log       zerolog.Logger
	invalid   *eventlog.InvalidValues
	estimator patienceEstimator
	// revision is the latest known revision of the key.
	revision uint64
	// stored is the value last read from the store or written to it.
	stored map[string]load.PatienceLine
}

// run restores the stored patience, then writes it whenever it has changed.
func (r *patienceRecord) run(ctx context.Context) {
	r.load(ctx)
	for sleep(ctx, patienceCheckInterval) {
		r.saveIfChanged(ctx)
	}
}

// saveIfChanged writes the patience if it differs from the stored one.
func (r *patienceRecord) saveIfChanged(ctx context.Context) {
	lines := r.estimator.Patience()
	if !r.differs(lines) {
		return
	}
	if err := r.save(ctx, lines); err != nil {
		r.log.Warn().Err(err).Str("key", patienceKey).Msg("cannot store the patience of callers")
	}
}

func (r *patienceRecord) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, patienceReadTimeout)
	defer cancel()
	value, err := r.store.Get(ctx, patienceKey)
	if err != nil {
		r.log.Warn().Err(err).Str("key", patienceKey).Msg("cannot read the patience of callers")
		return
	}
	if value == nil {
		return
	}
	r.revision = value.Revision
	var stored map[string]load.PatienceLine
	if err := json.Unmarshal(value.Data, &stored); err != nil {
		r.invalid.Record(patienceKey, value.Revision, err)
		return
	}
	r.stored = stored
	r.estimator.RestorePatience(r.stored)
	r.log.Info().Int("queues", len(r.stored)).Uint64("revision", value.Revision).Msg("patience of callers read")
}

// differs reports whether lines has a new queue, or a parameter that has changed by more
// than minPatienceChange.
func (r *patienceRecord) differs(lines map[string]load.PatienceLine) bool {
	for queue, line := range lines {
		stored, ok := r.stored[queue]
		if !ok || hasChanged(stored.BaseMS, line.BaseMS) || hasChanged(stored.Slope, line.Slope) {
			return true
		}
	}
	return false
}

func hasChanged(a, b float64) bool { return math.Abs(a-b) > minPatienceChange*math.Abs(a) }

func (r *patienceRecord) save(ctx context.Context, lines map[string]load.PatienceLine) error {
	data, err := json.Marshal(lines)
	if err != nil {
		return eris.Wrap(err, "encode patience of callers")
	}
	writer := store.Writer{Store: r.store, Key: patienceKey, Revision: r.revision}
	err = writer.Write(ctx, data, 0)
	r.revision = writer.Revision
	if err != nil {
		return err
	}
	r.stored = lines
	r.log.Info().Int("queues", len(lines)).Msg("patience of callers stored")
	return nil
}
