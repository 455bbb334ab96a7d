package load

import "time"

const (
	// shortRun is the share of its predicted run time that a job may turn out to
	// take: declared run times are off by some 40 %. certainRun is the same where
	// the run time is known.
	shortRun   = 0.65
	certainRun = 0.95
	// latencyShare is the part of the target latency that may be spent waiting;
	// the rest is for the way to the target and back.
	latencyShare = 0.75
)

// Slack returns how long a job may wait before its start. The objective grows
// with the run time that the job turns out to have, so a job that is shorter than
// predicted has less time to wait than the prediction says. It answers a lasting
// overload: where jobs start at the last moment that the prediction allows, every
// second one is late, and the room it took is wasted.
func Slack(stretch float64, latency time.Duration, f Forecast) time.Duration {
	run := shortRun * float64(f.RunTime)
	if f.Certain {
		run = certainRun * float64(f.RunTime)
	}
	wait := (stretch - 1) * run
	return time.Duration(wait + latencyShare*float64(latency))
}
