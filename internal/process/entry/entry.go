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
	"github.com/rosemarybay/rosemarybay/internal/version/config"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

const drainInterval = 10 * time.Millisecond

// Entry is one entry incarnation.
type Entry struct {
	settings    *settings.Settings
	log         zerolog.Logger
	incarnation uint64
	counters    *metrics.Counters
	stats       *link.Stats
	tls         *tls.Config
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

	mu     sync.Mutex
	agents map[string]*agentLink // by agent name
}

// New returns an entry that listens but does not serve yet.
func New(s *settings.Settings, log zerolog.Logger) (*Entry, error) {
	tlsConfig, err := identity.LoadTLS(s.TLS.CA, s.TLS.Cert, s.TLS.Key)
	if err != nil {
		return nil, err
	}
	transport, listener, err := listenPeers(s.Entry.PeerListen, tlsConfig)
	if err != nil {
		return nil, err
	}
	counters := metrics.New()
	e := &Entry{
		settings:    s,
		log:         log,
		incarnation: rand.Uint64(),
		counters:    counters,
		stats:       link.NewStats(counters.Registry()),
		tls:         tlsConfig,
		transport:   transport,
		listener:    listener,
		store:       store.Dial(s.Entry.StoreURL, caller.LocalAddress(s.Entry.CallerListen)),
		config:      config.NewView(),
		roster:      roster.NewView(),
		agents:      make(map[string]*agentLink),
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
	})
	e.server, err = caller.Listen(s.Entry.CallerListen, e.handler())
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
// timeout.
func (e *Entry) Run(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.accept(ctx)
	go e.follow(ctx)
	go e.broker.Run(ctx.Done())
	<-stop
	e.drain()
	cancel()
	e.close()
}

// drain finishes the jobs in progress.
func (e *Entry) drain() {
	e.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.StopTimeout.Std())
	defer cancel()
	for e.ready.Load() && e.jobs.Running() > 0 && ctx.Err() == nil {
		time.Sleep(drainInterval)
	}
	e.server.Close(ctx)
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
	case "agent":
		e.serveAgent(l, hello)
	case "entry":
		_ = l.Send(e.welcome())
		l.ServeCalls(e.handleCall)
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
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_ = e.counters.WriteText(w)
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready.Load() || e.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
