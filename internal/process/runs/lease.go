package runs

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

const (
	// maxClockDriftPercent is how much slower than the agent's clock the target's may
	// run.
	maxClockDriftPercent = 2
	// leaseMargin is added to the target's lease for stopping the runs.
	leaseMargin = 60 * time.Millisecond
	// callerRetryMargin is the time between the latest end of a run whose entry has failed and
	// the time at which its caller turns to another one.
	callerRetryMargin = 280 * time.Millisecond
	// minRunLimit leaves time to stop the runs of a silent entry before the target ends all runs.
	minRunLimit = peer.OwnerLease + 100*time.Millisecond
	// minStartLease is the shortest lease that a start needs: it lasts until the next poll is answered.
	minStartLease = pollWait + pollGrace
	// stopTime is the time in which a stop order usually gets through, also if its first tries fail.
	stopTime = 3 * backoffMax
)

// runLimit returns how long after its entry was last known to be alive a run can go on, whatever
// happens to this process or the next one of the agent. With the drift of the target's clock it
// ends before a caller that the entry has lost turns to another one.
func runLimit(callerRetry time.Duration) time.Duration {
	return max((callerRetry-callerRetryMargin)*100/(100+maxClockDriftPercent), minRunLimit)
}

// permitLocked returns a permit that is issued now. It reports false if the order must not
// extend the target's lease: the lease covers all runs there, and those that no living entry is
// known to hold must end.
func (m *Manager) permitLocked(t *targetIncarnation) (Permit, bool) {
	m.uptime.Measure()
	now, clock := time.Now(), m.clock()
	limit := runLimit(m.opts.CallerRetry)
	until := now.Add(min(m.opts.TargetLease, limit))
	claimed := true
	for _, r := range m.runs {
		o := m.owners[r.owner]
		if o == nil {
			claimed = false
			continue
		}
		if end := now.Add(r.lastNeeded(o) + limit - clock); end.Before(until) {
			until = end
		}
	}
	permit := Permit{Token: t.token, IssuedAt: now, LeaseFrom: until.Add(-m.opts.TargetLease)}
	return permit, claimed && until.After(now)
}

// endsWithLeaseLocked reports whether a start of an expected run time would probably end with the
// target's lease: a run there can't be stopped, and the lease is not extended beyond its end. A lease
// that is short for another reason is extended by the next echo, or once the run is stopped.
func (m *Manager) endsWithLeaseLocked(expected time.Duration) bool {
	needed := min(max(expected, minStartLease), stopTime)
	clock, limit := m.clock(), runLimit(m.opts.CallerRetry)
	for _, r := range m.runs {
		o := m.owners[r.owner]
		if o == nil || !r.stopRequested || clock-r.stopRequestedAt < stopTime {
			continue
		}
		if r.lastNeeded(o)+limit-clock < needed {
			return true
		}
	}
	return false
}

// lastNeeded returns when a caller was last known to wait for a run: the latest echo of its entry,
// or the request to stop the run if that was earlier. A caller that has left turns to another entry
// as one does whose entry has failed.
func (r *run) lastNeeded(o *owner) time.Duration {
	if r.stopRequested {
		return min(o.lastEcho, r.stopRequestedAt)
	}
	return o.lastEcho
}

// recordRenewal records that an order was sent which extends the target's lease.
func (t *targetIncarnation) recordRenewal(p Permit) {
	if p.LeaseFrom.After(t.renewedAt) {
		t.renewedAt = p.LeaseFrom
	}
}

// targetLease returns the time after the beginning of a lease by which the target has ended its
// runs.
func (m *Manager) targetLease() time.Duration {
	return m.opts.TargetLease*(100+maxClockDriftPercent)/100 + leaseMargin
}

// expireTargetLease reports all runs as lost once the target's lease on them has
// certainly expired. The lease counts from the latest renewal sent, answered or not, since
// the target may have received it.
func (m *Manager) expireTargetLease(t *targetIncarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target != t || time.Since(t.renewedAt) < m.targetLease() {
		return
	}
	t.replaceable = true
	for _, r := range m.runs {
		if !m.mayStartLateLocked(t, r) {
			m.finishLocked(r, peer.OutcomeLost, peer.RefusalNone)
		}
	}
}

// mayComeLate reports whether a start order without an answer may still be executed; sentAt is zero
// if there is none.
func mayComeLate(sentAt time.Time) bool { return time.Since(sentAt) < peer.MaxOrderDelay }

// mayStartLateLocked reports whether the next incarnation of a target may execute a start order
// of a run. It has seen no fencing token, and if it has the same ID, no field of the order
// distinguishes it from the former one. That can happen to an order that the target left
// unanswered while it answered others, or if the next incarnation is up; the run is then kept until
// that one has stopped it. The first such order decides whether the target was up, since its repeats
// may have been sent to one that had crashed already; the last one decides for how long.
func (m *Manager) mayStartLateLocked(t *targetIncarnation, r *run) bool {
	return mayComeLate(r.lastUnansweredAt) && (t.replaced || t.answeredAt.After(r.firstUnansweredAt))
}

// expectLateOrdersLocked records that the target or its next incarnation is up, so that it may well
// execute the start orders without an answer.
func (m *Manager) expectLateOrdersLocked() { m.lateOrderSentAt = m.latestUnansweredAt }

// lateOrdersLocked returns the attempts of an entry of which a start order has no answer and may
// still be executed. While this process is away nobody fences that order, so the entry must not
// take the end of the target's lease for the end of the attempt.
func (m *Manager) lateOrdersLocked(o *owner) []task.Attempt {
	var late []task.Attempt
	for _, r := range m.runs {
		if r.owner == o.incarnation && mayComeLate(r.lastUnansweredAt) {
			late = append(late, r.attempt)
		}
	}
	return late
}

// reportLateOrderLocked reports to its entry that an order of a run may be executed late.
func (m *Manager) reportLateOrderLocked(r *run) {
	if o := m.owners[r.owner]; o != nil && o.link != nil {
		o.link.Send(peer.Frame{LateOrders: []task.Attempt{r.attempt}})
	}
}
