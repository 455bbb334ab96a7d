package runs

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

const (
	// sweepInterval is the time between calls of Sweep.
	sweepInterval = 10 * time.Millisecond
	// orphanLease is how long a run that no entry has claimed is kept. Its target's lease is not
	// renewed meanwhile.
	orphanLease = 300 * time.Millisecond
	// ownerRetention is how long the results for a disconnected entry are kept.
	ownerRetention = 5 * time.Second
	// pauseThreshold is the time between sweeps above which this process counts as having
	// been paused. Frames of entries have queued meanwhile, so no run is stopped for a
	// silent entry until resumeGrace has passed. The target's lease plus resumeGrace is
	// shorter than the time after which a caller of a failed entry turns to another one.
	pauseThreshold = 100 * time.Millisecond
	resumeGrace    = 100 * time.Millisecond
	// probeOfferTimeout is how long an offered probe is reserved for one entry.
	probeOfferTimeout = 100 * time.Millisecond
)

// Sweep stops the runs of entries whose lease has expired, sends heartbeats, ends a target that
// has left, and removes state that is no longer needed. It is called every sweepInterval.
func (m *Manager) Sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	clock := m.clock()
	m.detectPauseLocked(now, clock)
	m.offerProbeLocked(clock)
	m.endRoomRefusalLocked(clock)
	m.startHeldLocked()
	m.shareSpeedLocked(clock)
	m.shareInterferenceLocked(clock)
	for incarnation, o := range m.owners {
		if reason, expired := o.leaseExpired(clock, now); expired && (o.runCount > 0 || m.isHeldLocked(incarnation)) && now.Sub(m.resumedAt) > resumeGrace {
			m.stopOwnerLocked(incarnation, reason)
		}
		if !o.linkLostAt.IsZero() && o.runCount == 0 && now.Sub(o.linkLostAt) > ownerRetention {
			delete(m.owners, incarnation)
			continue
		}
		m.heartbeatLocked(o, now)
	}
	m.retireLocked()
	m.endIfLeftLocked()
	for _, r := range m.runs {
		if r.owner == 0 && now.Sub(r.confirmedAt) > orphanLease {
			m.stopLocked(r.attempt, "claimed by no entry")
		}
	}
}

// detectPauseLocked detects a pause of this process, so that it is not mistaken for
// silence of all entries.
func (m *Manager) detectPauseLocked(now time.Time, clock time.Duration) {
	if paused := clock - m.lastSweep; paused > pauseThreshold {
		m.resumedAt = now
		m.opts.Counters.Counter("pauses").Inc(1)
		m.opts.Log.Warn().Dur("paused", paused).Dur("suspended", m.uptime.Suspended()).Int("runs", len(m.runs)).Msg("process was paused")
	}
	m.lastSweep = clock
}

// offerProbeLocked offers a due probe to one entry after the other. If all entries could
// send one at once, as many tasks would go to a target that may fail them.
func (m *Manager) offerProbeLocked(clock time.Duration) {
	t := m.target
	if t == nil || !t.health.MayProbe(clock) || (t.prober != 0 && clock-t.probeOfferedAt < probeOfferTimeout) {
		return
	}
	// Map iteration starts at a random entry.
	for incarnation, o := range m.owners {
		if o.link != nil && incarnation != t.prober {
			t.prober, t.probeOfferedAt = incarnation, clock
			o.link.Send(peer.Frame{})
			return
		}
	}
}

// leaseExpired reports whether the lease of the entry has expired, and the reason.
func (o *owner) leaseExpired(clock time.Duration, now time.Time) (string, bool) {
	switch {
	case clock-o.lastEcho > peer.OwnerLease:
		return "entry silent", true
	case !o.linkLostAt.IsZero() && now.Sub(o.linkLostAt) > peer.BrokenLinkLease:
		return "link to entry broken", true
	}
	return "", false
}

func (m *Manager) stopOwnerLocked(incarnation uint64, reason string) {
	m.refuseHeldOfLocked(incarnation)
	for _, r := range m.runs {
		if r.owner == incarnation {
			m.stopLocked(r.attempt, reason)
		}
	}
}

// Run sweeps until done is closed, and then ends the calls to the target.
func (m *Manager) Run(done <-chan struct{}) {
	defer m.closeTarget()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			m.Sweep()
		}
	}
}

// closeTarget ends all calls to the target. Its runs are left to their lease.
func (m *Manager) closeTarget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target != nil {
		m.target.cancel()
		m.target.client.Close()
	}
}
