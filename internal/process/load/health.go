package load

import "time"

const (
	// maxLevel bounds the level of doubt: 2 to its power runs must end well.
	maxLevel = 4
	// relapseWindow is how soon after a target was cleared a failure counts as a
	// relapse, which raises the level.
	relapseWindow = 2 * time.Second
	// slowPace is the pace below which a target is on probation, and soundPace
	// the one above which it is off: declared run times are off by some 40 %.
	slowPace  = 0.35
	soundPace = 0.6
	// slowJobs is the number of jobs on which a slow pace must be seen: the tasks
	// of one job share the error of its declared run time.
	slowJobs = 2
	// probeInterval is the time between probes of a target on probation, and
	// suspectInterval that while one failure is all that is known.
	probeInterval   = 300 * time.Millisecond
	suspectInterval = 50 * time.Millisecond
	// probeTime is how long a probe may take before another one is sent.
	probeTime = time.Second
)

// Health judges one target by what its runs do, since a target that says it is
// sound may fail, slow down or hang everything it runs. One that does so gets no
// work but a single task now and then, until such probes go well. It answers a
// fleet in which a tenth of the targets is slow: a job of eight tasks spread over
// all of them is late with every second one. And it answers targets that fail at
// once: they are always the emptiest, and draw all work to them, so the first failure
// already keeps work away until a run that began later has ended well. Runs that
// began before the failure say nothing of the time after it.
type Health struct {
	// failures counts the failures in a row of different jobs, failedJob is the job
	// of the latest and since when its run began, as a time since the epoch. A job
	// whose tasks cannot succeed fails everywhere and counts once.
	failures  int
	failedJob string
	since     time.Duration
	// level is that of doubt, and proofs the number of runs begun after since that
	// still must end well.
	level, proofs int
	// cleared is when the latest doubt ended, wasDoubted whether there was one.
	cleared    time.Duration
	wasDoubted bool
	slow       bool
	// probedAt is when the latest probe began, probing is set until it ends.
	probedAt time.Duration
	probing  bool
}

// Ended notes the end, now, of a run of a job that began at a time.
func (h *Health) Ended(job string, began, now time.Duration, failed bool) {
	if h.probing && began >= h.probedAt {
		h.probing = false
	}
	if failed {
		h.failed(job, began, now)
		return
	}
	if h.failures == 0 || began < h.since {
		return
	}
	if h.proofs--; h.proofs == 0 {
		h.failures, h.failedJob = 0, ""
		h.cleared, h.wasDoubted = now, true
	}
}

func (h *Health) failed(job string, began, now time.Duration) {
	h.since = max(h.since, began)
	if job == h.failedJob {
		return
	}
	h.failedJob = job
	h.failures++
	switch {
	case h.failures > 1:
		h.level = max(h.level, 1)
	case h.wasDoubted && now-h.cleared < relapseWindow:
		h.level = min(h.level+1, maxLevel)
	default:
		h.level = 0
	}
	h.proofs = 1 << h.level
}

// Paced notes the mean pace of the runs: 1 as predicted, 0 for standstill.
// jobs is the number of different jobs that it was measured on.
func (h *Health) Paced(pace float64, jobs int) {
	switch {
	case jobs == 0:
	case pace < slowPace && (jobs >= slowJobs || h.slow):
		h.slow = true
	case pace > soundPace:
		h.slow = false
	}
}

// Sound reports whether a target may be given work freely.
func (h *Health) Sound() bool { return h.failures == 0 && !h.slow }

// Failures returns the number of failures in a row, of different jobs.
func (h *Health) Failures() int { return h.failures }

// Proofs returns the number of runs that still must end well.
func (h *Health) Proofs() int { return h.proofs }

// MayProbe reports whether a target on probation should be given one task.
func (h *Health) MayProbe(now time.Duration) bool {
	interval := probeInterval
	if !h.slow && h.level == 0 {
		interval = suspectInterval
	}
	if h.probing {
		interval = max(interval, probeTime)
	}
	return !h.Sound() && now-h.probedAt >= interval
}

// Probed notes a task given to a target on probation.
func (h *Health) Probed(now time.Duration) {
	h.probedAt = now
	h.probing = true
}
