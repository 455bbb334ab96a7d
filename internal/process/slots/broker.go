// Package slots lends the free slots of targets to entries. Each agent names one
// entry as the broker of its target and reports to it; all entries ask that
// broker for slots, so that no two of them send a task to the same slot. The
// agent still refuses a start without a free slot, whatever a broker has said.
package slots

import (
	"context"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

const (
	// sweepInterval is the time after which a granted slot that was not used
	// counts as free again, up to twice over.
	sweepInterval = time.Second
	// maxScan bounds the requests of a department that are tried in one turn,
	// so that one that cannot be served does not hold up those behind it.
	maxScan = 16
	// reconcileAge is how old the last grant to an entry must be before the
	// entry's own count of its slots replaces that of the broker.
	reconcileAge = 2 * time.Second
)

// Broker lends slots. It is safe for concurrent use.
type Broker struct {
	config  *config.View
	granted gometrics.Counter
	lost    gometrics.Counter
	now     func() time.Time

	mu          sync.Mutex
	targets     map[string]*account
	zones       map[string]*zone
	departments map[string]*department
	ring        []*department // those with requests, in turn
	next        int
	waiting     int
	outliers    outliers
}

// New returns a broker without targets.
func New(view *config.View, counters *metrics.Counters) *Broker {
	return &Broker{
		config:      view,
		granted:     counters.Counter("slots_granted"),
		lost:        counters.Counter("slots_unclaimed"),
		now:         time.Now,
		targets:     make(map[string]*account),
		zones:       make(map[string]*zone),
		departments: make(map[string]*department),
		outliers:    newOutliers(counters),
	}
}

// Run sweeps unused grants and judges targets until stop is closed.
func (b *Broker) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	swept := b.now()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			b.judge(now)
			if now.Sub(swept) >= sweepInterval {
				swept = now
				b.sweep()
			}
		}
	}
}

func (b *Broker) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.targets {
		if n := a.sweep(); n > 0 {
			b.lost.Inc(int64(n))
			b.place(a)
		}
	}
	b.serve()
}

// Attach makes a target known. Its slots are lent from its first report on.
func (b *Broker) Attach(info *peerv1.TargetInfo) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(info.GetName())
	z, ok := b.zones[info.GetDataCentre()]
	if !ok {
		z = &zone{}
		b.zones[info.GetDataCentre()] = z
	}
	b.targets[info.GetName()] = &account{info: info, up: true, zone: z}
}

// Detach ends the lending of a target's slots.
func (b *Broker) Detach(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(name)
}

func (b *Broker) forget(name string) {
	if a := b.targets[name]; a != nil {
		a.up = false
		b.place(a)
		delete(b.targets, name)
	}
}

// Report takes an agent's report. mine says whether the agent names this entry
// as its broker.
func (b *Broker) Report(name string, load *peerv1.Load, mine bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.targets[name]
	if a == nil {
		return
	}
	if mine && !a.mine {
		a.granted, a.unclaimed = 0, 0
	}
	if a.last != nil && load.GetGrantedStarts() >= a.last.GetGrantedStarts() {
		a.claim(int(load.GetGrantedStarts() - a.last.GetGrantedStarts()))
	}
	a.mine = mine
	a.free = int(load.GetFree())
	if linked := load.GetLinkedEntries(); len(linked) > 0 {
		a.linked = linked
	}
	failed := a.last != nil && load.GetFailed() > a.last.GetFailed()
	a.health.observe(a.last, load)
	a.last, a.lastAt = load, b.now()
	if failed && a.health.phase == healthy && a.mine {
		all, count := b.totals(a.lastAt)
		b.judgeOne(a, all, count, a.lastAt)
	}
	b.place(a)
	b.serve()
}

// place updates the index after a change of an account.
func (b *Broker) place(a *account) { a.zone.move(a, a.available()) }

// Refresh serves waiting requests after a change of the configuration.
func (b *Broker) Refresh() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serve()
}

// Acquire lends slots. It returns as soon as it has one or more, when the time
// that the request allows has passed, or when ctx ends.
func (b *Broker) Acquire(ctx context.Context, wish *peerv1.AcquireSlots) *peerv1.AcquiredSlots {
	r, granted := b.begin(wish)
	if granted {
		return b.reply(r)
	}
	timer := time.NewTimer(time.Duration(wish.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return b.end(r)
}

// TryAcquire lends slots that are free now, without waiting.
func (b *Broker) TryAcquire(wish *peerv1.AcquireSlots) *peerv1.AcquiredSlots {
	r, granted := b.begin(wish)
	if granted {
		return b.reply(r)
	}
	return b.end(r)
}

// begin queues a request and reports whether it got slots at once.
func (b *Broker) begin(wish *peerv1.AcquireSlots) (*request, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	r := &request{
		wish:  wish,
		since: now.Add(-time.Duration(wish.GetWaitedMs()) * time.Millisecond),
		done:  make(chan struct{}),
	}
	d := b.department(wish.GetDepartment())
	b.reconcile(d, wish, now)
	d.add(r)
	if !d.inRing {
		d.inRing = true
		b.ring = append(b.ring, d)
	}
	b.waiting++
	b.serve()
	return r, r.count > 0
}

// end takes a request out of its queue.
func (b *Broker) end(r *request) *peerv1.AcquiredSlots {
	b.mu.Lock()
	if r.count == 0 {
		b.department(r.wish.GetDepartment()).remove(r)
		b.waiting--
	}
	b.mu.Unlock()
	return b.reply(r)
}

func (b *Broker) reply(r *request) *peerv1.AcquiredSlots {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &peerv1.AcquiredSlots{Slots: r.granted, EjectedTargets: b.outliers.names()}
}

func (b *Broker) department(name string) *department {
	d, ok := b.departments[name]
	if !ok {
		d = &department{name: name, inUse: make(map[uint64]*usage)}
		b.departments[name] = d
	}
	return d
}

// reconcile takes an entry's own count of its slots when the broker has not
// lent any to it for a while: reports of ended tasks may have been lost.
func (b *Broker) reconcile(d *department, wish *peerv1.AcquireSlots, now time.Time) {
	u, known := d.inUse[wish.GetEntry()]
	if !known && wish.GetInUse() == 0 {
		return
	}
	if !known || now.Sub(u.grantedAt) > reconcileAge {
		d.setUsage(wish.GetEntry(), int(wish.GetInUse()))
	}
}

// Return takes back slots that were not used, and the ends of tasks.
func (b *Broker) Return(m *peerv1.ReturnSlots) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range m.GetSlots() {
		if a := b.targets[s.GetTarget()]; a != nil {
			a.claim(int(s.GetSlots()))
			b.place(a)
		}
	}
	for _, e := range m.GetEnded() {
		d := b.department(e.GetDepartment())
		if u := d.inUse[m.GetEntry()]; u != nil {
			d.setUsage(m.GetEntry(), max(0, u.slots-int(e.GetTasks())))
		}
	}
	b.serve()
}

// Keep forgets the use of slots by entries that are not listed.
func (b *Broker) Keep(entries []*peerv1.RosterEntry) {
	present := make(map[uint64]struct{}, len(entries))
	for _, e := range entries {
		present[e.GetIncarnation()] = struct{}{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range b.departments {
		for entry := range d.inUse {
			if _, ok := present[entry]; !ok {
				d.forgetUsage(entry)
			}
		}
	}
	b.serve()
}

// Status describes the targets that this broker has ejected, by name.
func (b *Broker) Status() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outliers.names()
}

// isAllowed reports whether the configuration lets a department use a target.
func (b *Broker) isAllowed(a *account, department string) bool {
	return b.config.Load().CheckTarget(department, a.info.GetDataCentre(), a.info.GetName()) == nil
}

// quota returns the most slots that a department may use at once; 0 is no limit.
func (b *Broker) quota(department string) int {
	o := b.config.Load().Get(apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, department)
	return int(o.GetQuotaSlots())
}
