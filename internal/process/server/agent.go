package server

import (
	"context"
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
	// rosterFast is the time between looks at the roster while no entry is
	// linked, rosterSlow otherwise.
	rosterFast = 60 * time.Millisecond
	rosterSlow = 1500 * time.Millisecond
	// dialBackoff and dialBackoffMax space the calls of an entry that does not
	// answer.
	dialBackoff    = 10 * time.Millisecond
	dialBackoffMax = 40 * time.Millisecond
	// patientDial is the number of calls of which one has the long timeout.
	patientDial = 4
	// entryMemory is how long an entry that the roster no longer names is
	// called: its key may have lapsed while the store was away.
	entryMemory = 10 * time.Second
)

// agent is the role beside a target.
type agent struct {
	*Server
	keeper *runs.Keeper
	store  rosterStore
	record *record
	status *caller.Server
	// dialers are the entries being called or linked, by address.
	dialers map[string]*dialer
	lost    bool
}

// dialer keeps a link with one entry.
type dialer struct {
	cancel context.CancelFunc
	// named is when the roster, or a link, last showed the entry.
	named time.Time
}

func (p *Server) newAgent() error {
	kv := platform.NewStore(p.node.Store, p.node.IP)
	a := &agent{
		Server:  p,
		store:   kv,
		record:  newRecord(kv, p.log, p.settings.Name),
		dialers: make(map[string]*dialer),
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
		Dial: func(announced runs.Announcement) runs.Target {
			return platform.NewRunner(announced, p.node.IP, p.node.TargetLease.Std())
		},
	})
	announcements := &platform.Announcements{Targets: a.keeper}
	var err error
	a.status, err = caller.Listen(caller.Options{
		Address:       p.node.AnnounceListen,
		MoreAddresses: []string{p.address(p.node.MetricsPort)},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == metricsPath {
				p.serveMetrics(w)
				return
			}
			announcements.ServeHTTP(w, r)
		}),
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
	go a.followRoster(ctx)
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

// followRoster keeps a link with each entry of the roster. Seeds stand in for it
// until it has been read.
func (a *agent) followRoster(ctx context.Context) {
	seeded := false
	for {
		addresses, err := a.listEntries(ctx)
		if err != nil && !seeded {
			addresses, seeded = a.seeds(), true
		}
		a.noteRoster(err)
		a.call(ctx, addresses)
		pause := rosterSlow
		if a.keeper.Links() == 0 {
			pause = rosterFast
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

func (a *agent) noteRoster(err error) {
	switch {
	case err != nil && !a.lost:
		a.log.Warn().Err(err).Msg("roster not read")
	case err == nil && a.lost:
		a.log.Info().Msg("roster read again")
	}
	a.lost = err != nil
}

func (a *agent) listEntries(ctx context.Context) ([]string, error) {
	listing, err := a.store.ListStale(ctx, rosterPrefix)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, r := range decodeRoster(listing, a.log) {
		addresses = append(addresses, r.Address)
	}
	return addresses, nil
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

// call starts a dialer for each new address and ends those of entries that have
// been neither named nor linked for long.
func (a *agent) call(ctx context.Context, addresses []string) {
	now := time.Now()
	for _, address := range addresses {
		d := a.dialers[address]
		if d == nil {
			dialing, cancel := context.WithCancel(ctx)
			d = &dialer{cancel: cancel}
			a.dialers[address] = d
			go a.dial(dialing, address)
		}
		d.named = now
	}
	for address, d := range a.dialers {
		if a.keeper.IsLinked(address) {
			d.named = now
		}
		if now.Sub(d.named) > entryMemory {
			d.cancel()
			delete(a.dialers, address)
		}
	}
}

// dial keeps a link with one entry until ctx ends.
func (a *agent) dial(ctx context.Context, address string) {
	backoff := dialBackoff
	for try := 0; ctx.Err() == nil; try++ {
		timeout := peer.QuickDialTimeout
		if try%patientDial == patientDial-1 {
			timeout = peer.DialTimeout
		}
		begun := time.Now()
		if err := a.link(ctx, address, timeout); err != nil {
			a.log.Debug().Err(err).Str("entry", address).Msg("entry not linked")
		}
		if time.Since(begun) > peer.DialTimeout {
			backoff = dialBackoff
		}
		if !sleep(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, dialBackoffMax)
	}
}

// link serves one link until it breaks.
func (a *agent) link(ctx context.Context, address string, timeout time.Duration) error {
	if !a.keeper.IsReady() {
		return eris.New("no target yet")
	}
	var incarnation incarnationOf
	link, err := peer.Dial(address, a.localAddr(), timeout, func(f *peer.Frame) {
		if id, ok := incarnation.get(); ok {
			a.keeper.Stamp(id, f)
		}
	})
	if err != nil {
		return err
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
		return err
	}
	if f.Hello == nil {
		return eris.New("entry said no hello")
	}
	id := f.Hello.Incarnation
	incarnation.set(id)
	a.keeper.Connect(f.Hello, address, link)
	for err == nil {
		a.keeper.Receive(id, f)
		f, err = link.Receive()
	}
	a.keeper.Disconnect(id, link, err)
	return err
}
