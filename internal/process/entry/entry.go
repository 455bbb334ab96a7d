// Package entry implements the entry process: it accepts jobs, dispatches their tasks to
// targets and answers callers.
package entry

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
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
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/dispatch"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/internal/process/slots"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

const (
	drainPollInterval = 10 * time.Millisecond
	// retireTimeout bounds how long a lost incarnation may still send answers.
	retireTimeout = time.Second
)

// Entry is one incarnation of an entry: its state from start, or from the loss of the
// previous incarnation's lease, until it stops or loses its own lease.
type Entry struct {
	settings        *settings.Settings
	log             zerolog.Logger
	incarnation     uint64
	counters        *metrics.Counters
	stats           *link.Stats
	access          *access
	transport       *quic.Transport
	listener        *quic.Listener
	server          *caller.Server
	store           store.Store
	config          *config.View
	roster          *roster.View
	dispatcher      *dispatch.Dispatcher
	broker          *slots.Broker
	peers           *peers
	ready           atomic.Bool
	draining        atomic.Bool
	storeReachable  atomic.Bool // the last store call succeeded
	jobs            *jobs.Table // set before ready
	freshness       *freshness
	voters          *voterHistory
	storeOld        atomic.Bool // the store answered with a revision below a known one
	loggedFresh     bool        // freshness last logged; used by contactLoop only
	ticketKey       atomic.Pointer[ticket.Key]
	answerMemory    *jobs.MemoryLimit
	lease           *lease
	adoptions       *adoptions
	callsInProgress atomic.Int64 // from callers and peers
	// invalidObjects and invalidEntries record the stored values that cannot be used.
	invalidObjects, invalidEntries *eventlog.InvalidValues
	retired                        chan struct{}
	retireOnce                     sync.Once
	// handedOver is closed when the hand-over of the tickets to a successor has ended,
	// successful or not.
	handedOver chan struct{}

	mu     sync.Mutex
	agents map[string]*agentLink // by agent name
	// handedOverParts holds the answers received in unfinished hand-overs, by the home
	// incarnation of their tickets.
	handedOverParts map[uint64][]*peerv1.RememberedAnswer
}

// New returns an entry whose ports are open but which does not serve until Run.
func New(s *settings.Settings, log zerolog.Logger) (*Entry, error) {
	counters := metrics.New()
	access, err := newAccess(s, log, counters)
	if err != nil {
		return nil, err
	}
	if s.Entry.MemoryMB > 0 {
		debug.SetMemoryLimit(settings.HeapLimit(s.Entry.MemoryMB))
	}
	return newIncarnation(s, log, counters, access)
}

func newIncarnation(s *settings.Settings, log zerolog.Logger, counters *metrics.Counters, access *access) (*Entry, error) {
	limited := link.RateLimited(access.keys.ServerConfig(), s.Entry.HandshakeRate, counters.Counter("handshakes_paced"))
	transport, listener, err := listenPeers(s.Entry.PeerListen, limited)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings:     s,
		log:          log,
		incarnation:  rand.Uint64(),
		counters:     counters,
		stats:        link.NewStats(counters.Registry()),
		access:       access,
		transport:    transport,
		listener:     listener,
		store:        store.NewClient(s.Entry.StoreURL, caller.LocalAddress(s.Entry.CallerListen)),
		config:       config.NewView(),
		roster:       roster.NewView(),
		agents:       make(map[string]*agentLink),
		freshness:    newFreshness(s.Entry.Permit.Std(), time.Now()),
		voters:       newVoterHistory(s.Entry.Permit.Std()),
		answerMemory: jobs.NewMemoryLimit(int64(s.Entry.AnswerMemoryMB) << 20),
		lease:        newLease(s.Entry.Lease.Std()),
		adoptions:    newAdoptions(),
		retired:      make(chan struct{}),
		handedOver:   make(chan struct{}),

		invalidObjects: eventlog.NewInvalidValues(log, counters.Counter("config_undecodable")),
		invalidEntries: eventlog.NewInvalidValues(log, counters.Counter("roster_undecodable")),
	}
	e.peers = newPeers(e)
	e.broker = slots.New(e.config, counters)
	e.dispatcher = dispatch.New(dispatch.Options{
		Incarnation:   e.incarnation,
		DataCentre:    s.DataCentre,
		QueueLimit:    s.Entry.QueueLimit,
		Config:        e.config,
		Counters:      counters,
		Slots:         &slotBrokers{entry: e},
		Broker:        e.broker,
		EntryCount:    func() int { return len(e.roster.Load().Entries) },
		IsConfigFresh: e.isFresh,
	})
	e.server, err = e.listenCallers()
	if err != nil {
		_ = transport.Close()
		return nil, err
	}
	return e, nil
}

func listenPeers(address string, tlsConfig *tls.Config) (*quic.Transport, *quic.Listener, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, nil, eris.Wrap(err, "parse peer address")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, nil, eris.Wrap(err, "listen for peers")
	}
	transport := &quic.Transport{Conn: conn}
	listener, err := transport.Listen(tlsConfig, link.Config())
	if err != nil {
		_ = transport.Close()
		return nil, nil, eris.Wrap(err, "listen for peers")
	}
	return transport, listener, nil
}

// Run serves until stop is closed, then drains: jobs may finish for at most the stop
// timeout. An incarnation that loses its lease is replaced by a new one.
func (e *Entry) Run(stop <-chan struct{}) {
	for e.runIncarnation(stop) {
		next := e.nextIncarnation(stop)
		if next == nil {
			return
		}
		e = next
	}
}

// runIncarnation reports whether the incarnation ended because it lost its lease.
func (e *Entry) runIncarnation(stop <-chan struct{}) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.accept(ctx)
	go e.watchForPauses(ctx)
	go e.syncWithStore(ctx)
	go e.broker.Run(ctx.Done())
	go e.dispatcher.Run(ctx.Done())
	go e.sweepAdoptions(ctx)
	select {
	case <-e.retired:
		cancel()
		e.closeRetired()
		return true
	case <-stop:
		e.drain(ctx)
		cancel()
		e.close()
		return false
	}
}

// closeRetired closes a lost incarnation once its calls in progress are answered, at
// the latest after retireTimeout.
func (e *Entry) closeRetired() {
	ctx, cancel := context.WithTimeout(context.Background(), retireTimeout)
	defer cancel()
	e.draining.Store(true)
	e.waitIdle(ctx)
	e.server.Close(ctx)
	e.close()
}

// nextIncarnation returns a new incarnation that listens on the same addresses, or nil
// if stop is closed first.
func (e *Entry) nextIncarnation(stop <-chan struct{}) *Entry {
	for {
		next, err := newIncarnation(e.settings, e.log, e.counters, e.access)
		if err == nil {
			return next
		}
		e.log.Error().Err(err).Msg("new incarnation cannot open its listeners")
		select {
		case <-stop:
			return nil
		case <-time.After(storeBackoff):
		}
	}
}

func (e *Entry) close() {
	e.mu.Lock()
	agents := e.agents
	e.agents = make(map[string]*agentLink)
	e.mu.Unlock()
	for _, a := range agents {
		a.link.Close()
	}
	_ = e.transport.Close()
	_ = e.transport.Conn.Close()
}

// accept serves the links of agents and other entries until the listener is closed.
func (e *Entry) accept(ctx context.Context) {
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			return
		}
		go e.serveConn(ctx, conn)
	}
}

func (e *Entry) serveConn(ctx context.Context, conn *quic.Conn) {
	l, err := link.Accept(ctx, conn, e.stats)
	if err != nil {
		e.counters.Counter("links_refused").Inc(1)
		return
	}
	defer l.Close()
	f, err := l.Receive()
	if err != nil || f.GetHello() == nil {
		e.counters.Counter("links_refused").Inc(1)
		return
	}
	hello := f.GetHello()
	switch l.Remote().Role {
	case identity.RoleAgent:
		e.serveAgent(l, hello)
	case identity.RoleEntry:
		_ = l.Send(e.welcome())
		l.ServeCalls(e.trackCall(e.handleCall))
	}
}

func (e *Entry) welcome() *peerv1.Frame {
	return &peerv1.Frame{Body: &peerv1.Frame_Welcome{Welcome: &peerv1.Welcome{
		Name:           e.settings.Name,
		DataCentre:     e.settings.DataCentre,
		Incarnation:    e.incarnation,
		ConfigRevision: e.config.Load().Revision(),
	}}}
}

func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(e.jobService())
	mux.Handle(e.configService())
	mux.Handle(e.fleetService())
	mux.HandleFunc("GET /metrics", e.access.authorizer.operatorOnly(func(w http.ResponseWriter, _ *http.Request) {
		_ = e.counters.WriteText(w)
	}))
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready.Load() || e.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.callsInProgress.Add(1)
		defer e.callsInProgress.Add(-1)
		mux.ServeHTTP(w, r)
	})
}

func (e *Entry) trackCall(next link.Handler) link.Handler {
	return func(ctx context.Context, call *peerv1.Call) *peerv1.Reply {
		e.callsInProgress.Add(1)
		defer e.callsInProgress.Add(-1)
		return next(ctx, call)
	}
}
