package runs

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
	"github.com/rosemarybay/rosemarybay/internal/request/crash"
)

const (
	// crashEvidenceWindow is how long after its latest answer a target that is gone counts as
	// crashed at this moment. After a longer silence its lease may have ended the runs before.
	crashEvidenceWindow = unresponsiveAfter
	// minUnanswered is the number of polls without an answer that a silence takes. Fewer may
	// mean that this process was paused.
	minUnanswered = 3
	// silenceSpread is how much later than the first order without an answer another one may
	// have reached a target that has stopped answering.
	silenceSpread = 5 * time.Millisecond
	// maxAnswerGap is the longest time between two answers of a target that is well.
	maxAnswerGap = pollWait
)

// noteCrashLocked records that the target has ended without notice.
func (m *Manager) noteCrashLocked(t *targetIncarnation, evidence string) {
	if m.mayHaveCrashedLocked(t) && time.Since(t.answeredAt) <= crashEvidenceWindow {
		c := m.crashLocked(t, m.clock(), m.clock())
		c.Uncertainty = bounds.RunTime.Clamp(t.noticedWithin())
		m.reportCrashLocked(t, c, evidence)
	}
}

// noticedWithin returns how long ago the target may have ended when its address refuses
// connections. Its end breaks the poll that it holds, and the next one follows within backoffMin.
func (t *targetIncarnation) noticedWithin() time.Duration {
	silent := time.Since(t.answeredAt)
	if silent < pollWait+pollGrace {
		return min(silent, backoffMin)
	}
	return silent
}

// noteSilenceLocked records that the target has stopped answering. The report is withdrawn
// if it answers again.
func (m *Manager) noteSilenceLocked(t *targetIncarnation) {
	if !m.mayHaveCrashedLocked(t) || t.unanswered < minUnanswered {
		return
	}
	from, to := m.silenceBeganLocked(t)
	c := m.crashLocked(t, from+(to-from)/2, to+silenceSpread)
	c.Silent, c.Uncertainty = true, bounds.RunTime.Clamp((to-from)/2)
	m.reportCrashLocked(t, c, "it does not answer")
}

// mayHaveCrashedLocked reports whether the target can have crashed and no report says so yet.
// A draining target ends as planned.
func (m *Manager) mayHaveCrashedLocked(t *targetIncarnation) bool {
	return m.target == t && !t.crashed && !t.Draining && t.reported
}

func (m *Manager) reportCrashLocked(t *targetIncarnation, c crash.Report, evidence string) {
	t.crashed = true
	m.opts.Counters.Counter("targets_crashed").Inc(1)
	m.logCrash(&c, evidence, time.Since(t.answeredAt))
	m.shareCrashLocked(c, 0)
	m.broadcastTargetLocked()
}

// silenceBeganLocked returns the earliest and the latest time at which the target may have
// stopped answering, as returned by Manager.clock: that of its latest answer, and that of the
// first order or the end of the poll without one.
func (m *Manager) silenceBeganLocked(t *targetIncarnation) (from, to time.Duration) {
	from = m.clockAt(t.answeredAt)
	to = from + maxAnswerGap
	for _, r := range m.runs {
		if r.phase == phaseStarting && r.orderedAt >= from {
			to = min(to, r.orderedAt)
		}
	}
	return from, to
}

// crashLocked returns the report of a crash of the target at a time, with the runs ordered until
// another time, the youngest first.
func (m *Manager) crashLocked(t *targetIncarnation, at, until time.Duration) crash.Report {
	c := crash.Report{
		ID: m.crashes.NextID(t.ID, t.Incarnation), Agent: m.opts.Name,
		Age: bounds.RunTime.Clamp(m.clock() - at), Rates: m.starts.Rates(m.clock()),
	}
	for _, r := range m.runs {
		if r.phase != phaseMisdirected && r.orderedAt <= until {
			c.Runs = append(c.Runs, crash.Run{
				Task: r.attempt.Key, Queue: r.queue, Age: bounds.RunTime.Clamp(at - r.orderedAt),
				Isolated: r.isolated, Unconfirmed: r.phase == phaseStarting,
			})
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
			Dur("age", r.Age).Int("younger", i).Bool("isolated", r.Isolated).Bool("unconfirmed", r.Unconfirmed).Msg("run was on a target that crashed")
	}
}

// withdrawCrashLocked withdraws the report of a crash, by this process or an earlier one of this
// agent, once the same incarnation has answered.
func (m *Manager) withdrawCrashLocked(t *targetIncarnation) {
	if m.target != t || (!t.crashed && t.reported) {
		return
	}
	id := m.crashes.NextID(t.ID, t.Incarnation)
	if m.crashes.Stands(id) {
		m.shareWithdrawalLocked(id)
	}
	if t.crashed {
		t.crashed = false
		m.broadcastTargetLocked()
	}
}

func (m *Manager) shareWithdrawalLocked(id crash.ID) {
	m.shareCrashLocked(crash.Report{ID: id, Agent: m.opts.Name, Withdrawn: true}, 0)
	m.opts.Counters.Counter("crashes_withdrawn").Inc(1)
	m.opts.Log.Info().Str("target", id.Target).Int64("incarnation", id.Incarnation).Msg("target has not crashed: it answers")
}

// isDisprovedLocked reports whether the target has answered this process since an earlier one
// reported its crash.
func (m *Manager) isDisprovedLocked(r *crash.Report) bool {
	t := m.target
	return !r.Withdrawn && t != nil && t.reported && !t.crashed && r.ID.Target == t.ID && r.ID.Incarnation == t.Incarnation
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
	if m.isDisprovedLocked(&r) {
		m.shareWithdrawalLocked(r.ID)
	}
}

// ownCrashesLocked returns the reports about this agent's target.
func (m *Manager) ownCrashesLocked() []crash.Report {
	reports := m.crashes.Reports(m.clock())
	return slices.DeleteFunc(reports, func(r crash.Report) bool { return r.Agent != m.opts.Name })
}

// forwardReleasesLocked keeps the releases of an entry and forwards them to the other entries.
func (m *Manager) forwardReleasesLocked(from *owner, released []crash.Release) {
	if len(released) == 0 {
		return
	}
	for _, r := range released {
		m.crashes.AddRelease(r)
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
		if m.isExclusiveLocked(r) {
			m.describeExclusiveRunLocked(room, r)
		}
	}
}

// describeExclusiveRunLocked adds an exclusive run to what a target's room says. All exclusive
// runs on a target belong to one job.
func (m *Manager) describeExclusiveRunLocked(room *peer.Room, r *run) {
	left := time.Duration(0)
	if r.exclusiveFor > 0 {
		left = r.orderedAt + r.exclusiveFor - m.clock()
	}
	if room.ExclusiveJob == "" || left == 0 {
		room.ExclusiveJob, room.ExclusiveFor = r.attempt.Key.Job, left
		return
	}
	if room.ExclusiveFor > 0 {
		room.ExclusiveFor = max(room.ExclusiveFor, left)
	}
}
