package load

import (
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
)

const (
	// SettleTime is how long a crash is known before it is judged, unless another one of the same
	// moment is known sooner.
	SettleTime = 25 * time.Millisecond
	// cleanJobs is the number of isolated jobs of a confined queue that must end without a
	// crash before its jobs run beside others again. It doubles with each relapse within
	// relapsePeriod, up to maxCleanJobs.
	cleanJobs     = 15
	maxCleanJobs  = 240
	relapsePeriod = 10 * time.Second
	// maxConfinement ends the confinement of a queue without crashes and with too few jobs
	// to prove it harmless.
	maxConfinement = 10 * time.Second
	// dangerFactor and dangerMargin give the age from which a run of a confined queue no
	// longer keeps others out, from the highest age at which one has crashed its target.
	dangerFactor = 2
	dangerMargin = 10 * time.Millisecond
	// minExplained is the number of recent crashes that a queue must explain to be put apart,
	// and explainedShare their number as a part of all targets: in a large fleet a few targets
	// always crash for other reasons.
	minExplained   = 3
	explainedShare = 1.0 / 8
	// likelyCause and certainCause are the probabilities of being the cause from which a queue
	// is put apart, and isolated. Below unlikelyCause it is released, and not isolated for one
	// task that is proven guilty.
	likelyCause   = 0.75
	certainCause  = 0.97
	unlikelyCause = 0.2
)

// Separation is how far a job is kept apart from others.
type Separation int

// The separations.
const (
	// Shared: the job runs beside all others.
	Shared Separation = iota
	// Apart: the job runs on targets that are set apart, beside others of its kind.
	Apart
	// Isolated: the job runs on targets that are set apart, and shares one with no other job
	// until its own runs have proved harmless.
	Isolated
)

// String returns the name used in logs.
func (s Separation) String() string { return [...]string{"shared", "apart", "isolated"}[s] }

// Confinement decides how far the jobs of a queue are kept apart, so that their crashes take
// no other queue's runs and only a part of the targets with them. It follows from the crashes
// alone, never from the name of a queue: the queue that is the likely cause of several crashes
// is put apart. If it is certain, or a target crashes then with runs of this queue only, its
// jobs are isolated. For a crash or two, it is enough that the suspects are kept apart.
//
// Load pattern: a tenth of the jobs of one queue crash their targets, several each second.
// More targets would be down than are left if each of these jobs crashed only one, and by
// the time that the first of them can be started again most targets are down.
type Confinement struct {
	queues map[string]*confinedQueue
}

type confinedQueue struct {
	separation Separation
	// lastCrash is when the latest crash was, and lastCrashID which. releasedAt is when the
	// latest confinement ended.
	lastCrash, releasedAt time.Duration
	lastCrashID           crash.ID
	clean, required       int
	// dangerAge is the highest age of a run that has crashed its target; 0 if unknown.
	dangerAge time.Duration
}

// Observe takes a crash into account, SettleTime after its report. reports are all reports
// of crashes, with this one, in the order of their ages, and suspects those derived from them;
// size is the number of targets. It returns the most likely cause, and the queues whose
// separation has changed.
func (c *Confinement) Observe(now time.Duration, r *crash.Report, reports []crash.Report, suspects Suspects, size int) (queue string, cause Cause, changed []string) {
	if r.Withdrawn || len(r.Runs) == 0 {
		return "", Cause{}, nil
	}
	reports = upToMoment(reports, r)
	causes := FindCauses(reports)
	queue, cause = causes.MostLikely()
	only, single := onlyQueue(r)
	single = single && !IsOneOfSeveral(reports, r.ID)
	if single && r.IsAlone() && r.Runs[0].Isolated {
		q := c.queue(only)
		q.dangerAge = max(q.dangerAge, youngestRun(r))
	}
	raised := false
	at := now - r.Age
	proven := single && suspects[r.Runs[0].Task.Job].Proven && causes[only].Probability >= unlikelyCause
	required := max(minExplained, int(explainedShare*float64(size)))
	switch {
	case single && c.Separation(only) != Shared, proven && causes[only].Crashes >= required:
		queue, cause = only, causes[only]
		raised = c.queue(queue).raise(at, r.ID, Isolated)
	case cause.Crashes < required:
	case cause.Probability >= certainCause:
		raised = c.queue(queue).raise(at, r.ID, Isolated)
	case cause.Probability >= likelyCause:
		raised = c.queue(queue).raise(at, r.ID, Apart)
	}
	if cause.Probability >= likelyCause {
		changed = c.releaseUnlikely(now, queue, causes)
	}
	if raised {
		changed = append(changed, queue)
	}
	return queue, cause, changed
}

// upToMoment returns the reports without those of crashes long after r. All entries must judge a
// crash by the same reports, also those that have started since.
func upToMoment(reports []crash.Report, r *crash.Report) []crash.Report {
	first := slices.IndexFunc(reports, func(other crash.Report) bool { return other.Age >= r.Age-SettleTime })
	return reports[max(first, 0):]
}

// releaseUnlikely ends the separation of the queues that another one has replaced as the
// likely cause, and returns them.
func (c *Confinement) releaseUnlikely(now time.Duration, likely string, causes Causes) (released []string) {
	for name, q := range c.queues {
		if name != likely && q.separation != Shared && causes[name].Probability < unlikelyCause {
			q.release(now)
			released = append(released, name)
		}
	}
	return released
}

// raise raises the separation of a queue because of a crash at a time. It reports whether this
// changes it.
func (q *confinedQueue) raise(at time.Duration, id crash.ID, to Separation) bool {
	if q.lastCrashID == (crash.ID{}) || at >= q.lastCrash {
		q.lastCrash, q.lastCrashID, q.clean = at, id, 0
	}
	if q.separation == Shared {
		q.required = cleanJobs
		if q.releasedAt > 0 && at-q.releasedAt < relapsePeriod {
			q.required = min(2*q.required, maxCleanJobs)
		}
	}
	raised := to > q.separation
	q.separation = max(q.separation, to)
	return raised
}

// onlyQueue returns the queue of all runs of a report, if they have the same.
func onlyQueue(r *crash.Report) (string, bool) {
	if len(r.Runs) == 0 {
		return "", false
	}
	for i := range r.Runs {
		if r.Runs[i].Queue != r.Runs[0].Queue {
			return "", false
		}
	}
	return r.Runs[0].Queue, r.Runs[0].Queue != ""
}

// youngestRun returns the lowest age of a run. The tasks of an isolated job are started in two
// parts, of which the second one has the cause if it has begun.
func youngestRun(r *crash.Report) time.Duration {
	youngest := r.Runs[0].Age
	for _, run := range r.Runs {
		youngest = min(youngest, run.Age)
	}
	return youngest
}

// RecordClean records that an isolated job of a queue has ended without a crash. It reports
// whether this ends the confinement of the queue.
func (c *Confinement) RecordClean(now time.Duration, queue string) bool {
	q := c.queues[queue]
	if q == nil || q.separation == Shared {
		return false
	}
	if q.clean++; q.clean < q.required {
		return false
	}
	q.release(now)
	return true
}

// LatestCrash returns the latest crash of which a queue is, or was, the suspected cause.
func (c *Confinement) LatestCrash(queue string) crash.ID { return c.queue(queue).lastCrashID }

// Release ends the confinement of a queue because another entry has ended it, unless a crash
// later than latest is known here. It reports whether this ends it.
func (c *Confinement) Release(now time.Duration, queue string, latest crash.ID) bool {
	q := c.queues[queue]
	if q == nil || q.separation == Shared || q.lastCrashID != latest {
		return false
	}
	q.release(now)
	return true
}

// Expire ends the confinement of the queues that have had no crash for long, and returns
// them.
func (c *Confinement) Expire(now time.Duration) (released []string) {
	for name, q := range c.queues {
		if q.separation != Shared && now-q.lastCrash > maxConfinement {
			q.release(now)
			released = append(released, name)
		}
	}
	return released
}

func (q *confinedQueue) release(now time.Duration) {
	q.separation, q.releasedAt = Shared, now
}

// Separation returns how far the jobs of a queue are kept apart.
func (c *Confinement) Separation(queue string) Separation {
	if q := c.queues[queue]; q != nil {
		return q.separation
	}
	return Shared
}

// Any reports whether the jobs of any queue are kept apart.
func (c *Confinement) Any() bool {
	for _, q := range c.queues {
		if q.separation != Shared {
			return true
		}
	}
	return false
}

// HarmlessAge returns the age from which an isolated run of a queue is taken to be harmless,
// or false if that is not known.
func (c *Confinement) HarmlessAge(queue string) (time.Duration, bool) {
	q := c.queues[queue]
	if q == nil || q.dangerAge == 0 {
		return 0, false
	}
	return dangerFactor*q.dangerAge + dangerMargin, true
}

func (c *Confinement) queue(name string) *confinedQueue {
	if c.queues == nil {
		c.queues = make(map[string]*confinedQueue)
	}
	q := c.queues[name]
	if q == nil {
		q = &confinedQueue{}
		c.queues[name] = q
	}
	return q
}

const (
	// stakeShare is the part of a pool that may be at stake: one in stakeShare targets,
	// rounded up.
	stakeShare = 3
	// minApart is the number of targets for a queue that is only suspected, and for single
	// suspects.
	minApart = 2
	// minPool is the size of a pool from which targets are set apart.
	minPool = 2
)

// TargetsApart returns how many targets of a pool are set apart, of size targets of which
// down have crashed and are not back. highest is the highest separation of a queue of the
// pool, Shared if only single suspects are kept apart.
//
// Targets that have crashed count towards the part at stake. Before a queue is known to be
// the cause, a few more are set apart, as long as half of the pool is left.
func TargetsApart(size, down int, highest Separation) int {
	if size < minPool {
		return 0
	}
	left := max((size+stakeShare-1)/stakeShare-down, 0)
	switch highest {
	case Isolated:
		return left
	case Apart:
		return min(max(left, minApart), max(size/2-down, 0))
	default:
		return min(1, max(size/2-down, 0))
	}
}
