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
	// learnedKey holds what entries have learned of their callers, by queue. It is
	// common to all of them.
	learnedKey = "rosemarybay/learned"
	// learnedTimeout bounds the look for it at the start.
	learnedTimeout = 400 * time.Millisecond
	// learnedInterval is the time between comparisons with what is kept.
	learnedInterval = 3 * time.Second
	// learnedChange is the change, as a share, from which on it is written again.
	learnedChange = 0.1
)

// patience is the part of the scheduler whose knowledge is kept.
type patience interface {
	Patience() map[string]load.Line
	RestorePatience(map[string]load.Line)
}

// hintStore is what keeping a hint needs of the platform's store.
type hintStore interface {
	Get(ctx context.Context, key string) (*store.Value, error)
	// Put writes a value whatever was there.
	Put(ctx context.Context, key string, data []byte) error
}

// learned keeps in the store what entries have learned of their callers, so that
// those that start after a loss of power can tell new callers from those who ask
// again. It is a hint: the last writer wins, and nothing depends on it.
type learned struct {
	store    hintStore
	log      zerolog.Logger
	patience patience
	kept     map[string]load.Line
}

// run reads what is kept, and writes it as it changes.
func (l *learned) run(ctx context.Context) {
	l.load(ctx)
	for sleep(ctx, learnedInterval) {
		l.keep(ctx)
	}
}

// keep writes what has been learned, if it says something new.
func (l *learned) keep(ctx context.Context) {
	lines := l.patience.Patience()
	if !l.differs(lines) {
		return
	}
	if err := l.save(ctx, lines); err != nil {
		l.log.Warn().Err(err).Str("key", learnedKey).Msg("what was learned of callers not kept")
	}
}

func (l *learned) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, learnedTimeout)
	defer cancel()
	value, err := l.store.Get(ctx, learnedKey)
	if err != nil {
		l.log.Warn().Err(err).Str("key", learnedKey).Msg("what was learned of callers not read")
		return
	}
	if value == nil {
		return
	}
	if err := json.Unmarshal(value.Data, &l.kept); err != nil {
		l.log.Warn().Err(err).Str("key", learnedKey).Msg("what was learned of callers not decoded")
		return
	}
	l.patience.RestorePatience(l.kept)
	l.log.Info().Int("queues", len(l.kept)).Uint64("revision", value.Revision).Msg("what was learned of callers read")
}

// differs reports whether lines say something that is not kept.
func (l *learned) differs(lines map[string]load.Line) bool {
	for queue, line := range lines {
		kept, ok := l.kept[queue]
		if !ok || isApart(kept.BaseMS, line.BaseMS) || isApart(kept.Slope, line.Slope) {
			return true
		}
	}
	return false
}

func isApart(a, b float64) bool { return math.Abs(a-b) > learnedChange*math.Abs(a) }

func (l *learned) save(ctx context.Context, lines map[string]load.Line) error {
	data, err := json.Marshal(lines)
	if err != nil {
		return eris.Wrap(err, "encode what was learned")
	}
	if err := l.store.Put(ctx, learnedKey, data); err != nil {
		return err
	}
	l.kept = lines
	l.log.Info().Int("queues", len(lines)).Msg("what was learned of callers kept")
	return nil
}
