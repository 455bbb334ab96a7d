package runs

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
	"github.com/rosemarybay/rosemarybay/internal/request/crash"
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
	report := m.crashLocked(t)
	m.opts.Counters.Counter("targets_crashed").Inc(1)
	m.logCrash(&report, evidence, silent)
	m.shareCrashLocked(report, 0)
	m.broadcastTargetLocked()
}

// crashLocked returns the report of a crash of the target, the youngest run first.
func (m *Manager) crashLocked(t *targetIncarnation) crash.Report {
	c := crash.Report{ID: crash.ID{Target: t.ID, Incarnation: t.Incarnation}, Agent: m.opts.Name}
	for _, r := range m.runs {
		if r.phase != phaseMisdirected {
			c.Runs = append(c.Runs, crash.Run{Task: r.attempt.Key, Queue: r.queue, Isolated: r.isolated, Age: bounds.RunTime.Clamp(m.clock() - r.orderedAt)})
		}
	}
	slices.SortFunc(c.Runs, func(a, b crash.Run) int { return cmp.Compare(a.Age, b.Age) })
	c.Runs = c.Runs[:min(len(c.Runs), crash.MaxRuns)]
	return c
}

// logCrash logs a crash and each run that was on the target.
func (m *Manager) logCrash(c *crash.Report, evidence string, silent time.Duration) {
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
	m.shareCrashLocked(crash.Report{ID: crash.ID{Target: t.ID, Incarnation: t.Incarnation}, Agent: m.opts.Name, Withdrawn: true}, 0)
	m.broadcastTargetLocked()
	m.opts.Counters.Counter("crashes_withdrawn").Inc(1)
	m.opts.Log.Info().Str("target", t.ID).Int64("incarnation", t.Incarnation).Msg("target has not crashed: it answers")
}

// shareCrashLocked keeps a report and sends it to all entries but the one that it came from.
func (m *Manager) shareCrashLocked(r crash.Report, from uint64) {
	if !m.crashes.Add(m.clock(), r) {
		return
	}
	for incarnation, o := range m.owners {
		if incarnation != from && o.link != nil {
			o.link.Send(peer.Frame{Crashes: []crash.Report{r}})
		}
	}
	if r.Agent == m.opts.Name && m.opts.Crashed != nil {
		m.opts.Crashed(m.ownCrashesLocked())
	}
}

// ownCrashesLocked returns the reports about this agent's target.
func (m *Manager) ownCrashesLocked() []crash.Report {
	reports := m.crashes.Reports(m.clock())
	return slices.DeleteFunc(reports, func(r crash.Report) bool { return r.Agent != m.opts.Name })
}

// forwardReleasesLocked forwards the queues that an entry no longer keeps apart to the other
// entries.
func (m *Manager) forwardReleasesLocked(from *owner, released []crash.Release) {
	if len(released) == 0 {
		return
	}
	for _, o := range m.owners {
		if o != from && o.link != nil {
			o.link.Send(peer.Frame{Released: released})
		}
	}
}

// RestoreCrashes adds reports that an earlier process of this agent has stored.
func (m *Manager) RestoreCrashes(reports []crash.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range reports {
		m.shareCrashLocked(r, 0)
	}
}

// isolationAllowsLocked reports whether a start order keeps the isolation of its own run and
// of those at the target.
func (m *Manager) isolationAllowsLocked(s peer.Start) bool {
	for _, r := range m.runs {
		if r.attempt.Key.Job == s.Attempt.Key.Job {
			continue
		}
		if r.isolated != s.Isolated || m.isExclusiveLocked(r) {
			return false
		}
	}
	return true
}

// isExclusiveLocked reports whether an isolated run keeps out all other jobs.
func (m *Manager) isExclusiveLocked(r *run) bool {
	return r.isolated && (r.exclusiveFor == 0 || m.clock()-r.orderedAt < r.exclusiveFor)
}

// describeIsolationLocked sets what a target's room says about isolated runs.
func (m *Manager) describeIsolationLocked(room *peer.Room) {
	for _, r := range m.runs {
		room.Shared = room.Shared || !r.isolated
		room.Isolated = room.Isolated || r.isolated
		room.Exclusive = room.Exclusive || m.isExclusiveLocked(r)
	}
}
