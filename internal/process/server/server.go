// Package server runs one process on the users' platform: an entry, which takes
// jobs and places their tasks, or an agent, which runs them at the target beside
// it. It puts the parts together; the decisions are theirs.
package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/guard"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

const (
	// memoryShare is the part of the memory allowed, in percent, above which the
	// garbage collector works harder.
	memoryShare = 60
	// logCloseWait bounds the writing of the last lines.
	logCloseWait = 200 * time.Millisecond
	metricsPath  = "/metrics"
	// logTime has the resolution at which decisions of several processes can be
	// put in order.
	logTime = "2006-01-02T15:04:05.000000Z07:00"
	// connectionIdle ends connections on which no request arrives.
	connectionIdle = 2 * time.Minute
	// maxConnections is below the descriptors of the smallest machine.
	maxConnections = 3400
)

// Server is one process.
type Server struct {
	settings    *settings.Settings
	node        *settings.Node
	log         zerolog.Logger
	lines       *eventlog.Writer
	counters    *metrics.Counters
	guard       guard.Guard
	incarnation uint64
	run         func(stop <-chan struct{})
}

// New returns the process that the settings ask for.
func New(s *settings.Settings) (*Server, error) {
	counters := metrics.New()
	lines := eventlog.New(os.Stdout, counters.Counter("log_lines_dropped"))
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	p := &Server{
		settings:    s,
		node:        s.Node,
		lines:       lines,
		counters:    counters,
		incarnation: rand.Uint64(),
	}
	zerolog.TimeFieldFormat = logTime
	p.log = zerolog.New(lines).Level(level).With().Timestamp().Str("node", s.Name).Str("role", string(s.Role)).Logger()
	p.guard = guard.Guard{Log: p.log, Counters: counters}
	debug.SetMemoryLimit(int64(s.Node.MemoryMB) << 20 * memoryShare / 100)
	if s.Role == settings.RoleEntry {
		err = p.newEntry()
	} else {
		err = p.newAgent()
	}
	return p, err
}

// Run serves until stop is closed, and then until what is in progress has ended.
func (p *Server) Run(stop <-chan struct{}) {
	p.log.Info().Uint64("incarnation", p.incarnation).Str("data_centre", p.settings.DataCentre).
		Str("store", p.node.Store).Msg("process started")
	p.run(stop)
	p.log.Info().Msg("process stopped")
	p.lines.Close(logCloseWait)
}

// Reload takes new settings. None of them can change while the process runs but
// the grace of a stop.
func (p *Server) Reload(s *settings.Settings) error {
	if s.Node == nil || s.Role != p.settings.Role || s.Node.IP != p.node.IP {
		return eris.New("role and addresses cannot change without a restart")
	}
	if *s.Node != *p.node {
		p.log.Warn().Msg("changed settings take effect at the next start")
	}
	p.log.Info().Msg("settings reloaded")
	return nil
}

func (p *Server) localAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(p.node.IP)} }

// address returns a port at this node's address.
func (p *Server) address(port uint16) string {
	return netip.AddrPortFrom(netip.MustParseAddr(p.node.IP), port).String()
}

// guarded serves requests with next; an unexpected error in one of them is answered as
// a timeout, since a part of it may have been carried out.
func (p *Server) guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.guard.Run("a request", func() { next.ServeHTTP(w, r) }) {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
}

func (p *Server) serveMetrics(w http.ResponseWriter) {
	if err := p.counters.WriteText(w); err != nil {
		p.log.Warn().Err(err).Msg("metrics not written")
	}
}

// sleep waits for d and reports whether ctx is still in force.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
