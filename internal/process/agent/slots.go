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

// tally counts what a broker needs to know of the slots of this agent.
type tally struct {
	mu            sync.Mutex
	grantedStarts uint64
	ended, failed uint64
	busy          time.Duration
	running       int
	at            time.Time
}

// advance adds the busy time up to now; the caller holds t.mu.
func (t *tally) advance(now time.Time) {
	t.busy += time.Duration(t.running) * now.Sub(t.at)
	t.at = now
}

// granted counts a start on a granted slot.
func (t *tally) granted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grantedStarts++
}

// begin counts an attempt that runs.
func (t *tally) begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.running++
}

// end counts an attempt that has ended. One that was stopped says nothing about
// the target and counts only as busy time.
func (t *tally) end(now time.Time, err *verdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.running--
	if err != nil && err.Reason == apiv1.Reason_REASON_CANCELLED {
		return
	}
	t.ended++
	if err != nil {
		t.failed++
	}
}

// report returns the counts up to now.
func (t *tally) report(now time.Time) *peerv1.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return &peerv1.Load{
		GrantedStarts: t.grantedStarts,
		Ended:         t.ended,
		Failed:        t.failed,
		BusyMs:        uint64(t.busy.Milliseconds()),
	}
}

// load reports the slots. The granted starts are read before the free slots, so
// that a start in between makes the report too low and never too high.
func (a *Agent) load() *peerv1.Load {
	l := a.tally.report(time.Now())
	free := a.attempts.Free()
	l.Free = uint32(max(0, free))
	l.Busy = a.info.GetSlots() - l.Free
	l.ConfigRevision = a.config.Load().Revision()
	l.Broker = a.broker.Load()
	return l
}

// chooseBroker names the entry that lends the slots of this target, after a
// change of the links or of the roster. It tells all entries of another broker,
// and the broker of the links. Agents that are linked with the same entries name
// the same one. Entries that are about to stop come last.
func (a *Agent) chooseBroker() {
	a.mu.Lock()
	var broker uint64
	for id := range a.sessions {
		if broker == 0 || a.precedes(id, broker) {
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

func (a *Agent) precedes(id, other uint64) bool {
	r := a.roster.Load()
	stopping, otherStopping := r.ByIncarnation(id).GetDraining(), r.ByIncarnation(other).GetDraining()
	if stopping != otherStopping {
		return otherStopping
	}
	return id < other
}

// report sends the present state of the slots.
func (s *session) report() {
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Load{Load: s.agent.load()}})
}

// reportToBroker tells the broker that a slot is free, unless the result that
// went to an entry has told it already.
func (a *Agent) reportToBroker(told uint64) {
	broker := a.broker.Load()
	if broker == told {
		return
	}
	a.mu.Lock()
	s := a.sessions[broker]
	a.mu.Unlock()
	if s != nil {
		s.report()
	}
}

// addWaiter remembers an entry that was refused for want of a free slot.
func (a *Agent) addWaiter(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Contains(a.waiters, s) {
		a.waiters = append(a.waiters, s)
	}
}

// wakeWaiter tells the entry that has waited longest of a free slot.
func (a *Agent) wakeWaiter() {
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
