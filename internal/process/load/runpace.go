package load

import "time"

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
