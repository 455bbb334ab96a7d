package server

import (
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
)

// maxLoggedKeys bounds the keys of which invalid values are logged.
const maxLoggedKeys = 500

// errInvalidValue reports a stored value that cannot be used.
var errInvalidValue = eris.New("stored value is invalid")

// invalidValues records the stored values that cannot be used. Each value is counted when it is
// read, and logged once. It is safe for concurrent use.
type invalidValues struct {
	log   zerolog.Logger
	count gometrics.Counter

	mu sync.Mutex
	// logged holds the revision of the latest logged value of each key.
	logged map[string]uint64
}

func newInvalidValues(log zerolog.Logger, counters *metrics.Counters) *invalidValues {
	return &invalidValues{log: log, count: counters.Counter("stored_values_invalid"), logged: make(map[string]uint64)}
}

// recordUnreadable records the values of a listing whose keys could not be read.
func (i *invalidValues) recordUnreadable(prefix string, listing store.Listing) {
	if listing.Unreadable > 0 {
		i.record(prefix, 0, eris.Errorf("%d values without a readable key", listing.Unreadable))
	}
}

// record records that the value of a key at a revision cannot be used.
func (i *invalidValues) record(key string, revision uint64, cause error) {
	i.count.Inc(1)
	i.mu.Lock()
	defer i.mu.Unlock()
	if logged, ok := i.logged[key]; (ok && logged == revision) || (!ok && len(i.logged) >= maxLoggedKeys) {
		return
	}
	i.logged[key] = revision
	i.log.Warn().Str("key", eventlog.Text(key)).Uint64("revision", revision).Str("cause", eventlog.Text(cause.Error())).
		Msg("stored value is invalid")
}
