package scheduler

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
)

const (
	// isolationWait is how long a suspect waits for a target of its own once its lost run
	// has certainly ended.
	isolationWait = 500 * time.Millisecond
	// followUpTime is the time that the other tasks of an isolated job take to follow the
	// first one once it has proved harmless.
	followUpTime = 2*sweepInterval + 10*time.Millisecond
	// maxCrashedTime is how long a crashed target counts as one that will be back.
	maxCrashedTime = 10 * time.Second
	// defaultRestartTime is the expected time until a crashed target is back while none has
	// been seen to return. restartWeight is the weight of the latest one seen.
	defaultRestartTime = 2 * time.Second
	restartWeight      = 0.3
)

// queueOf returns the queue in which the tasks of a job wait.
func (s *Scheduler) queueOf(j *job) *load.Queue[*item] {
	if j.separation != load.Shared {
		return &s.apartQueue
	}
	return &s.queue
}

// isApart reports whether a job runs on targets that are set apart.
func (j *job) isApart() bool { return j.separation != load.Shared }

// isDown reports whether a target has crashed and is not back.
func (t *target) isDown(now time.Duration) bool {
	return t.hasCrashed && !t.usable(now) && now-t.lastCrash < maxCrashedTime
}

// assignTargetsApart chooses the targets that are set apart. All
// entries choose the same ones, as far as they know the same crashes.
func (s *Scheduler) assignTargetsApart(now time.Duration) {
	single := s.suspectsPending(now)
	confined := s.confinement.Any()
	if !single && !confined && !s.targetsSetApart {
		return
	}
	s.targetsSetApart = single || confined
	byPool := make(map[string][]*target)
	for _, t := range s.targets {
		t.setApart = false
		byPool[t.info.Pool] = append(byPool[t.info.Pool], t)
	}
	if !s.targetsSetApart {
		return
	}
	for pool, targets := range byPool {
		if pool != "" {
			s.setApart(pool, targets, now)
		}
	}
}

// setApart sets targets of one pool apart. Targets that are down belong to no pool.
func (s *Scheduler) setApart(pool string, targets []*target, now time.Duration) {
	down := 0
	for _, t := range s.targets {
		if t.isDown(now) && t.lastPool == pool {
			down++
		}
	}
	var up []*target
	for _, t := range targets {
		if t.usable(now) {
			up = append(up, t)
		}
	}
	highest := s.highestSeparation(pool)
	slices.SortFunc(up, func(a, b *target) int { return compareApart(a, b, highest) })
	n := load.TargetsApart(len(up)+down, down, highest)
	for _, t := range up[:min(n, len(up))] {
		t.setApart = true
	}
}

// compareApart orders targets by their preference to be set apart. For the jobs of a confined
// queue those that crashed last come first, since they are empty when they are back. For
// single suspects they come last: a target that crashes again without their doing would prove
// them guilty.
func compareApart(a, b *target, highest load.Separation) int {
	crashes := compareCrashes(a, b)
	if highest == load.Shared {
		crashes = -crashes
	}
	return cmp.Or(crashes, cmp.Compare(nameHash(a.name), nameHash(b.name)))
}

// compareCrashes orders targets by their latest crash, the latest first and those without one
// last.
func compareCrashes(a, b *target) int {
	switch {
	case a.hasCrashed && b.hasCrashed:
		return cmp.Compare(b.lastCrash, a.lastCrash)
	case a.hasCrashed:
		return -1
	case b.hasCrashed:
		return 1
	default:
		return 0
	}
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// highestSeparation returns the highest separation of a queue of a pool.
func (s *Scheduler) highestSeparation(pool string) load.Separation {
	highest := load.Shared
	snapshot := s.opts.View.Snapshot()
	if snapshot == nil {
		return highest
	}
	for name, q := range snapshot.Queues {
		if q.Pool == pool {
			highest = max(highest, s.confinement.Separation(name))
		}
	}
	return highest
}

// suspectsPending reports whether a job that must be isolated may still wait for a target
// of its own after the latest crash.
func (s *Scheduler) suspectsPending(now time.Duration) bool {
	return now < s.suspectsUntil
}

// canSetApart reports whether a pool has enough targets to set some apart.
func (s *Scheduler) canSetApart(pool string) bool {
	size := 0
	for _, t := range s.targets {
		if t.lastPool == pool {
			size++
		}
	}
	return load.TargetsApart(size, 0, load.Isolated) > 0
}

// admitIsolated decides whether an isolated job may be queued, and returns its refusal if
// not.
func (s *Scheduler) admitIsolated(j *job, now time.Duration) (Answer, bool) {
	available := 0
	for _, t := range s.targets {
		if t.setApart && t.info.Pool == j.queue.Pool && t.usable(now) {
			available++
		}
	}
	if available == 0 {
		return s.refuseIsolated(j, s.untilRestart(now)), false
	}
	perJob := s.exclusiveTime(j)
	waiting := time.Duration(s.isolatedJobs()) * perJob
	wait := waiting * time.Duration(max(s.opts.Entries(), 1)) / time.Duration(available)
	if load.IsSurelyTooLate(wait, j.latestStart-now) {
		return s.refuseIsolated(j, wait), false
	}
	return Answer{}, true
}

// refuseIsolated returns the answer to a job that cannot be run apart from others in time.
func (s *Scheduler) refuseIsolated(j *job, wait time.Duration) Answer {
	return j.refusal(apiv1.Reason_REASON_TARGET_CRASHED, load.RetryAfter(wait, s.opts.Random()), messageNoTargetApart)
}

// untilRestart returns the expected time until the first crashed target is back.
func (s *Scheduler) untilRestart(now time.Duration) time.Duration {
	wait := s.restartTime
	for _, t := range s.targets {
		if t.isDown(now) {
			wait = min(wait, max(t.lastCrash+s.restartTime-now, 0))
		}
	}
	return wait
}

// recordRestart measures how long a crashed target took to come back.
func (s *Scheduler) recordRestart(t *target, now time.Duration) {
	took := now - t.lastCrash
	s.restartTime += time.Duration(restartWeight * float64(took-s.restartTime))
}

// exclusiveTime returns how long a job keeps a target to itself.
func (s *Scheduler) exclusiveTime(j *job) time.Duration {
	if age, ok := s.confinement.HarmlessAge(j.queue.Name); ok {
		return min(2*age, j.forecast.RunTime)
	}
	return j.forecast.RunTime
}

func (s *Scheduler) isolatedJobs() int {
	n := 0
	for _, j := range s.jobs {
		if j.separation == load.Isolated && !j.begun {
			n++
		}
	}
	return n
}

// tryStartApart starts a task of a job that is kept apart if a target is free for it. The first
// task of an isolated job goes ahead alone: if it crashes the target, nothing else is lost.
func (s *Scheduler) tryStartApart(it *item, r placementRound) bool {
	if it.job.separation == load.Apart {
		return s.tryStart(it, r)
	}
	if !s.maySendNext(it.job, r.now) {
		return false
	}
	t := s.chooseIsolated(it, r)
	if t == nil || !s.hasCaller(it.job) {
		return false
	}
	s.start(it, t)
	return true
}

// maySendNext reports whether the first task of an isolated job has proved harmless, or is
// still to be sent.
func (s *Scheduler) maySendNext(j *job, now time.Duration) bool {
	if j.tasksLeft < j.spec.Tasks() {
		return true
	}
	first := j.firstAttempt()
	if first == nil {
		return true
	}
	age, known := s.confinement.HarmlessAge(j.queue.Name)
	return known && first.startedAt > 0 && now-first.startedAt >= age
}

// firstAttempt returns the oldest attempt of a job in progress, or nil.
func (j *job) firstAttempt() *attempt {
	var first *attempt
	for i := range j.steps {
		for _, it := range j.steps[i].items {
			if it.attempt != nil && (first == nil || it.attempt.sentAt < first.sentAt) {
				first = it.attempt
			}
		}
	}
	return first
}

// chooseIsolated returns a target set apart that is free for a task of an isolated job, or
// nil. All tasks of the job go to the same target.
func (s *Scheduler) chooseIsolated(it *item, r placementRound) *target {
	if t := it.job.isolatedAt; t != nil && r.isEligible(t, it.job) {
		if s.isolatedFits(it, t) && s.isFreeFor(it.job, t, r.now) {
			return t
		}
		if t.hasAttemptsOf(it.job) {
			return nil
		}
	}
	var best *target
	for _, t := range s.targets {
		if !r.isEligible(t, it.job) || !s.isolatedFits(it, t) || !s.isFreeFor(it.job, t, r.now) {
			continue
		}
		if best == nil || t.free().CPU > best.free().CPU {
			best = t
		}
	}
	it.job.isolatedAt = best
	return best
}

func (s *Scheduler) isolatedFits(it *item, t *target) bool {
	if !t.takesStart(it) {
		return false
	}
	req := s.requirements(it.step)
	c := t.candidate()
	if req.MaxPerTarget > 0 {
		c.SameStepTasks = t.attemptsOfStep(it)
	}
	return req.Fits(&c)
}

// isFreeFor reports whether nothing at a target keeps out an isolated job.
func (s *Scheduler) isFreeFor(j *job, t *target, now time.Duration) bool {
	if t.shared || t.isExclusive(j, now) {
		return false
	}
	for _, at := range t.attempts {
		other := at.item.job
		if other != j && (!at.isolated || at.startedAt == 0 || at.exclusiveFor == 0 || now-at.startedAt < at.exclusiveFor) {
			return false
		}
	}
	return true
}

func (t *target) hasAttemptsOf(j *job) bool {
	for _, at := range t.attempts {
		if at.item.job == j {
			return true
		}
	}
	return false
}

// exclusiveFor returns the age up to which the next task of an isolated job keeps out other
// jobs, 0 if until its end. The first task does so until the others have been sent.
func (s *Scheduler) exclusiveFor(it *item) time.Duration {
	age, known := s.confinement.HarmlessAge(it.job.queue.Name)
	if known && it.job.firstAttempt() == nil && it.job.tasksLeft > 1 {
		return age + followUpTime
	}
	return age
}

// waitedTooLongApart reports whether a job that is kept apart and of which nothing is in progress can no
// longer be started in time, or has no target left to wait for.
func (s *Scheduler) waitedTooLongApart(j *job, now time.Duration) bool {
	return j.unresolved == 0 && j.tasksLeft == j.spec.Tasks() && now > j.latestStart
}
