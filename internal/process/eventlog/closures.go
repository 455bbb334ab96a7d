package eventlog

import (
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
)

// closureLogInterval is the time between log lines about connections that were closed for one
// reason: a crowd of clients must not fill the log.
const closureLogInterval = time.Second

// Closures counts and logs connections of clients that the process has closed.
type Closures struct {
	log      zerolog.Logger
	counters *metrics.Counters

	mu sync.Mutex
	// byReason has the time of the latest line, and the number of closures since then.
	byReason map[string]*closureCount
}

type closureCount struct {
	loggedAt time.Time
	unlogged int
}

// NewClosures returns a Closures that writes to log.
func NewClosures(log zerolog.Logger, counters *metrics.Counters) *Closures {
	return &Closures{log: log, counters: counters, byReason: make(map[string]*closureCount)}
}

// Record counts a connection that was closed because it exceeded a limit. It logs a line a second at
// most for each reason.
func (c *Closures) Record(reason string, remote net.Addr) {
	c.counters.Counter("connections_closed_" + reason).Inc(1)
	c.record(reason, remote, time.Now())
}

func (c *Closures) record(reason string, remote net.Addr, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.byReason[reason]
	if count == nil {
		count = &closureCount{}
		c.byReason[reason] = count
	}
	count.unlogged++
	if now.Sub(count.loggedAt) < closureLogInterval {
		return
	}
	c.log.Warn().Str("reason", reason).Stringer("remote", remote).Int("closed", count.unlogged).
		Msg("connections of clients closed")
	count.loggedAt, count.unlogged = now, 0
}
