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
	"github.com/rosemarybay/rosemarybay/internal/process/uptime"
	"github.com/rosemarybay/rosemarybay/platform"
)

const (
	// minListDelay and maxListDelay bound the delay between reads of the store's list of
	// entries while no entry is linked. A linked entry sends all changes of the list.
	minListDelay = 60 * time.Millisecond
	maxListDelay = time.Second
	// linkCheckInterval is the time between checks that an entry is still linked.
	linkCheckInterval = 250 * time.Millisecond
	// maxAnnouncementBytes is the largest announcement that a target may send.
	maxAnnouncementBytes = 4 << 20
	// longDialInterval is the number of dial attempts of which the last one has the long
	// timeout.
	longDialInterval = 4
)

// agent is a process in the agent role: it runs tasks on the target beside it.
type agent struct {
	*Server
	runs        *runs.Manager
	store       registryStore
	record      *targetRecord
	crashes     *crashRecord
	httpServer  *caller.Server
	policies    *policyReader
	links       *links
	listFailing bool
}

func (p *Server) newAgent() error {
	kv := platform.NewStore(p.node.Store, p.node.IP)
	a := &agent{
		Server:  p,
		store:   kv,
		record:  newTargetRecord(kv, p.log, p.invalid, p.settings.Name),
		crashes: newCrashRecord(kv, p.log, p.invalid, p.settings.Name),
		links:   newLinks(p.settings.Name, p.settings.DataCentre, p.log),
	}
	p.run = a.serve
	a.runs = runs.New(runs.Options{
		Name:        p.settings.Name,
		Incarnation: p.incarnation,
		DataCentre:  p.settings.DataCentre,
		Log:         p.log,
		Counters:    p.counters,
		TargetLease: p.node.TargetLease.Std(),
		CallerRetry: p.node.CallerRetryTime(),
		SinceBoot:   uptime.SinceBoot,

		Interference: p.node.Scheduling.Interference,
		Announced:    a.record.queue,
		Retired:      a.links.linkRetired,
		Crashed:      a.crashes.queue,
		Dial: func(announced runs.Announcement) runs.TargetClient {
			return platform.NewTargetClient(announced, p.node.IP, p.node.TargetLease.Std())
		},
	})
	a.policies = &policyReader{store: kv, log: p.log, invalid: p.invalid, holder: a.runs}
	a.links.maintain = a.maintainLink
	a.links.retire = a.runs.Retire
	a.links.resume = a.runs.CancelRetire
	announcementHandler := &platform.AnnouncementHandler{Registry: persistentRegistry{Manager: a.runs, record: a.record}}
	var err error
	a.httpServer, err = caller.Listen(caller.Options{
		Address:        p.node.AnnounceListen,
		ExtraAddresses: []string{p.address(p.node.MetricsPort)},
		Handler: p.recoverPanics(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == metricsPath {
				p.serveMetrics(w)
				return
			}
			announcementHandler.ServeHTTP(w, r)
		})),
		IdleTimeout:    connectionIdleTimeout,
		MaxConnections: p.node.MaxConnections(),
		Intake:         p.intake,
		Limits:         func(*http.Request) caller.MessageLimits { return caller.MessageLimits{Body: maxAnnouncementBytes} },
		HandlerBytes:   func(head, body []byte) int { return statusBytes(head, body) + platform.AnnouncementBytes(body) },
		NoLimits:       true,
	})
	return err
}

func (a *agent) serve(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.runs.Run(ctx.Done())
	go a.findEntries(ctx)
	go a.syncRecord(ctx)
	go a.syncCrashes(ctx)
	go a.policies.run(ctx)
	<-stop
	a.log.Info().Msg("stopping")
	draining, cancelDraining := context.WithTimeout(context.Background(), a.stopTimeout().Std()-stopReserve)
	defer cancelDraining()
	a.runs.Drain(draining)
	closing, cancelClosing := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancelClosing()
	a.httpServer.Close(closing)
}

// syncRecord applies the stored announcement of the target, then stores each new
// announcement.
func (a *agent) syncRecord(ctx context.Context) {
	if stored := a.record.load(ctx); stored != nil {
		a.runs.Announce(*stored)
	}
	a.record.run(ctx)
}

// syncCrashes restores the stored crashes of the target, then stores each new one.
func (a *agent) syncCrashes(ctx context.Context) {
	reports, err := a.crashes.load(ctx)
	if err != nil {
		a.log.Warn().Err(err).Msg("cannot read the stored crashes of the target")
	}
	a.runs.RestoreCrashes(reports)
	a.crashes.run(ctx)
}

// findEntries reads the list of entries from the store while none is linked. If the store
// does not answer, the seed addresses from the settings are dialled once.
func (a *agent) findEntries(ctx context.Context) {
	seeded := false
	delay := minListDelay
	for ctx.Err() == nil {
		if a.links.count() > 0 {
			delay = minListDelay
			a.links.rotateSource()
			sleep(ctx, linkCheckInterval)
			continue
		}
		err := a.listEntries(ctx)
		if err != nil && !seeded {
			a.links.dialAddresses(ctx, a.seedAddresses())
			seeded = true
		}
		a.logListState(err)
		// The jitter spreads the reads of agents that lost their entries at the same time.
		sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxListDelay)
	}
}

func (a *agent) logListState(err error) {
	switch {
	case err != nil && !a.listFailing:
		a.log.Warn().Err(err).Msg("cannot read the list of entries from the store")
	case err == nil && a.listFailing:
		a.log.Info().Msg("list of entries read from the store again")
	}
	a.listFailing = err != nil
}

func (a *agent) listEntries(ctx context.Context) error {
	listing, err := a.store.ListStale(ctx, entryKeyPrefix)
	if err != nil {
		return err
	}
	recordUnreadable(a.invalid, entryKeyPrefix, listing)
	a.links.applyStoreList(ctx, decodeEntries(listing.Values, a.invalid), latestRevision(listing.Values))
	return nil
}

func (a *agent) seedAddresses() []string {
	var addresses []string
	for _, ip := range a.node.SeedIPs() {
		if parsed, err := netip.ParseAddr(ip); err == nil {
			addresses = append(addresses, netip.AddrPortFrom(parsed, a.node.PeerPort).String())
		}
	}
	return addresses
}

// maintainLink keeps a link to one entry open until ctx ends, with a backoff between dials.
func (a *agent) maintainLink(ctx context.Context, d *dialer) {
	var backoff redialBackoff
	for try := 0; ctx.Err() == nil; try++ {
		timeout := peer.QuickDialTimeout
		if try%longDialInterval == longDialInterval-1 {
			timeout = peer.DialTimeout
		}
		var linked bool
		var err error
		dialledAt := time.Now()
		a.guard.Run("the link of an entry", func() { linked, err = a.serveLink(ctx, d.address, timeout) })
		if err != nil {
			a.log.Debug().Err(err).Str("entry", d.address).Msg("link to entry failed")
		}
		if linked {
			backoff.linkEnded(time.Since(dialledAt))
		}
		if d.waitForRedial(ctx, backoff.next(time.Now(), rand.Float64())) {
			backoff.reset()
		}
	}
}

// waitForRedial waits before the next dial. It returns true at once if the entry is known
// to have restarted.
func (d *dialer) waitForRedial(ctx context.Context, wait time.Duration) (restarted bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-d.restarted:
		return true
	}
}

// serveLink opens a link to an entry and serves it until it breaks. It reports whether the
// link was established.
func (a *agent) serveLink(ctx context.Context, address string, timeout time.Duration) (linked bool, err error) {
	if !a.runs.IsReady() {
		return false, eris.New("the target has not reported its running tasks yet")
	}
	var incarnation peerIncarnation
	link, err := peer.Dial(address, a.localAddr(), timeout, func(f *peer.Frame) {
		if id, ok := incarnation.get(); ok {
			a.runs.Stamp(id, f)
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
		return false, eris.New("the first frame of the entry is not a hello")
	}
	id := f.Hello.Incarnation
	incarnation.set(id)
	a.runs.Connect(f.Hello, address, link)
	defer func() { a.runs.Disconnect(id, link, err) }()
	a.links.linkOpened(address, link)
	defer a.links.linkClosed(address, link)
	for err == nil {
		if f.Entries != nil {
			a.links.applySourceChanges(ctx, address, f.Entries)
		}
		a.runs.Receive(id, link, f)
		f, err = link.Receive()
	}
	return true, err
}
