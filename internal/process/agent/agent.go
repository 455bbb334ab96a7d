// Package agent implements the agent process, which runs beside a target: it announces the
// target to the entries, runs tasks on it and returns their results.
package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/caller"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/connection/link"
	"github.com/rosemarybay/rosemarybay/internal/connection/target"
	"github.com/rosemarybay/rosemarybay/internal/process/attempts"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

const (
	expireInterval = 5 * time.Second
	drainInterval  = 10 * time.Millisecond
	// statusIdle is the time within which the next request on a connection to the status port must
	// have arrived completely.
	statusIdle = time.Minute
	// statusHeaderBytes and statusBodyBytes bound a request to the status port, which needs neither.
	statusHeaderBytes = 8 << 10
	statusBodyBytes   = 8 << 10
	// statusConnections is the number of connections to the status port. From 90 % of it on, idle ones
	// are closed for new ones.
	statusConnections = 256
	// statusMemory is the budget for requests to the status port, and for responses that are not read.
	statusMemory = 8 << 20
	// statusResponseBytes is the memory for the text of the counters and the buffers of the response.
	statusResponseBytes = 256 << 10
	// statusCloseTimeout bounds the wait for requests to the status port when the agent stops.
	statusCloseTimeout = 100 * time.Millisecond
)

// Agent is one agent process; its incarnation is a random number that distinguishes it
// from other runs of the agent.
type Agent struct {
	settings     *settings.Settings
	log          zerolog.Logger
	incarnation  uint64
	info         *peerv1.TargetInfo
	counters     *metrics.Counters
	keys         *identity.Keys
	transport    *quic.Transport
	dialer       *link.Dialer
	status       *caller.Server
	attempts     *attempts.Table
	target       *target.Client
	config       *config.View
	roster       *roster.View
	permit       permit
	ctx          context.Context // cancelled when the agent stops
	slotCounters slotCounters
	broker       atomic.Uint64 // incarnation of the entry that grants the slots

	mu             sync.Mutex
	sessions       map[uint64]*session     // by entry incarnation
	dialers        map[string]*entryDialer // by address
	runningByEntry map[uint64]int          // number of running attempts, by entry incarnation
	waiters        []*session              // refused because the target was full
	draining       bool
}

// New returns an agent that serves its status port but does not dial entries until Run.
func New(s *settings.Settings, log zerolog.Logger) (*Agent, error) {
	counters := metrics.New()
	refused := counters.Counter("handshakes_refused")
	keys, err := identity.Load(s.TLS.Files(), func(error) { refused.Inc(1) })
	if err != nil {
		return nil, err
	}
	transport, err := newTransport(s.Agent.StatusListen)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:    s,
		log:         log,
		incarnation: rand.Uint64(),
		info:        targetInfo(s),
		counters:    counters,
		keys:        keys,
		transport:   transport,
		dialer: &link.Dialer{
			Transport: transport,
			TLS:       keys.ClientConfig(),
			Stats:     link.NewStats(counters.Registry()),
		},
		attempts:       attempts.New(s.Agent.Target.Slots),
		target:         target.New(s.Agent.Target.URL, s.Agent.Target.MaxConnections),
		config:         config.NewView(),
		roster:         roster.NewView(),
		sessions:       make(map[uint64]*session),
		dialers:        make(map[string]*entryDialer),
		runningByEntry: make(map[uint64]int),
	}
	if a.status, err = a.listenStatus(); err != nil {
		_ = transport.Close()
		return nil, eris.Wrap(err, "listen on status port")
	}
	return a, nil
}

// newTransport binds a UDP socket to the IP address of the status port, so that all traffic
// of the process comes from the address in its settings.
func newTransport(statusListen string) (*quic.Transport, error) {
	address, err := netip.ParseAddrPort(statusListen)
	if err != nil {
		return nil, eris.Wrap(err, "parse status address")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address.Addr(), 0)))
	if err != nil {
		return nil, eris.Wrap(err, "open UDP socket for links")
	}
	return &quic.Transport{Conn: conn}, nil
}

func targetInfo(s *settings.Settings) *peerv1.TargetInfo {
	t := s.Agent.Target
	return &peerv1.TargetInfo{
		Name:        t.Name,
		DataCentre:  s.DataCentre,
		Rack:        t.Rack,
		Slots:       uint32(t.Slots),
		Size:        t.Size(),
		Departments: t.Departments,
	}
}

// Reload applies the keys of new settings and keeps open links. Other settings take effect
// only after a restart.
func (a *Agent) Reload(s *settings.Settings) error {
	return a.keys.Reload(s.TLS.Files())
}

// Run serves until stop is closed, then drains for at most the stop timeout.
func (a *Agent) Run(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.ctx = ctx
	a.updateLinks()
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			a.attempts.Expire(now)
		case <-stop:
			a.drain()
			cancel()
			a.close()
			return
		}
	}
}

// drain announces the stop to the entries, waits for running tasks, and then until the
// entries have received all results.
func (a *Agent) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.StopTimeout.Std())
	defer cancel()
	a.mu.Lock()
	a.draining = true
	sessions := make([]*session, 0, len(a.sessions))
	for _, s := range a.sessions {
		sessions = append(sessions, s)
	}
	a.mu.Unlock()
	for _, s := range sessions {
		_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Goodbye{Goodbye: &peerv1.Goodbye{}}})
	}
	for _, s := range sessions {
		s.waitForReply(ctx)
	}
	for a.attempts.Busy() > 0 && ctx.Err() == nil {
		time.Sleep(drainInterval)
	}
	for _, s := range sessions {
		s.waitForReply(ctx)
	}
}

func (a *Agent) close() {
	a.mu.Lock()
	sessions := a.sessions
	a.sessions = make(map[uint64]*session)
	a.mu.Unlock()
	for _, s := range sessions {
		s.link.Close()
	}
	_ = a.transport.Close()
	ctx, cancel := context.WithTimeout(context.Background(), statusCloseTimeout)
	defer cancel()
	a.status.Close(ctx)
	a.target.Close()
}

// listenStatus starts the server of the status port.
func (a *Agent) listenStatus() (*caller.Server, error) {
	closures := eventlog.NewClosures(a.log, a.counters)
	return caller.Listen(caller.Options{
		Address:     a.settings.Agent.StatusListen,
		Handler:     a.statusHandler(),
		IdleTimeout: statusIdle,
		Intake: caller.NewIntake(caller.IntakeOptions{
			Bytes:       statusMemory,
			Connections: statusConnections,
			OnClose:     func(reason caller.IntakeReason, remote net.Addr) { closures.Record(string(reason), remote) },
		}),
		Limits: func(*http.Request) caller.MessageLimits {
			return caller.MessageLimits{Head: statusHeaderBytes, Body: statusBodyBytes}
		},
		HandlerBytes: func(_, _ []byte) int { return statusResponseBytes },
		NoLimits:     true,
	})
}

func (a *Agent) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_ = a.counters.WriteText(w)
	})
	return mux
}
