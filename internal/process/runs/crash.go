package runs

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
)

// crashEvidenceWindow is how long after its latest answer a target that is gone counts as
// crashed under its runs. After a longer silence the target may have been cut off or this
// process paused, and its lease may have ended the runs before.
const crashEvidenceWindow = unresponsiveAfter

// noteCrashLocked records that the target has ended without notice. A draining target ends
// as planned, and one that has been silent may have ended its runs before.
func (m *Manager) noteCrashLocked(t *targetIncarnation, evidence string) {
	silent := time.Since(t.answeredAt)
	if m.target != t || t.crashed || t.Draining || !t.reported || silent > crashEvidenceWindow {
		return
	}
	t.crashed = true
	crash := m.crashLocked(t)
	m.opts.Counters.Counter("targets_crashed").Inc(1)
	m.logCrash(&crash, evidence, silent)
}

// crashLocked returns the report of a crash of the target, the youngest run first.
func (m *Manager) crashLocked(t *targetIncarnation) peer.Crash {
	c := peer.Crash{ID: peer.CrashID{Target: t.ID, Incarnation: t.Incarnation}, Agent: m.opts.Name}
	for _, r := range m.runs {
		if r.phase != phaseMisdirected {
			c.Runs = append(c.Runs, peer.CrashedRun{Task: r.attempt.Key, Queue: r.queue, Age: bounds.RunTime.Clamp(m.clock() - r.orderedAt)})
		}
	}
	slices.SortFunc(c.Runs, func(a, b peer.CrashedRun) int { return cmp.Compare(a.Age, b.Age) })
	c.Runs = c.Runs[:min(len(c.Runs), peer.MaxCrashRuns)]
	return c
}

// logCrash logs a crash and each run that was on the target.
func (m *Manager) logCrash(c *peer.Crash, evidence string, silent time.Duration) {
	m.opts.Log.Warn().Str("target", c.ID.Target).Int64("incarnation", c.ID.Incarnation).Str("evidence", evidence).
		Dur("silent", silent).Int("runs", len(c.Runs)).Msg("target crashed")
	for i, r := range c.Runs {
		m.opts.Log.Warn().Str("job", r.Task.Job).Stringer("task", r.Task).Str("queue", r.Queue).Str("target", c.ID.Target).
			Dur("age", r.Age).Int("younger", i).Bool("isolated", r.Isolated).Msg("run was on a target that crashed")
	}
}

// withdrawCrashLocked withdraws the report of a crash once the same incarnation has answered.
func (m *Manager) withdrawCrashLocked(t *targetIncarnation) {
	if !t.crashed || m.target != t {
		return
	}
	t.crashed = false
	m.opts.Counters.Counter("crashes_withdrawn").Inc(1)
	m.opts.Log.Info().Str("target", t.ID).Int64("incarnation", t.Incarnation).Msg("target has not crashed: it answers")
}
