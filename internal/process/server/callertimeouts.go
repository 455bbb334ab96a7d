package server

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
)

const (
	// callerTimeoutsKey is the key of the caller timeout model, by queue. All entries
	// share it.
	callerTimeoutsKey = "rosemarybay/learned"
	// callerTimeoutsReadTimeout bounds the read at the start.
	callerTimeoutsReadTimeout = 400 * time.Millisecond
	// callerTimeoutsInterval is the time between comparisons with the stored model.
	callerTimeoutsInterval = 3 * time.Second
	// callerTimeoutsChange is the relative change of a parameter above which the model is
	// written.
	callerTimeoutsChange = 0.1
)

// timeoutEstimator is the part of the scheduler that estimates how long callers wait.
type timeoutEstimator interface {
	Patience() map[string]load.PatienceLine
	RestorePatience(map[string]load.PatienceLine)
}

// callerTimeoutsStore is the part of the platform's store that callerTimeouts uses.
type callerTimeoutsStore interface {
	Get(ctx context.Context, key string) (*store.Value, error)
	// Put writes a value unconditionally.
	Put(ctx context.Context, key string, data []byte) error
}

// callerTimeouts stores the caller timeout model: for each queue, how long its callers
// wait as a linear function of a job's run time. With it, entries that start after a
// power loss can tell new requests from repeated ones. It is only a hint, and the last
// writer wins.
type callerTimeouts struct {
	store     callerTimeoutsStore
	log       zerolog.Logger
	estimator timeoutEstimator
	// stored is the model as last read from the store or written to it.
	stored map[string]load.PatienceLine
}

// run reads the stored model, and writes the model when it has changed.
func (c *callerTimeouts) run(ctx context.Context) {
	c.load(ctx)
	for sleep(ctx, callerTimeoutsInterval) {
		c.saveIfChanged(ctx)
	}
}

// saveIfChanged writes the model if it differs from the stored one.
func (c *callerTimeouts) saveIfChanged(ctx context.Context) {
	lines := c.estimator.Patience()
	if !c.differs(lines) {
		return
	}
	if err := c.save(ctx, lines); err != nil {
		c.log.Warn().Err(err).Str("key", callerTimeoutsKey).Msg("cannot store the caller timeout model")
	}
}

func (c *callerTimeouts) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeoutsReadTimeout)
	defer cancel()
	value, err := c.store.Get(ctx, callerTimeoutsKey)
	if err != nil {
		c.log.Warn().Err(err).Str("key", callerTimeoutsKey).Msg("cannot read the caller timeout model")
		return
	}
	if value == nil {
		return
	}
	if err := json.Unmarshal(value.Data, &c.stored); err != nil {
		c.log.Warn().Err(err).Str("key", callerTimeoutsKey).Msg("stored caller timeout model is invalid")
		return
	}
	c.estimator.RestorePatience(c.stored)
	c.log.Info().Int("queues", len(c.stored)).Uint64("revision", value.Revision).Msg("caller timeout model read")
}

// differs reports whether lines has a new queue, or a parameter that has changed by more
// than callerTimeoutsChange.
func (c *callerTimeouts) differs(lines map[string]load.PatienceLine) bool {
	for queue, line := range lines {
		stored, ok := c.stored[queue]
		if !ok || hasChanged(stored.BaseMS, line.BaseMS) || hasChanged(stored.Slope, line.Slope) {
			return true
		}
	}
	return false
}

func hasChanged(a, b float64) bool { return math.Abs(a-b) > callerTimeoutsChange*math.Abs(a) }

func (c *callerTimeouts) save(ctx context.Context, lines map[string]load.PatienceLine) error {
	data, err := json.Marshal(lines)
	if err != nil {
		return eris.Wrap(err, "encode caller timeout model")
	}
	if err := c.store.Put(ctx, callerTimeoutsKey, data); err != nil {
		return err
	}
	c.stored = lines
	c.log.Info().Int("queues", len(lines)).Msg("caller timeout model stored")
	return nil
}
