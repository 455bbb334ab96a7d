// Package entry is the process that accepts jobs, places their tasks on targets
// and answers callers.
package entry

import (
	"context"
	"crypto/tls"
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
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/dispatch"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/internal/process/slots"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

const (
	drainInterval = 10 * time.Millisecond
	// retireTimeout bounds the last answers of a lost incarnation.
	retireTimeout = time.Second
)

// Entry is one entry incarnation.
type Entry struct {
	settings    *settings.Settings
	log         zerolog.Logger
	incarnation uint64
	counters    *metrics.Counters
	stats       *link.Stats
	access      *access
	transport   *quic.Transport
	listener    *quic.Listener
	server      *caller.Server
	store       store.Store
	config      *config.View
	roster      *roster.View
	dispatcher  *dispatch.Dispatcher
	broker      *slots.Broker
	peers       *peers
	ready       atomic.Bool
	draining    atomic.Bool
	reachable   atomic.Bool // the store answered last time
	jobs        *jobs.Table // set before ready
	freshness   *freshness
	voters      *voterHistory
	storeOld    atomic.Bool // the store is older than what is known
	loggedFresh bool        // used by keepContact only
	ticketKey   atomic.Pointer[ticket.Key]
	memory      *jobs.Memory
	lease       *lease
	adoptions   *adoptions
	calls       atomic.Int64 // calls of callers and peers in progress
	retired     chan struct{}
	retireOnce  sync.Once
	// handedOver is closed once the tickets have a successor, or none was found.
	handedOver chan struct{}

	mu     sync.Mutex
	agents map[string]*agentLink // by agent name
	// handedOverParts holds the answers of hand-overs in progress, by home.
	handedOverParts map[uint64][]*peerv1.RememberedAnswer
}

// New returns an entry that listens but does not serve yet.
func New(s *settings.Settings, log zerolog.Logger) (*Entry, error) {
	counters := metrics.New()
	access, err := newAccess(s, counters)
	if err != nil {
		return nil, err
	}
	return newIncarnation(s, log, counters, access)
}

func newIncarnation(s *settings.Settings, log zerolog.Logger, counters *metrics.Counters, access *access) (*Entry, error) {
	paced := link.Paced(access.keys.Server(), s.Entry.HandshakeRate, counters.Counter("handshakes_paced"))
	transport, listener, err := listenPeers(s.Entry.PeerListen, paced)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings:    s,
		log:         log,
		incarnation: rand.Uint64(),
		counters:    counters,
		stats:       link.NewStats(counters.Registry()),
		access:      access,
		transport:   transport,
		listener:    listener,
		store:       store.Dial(s.Entry.StoreURL, caller.LocalAddress(s.Entry.CallerListen)),
		config:      config.NewView(),
		roster:      roster.NewView(),
		agents:      make(map[string]*agentLink),
		freshness:   newFreshness(s.Entry.Permit.Std(), time.Now()),
		voters:      newVoterHistory(s.Entry.Permit.Std()),
		memory:      jobs.NewMemory(int64(s.Entry.AnswerMemoryMB) << 20),
		lease:       newLease(s.Entry.Lease.Std()),
		adoptions:   newAdoptions(),
		retired:     make(chan struct{}),
		handedOver:  make(chan struct{}),
	}
	e.peers = newPeers(e)
	e.broker = slots.New(e.config, counters)
	e.dispatcher = dispatch.New(dispatch.Options{
		Sender:     e.incarnation,
		DataCentre: s.DataCentre,
		QueueLimit: s.Entry.QueueLimit,
		Config:     e.config,
		Counters:   counters,
		Slots:      &slotBrokers{entry: e},
		Broker:     e.broker,
		Entries:    func() int { return len(e.roster.Load().Entries) },
		IsFresh:    e.isFresh,
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

// Run serves until stop is closed, and then drains for at most the stop
// timeout. An incarnation that loses its lease is followed by a new one.
func (e *Entry) Run(stop <-chan struct{}) {
	for e.runIncarnation(stop) {
		next := e.successor(stop)
		if next == nil {
			return
		}
		e = next
	}
}

// runIncarnation reports whether the incarnation ended by the loss of its lease.
func (e *Entry) runIncarnation(stop <-chan struct{}) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.accept(ctx)
	go e.watchPulse(ctx)
	go e.follow(ctx)
	go e.broker.Run(ctx.Done())
	go e.dispatcher.Run(ctx.Done())
	go e.sweepAdoptions(ctx)
	select {
	case <-e.retired:
		cancel()
		e.shut()
		return true
	case <-stop:
		e.drain(ctx)
		cancel()
		e.close()
		return false
	}
}

// shut closes a lost incarnation after its last answers.
func (e *Entry) shut() {
	ctx, cancel := context.WithTimeout(context.Background(), retireTimeout)
	defer cancel()
	e.draining.Store(true)
	e.waitIdle(ctx)
	e.server.Close(ctx)
	e.close()
}

// successor returns a new incarnation at the same addresses, or nil when stop is
// closed first.
func (e *Entry) successor(stop <-chan struct{}) *Entry {
	for {
		next, err := newIncarnation(e.settings, e.log, e.counters, e.access)
		if err == nil {
			return next
		}
		e.log.Error().Err(err).Msg("new incarnation cannot listen")
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

// accept serves the links of agents and other entries until the listener ends.
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
		l.ServeCalls(e.countCall(e.handleCall))
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
		e.calls.Add(1)
		defer e.calls.Add(-1)
		mux.ServeHTTP(w, r)
	})
}

func (e *Entry) countCall(next link.Handler) link.Handler {
	return func(ctx context.Context, call *peerv1.Call) *peerv1.Reply {
		e.calls.Add(1)
		defer e.calls.Add(-1)
		return next(ctx, call)
	}
}
