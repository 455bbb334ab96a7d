package server

import (
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/caller"
)

// closureLogInterval is the time between log lines about connections that were closed for one
// reason: a crowd of clients must not fill the log.
const closureLogInterval = time.Second

// closureLog logs connections of clients that this process has closed.
type closureLog struct {
	log zerolog.Logger

	mu sync.Mutex
	// byReason has the time of the latest line, and the number of closures since then.
	byReason map[caller.IntakeReason]*closureCount
}

type closureCount struct {
	loggedAt time.Time
	unlogged int
}

// recordClosure counts a connection that was closed because it exceeded a limit.
func (p *Server) recordClosure(reason caller.IntakeReason, remote net.Addr) {
	p.counters.Counter("connections_closed_" + string(reason)).Inc(1)
	p.closures.record(reason, remote, time.Now())
}

func (c *closureLog) record(reason caller.IntakeReason, remote net.Addr, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byReason == nil {
		c.byReason = make(map[caller.IntakeReason]*closureCount)
	}
	count := c.byReason[reason]
	if count == nil {
		count = &closureCount{}
		c.byReason[reason] = count
	}
	count.unlogged++
	if now.Sub(count.loggedAt) < closureLogInterval {
		return
	}
	c.log.Warn().Str("reason", string(reason)).Stringer("remote", remote).Int("closed", count.unlogged).
		Msg("connections of clients closed")
	count.loggedAt, count.unlogged = now, 0
}
