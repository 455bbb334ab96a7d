// Package server assembles and runs one process with the settings section node: an entry,
// which accepts jobs and places their tasks, or an agent, which runs tasks on the target
// beside it.
package server

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/caller"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/guard"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

const (
	// logFlushTimeout bounds the flush of queued log lines when the process stops.
	logFlushTimeout = 200 * time.Millisecond
	metricsPath     = "/metrics"
	// metricsBytes is the memory for the text of the counters and the buffers of the response.
	metricsBytes = 256 << 10
	// logTimeFormat has microseconds, so that the log lines of several processes can be
	// ordered.
	logTimeFormat = "2006-01-02T15:04:05.000000Z07:00"
	// connectionIdleTimeout is the time without a request after which a connection is
	// closed.
	connectionIdleTimeout = 2 * time.Minute
)

// Server is one process in the role of an entry or of an agent.
type Server struct {
	settings    *settings.Settings
	node        *settings.Node
	log         zerolog.Logger
	lines       *eventlog.Writer
	counters    *metrics.Counters
	guard       guard.Guard
	invalid     *eventlog.InvalidValues
	incarnation uint64
	intake      *caller.Intake
	closures    *eventlog.Closures
	run         func(stop <-chan struct{})

	mu sync.Mutex
	// live are the settings in force of those that can change.
	live liveSettings
}

// New returns a process in the role that the settings select. Its ports are open.
func New(s *settings.Settings) (*Server, error) {
	counters := metrics.New()
	lines := eventlog.New(os.Stdout, counters.Counter("log_lines_dropped"))
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "parse log level")
	}
	p := &Server{
		settings:    s,
		node:        s.Node,
		lines:       lines,
		counters:    counters,
		incarnation: rand.Uint64(),
		live:        liveSettingsOf(s),
	}
	zerolog.SetGlobalLevel(level)
	zerolog.TimeFieldFormat = logTimeFormat
	p.log = zerolog.New(lines).With().Timestamp().Str("node", s.Name).Str("role", string(s.Role)).Logger()
	p.guard = guard.Guard{Log: p.log, Counters: counters}
	p.invalid = eventlog.NewInvalidValues(p.log, counters.Counter("stored_values_invalid"))
	p.closures = eventlog.NewClosures(p.log, counters)
	p.intake = caller.NewIntake(caller.IntakeOptions{
		Bytes:       s.Node.RequestMemory(),
		Connections: s.Node.MaxConnections(),
		OnClose:     func(reason caller.IntakeReason, remote net.Addr) { p.closures.Record(string(reason), remote) },
	})
	debug.SetMemoryLimit(settings.HeapLimit(s.Node.MemoryMB))
	if s.Role == settings.RoleEntry {
		err = p.newEntry()
	} else {
		err = p.newAgent()
	}
	return p, err
}

// Run serves until stop is closed, then finishes the work in progress and returns.
func (p *Server) Run(stop <-chan struct{}) {
	p.log.Info().Uint64("incarnation", p.incarnation).Str("data_centre", p.settings.DataCentre).
		Str("store", p.node.Store).Msg("process started")
	p.run(stop)
	p.log.Info().Msg("process stopped")
	p.lines.Close(logFlushTimeout)
}

func (p *Server) localAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(p.node.IP)} }

// address joins the IP address of this node and a port.
func (p *Server) address(port uint16) string {
	return netip.AddrPortFrom(netip.MustParseAddr(p.node.IP), port).String()
}

// recoverPanics recovers panics of next. The request is answered with 504 Gateway Timeout,
// since a part of it may have been carried out.
func (p *Server) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.guard.Run("a request", func() { next.ServeHTTP(w, r) }) {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
}

// statusBytes returns the memory that the handler of a status port takes for a request with a head.
func statusBytes(head, _ []byte) int {
	if bytes.HasPrefix(head, []byte("GET "+metricsPath)) {
		return metricsBytes
	}
	return 0
}

func (p *Server) serveMetrics(w http.ResponseWriter) {
	if err := p.counters.WriteText(w); err != nil {
		p.log.Warn().Err(err).Msg("cannot write metrics")
	}
}

// sleep waits for d, or until ctx ends. It reports whether the whole time has passed.
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
