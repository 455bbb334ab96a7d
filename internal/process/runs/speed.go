package runs

import (
	"math"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
)

const (
	// speedShareInterval is the time between checks whether the entries know the slowdown of the
	// target, and minSpeedChange the change in percent from which they are sent the new one.
	speedShareInterval = 250 * time.Millisecond
	minSpeedChange     = 6
	// speedRefresh is the time after which an unchanged slowdown is sent again, since entries
	// forget one without new runs.
	speedRefresh = 5 * time.Second
)

// sharedSpeed is the slowdown of a target that was sent to the entries. Times are those of
// Manager.clock.
type sharedSpeed struct {
	percent             int
	checkedAt, sharedAt time.Duration
	// observedAt is when the latest run was recorded.
	observedAt time.Duration
}

// recordSpeedLocked records the run time of a run that has succeeded. Runs on a target on
// probation do not show its usual speed.
func (m *Manager) recordSpeedLocked(t *targetIncarnation, r *run) {
	if r.average <= 0 || r.startedAt <= 0 || !t.health.Healthy() {
		return
	}
	now := m.clock()
	t.speed.Observe(r.average, now-r.startedAt)
	t.speedShared.observedAt = now
}

// shareSpeedLocked sends the slowdown of the target to all entries once it has changed.
func (m *Manager) shareSpeedLocked(now time.Duration) {
	t := m.target
	if t == nil || now-t.speedShared.checkedAt < speedShareInterval {
		return
	}
	shared := &t.speedShared
	shared.checkedAt = now
	slowdown, known := t.speed.Slowdown()
	percent := int(math.Round(slowdown * 100))
	changed := max(percent-shared.percent, shared.percent-percent) >= minSpeedChange
	refresh := now-shared.sharedAt >= speedRefresh && shared.observedAt > shared.sharedAt
	if !known || (!changed && !refresh) {
		return
	}
	if changed {
		m.opts.Counters.Counter("target_speeds_learned").Inc(1)
		m.opts.Log.Info().Str("target", t.ID).Int("slowdown_percent", percent).Int("former", shared.percent).
			Int("runs", t.speed.Samples()).Msg("speed of the target learned")
	}
	shared.percent, shared.sharedAt = percent, now
	m.broadcastTargetLocked()
}

// speedAgeLocked returns how long ago the latest run was recorded.
func (m *Manager) speedAgeLocked() time.Duration {
	if m.target.speedShared.percent == 0 {
		return 0
	}
	return bounds.RunTime.Clamp(m.clock() - m.target.speedShared.observedAt)
}
