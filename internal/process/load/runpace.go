package load

import "time"

// RunPace measures the pace of one run, its speed relative to the predicted one, from
// its reported progress. The zero value is a run that has just started.
type RunPace struct {
	at      time.Duration
	percent int
	pace    float64
	known   bool
}

const (
	// paceWindow is the minimum time over which a pace is measured, or
	// 1/paceWindowsPerRun of the expected run time if that is longer, since progress is
	// reported in whole percents.
	paceWindow        = 30 * time.Millisecond
	paceWindowsPerRun = 20
)

// Start resets the measurement for a new run.
func (r *RunPace) Start(now time.Duration) { *r = RunPace{at: now} }

// Update takes the progress of a run, in percent, and its expected run time.
func (r *RunPace) Update(now time.Duration, percent int, expected time.Duration) {
	window := max(paceWindow, expected/paceWindowsPerRun)
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
