package eventlog

import (
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// maxLoggedKeys bounds the keys of which invalid values are logged.
const maxLoggedKeys = 500

// InvalidValues records the stored values that cannot be used. Each value is counted when it is
// read, and logged once. It is safe for concurrent use.
type InvalidValues struct {
	log   zerolog.Logger
	count gometrics.Counter

	mu sync.Mutex
	// logged holds the revision of the latest logged value of each key.
	logged map[string]uint64
}

// NewInvalidValues returns a record that counts invalid values in count.
func NewInvalidValues(log zerolog.Logger, count gometrics.Counter) *InvalidValues {
	return &InvalidValues{log: log, count: count, logged: make(map[string]uint64)}
}

// Record records that the value of a key at a revision cannot be used.
func (i *InvalidValues) Record(key string, revision uint64, cause error) {
	i.count.Inc(1)
	i.mu.Lock()
	defer i.mu.Unlock()
	if logged, ok := i.logged[key]; (ok && logged == revision) || (!ok && len(i.logged) >= maxLoggedKeys) {
		return
	}
	i.logged[key] = revision
	i.log.Warn().Str("key", Text(key)).Uint64("revision", revision).Str("cause", Text(cause.Error())).
		Msg("stored value is invalid")
}
