package runs

import "time"

const (
	// maxClockDriftPercent is how much slower than the agent's clock the target's may
	// run.
	maxClockDriftPercent = 2
	// leaseMargin is added to the target's lease for stopping the runs.
	leaseMargin = 60 * time.Millisecond
	// maxRunWithoutEntry is how long after its entry was last known to be alive a run can go on,
	// whatever happens to this process or the next one of the agent. With the drift of the
	// target's clock it ends before a caller that the entry has lost turns to another one.
	maxRunWithoutEntry = time.Second
)

// permitLocked returns a permit that is issued now. It reports false if the order must not
// extend the target's lease: the lease covers all runs there, and those that no living entry is
// known to hold must end.
func (m *Manager) permitLocked(t *targetIncarnation) (Permit, bool) {
	m.uptime.Measure()
	now, clock := time.Now(), m.clock()
	until := now.Add(min(m.opts.TargetLease, maxRunWithoutEntry))
	claimed := true
	for _, r := range m.runs {
		o := m.owners[r.owner]
		if o == nil {
			claimed = false
			continue
		}
		if limit := now.Add(o.lastEcho + maxRunWithoutEntry - clock); limit.Before(until) {
			until = limit
		}
	}
	permit := Permit{Token: t.token, IssuedAt: now, LeaseFrom: until.Add(-m.opts.TargetLease)}
	return permit, claimed && until.After(now)
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
