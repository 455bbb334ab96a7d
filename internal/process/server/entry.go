package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/connection/caller"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/scheduler"
	"github.com/rosemarybay/rosemarybay/internal/version/entries"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
	"github.com/rosemarybay/rosemarybay/platform"
)

const (
	// acceptAfterStop is how long a stopping entry still accepts every job: the load
	// balancer stops sending requests after two failed probes, one second apart.
	acceptAfterStop = 2500 * time.Millisecond
	// stopReserve is the part of the stop timeout kept for sending the last responses.
	stopReserve = 500 * time.Millisecond
	// maxRequestLine is what a head may have beyond the limit for its header fields.
	maxRequestLine = 4 << 10
	// maxFirstFrameMemory bounds the first frames that are being received or decoded.
	maxFirstFrameMemory = 4 << 20
	// acceptRetryDelay is the pause after a link could not be accepted, as without descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// entry is a process in the entry role: it accepts jobs and places their tasks.
type entry struct {
	*Server
	view          *policy.View
	configWatcher *configWatcher
	registrar     *registrar
	directory     *directory
	patience      *patienceRecord
	cancels       *cancelRecord
	scheduler     *scheduler.Scheduler
	callers       *caller.Server
	status        *caller.Server
	agentListener net.Listener
	unknownLinks  *unknownLinks
	draining      atomic.Bool
	startedAt     time.Time
	// deregister begins to delete the registration of the entry; deregistered is closed once it
	// has been deleted, or cannot be.
	deregister   context.CancelFunc
	deregistered chan struct{}
}

func (p *Server) newEntry() error {
	e := &entry{Server: p, view: &policy.View{}, startedAt: time.Now(), unknownLinks: newUnknownLinks()}
	p.run = e.serve
	kv := platform.NewStore(p.node.Store, p.node.IP)
	advertised := p.node.PeerAdvertise
	if advertised == "" {
		advertised = p.address(p.node.PeerPort)
	}
	e.registrar = &registrar{
		store: kv,
		log:   p.log,
		key:   entryKeyPrefix + p.settings.Name,
		value: registration{Address: advertised, DataCentre: p.settings.DataCentre, Incarnation: p.incarnation},
	}
	e.directory = newDirectory(kv, p.log, p.invalid)
	e.scheduler = scheduler.New(scheduler.Options{
		DataCentre:    p.settings.DataCentre,
		Log:           p.log,
		Counters:      p.counters,
		View:          e.view,
		TargetLease:   p.node.TargetLease.Std(),
		Random:        rand.Float64,
		OnNewerPolicy: e.applyOutages,
		PolicyAge:     func() time.Duration { return e.configWatcher.age() },
		TargetSpeeds:  p.node.Scheduling.TargetSpeeds,
		LateAnswers:   p.node.Scheduling.LateAnswers,
		StartWait:     p.node.Scheduling.StartWait.Std(),
		Interference:  p.node.Scheduling.Interference,
		Entries:       func() int { return min(e.directory.Len(), entries.MaxLinks) },
	})
	e.cancels = newCancelRecord(e.scheduler, kv, p)
	e.patience = &patienceRecord{store: kv, log: p.log, invalid: p.invalid, estimator: e.scheduler}
	e.configWatcher = &configWatcher{store: kv, log: p.log, invalid: p.invalid, view: e.view, changed: e.scheduler.Refresh, first: make(chan struct{})}
	return e.listen()
}

func (e *entry) listen() error {
	var err error
	if e.agentListener, err = net.Listen("tcp", e.address(e.node.PeerPort)); err != nil {
		return eris.Wrap(err, "listen for agents")
	}
	e.callers, err = caller.Listen(caller.Options{
		Address: e.node.CallerListen,
		Handler: e.recoverPanics(&platform.Ingress{
			Jobs:     e.cancels,
			Document: e.document,

			AwaitDocument: e.awaitDocument,
			Closing:       e.draining.Load,
		}),
		IdleTimeout:    connectionIdleTimeout,
		MaxConnections: e.node.MaxConnections(),
		Intake:         e.intake,
		Limits:         e.requestLimits,
		HandlerBytes:   func(_, body []byte) int { return platform.JobRequestBytes(body) },
		NoLimits:       true,
		IsStopping:     e.draining.Load,
	})
	if err != nil {
		return err
	}
	e.status, err = caller.Listen(caller.Options{
		Address:        e.node.ReadyListen,
		ExtraAddresses: []string{e.address(e.node.MetricsPort)},
		Handler:        http.HandlerFunc(e.serveStatus),
		IdleTimeout:    connectionIdleTimeout,
		MaxConnections: e.node.MaxConnections(),
		Intake:         e.intake,
		HandlerBytes:   statusBytes,
		NoLimits:       true,
	})
	return err
}

// document returns the latest configuration, or nil before the first and while the cancellations of
// earlier processes are being read: until then a cancelled job would be run if its request arrived again.
func (e *entry) document() *platform.Document {
	if !e.cancels.isRead() {
		return nil
	}
	return e.configWatcher.document.Load()
}

// awaitDocument waits for document until ctx ends, or until the entry has had none for configWait
// since its start: it is then turned away by the store, and its callers should turn to another one.
func (e *entry) awaitDocument(ctx context.Context) *platform.Document {
	left := e.node.Scheduling.ConfigWait.Std() - time.Since(e.startedAt)
	if left <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	for _, ready := range []<-chan struct{}{e.configWatcher.first, e.cancels.read} {
		select {
		case <-ready:
		case <-ctx.Done():
			return nil
		}
	}
	e.counters.Counter("requests_held_at_start").Inc(1)
	return e.document()
}

// requestLimits returns the limits of a request by the configuration in force.
func (e *entry) requestLimits(*http.Request) caller.MessageLimits {
	snapshot := e.view.Snapshot()
	if snapshot == nil {
		return caller.MessageLimits{}
	}
	limits := caller.MessageLimits{Head: snapshot.Limits.HeaderBytes, Body: snapshot.Limits.BodyBytes}
	if limits.Head > 0 {
		limits.Head += maxRequestLine
	}
	return limits
}

// applyOutages updates the data centres out of service from an agent that has a newer list
// from another entry. The rest of the configuration comes only from the store.
func (e *entry) applyOutages(p *peer.Policy) {
	if e.view.ApplyOutages(&policy.Outages{Revision: p.Revision, Out: p.Out}) {
		e.log.Info().Uint64("revision", p.Revision).Strs("out", p.Out).Msg("data centres out of service learned from an agent")
	}
}

// isReady reports whether a load balancer should send requests to the entry: it has a
// configuration and at least one target, and is not draining.
func (e *entry) isReady() bool {
	return !e.draining.Load() && e.document() != nil && e.scheduler.HasTargets()
}

func (e *entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == metricsPath:
		e.serveMetrics(w)
	case !platform.IsReadyPath(r):
		w.WriteHeader(http.StatusNotFound)
	case !e.isReady():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *entry) serve(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.configWatcher.run(ctx)
	e.startRegistration(ctx)
	go e.directory.run(ctx)
	go e.patience.run(ctx)
	go e.cancels.run(ctx)
	go e.scheduler.Run(ctx.Done())
	go e.acceptAgents()
	<-stop
	e.drain()
	_ = e.agentListener.Close()
}

// drain waits for the requests in progress and closes the caller port. During
// acceptAfterStop every job is accepted, later only one that ends before the deadline. The
// entry stays registered meanwhile: agents start no tasks for one that is not.
func (e *entry) drain() {
	grace := e.stopTimeout().Std() - stopReserve
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	e.scheduler.Stop(acceptAfterStop, grace)
	e.draining.Store(true)
	e.log.Info().Int("jobs", e.scheduler.Jobs()).Int("requests", e.callers.OpenRequests()).Msg("stopping")
	sleep(ctx, acceptAfterStop)
	for !e.callers.Drain(ctx) {
		if ctx.Err() != nil {
			e.failJobs()
			break
		}
	}
	closing, cancelClosing := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancelClosing()
	e.deregister()
	e.callers.Close(closing)
	select {
	case <-e.deregistered:
	case <-closing.Done():
	}
}

// startRegistration registers the entry until deregister is called.
func (e *entry) startRegistration(ctx context.Context) {
	registered, deregister := context.WithCancel(ctx)
	e.deregister, e.deregistered = deregister, make(chan struct{})
	go func() {
		defer close(e.deregistered)
		e.registrar.run(registered)
	}()
}

// failJobs fails the jobs that still run at the end of the stop timeout. Their callers get
// a response, so that they can repeat the request at another entry.
func (e *entry) failJobs() {
	e.log.Warn().Int("jobs", e.scheduler.Jobs()).Int("requests", e.callers.OpenRequests()).Msg("stopping with requests in progress")
	e.scheduler.GiveUpAll()
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancel()
	e.callers.Drain(ctx)
}

// acceptAgents accepts links from agents until the listener is closed.
func (e *entry) acceptAgents() {
	for {
		conn, err := e.agentListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.log.Warn().Err(err).Msg("cannot accept the link of an agent")
			time.Sleep(acceptRetryDelay)
			continue
		}
		unknown, excess := e.unknownLinks.add(conn, time.Now())
		if excess != nil {
			e.closures.Record(string(closureUnknownLink), excess.conn.RemoteAddr())
			_ = excess.conn.Close()
		}
		go e.guard.Run("the link of an agent", func() {
			defer e.unknownLinks.remove(unknown) // after a panic
			e.serveAgent(unknown)
		})
	}
}

// The reasons for which links without a hello are closed.
const (
	// closureUnknownLink: others had connected since.
	closureUnknownLink caller.IntakeReason = "unknown_links"
	// closureNoHello: the other side closed it, sent nothing in time, or sent a first frame that is
	// malformed or too large.
	closureNoHello caller.IntakeReason = "no_hello"
)

// serveAgent serves one link from an agent. Each side starts with a hello frame.
func (e *entry) serveAgent(unknown *unknownLink) {
	var name atomic.Pointer[string]
	link := peer.NewLink(unknown.conn, func(f *peer.Frame) {
		if n := name.Load(); n != nil {
			e.scheduler.Stamp(*n, f)
		}
	})
	defer link.Close()
	link.Send(peer.Frame{Hello: &peer.Hello{
		Name:        e.settings.Name,
		Incarnation: e.incarnation,
		DataCentre:  e.settings.DataCentre,
	}})
	f, err := link.ReceiveFirst(e.unknownLinks.memory)
	if err != nil || f.Hello == nil {
		if e.unknownLinks.remove(unknown) {
			e.closures.Record(string(closureNoHello), unknown.conn.RemoteAddr())
		}
		return
	}
	e.unknownLinks.identified(unknown, time.Now())
	agent := f.Hello.Name
	e.scheduler.Connect(f.Hello, link)
	defer func() { e.scheduler.Disconnect(agent, link, err) }()
	name.Store(&agent)
	for err == nil {
		if f.Subscribe != nil {
			e.directory.subscribe(link, *f.Subscribe, func(changes peer.Entries) { link.Send(peer.Frame{Entries: &changes}) })
		}
		e.scheduler.Receive(agent, link, f)
		f, err = link.Receive()
	}
}
