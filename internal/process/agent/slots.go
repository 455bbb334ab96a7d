package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// slotCounters holds the slot statistics that the agent reports to its broker, the entry that
// grants its slots.
type slotCounters struct {
	mu            sync.Mutex
	grantedStarts uint64
	ended, failed uint64
	busy          time.Duration // slot time of running attempts up to busyUntil
	running       int
	busyUntil     time.Time
}

// addBusyTime adds the busy time up to now; the caller must hold the lock.
func (c *slotCounters) addBusyTime(now time.Time) {
	c.busy += time.Duration(c.running) * now.Sub(c.busyUntil)
	c.busyUntil = now
}

// countGrantedStart counts a start that uses a granted slot.
func (c *slotCounters) countGrantedStart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grantedStarts++
}

// attemptStarted counts a running attempt.
func (c *slotCounters) attemptStarted(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addBusyTime(now)
	c.running++
}

// attemptEnded counts an ended attempt. A cancelled one does not show the health of the
// target, so only its busy time is counted.
func (c *slotCounters) attemptEnded(now time.Time, err *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addBusyTime(now)
	c.running--
	if err != nil && err.Reason == apiv1.Reason_REASON_CANCELLED {
		return
	}
	c.ended++
	if err != nil {
		c.failed++
	}
}

// snapshot returns the counters up to now.
func (c *slotCounters) snapshot(now time.Time) *peerv1.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addBusyTime(now)
	return &peerv1.Load{
		GrantedStarts: c.grantedStarts,
		Ended:         c.ended,
		Failed:        c.failed,
		BusyMs:        uint64(c.busy.Milliseconds()),
	}
}

// load returns the current load. The granted starts are read before the free slots, so that
// a start in between makes the reported free capacity too low and never too high.
func (a *Agent) load() *peerv1.Load {
	l := a.slotCounters.snapshot(time.Now())
	free := a.attempts.Free()
	l.Free = uint32(max(0, free))
	l.Busy = a.info.GetSlots() - l.Free
	l.ConfigRevision = a.config.Load().Revision()
	l.Broker = a.broker.Load()
	return l
}

// chooseBroker chooses the entry that grants the slots of this target, after a change of the
// links or the roster. Agents linked with the same entries choose the same broker; entries
// that are stopping come last. A new broker is announced to all linked entries; otherwise
// only the broker is sent the current links.
func (a *Agent) chooseBroker() {
	a.mu.Lock()
	var broker uint64
	for id := range a.sessions {
		if broker == 0 || a.isPreferredBroker(id, broker) {
			broker = id
		}
	}
	linked := slices.Collect(maps.Keys(a.sessions))
	sessions := slices.Collect(maps.Values(a.sessions))
	a.mu.Unlock()
	isNew := a.broker.Swap(broker) != broker
	load := a.load()
	load.LinkedEntries = linked
	for _, s := range sessions {
		if isNew || s.entry == broker {
			_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Load{Load: load}})
		}
	}
}

// isPreferredBroker reports whether entry id is preferred as broker over other.
func (a *Agent) isPreferredBroker(id, other uint64) bool {
	r := a.roster.Load()
	stopping, otherStopping := r.ByIncarnation(id).GetDraining(), r.ByIncarnation(other).GetDraining()
	if stopping != otherStopping {
		return otherStopping
	}
	return id < other
}

// sendLoad sends the current load to the entry.
func (s *session) sendLoad() {
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Load{Load: s.agent.load()}})
}

// reportToBroker sends the current load to the broker, which may grant a free slot. It sends
// nothing if the broker is the entry informed, which received the load with a result.
func (a *Agent) reportToBroker(informed uint64) {
	broker := a.broker.Load()
	if broker == informed {
		return
	}
	a.mu.Lock()
	s := a.sessions[broker]
	a.mu.Unlock()
	if s != nil {
		s.sendLoad()
	}
}

// addWaiter queues an entry whose start was refused because no slot was free.
func (a *Agent) addWaiter(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Contains(a.waiters, s) {
		a.waiters = append(a.waiters, s)
	}
}

// notifyWaiter sends the current load, with a free slot, to the entry that has waited longest.
func (a *Agent) notifyWaiter() {
	for {
		a.mu.Lock()
		if len(a.waiters) == 0 {
			a.mu.Unlock()
			return
		}
		s := a.waiters[0]
		a.waiters = a.waiters[1:]
		a.mu.Unlock()
		if s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Load{Load: a.load()}}) == nil {
			return
		}
	}
}
