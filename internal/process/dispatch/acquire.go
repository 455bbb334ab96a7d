package dispatch

import (
	"context"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

const (
	// maxAcquiresPerClass limits the slot requests in flight for one class.
	maxAcquiresPerClass = 8
	// maxAcquires limits the slot requests in flight for all classes. It is below the
	// stream limit of a link, so that other calls to a broker can still open streams.
	maxAcquires = 512
	// acquireWait is how long a broker may hold a request while no slot is free.
	acquireWait = 200 * time.Millisecond
	// sharedAcquireWait replaces acquireWait while other brokers can be asked too.
	sharedAcquireWait = 20 * time.Millisecond
	// acquireGrace is added to the wait time to get the timeout of a request. A
	// broker that exceeds it is not asked again for minBrokerBackoff, and for twice as
	// long after each further request without an answer, up to maxBrokerBackoff.
	acquireGrace     = 150 * time.Millisecond
	minBrokerBackoff = 250 * time.Millisecond
	maxBrokerBackoff = 2 * time.Second
)

// SlotBrokers requests slots from the brokers of targets and returns slots to them.
type SlotBrokers interface {
	// Acquire requests slots from a broker. It blocks until the broker grants at least one
	// or the wait time of the request has passed.
	Acquire(ctx context.Context, broker uint64, req *peerv1.AcquireSlots) (*peerv1.AcquiredSlots, error)
	// TryAcquire requests slots without blocking. It returns nil if the broker runs in another
	// process.
	TryAcquire(broker uint64, req *peerv1.AcquireSlots) *peerv1.AcquiredSlots
	// Return returns unused slots and reports ended tasks. It does not block.
	Return(broker uint64, m *peerv1.ReturnSlots)
}

// brokers holds the number of targets and the availability of each broker.
type brokers struct {
	targets      map[uint64]int
	unresponsive map[uint64]brokerSilence
}

// brokerSilence describes a broker that did not answer its latest request.
type brokerSilence struct {
	backoff    time.Duration
	askedAgain time.Time // the time from which it is asked again
}

func newBrokers() brokers {
	return brokers{targets: make(map[uint64]int), unresponsive: make(map[uint64]brokerSilence)}
}

// reassign moves one target from a broker to another. 0 stands for no broker.
func (b *brokers) reassign(from, to uint64) {
	if from != 0 {
		if b.targets[from]--; b.targets[from] == 0 {
			delete(b.targets, from)
			delete(b.unresponsive, from)
		}
	}
	if to != 0 {
		b.targets[to]++
	}
}

func (b *brokers) isUnresponsive(broker uint64, now time.Time) bool {
	return now.Before(b.unresponsive[broker].askedAgain)
}

// recordSilence records that a broker did not answer. Requests that were in flight when an
// earlier one timed out do not extend the backoff.
func (b *brokers) recordSilence(broker uint64, now time.Time) {
	if b.isUnresponsive(broker, now) {
		return
	}
	backoff := min(max(2*b.unresponsive[broker].backoff, minBrokerBackoff), maxBrokerBackoff)
	b.unresponsive[broker] = brokerSilence{backoff: backoff, askedAgain: now.Add(backoff)}
}

// recordAnswer records that a broker has answered.
func (b *brokers) recordAnswer(broker uint64) { delete(b.unresponsive, broker) }

// choose returns the broker to ask and the number of brokers that can be asked.
// Brokers are ordered by falling number of targets; index, modulo their number,
// selects one.
func (b *brokers) choose(index int, now time.Time) (broker uint64, count int) {
	for id := range b.targets {
		if !b.isUnresponsive(id, now) {
			count++
		}
	}
	if count == 0 {
		return 0, 0
	}
	chosen := make(map[uint64]bool, 1)
	for range index%count + 1 {
		broker = 0
		for id, n := range b.targets {
			if chosen[id] || b.isUnresponsive(id, now) {
				continue
			}
			if broker == 0 || n > b.targets[broker] || (n == b.targets[broker] && id < broker) {
				broker = id
			}
		}
		chosen[broker] = true
	}
	return broker, count
}

// dispatchQueued requests slots for the waiting tasks, or places them directly if no
// broker can be asked. The caller holds d.mu.
func (d *Dispatcher) dispatchQueued() {
	if d.queue.len() == 0 || !d.opts.IsConfigFresh() {
		return
	}
	now := time.Now()
	snapshot := d.opts.Config.Load()
	for _, cq := range d.queue.classes {
		if d.requestSlots(cq, now) {
			continue
		}
		d.placeDirectly(cq, snapshot, now)
	}
}

// requestSlots requests slots for the tasks of a class that no pending request covers
// yet. It returns false if no broker can be asked.
func (d *Dispatcher) requestSlots(cq *classQueue, now time.Time) bool {
	for {
		need := cq.tasks.Len() - cq.requestedSlots
		if need <= 0 || cq.pendingRequests >= maxAcquiresPerClass || d.pendingRequests >= maxAcquires {
			return true
		}
		broker, count := d.brokers.choose(cq.brokerIndex, now)
		if broker == 0 {
			return false
		}
		req := d.acquireRequest(cq, need, count, now)
		if got := d.opts.Slots.TryAcquire(broker, req); len(got.GetSlots()) > 0 {
			if d.startOnSlots(cq, broker, got, now) > 0 {
				continue
			}
		}
		cq.pendingRequests++
		d.pendingRequests++
		cq.requestedSlots += need
		go d.acquire(cq, broker, req)
		return true
	}
}

func (d *Dispatcher) acquireRequest(cq *classQueue, tasks, brokers int, now time.Time) *peerv1.AcquireSlots {
	wait := acquireWait
	if brokers > 1 {
		wait = sharedAcquireWait
	}
	req := &peerv1.AcquireSlots{
		Entry:      d.opts.Incarnation,
		DataCentre: d.opts.DataCentre,
		Department: cq.class.department,
		Size: &apiv1.Size{
			Cpus:         cq.class.cpus,
			MemoryMb:     cq.class.memoryMB,
			Accelerators: cq.class.accelerators,
		},
		Tasks: uint32(tasks),
		// A due time is at most maxSlack after the arrival, so the sum is not negative.
		WaitedMs:   milliseconds(now.Sub(cq.first().due) + maxSlack),
		WaitMs:     milliseconds(wait),
		Repeatable: cq.class.repeatable,
		InUse:      uint32(d.inUse[cq.class.department]),
	}
	for e := cq.tasks.Front(); e != nil; e = e.Next() {
		// Tasks that wait for a speculative attempt are in front of all others.
		at := e.Value.(*Task).current
		if at == nil {
			break
		}
		req.ExcludedTargets = append(req.ExcludedTargets, at.target.info.GetName())
	}
	for t := range d.blocked {
		if now.Before(t.blockedUntil) {
			req.ExcludedTargets = append(req.ExcludedTargets, t.info.GetName())
		} else {
			delete(d.blocked, t)
		}
	}
	return req
}

// acquire sends a slot request to a broker and starts tasks on the granted slots.
func (d *Dispatcher) acquire(cq *classQueue, broker uint64, req *peerv1.AcquireSlots) {
	timeout := time.Duration(req.GetWaitMs())*time.Millisecond + acquireGrace
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	got, err := d.opts.Slots.Acquire(ctx, broker, req)
	d.mu.Lock()
	defer d.unlockAndComplete()
	now := time.Now()
	cq.pendingRequests--
	d.pendingRequests--
	cq.requestedSlots -= int(req.GetTasks())
	cq.brokerIndex++
	if err != nil {
		d.unansweredRequests.Inc(1)
		d.brokers.recordSilence(broker, now)
	} else {
		d.brokers.recordAnswer(broker)
	}
	d.startOnSlots(cq, broker, got, now)
	d.dispatchQueued()
	d.queue.prune(cq)
}

// startOnSlots starts waiting tasks on granted slots and returns the unused slots to
// the broker. It returns the number of tasks started.
func (d *Dispatcher) startOnSlots(cq *classQueue, broker uint64, got *peerv1.AcquiredSlots, now time.Time) int {
	d.recordEjected(got.GetEjectedTargets(), now)
	snapshot := d.opts.Config.Load()
	unused := &peerv1.ReturnSlots{Entry: d.opts.Incarnation}
	used := 0
	for _, g := range got.GetSlots() {
		remaining := g.GetSlots()
		for remaining > 0 && d.startOnSlot(cq, broker, g.GetTarget(), snapshot, now) {
			remaining--
			used++
		}
		if remaining > 0 {
			unused.Slots = append(unused.Slots, &peerv1.GrantedSlots{Target: g.GetTarget(), Slots: remaining})
			d.slotsReturned.Inc(int64(remaining))
		}
	}
	if len(unused.Slots) == 0 {
		return used
	}
	if d.hasQuota(cq.class.department, snapshot) {
		n := uint32(0)
		for _, s := range unused.Slots {
			n += s.GetSlots()
		}
		unused.Ended = []*peerv1.EndedTasks{{Department: cq.class.department, Tasks: n}}
	}
	d.opts.Slots.Return(broker, unused)
	return used
}

// startOnSlot starts the first eligible task of a class on a granted slot. It returns
// false if there is none or the target cannot be used.
func (d *Dispatcher) startOnSlot(cq *classQueue, broker uint64, targetName string, snapshot *config.Snapshot, now time.Time) bool {
	tg := d.targets[targetName]
	if tg == nil || tg.link == nil || tg.draining || now.Before(tg.blockedUntil) {
		return false
	}
	if !d.opts.IsConfigFresh() || snapshot.CheckDepartment(cq.class.department) != nil {
		return false
	}
	if snapshot.CheckTarget(cq.class.department, tg.info.GetDataCentre(), targetName) != nil {
		return false
	}
	if len(tg.inFlight) >= tg.rampLimit(now) {
		d.blockFor(tg, now, rampTime/rampSteps)
		return false
	}
	t := cq.firstEligible(tg)
	if t == nil {
		return false
	}
	d.queue.remove(t)
	return d.startAttempt(t, tg, broker, now)
}

func (d *Dispatcher) hasQuota(department string, snapshot *config.Snapshot) bool {
	return snapshot.Get(apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, department).GetQuotaSlots() > 0
}

// recordEjected marks the targets that a broker reports as ejected.
func (d *Dispatcher) recordEjected(names []string, now time.Time) {
	for _, name := range names {
		if t := d.targets[name]; t != nil {
			t.ejectedUntil = now.Add(ejectionLifetime)
		}
	}
}

// removeAttempt removes an attempt from those in flight. For a department with a quota
// it reports the end of the task to the broker.
func (d *Dispatcher) removeAttempt(at *attempt) {
	delete(at.target.inFlight, at.key)
	department := at.task.Department
	if d.inUse[department]--; d.inUse[department] <= 0 {
		delete(d.inUse, department)
	}
	if at.broker == 0 {
		return
	}
	d.opts.Slots.Return(at.broker, &peerv1.ReturnSlots{
		Entry: d.opts.Incarnation,
		Ended: []*peerv1.EndedTasks{{Department: department, Tasks: 1}},
	})
}
