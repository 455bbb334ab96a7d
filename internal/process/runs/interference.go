package runs

import (
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

// interferenceInterval is the time between reports of the interference at the target.
const interferenceInterval = time.Second

// presence measures for how long runs of each queue have been at the target. Times are those of
// Manager.clock.
type presence struct {
	byQueue map[string]*queuePresence
}

type queuePresence struct {
	runs  int
	total time.Duration
	since time.Duration
}

func (p *presence) add(now time.Duration, queue string, n int) {
	if p.byQueue == nil {
		p.byQueue = make(map[string]*queuePresence)
	}
	q := p.byQueue[queue]
	if q == nil {
		q = &queuePresence{}
		p.byQueue[queue] = q
	}
	if q.runs > 0 {
		q.total += now - q.since
	}
	q.since = now
	q.runs += n
}

// totals returns for how long runs of each queue have been there so far.
func (p *presence) totals(now time.Duration) map[string]time.Duration {
	totals := make(map[string]time.Duration, len(p.byQueue))
	for queue, q := range p.byQueue {
		totals[queue] = q.total
		if q.runs > 0 {
			totals[queue] += now - q.since
		}
	}
	return totals
}

// queues returns the queues of which runs are at the target.
func (p *presence) queues() []string {
	var queues []string
	for queue, q := range p.byQueue {
		if q.runs > 0 {
			queues = append(queues, queue)
		}
	}
	slices.Sort(queues)
	return queues
}

// beginPresenceLocked records that a run is at the target.
func (m *Manager) beginPresenceLocked(r *run) {
	if !m.opts.Interference || r.queue == "" {
		return
	}
	now := m.clock()
	m.present.add(now, r.queue, 1)
	r.presentBefore = m.present.totals(now)
}

// endPresenceLocked records that a run has left the target.
func (m *Manager) endPresenceLocked(r *run) {
	if r.presentBefore != nil {
		m.present.add(m.clock(), r.queue, -1)
	}
}

// recordInterferenceLocked records a run that has succeeded, and what ran beside it.
func (m *Manager) recordInterferenceLocked(t *targetIncarnation, r *run) {
	if r.presentBefore == nil || r.average <= 0 || r.startedAt <= 0 || !t.health.Healthy() {
		return
	}
	now := m.clock()
	took := now - r.startedAt
	beside := make(map[string]float64)
	for queue, total := range m.present.totals(now) {
		beside[queue] = float64(total-r.presentBefore[queue]) / float64(max(took, 1))
	}
	t.interference.Observe(now, r.queue, r.average, took, beside)
}

// shareInterferenceLocked sends the estimates of the target to all entries.
func (m *Manager) shareInterferenceLocked(now time.Duration) {
	t := m.target
	if !m.opts.Interference || t == nil || now-t.interferenceSharedAt < interferenceInterval {
		return
	}
	t.interferenceSharedAt = now
	var pairs []peer.PairEstimate
	for _, e := range t.interference.Estimates(now) {
		pairs = append(pairs, peer.PairEstimate{Queue: e.Queue, Beside: e.Beside, Effect: e.Effect, Error: e.Error})
	}
	if len(pairs) == 0 && !t.interferenceShared {
		return
	}
	t.interferenceShared = len(pairs) > 0
	for _, o := range m.owners {
		if o.link != nil {
			o.link.Send(peer.Frame{Interference: &peer.Interference{Pairs: pairs}})
		}
	}
}
