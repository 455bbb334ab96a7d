package load

import "time"

const (
	// maxProbationLevel bounds the probation level: 2^level runs must succeed.
	maxProbationLevel = 4
	// relapseWindow is the time after the end of a probation within which a new failure
	// raises the probation level.
	relapseWindow = 2 * time.Second
	// slowPace is the pace below which a target is put on probation, healthyPace the
	// one above which probation ends. They are this far apart because declared run
	// times are off by some 40 %.
	slowPace    = 0.35
	healthyPace = 0.6
	// minSlowJobs is the number of jobs that must show a slow pace: the tasks of one
	// job share the error of its declared run time.
	minSlowJobs = 2
	// probeInterval is the time between probes of a target on probation;
	// suspectInterval is used instead while a single failure is the only sign.
	probeInterval   = 300 * time.Millisecond
	suspectInterval = 50 * time.Millisecond
	// probeTimeout is how long a running probe holds back the next one.
	probeTimeout = time.Second
)

// Health derives the health of one target from the results of its runs, because a target
// that reports itself healthy may still fail, slow down or hang its tasks. An unhealthy
// target is on probation: it gets only single probe tasks until enough of them succeed.
//
// Slow targets: where a tenth of the targets is slow, every second job of eight tasks
// spread over all of them is late. Targets that fail each task immediately: they always
// have the most free capacity and so attract all work, hence the first failure already
// puts a target on probation, until a run that began later succeeds. Runs that began
// before the failure do not show how the target behaves after it.
type Health struct {
	// failures counts consecutive failures of different jobs, failedJob is the job of
	// the latest one, and lastFailureBegan the latest start of a failed run, as a
	// duration since the start of the run manager. A job whose tasks cannot succeed
	// fails on every target and counts once.
	failures         int
	failedJob        string
	lastFailureBegan time.Duration
	// level is the probation level. requiredSuccesses is the number of runs begun after
	// lastFailureBegan that still must succeed.
	level, requiredSuccesses int
	// clearedAt is when the latest probation for failures ended; wasOnProbation is set
	// if there was one.
	clearedAt      time.Duration
	wasOnProbation bool
	slow           bool
	// lastProbe is when the latest probe began. probeRunning is set until a run that
	// began then or later ends.
	lastProbe    time.Duration
	probeRunning bool
}

// RecordRun records the end of a run of a job. began and now are its start and end.
func (h *Health) RecordRun(job string, began, now time.Duration, failed bool) {
	if h.probeRunning && began >= h.lastProbe {
		h.probeRunning = false
	}
	if failed {
		h.recordFailure(job, began, now)
		return
	}
	if h.failures == 0 || began < h.lastFailureBegan {
		return
	}
	if h.requiredSuccesses--; h.requiredSuccesses == 0 {
		h.failures, h.failedJob = 0, ""
		h.clearedAt, h.wasOnProbation = now, true
	}
}

func (h *Health) recordFailure(job string, began, now time.Duration) {
	h.lastFailureBegan = max(h.lastFailureBegan, began)
	if job == h.failedJob {
		return
	}
	h.failedJob = job
	h.failures++
	switch {
	case h.failures > 1:
		h.level = max(h.level, 1)
	case h.wasOnProbation && now-h.clearedAt < relapseWindow:
		h.level = min(h.level+1, maxProbationLevel)
	default:
		h.level = 0
	}
	h.requiredSuccesses = 1 << h.level
}

// RecordPace records the mean pace of the current runs: 1 is the predicted speed, 0 means
// no progress. jobs is the number of different jobs measured.
func (h *Health) RecordPace(pace float64, jobs int) {
	switch {
	case jobs == 0:
	case pace < slowPace && (jobs >= minSlowJobs || h.slow):
		h.slow = true
	case pace > healthyPace:
		h.slow = false
	}
}

// Healthy reports whether the target is healthy, so that it may be given any work.
func (h *Health) Healthy() bool { return h.failures == 0 && !h.slow }

// Failures returns the number of consecutive failures of different jobs.
func (h *Health) Failures() int { return h.failures }

// RequiredSuccesses returns the number of runs that still must succeed to end the
// probation.
func (h *Health) RequiredSuccesses() int { return h.requiredSuccesses }

// MayProbe reports whether a target on probation should be given a probe task now.
func (h *Health) MayProbe(now time.Duration) bool {
	interval := probeInterval
	if !h.slow && h.level == 0 {
		interval = suspectInterval
	}
	if h.probeRunning {
		interval = max(interval, probeTimeout)
	}
	return !h.Healthy() && now-h.lastProbe >= interval
}

// RecordProbe records that a target on probation was given a probe task.
func (h *Health) RecordProbe(now time.Duration) {
	h.lastProbe = now
	h.probeRunning = true
}
