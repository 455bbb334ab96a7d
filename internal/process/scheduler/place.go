package scheduler

import (
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

const (
	// maxSkippedJobs and maxSkippedTasks bound the jobs, and their tasks, that are
	// skipped in one round because they cannot be started.
	maxSkippedJobs  = 8
	maxSkippedTasks = 100
)

// scoreJitter keeps entries with the same information from choosing the same target.
const scoreJitter = 0.05

// maxCandidates bounds the targets with free capacity that are scored for one task, and
// maxLocalCandidates those of them in the entry's own data centre. Targets come in random order.
// Entries that all choose the best of many targets, by data that is some ten milliseconds old,
// choose the same one; the best of a few random ones is nearly as good.
const (
	maxCandidates      = 32
	maxLocalCandidates = 4
)

// placementRound is the state shared by all placement decisions made at one moment.
type placementRound struct {
	now     time.Duration
	outages *policy.Outages
	// healthReliable is the result of mostAreHealthy. If it is false, tasks are also placed
	// on targets on probation.
	healthReliable bool
}

func (s *Scheduler) newRound() placementRound {
	r := placementRound{now: s.now(), outages: s.opts.View.Outages()}
	r.healthReliable = s.mostAreHealthy(r.now)
	return r
}

// placeQueued starts tasks from the head of the queue while there is capacity.
func (s *Scheduler) placeQueued() {
	defer s.updateDemand()
	if s.queue.Len() == 0 && s.apartQueue.Len() == 0 {
		return
	}
	r := s.newRound()
	s.releases.Reset()
	s.contendedPool.known = false
	s.placeFrom(&s.queue, r, s.tryStart)
	s.placeFrom(&s.apartQueue, r, s.tryStartApart)
}

// placeFrom starts tasks from the head of one queue.
func (s *Scheduler) placeFrom(queue *load.Queue[*item], r placementRound, tryStart func(*item, placementRound) bool) {
	var skippedTasks []*item
	var skippedJobs []*job
	for queue.Len() > 0 && len(skippedJobs) < maxSkippedJobs && len(skippedTasks) < maxSkippedTasks {
		it := queue.Pop()
		// After a pause of this process the deadline may have passed without a sweep.
		s.sweepJob(it.job, r.now)
		switch {
		case it.job.ended:
			continue
		case slices.Contains(skippedJobs, it.job):
		case tryStart(it, r):
			continue
		case it.job.ended:
			continue
		default:
			skippedJobs = append(skippedJobs, it.job)
		}
		skippedTasks = append(skippedTasks, it)
	}
	for _, it := range skippedTasks {
		if !it.job.ended {
			queue.Push(it)
		}
	}
}

// tryStart starts a task if a target has capacity for it and its job may begin.
func (s *Scheduler) tryStart(it *item, r placementRound) bool {
	if s.mustYield(it, r) {
		return false
	}
	t := s.choose(it, r)
	if t == nil || (!it.Begun() && !s.mayBegin(it, r)) || !s.hasCaller(it.job) {
		return false
	}
	s.start(it, t)
	return true
}

// mayBegin reports whether a job may begin now, taking capacity that others could use.
func (s *Scheduler) mayBegin(it *item, r placementRound) bool {
	if it.Overdue() {
		return load.HasSpareCapacity(s.usableCPU(r))
	}
	missing := s.missingCPU(it.job, s.queueOf(it.job).BegunCPU(), r)
	if missing <= 0 {
		return true
	}
	s.collectReleases(it.job, r)
	required := s.contention.RequiredCPU(r.now, missing)
	return s.releases.Len() == 0 || s.releases.ShouldBegin(r.now, it.job.latestStart, required)
}

func (s *Scheduler) requirements(st *task.Step) load.Requirements {
	return load.Requirements{
		Need:         st.Need,
		Label:        st.Label,
		DataRack:     st.DataRack,
		MaxPerTarget: st.MaxPerTarget,
		DataCentre:   s.opts.DataCentre,
	}
}

// choose returns the best target for a task, or nil.
func (s *Scheduler) choose(it *item, r placementRound) *target {
	req := s.requirements(it.step)
	var best *target
	bestScore := 0.0
	candidates, local := 0, 0
	for _, t := range s.targets {
		if r.now < t.refusedUntil || !r.isEligible(t, it.job) || (r.healthReliable && t.probation && !(t.probe && it.mayProbe())) {
			continue
		}
		if !t.takesStart(it) {
			continue
		}
		c := t.candidate()
		c.Avoid = t.name == it.avoid
		c.DelayedShare = s.delays.DelayedShare(c.DataCentre, r.now)
		if s.unequalSpeeds {
			if !it.Overdue() && s.endsTooLate(it, t, r.now) {
				continue
			}
			c.Slowness = load.SlownessPenalty(it.expectedOn(t), it.job.objective-r.now)
		}
		c.Interference = s.interference.Penalty(it.job.queue.Name, t.queues)
		if req.MaxPerTarget > 0 {
			c.SameStepTasks = t.attemptsOfStep(it)
		}
		if !req.Fits(&c) {
			continue
		}
		if score := req.Score(&c) + scoreJitter*s.opts.Random(); best == nil || score > bestScore {
			best, bestScore = t, score
		}
		if c.DataCentre == s.opts.DataCentre {
			local++
		}
		if candidates++; candidates == maxCandidates || (local == maxLocalCandidates && s.spreadsStarts()) {
			break
		}
	}
	return best
}

// spreadsStarts reports whether the best of a few targets is enough: where entries compete for
// targets, and no target is worse than others for what runs on it.
func (s *Scheduler) spreadsStarts() bool { return s.opts.StartWait > 0 && s.interference.IsEmpty() }

// mayProbe reports whether a task may be sent to a target on probation: one failure
// must not exhaust its attempts.
func (it *item) mayProbe() bool { return it.failures == 0 && it.job.queue.MaxAttempts > 1 }

// isEligible reports whether tasks of a job may be started on a target.
func (r placementRound) isEligible(t *target, j *job) bool {
	return t.info.Pool == j.queue.Pool && t.setApart == j.isApart() &&
		(j.separation == load.Isolated || !t.isolated) && r.isInService(t)
}

// isInService reports whether a target may be given work of its pool.
func (r placementRound) isInService(t *target) bool {
	return t.usable(r.now) && t.reconciled && !r.outages.Has(t.info.DataCentre)
}

// start sends the next attempt of a task to a target.
func (s *Scheduler) start(it *item, t *target) {
	now := s.now()
	it.run++
	it.job.hasRestarts = it.job.hasRestarts || it.run > 1
	at := &attempt{
		item:              it,
		id:                task.Attempt{Key: it.key, Run: it.run},
		target:            t,
		targetIncarnation: t.info.Incarnation,
		sentAt:            now,
	}
	if it.job.separation == load.Isolated {
		at.isolated, at.exclusiveFor = true, s.exclusiveFor(it)
	}
	it.attempt = at
	it.job.unresolved++
	if !it.job.begun {
		it.job.begun = true
		s.fixOrder(it.job)
	}
	s.drain.RecordStart(now, it.Work())
	s.opts.Counters.Counter("attempts_sent").Inc(1)
	s.opts.Log.Info().Str("job", it.key.Job).Stringer("task", it.key).Uint64("run", it.run).Str("target", t.info.ID).
		Int64("free_cpu", t.free().CPU).Dur("room_age", now-t.lastFrameAt).Dur("caller_seen_ago", now-it.job.callerSeenAt).
		Bool("isolated", at.isolated).Msg("attempt sent")
	t.addAttempt(at)
	s.contendedPool.free -= it.step.Need.CPU
	t.send(peer.Frame{Starts: []peer.Start{{
		Attempt:      at.id,
		Spec:         it.job.spec.Spec,
		Need:         it.step.Need,
		Incarnation:  t.info.Incarnation,
		Expected:     it.expectedOn(t),
		Average:      s.averageRunTime(it),
		WaitFor:      s.startWait(it, now),
		Queue:        it.job.queue.Name,
		Isolated:     at.isolated,
		ExclusiveFor: at.exclusiveFor,
	}}})
}

// startWait returns how long the agent may hold a start of a task: while its job could still meet
// its objective. An overdue job takes only capacity that is free.
func (s *Scheduler) startWait(it *item, now time.Duration) time.Duration {
	if it.Overdue() || s.opts.StartWait <= 0 {
		return 0
	}
	return min(s.opts.StartWait, peer.MaxStartWait, max(it.job.latestStart-now, 0))
}

// fixOrder restores the queue order of a job's tasks after the job has begun.
func (s *Scheduler) fixOrder(j *job) {
	for i := range j.steps {
		for _, it := range j.steps[i].items {
			s.queueOf(j).Fix(it)
		}
	}
}
