package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/connection/caller"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
	"github.com/rosemarybay/rosemarybay/platform"
)

const (
	// listFast and listSlow bound the time between looks at the store's list of
	// entries while none is linked. Later the linked ones tell of the others.
	listFast = 60 * time.Millisecond
	listSlow = time.Second
	// linkCheck is the time between looks at whether an entry is still linked.
	linkCheck = 250 * time.Millisecond
	// patientDial is the number of calls of which one has the long timeout.
	patientDial = 4
)

// agent is the role beside a target.
type agent struct {
	*Server
	keeper *runs.Keeper
	store  rosterStore
	record *record
	status *caller.Server
	links  *links
	lost   bool
}

func (p *Server) newAgent() error {
	kv := platform.NewStore(p.node.Store, p.node.IP)
	a := &agent{
		Server: p,
		store:  kv,
		record: newRecord(kv, p.log, p.settings.Name),
		links:  newLinks(p.settings.Name, p.settings.DataCentre, p.log),
	}
	p.run = a.serve
	a.keeper = runs.New(runs.Options{
		Name:        p.settings.Name,
		Incarnation: p.incarnation,
		DataCentre:  p.settings.DataCentre,
		Log:         p.log,
		Counters:    p.counters,
		TargetLease: p.node.TargetLease.Std(),
		Announced:   a.record.changed,
		Retired:     a.links.retired,
		Dial: func(announced runs.Announcement) runs.Target {
			return platform.NewRunner(announced, p.node.IP, p.node.TargetLease.Std())
		},
	})
	a.links.dial = a.dial
	a.links.retire = a.keeper.Retire
	a.links.resume = a.keeper.Resume
	announcements := &platform.Announcements{Targets: recordedTargets{Keeper: a.keeper, record: a.record}}
	var err error
	a.status, err = caller.Listen(caller.Options{
		Address:       p.node.AnnounceListen,
		MoreAddresses: []string{p.address(p.node.MetricsPort)},
		Handler: p.guarded(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == metricsPath {
				p.serveMetrics(w)
				return
			}
			announcements.ServeHTTP(w, r)
		})),
		Idle:           connectionIdle,
		MaxConnections: maxConnections,
		Bare:           true,
	})
	return err
}

func (a *agent) serve(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.keeper.Run(ctx.Done())
	go a.findEntries(ctx)
	go a.keepRecord(ctx)
	<-stop
	a.log.Info().Msg("stopping")
	draining, cancelDraining := context.WithTimeout(context.Background(), a.settings.StopTimeout.Std()-stopReserve)
	defer cancelDraining()
	a.keeper.Stop(draining)
	closing, cancelClosing := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancelClosing()
	a.status.Close(closing)
}

// keepRecord takes the target's description from the store, and keeps it there.
func (a *agent) keepRecord(ctx context.Context) {
	if kept := a.record.load(ctx); kept != nil {
		a.keeper.Announce(*kept)
	}
	a.record.run(ctx)
}

// findEntries looks for entries in the store while none is linked. Seeds stand in for
// the store until it has been read.
func (a *agent) findEntries(ctx context.Context) {
	seeded := false
	pause := listFast
	for ctx.Err() == nil {
		if a.links.count() > 0 {
			pause = listFast
			a.links.turn()
			sleep(ctx, linkCheck)
			continue
		}
		err := a.listEntries(ctx)
		if err != nil && !seeded {
			a.links.call(ctx, a.seeds())
			seeded = true
		}
		a.noteList(err)
		// Agents that lost all of their entries together don't ask together.
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, listSlow)
	}
}

func (a *agent) noteList(err error) {
	switch {
	case err != nil && !a.lost:
		a.log.Warn().Err(err).Msg("entries not read")
	case err == nil && a.lost:
		a.log.Info().Msg("entries read again")
	}
	a.lost = err != nil
}

func (a *agent) listEntries(ctx context.Context) error {
	listing, err := a.store.ListStale(ctx, rosterPrefix)
	if err != nil {
		return err
	}
	a.links.listed(ctx, decodeEntries(listing.Values, a.log), latestOf(listing.Values))
	return nil
}

func (a *agent) seeds() []string {
	var addresses []string
	for _, ip := range a.node.SeedIPs() {
		if parsed, err := netip.ParseAddr(ip); err == nil {
			addresses = append(addresses, netip.AddrPortFrom(parsed, a.node.PeerPort).String())
		}
	}
	return addresses
}

// dial keeps a link with one entry until ctx ends.
func (a *agent) dial(ctx context.Context, d *dialer) {
	var pace redial
	for try := 0; ctx.Err() == nil; try++ {
		timeout := peer.QuickDialTimeout
		if try%patientDial == patientDial-1 {
			timeout = peer.DialTimeout
		}
		var linked bool
		var err error
		a.guard.Run("the link of an entry", func() { linked, err = a.link(ctx, d.address, timeout) })
		if err != nil {
			a.log.Debug().Err(err).Str("entry", d.address).Msg("entry not linked")
		}
		if linked {
			pace.answered()
		}
		if d.await(ctx, pace.next(time.Now(), rand.Float64())) {
			pace.answered()
		}
	}
}

// await waits for a time, or until the entry is known to have started anew, which it
// reports.
func (d *dialer) await(ctx context.Context, wait time.Duration) (news bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-d.news:
		return true
	}
}

// link serves one link until it breaks, and reports whether there was one.
func (a *agent) link(ctx context.Context, address string, timeout time.Duration) (linked bool, err error) {
	if !a.keeper.IsReady() {
		return false, eris.New("no target yet")
	}
	var incarnation incarnationOf
	link, err := peer.Dial(address, a.localAddr(), timeout, func(f *peer.Frame) {
		if id, ok := incarnation.get(); ok {
			a.keeper.Stamp(id, f)
		}
	})
	if err != nil {
		return false, err
	}
	defer link.Close()
	go func() {
		select {
		case <-ctx.Done():
			link.Close()
		case <-link.Done():
		}
	}()
	f, err := link.Receive()
	if err != nil {
		return false, err
	}
	if f.Hello == nil {
		return false, eris.New("entry said no hello")
	}
	id := f.Hello.Incarnation
	incarnation.set(id)
	a.keeper.Connect(f.Hello, address, link)
	defer func() { a.keeper.Disconnect(id, link, err) }()
	a.links.opened(address, link)
	defer a.links.closed(address, link)
	for err == nil {
		if f.Entries != nil {
			a.links.told(ctx, address, f.Entries)
		}
		a.keeper.Receive(id, f)
		f, err = link.Receive()
	}
	return true, err
}
