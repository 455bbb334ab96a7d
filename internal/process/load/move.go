package load

import "time"

const (
	// stopLatency is the time until the stop of a run is confirmed.
	stopLatency = 40 * time.Millisecond
	// minMoveSpeedup is the factor by which moving a task must shorten its remaining
	// time.
	minMoveSpeedup = 1.5
	// hungPace is the pace below which a run counts as hung: a task that makes progress
	// does not exceed its declared run time by such a factor.
	hungPace = 0.06
	// hungRemaining is the remaining time assumed for a hung run.
	hungRemaining = time.Hour
)

// Remaining returns the remaining time of a run at its current pace.
func Remaining(percent int, pace float64, expected time.Duration) time.Duration {
	left := float64(100-percent) / 100 * float64(expected)
	if IsHung(pace) || left/pace > float64(hungRemaining) {
		return hungRemaining
	}
	return time.Duration(left / pace)
}

// IsHung reports whether a run at this pace makes no progress.
func IsHung(pace float64) bool { return pace < hungPace }

// ShouldMove reports whether a run should be stopped and started on another target: its
// target hangs or is slow, it would miss its objective there, and it would end clearly
// sooner elsewhere. fresh is the run time of a new attempt. slow is set if the target is
// the cause: a task that merely runs longer than declared takes as long on any target.
func ShouldMove(now, objective, remaining, fresh time.Duration, slow bool) bool {
	if now+remaining <= objective || (!slow && remaining < hungRemaining) {
		return false
	}
	moved := stopLatency + fresh
	return float64(moved)*minMoveSpeedup < float64(remaining)
}
