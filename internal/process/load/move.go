package load

import "time"

const (
	// stopCost is the time until a stopped run is confirmed.
	stopCost = 40 * time.Millisecond
	// moveGain is how much sooner, as a factor, a moved task must end.
	moveGain = 1.5
	// hangingPace is the pace below which a run does not advance: no task is so
	// much longer than declared.
	hangingPace = 0.06
	// standstill stands for the remaining time of a run that does not advance.
	standstill = time.Hour
)

// Remaining returns the time that a run still takes at its present pace.
func Remaining(percent int, pace float64, expected time.Duration) time.Duration {
	left := float64(100-percent) / 100 * float64(expected)
	if Hangs(pace) || left/pace > float64(standstill) {
		return standstill
	}
	return time.Duration(left / pace)
}

// Hangs reports whether a run at a pace does not advance.
func Hangs(pace float64) bool { return pace < hangingPace }

// ShouldMove reports whether a run should be stopped and started on another
// target: when it hangs or its target is slow, it would miss the objective where
// it is, and would end clearly sooner elsewhere. slow says that the target is to
// blame: a task that is only longer than declared takes as long anywhere. It answers
// targets that hang or slow down under their work.
func ShouldMove(now, objective, remaining, fresh time.Duration, slow bool) bool {
	if now+remaining <= objective || (!slow && remaining < standstill) {
		return false
	}
	moved := stopCost + fresh
	return float64(moved)*moveGain < float64(remaining)
}
