package server

import (
	"context"
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
	// newJobsAfterStop is how long a stopping entry stays and takes any job: the
	// balancer needs two missed probes, a second apart, to send nothing more.
	newJobsAfterStop = 2500 * time.Millisecond
	// stopReserve is left of the grace of a stop for the last answers.
	stopReserve = 500 * time.Millisecond
)

// entry is the role that takes jobs.
type entry struct {
	*Server
	view      *policy.View
	follower  *follower
	registrar *registrar
	directory *directory
	learned   *learned
	scheduler *scheduler.Scheduler
	callers   *caller.Server
	status    *caller.Server
	peers     net.Listener
	draining  atomic.Bool
}

func (p *Server) newEntry() error {
	e := &entry{Server: p, view: &policy.View{}}
	p.run = e.serve
	kv := platform.NewStore(p.node.Store, p.node.IP)
	advertised := p.node.PeerAdvertise
	if advertised == "" {
		advertised = p.address(p.node.PeerPort)
	}
	e.registrar = &registrar{
		store: kv,
		log:   p.log,
		key:   rosterPrefix + p.settings.Name,
		value: registration{Address: advertised, DataCentre: p.settings.DataCentre, Incarnation: p.incarnation},
	}
	e.directory = newDirectory(kv, p.log)
	e.scheduler = scheduler.New(scheduler.Options{
		DataCentre:  p.settings.DataCentre,
		Log:         p.log,
		Counters:    p.counters,
		View:        e.view,
		TargetLease: p.node.TargetLease.Std(),
		Random:      rand.Float64,
		Behind:      e.behind,
		Entries:     func() int { return min(e.directory.Len(), entries.MaxLinks) },
	})
	e.learned = &learned{store: kv, log: p.log, patience: e.scheduler}
	e.follower = &follower{store: kv, log: p.log, view: e.view, changed: e.scheduler.Refresh}
	return e.listen()
}

func (e *entry) listen() error {
	var err error
	if e.peers, err = net.Listen("tcp", e.address(e.node.PeerPort)); err != nil {
		return eris.Wrap(err, "listen for agents")
	}
	e.callers, err = caller.Listen(caller.Options{
		Address: e.node.CallerListen,
		Handler: e.guarded(&platform.Ingress{
			Jobs:     e.scheduler,
			Document: e.follower.document.Load,
			Closing:  e.draining.Load,
		}),
		Idle:           connectionIdle,
		MaxConnections: maxConnections,
		Bare:           true,
		Closing:        e.draining.Load,
	})
	if err != nil {
		return err
	}
	e.status, err = caller.Listen(caller.Options{
		Address:        e.node.ReadyListen,
		MoreAddresses:  []string{e.address(e.node.MetricsPort)},
		Handler:        http.HandlerFunc(e.serveStatus),
		Idle:           connectionIdle,
		MaxConnections: maxConnections,
		Bare:           true,
	})
	return err
}

// behind takes the data centres out of service from an agent that another entry
// has told more. The configuration itself comes only from the store.
func (e *entry) behind(p *peer.Policy) {
	if e.view.ApplyOutages(&policy.Outages{Revision: p.Revision, Out: p.Out}) {
		e.log.Info().Uint64("revision", p.Revision).Strs("out", p.Out).Msg("data centres out of service learned from an agent")
	}
}

// isReady reports whether the entry should be given connections: it knows the
// configuration, and a target.
func (e *entry) isReady() bool {
	return !e.draining.Load() && e.view.Snapshot() != nil && e.scheduler.HasTargets()
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
	go e.follower.run(ctx)
	go e.registrar.run(ctx)
	go e.directory.run(ctx)
	go e.learned.run(ctx)
	go e.scheduler.Run(ctx.Done())
	go e.accept()
	<-stop
	e.drain()
	_ = e.peers.Close()
}

// drain lets the requests in progress have their answers. New ones are taken as long
// as they end in time.
func (e *entry) drain() {
	grace := e.settings.StopTimeout.Std() - stopReserve
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	e.scheduler.Stop(newJobsAfterStop, grace)
	e.draining.Store(true)
	e.log.Info().Int("jobs", e.scheduler.Jobs()).Int("requests", e.callers.Requests()).Msg("stopping")
	go e.registrar.withdraw(ctx)
	sleep(ctx, newJobsAfterStop)
	for !e.callers.Drain(ctx) {
		if ctx.Err() != nil {
			e.endJobs()
			break
		}
	}
	closing, cancelClosing := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancelClosing()
	e.callers.Close(closing)
}

// endJobs answers the requests that are still in progress when the grace is over: a
// caller with an answer asks another entry.
func (e *entry) endJobs() {
	e.log.Warn().Int("jobs", e.scheduler.Jobs()).Int("requests", e.callers.Requests()).Msg("stopping with requests in progress")
	e.scheduler.End()
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancel()
	e.callers.Drain(ctx)
}

// accept serves the links of agents until the listener is closed.
func (e *entry) accept() {
	for {
		conn, err := e.peers.Accept()
		if err != nil {
			return
		}
		go e.guard.Run("the link of an agent", func() { e.serveAgent(conn) })
	}
}

// serveAgent serves one link of an agent, which is told who this entry is and
// answers with what it has.
func (e *entry) serveAgent(conn net.Conn) {
	var name atomic.Pointer[string]
	link := peer.NewLink(conn, func(f *peer.Frame) {
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
	f, err := link.Receive()
	if err != nil || f.Hello == nil {
		e.log.Warn().Err(err).Str("remote", link.RemoteAddr()).Msg("link without hello refused")
		return
	}
	agent := f.Hello.Name
	e.scheduler.Connect(f.Hello, link)
	defer func() { e.scheduler.Disconnect(agent, link, err) }()
	name.Store(&agent)
	for err == nil {
		if f.Follow != nil {
			e.directory.follow(link, *f.Follow, func(changes peer.Entries) { link.Send(peer.Frame{Entries: &changes}) })
		}
		e.scheduler.Receive(agent, link, f)
		f, err = link.Receive()
	}
}
