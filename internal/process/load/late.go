package load

import "time"

// UsefulSlack returns how long a job that cannot meet its objective may still wait for an answer
// that is useful to its caller. f.Waited includes the time that it has waited here.
func UsefulSlack(f Forecast, objective, left time.Duration) time.Duration {
	return min(usefulAnswerFactor*objective-f.Waited, left) - f.RunTime
}

// SpareWait returns how long overdue work waits, if overdue jobs get only the part of the capacity
// that must be spare before one of them starts. share is the part of all capacity, in thousandths
// of a core, that this entry can count on.
func SpareWait(work Work, share int64) time.Duration {
	rate := max(int64(minSpareShare*float64(share)), 1)
	return time.Duration(int64(work)/rate) * time.Millisecond
}

// MayAnswerLate reports whether a job should wait for spare capacity although it will miss its
// objective. It answers a short burst, after which capacity is back while the answers are still
// useful. In a lasting overload the overdue work grows until waiting is useless, and the job is
// refused at once.
func MayAnswerLate(wait, slack time.Duration) bool { return slack > 0 && wait < slack }
