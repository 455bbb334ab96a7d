package load

import "time"

const (
	// failureLimit is the number of failures in a row, of different jobs, after
	// which a target is on probation. A job whose tasks cannot succeed fails
	// everywhere and counts once.
	failureLimit = 3
	// slowPace is the pace below which a target is on probation, and soundPace
	// the one above which it is off: declared run times are off by some 40 %.
	slowPace  = 0.35
	soundPace = 0.6
	// slowJobs is the number of jobs on which a slow pace must be seen: the tasks
	// of one job share the error of its declared run time.
	slowJobs = 2
	// probeInterval is the time between probes of a target on probation.
	probeInterval = 300 * time.Millisecond
)

// Health judges one target by what its runs do, since a target that says it is
// sound may fail, slow down or hang everything it runs. One that does so gets no
// work but a single task now and then, until such a probe goes well. It answers
// a fleet in which a tenth of the targets is slow: a job of eight tasks spread
// over all of them is late with every second one.
type Health struct {
	failures  int
	failedJob string
	failing   bool
	slow      bool
	probedAt  time.Duration
}

// Ended notes the end of a run of a job.
func (h *Health) Ended(job string, failed bool) {
	if !failed {
		h.failures, h.failedJob, h.failing = 0, "", false
		return
	}
	if job != h.failedJob {
		h.failures++
		h.failedJob = job
	}
	h.failing = h.failures >= failureLimit
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
func (h *Health) Sound() bool { return !h.failing && !h.slow }

// MayProbe reports whether a target on probation should be given one task, if it
// runs none.
func (h *Health) MayProbe(now time.Duration, running int) bool {
	return !h.Sound() && running == 0 && now-h.probedAt >= probeInterval
}

// Probed notes a task given to a target on probation.
func (h *Health) Probed(now time.Duration) { h.probedAt = now }

// RunPace measures the pace of one run from the share done of it. Its zero value
// is a run that has just started.
type RunPace struct {
	at      time.Duration
	percent int
	pace    float64
	known   bool
}

const (
	// paceWindow is the shortest time over which a pace is measured, and
	// paceParts the share of the run time: progress comes in whole percents.
	paceWindow = 30 * time.Millisecond
	paceParts  = 20
)

// Start begins the measurement of a run.
func (r *RunPace) Start(now time.Duration) { *r = RunPace{at: now} }

// Update takes the share done of a run that is expected to last for a time.
func (r *RunPace) Update(now time.Duration, percent int, expected time.Duration) {
	window := max(paceWindow, expected/paceParts)
	elapsed := now - r.at
	if elapsed < window {
		return
	}
	share := float64(percent-r.percent) / 100
	r.pace = share * float64(expected) / float64(elapsed)
	r.known = true
	r.at, r.percent = now, percent
}

// Pace returns the latest pace, and whether one has been measured.
func (r *RunPace) Pace() (float64, bool) { return r.pace, r.known }
