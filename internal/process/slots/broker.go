// Package slots grants the free slots of targets to entries. Each agent names one entry
// as the broker of its target and reports its load to it. All entries request slots from
// that broker, so that no two of them send a task to the same slot. The agent refuses a
// start without a free slot even if the broker granted one.
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
	// sweepInterval is the time between two sweeps. A granted slot that was not used
	// counts as free again after one to two intervals.
	sweepInterval = time.Second
	// maxScan limits the requests of a department that are tried for one slot. More
	// than one is tried so that a request that cannot be served does not block those
	// behind it.
	maxScan = 16
	// reconcileAge is the age of the last grant to an entry from which the entry's own
	// count of its slots in use replaces that of the broker.
	reconcileAge = 2 * time.Second
)

// Broker grants slots. It is safe for concurrent use.
type Broker struct {
	config         *config.View
	slotsGranted   gometrics.Counter
	slotsUnclaimed gometrics.Counter
	now            func() time.Time

	mu              sync.Mutex
	targets         map[string]*target
	dataCentres     map[string]*dataCentre
	departments     map[string]*departmentQueue
	ring            []*departmentQueue // queues with requests, in round-robin order
	nextInRing      int
	waitingRequests int
	outliers        outliers
	returns         returnLog
}

// New returns a broker without targets.
func New(view *config.View, counters *metrics.Counters) *Broker {
	return &Broker{
		config:         view,
		slotsGranted:   counters.Counter("slots_granted"),
		slotsUnclaimed: counters.Counter("slots_unclaimed"),
		now:            time.Now,
		targets:        make(map[string]*target),
		dataCentres:    make(map[string]*dataCentre),
		departments:    make(map[string]*departmentQueue),
		outliers:       newOutliers(counters),
		returns:        make(returnLog),
	}
}

// Run sweeps unused grants and evaluates targets periodically until stop is closed.
func (b *Broker) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	lastSweep := b.now()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			b.evaluate(now)
			if now.Sub(lastSweep) >= sweepInterval {
				lastSweep = now
				b.sweep()
			}
		}
	}
}

func (b *Broker) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.returns.expire(b.now())
	for _, t := range b.targets {
		if n := t.sweep(); n > 0 {
			b.slotsUnclaimed.Inc(int64(n))
			b.updateIndex(t)
		}
	}
	b.serve()
}

// Attach adds a target. Its slots are granted from its first load report on.
func (b *Broker) Attach(info *peerv1.TargetInfo) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(info.GetName())
	dc, ok := b.dataCentres[info.GetDataCentre()]
	if !ok {
		dc = &dataCentre{}
		b.dataCentres[info.GetDataCentre()] = dc
	}
	b.targets[info.GetName()] = &target{info: info, attached: true, dataCentre: dc}
}

// Detach removes a target, so that its slots are no longer granted.
func (b *Broker) Detach(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(name)
}

func (b *Broker) remove(name string) {
	if t := b.targets[name]; t != nil {
		t.attached = false
		b.updateIndex(t)
		delete(b.targets, name)
	}
}

// Report handles an agent's load report. brokered reports whether the agent names this
// entry as the broker of its target.
func (b *Broker) Report(name string, load *peerv1.Load, brokered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[name]
	if t == nil {
		return
	}
	if brokered && !t.brokered {
		t.granted, t.unclaimed = 0, 0
	}
	if t.lastLoad != nil && load.GetGrantedStarts() >= t.lastLoad.GetGrantedStarts() {
		t.claim(int(load.GetGrantedStarts() - t.lastLoad.GetGrantedStarts()))
	}
	t.brokered = brokered
	t.free = int(load.GetFree())
	if linked := load.GetLinkedEntries(); len(linked) > 0 {
		t.linkedEntries = linked
	}
	failed := t.lastLoad != nil && load.GetFailed() > t.lastLoad.GetFailed()
	t.health.addReport(t.lastLoad, load)
	t.lastLoad, t.lastLoadAt = load, b.now()
	if failed && t.health.phase == healthy && t.brokered {
		all, count := b.totals(t.lastLoadAt)
		b.evaluateTarget(t, all, count, t.lastLoadAt)
	}
	b.updateIndex(t)
	b.serve()
}

// updateIndex moves a target in the index after a change of its available slots.
func (b *Broker) updateIndex(t *target) { t.dataCentre.move(t, t.available()) }

// Refresh serves waiting requests after a change of the configuration, which may allow
// more targets or a higher quota.
func (b *Broker) Refresh() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serve()
}

// Acquire grants slots. It returns as soon as one or more are granted, when the wait
// time of the request has passed, or when ctx ends.
func (b *Broker) Acquire(ctx context.Context, req *peerv1.AcquireSlots) *peerv1.AcquiredSlots {
	r, granted := b.enqueue(req)
	if granted {
		return b.reply(r)
	}
	timer := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return b.withdraw(r)
}

// TryAcquire grants slots that are free now, without waiting.
func (b *Broker) TryAcquire(req *peerv1.AcquireSlots) *peerv1.AcquiredSlots {
	r, granted := b.enqueue(req)
	if granted {
		return b.reply(r)
	}
	return b.withdraw(r)
}

// enqueue queues a request and reports whether it got slots at once.
func (b *Broker) enqueue(req *peerv1.AcquireSlots) (*request, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	r := &request{
		params:       req,
		waitingSince: now.Add(-time.Duration(req.GetWaitedMs()) * time.Millisecond),
		done:         make(chan struct{}),
	}
	q := b.queueFor(req.GetDepartment())
	b.reconcile(q, req, now)
	q.add(r)
	if !q.inRing {
		q.inRing = true
		b.ring = append(b.ring, q)
	}
	b.waitingRequests++
	b.serve()
	return r, r.grantedCount > 0
}

// withdraw takes a request out of its queue and returns what was granted to it.
func (b *Broker) withdraw(r *request) *peerv1.AcquiredSlots {
	b.mu.Lock()
	if r.grantedCount == 0 {
		b.queueFor(r.params.GetDepartment()).remove(r)
		b.waitingRequests--
	}
	b.mu.Unlock()
	return b.reply(r)
}

func (b *Broker) reply(r *request) *peerv1.AcquiredSlots {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &peerv1.AcquiredSlots{Slots: r.granted, EjectedTargets: b.outliers.names()}
}

func (b *Broker) queueFor(name string) *departmentQueue {
	q, ok := b.departments[name]
	if !ok {
		q = &departmentQueue{name: name, inUse: make(map[uint64]*usage)}
		b.departments[name] = q
	}
	return q
}

// reconcile replaces the broker's count of an entry's slots in use by the entry's own, if
// the last grant to it is older than reconcileAge: reports of ended tasks may have been
// lost.
func (b *Broker) reconcile(q *departmentQueue, req *peerv1.AcquireSlots, now time.Time) {
	u, known := q.inUse[req.GetEntry()]
	if !known && req.GetInUse() == 0 {
		return
	}
	if !known || now.Sub(u.grantedAt) > reconcileAge {
		q.setUsage(req.GetEntry(), int(req.GetInUse()))
	}
}

// Return handles unused slots that an entry returns and its reports of ended tasks. It ignores
// a repeat.
func (b *Broker) Return(m *peerv1.ReturnSlots) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.returns.isRepeat(m.GetEntry(), m.GetSequence(), b.now()) {
		return
	}
	for _, s := range m.GetSlots() {
		if t := b.targets[s.GetTarget()]; t != nil {
			t.claim(int(s.GetSlots()))
			b.updateIndex(t)
		}
	}
	for _, e := range m.GetEnded() {
		q := b.queueFor(e.GetDepartment())
		if u := q.inUse[m.GetEntry()]; u != nil {
			q.setUsage(m.GetEntry(), max(0, u.slots-int(e.GetTasks())))
		}
	}
	b.serve()
}

// RetainEntries removes the counts of slots in use by entries that are not listed.
func (b *Broker) RetainEntries(entries []*peerv1.RosterEntry) {
	present := make(map[uint64]struct{}, len(entries))
	for _, e := range entries {
		present[e.GetIncarnation()] = struct{}{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.departments {
		for entry := range q.inUse {
			if _, ok := present[entry]; !ok {
				q.removeUsage(entry)
			}
		}
	}
	b.serve()
}

// EjectedTargets returns the names of the targets that this broker has ejected.
func (b *Broker) EjectedTargets() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outliers.names()
}

// isAllowed reports whether the configuration lets a department use a target.
func (b *Broker) isAllowed(t *target, department string) bool {
	return b.config.Load().CheckTarget(department, t.info.GetDataCentre(), t.info.GetName()) == nil
}

// quota returns how many slots a department may use at once; 0 means no limit.
func (b *Broker) quota(department string) int {
	o := b.config.Load().Get(apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, department)
	return int(o.GetQuotaSlots())
}
