package load

import "time"

const (
	// minRunShare is the smallest share of its predicted run time that a job is assumed
	// to take. Declared run times differ by some 40 % from the actual ones, so a run may
	// be much shorter. certainRunShare is used if Forecast.Certain is set: the run time is
	// then known to within a few percent.
	minRunShare     = 0.65
	certainRunShare = 0.95
	// latencyShare is the part of the target latency that may be spent waiting; the
	// rest covers the round trip to the target.
	latencyShare = 0.75
)

// Slack returns how long a job may wait before its start. The objective grows with the
// actual run time, so a job that is shorter than predicted has less time to wait than
// the prediction implies. In a lasting overload, where jobs start at the last moment
// allowed by the prediction, every second job would be late and its capacity wasted.
func Slack(stretch float64, latency time.Duration, f Forecast) time.Duration {
	wait := (stretch - 1) * f.shortestRun()
	return time.Duration(wait + latencyShare*float64(latency))
}

// shortestRun returns the shortest run time assumed for a job, in nanoseconds.
func (f Forecast) shortestRun() float64 {
	if f.Certain {
		return certainRunShare * float64(f.RunTime)
	}
	return minRunShare * float64(f.RunTime)
}
