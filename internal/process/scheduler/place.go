package scheduler

import (
	"slices"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

const (
	// misfits is how many jobs that cannot go on are passed over in one round,
	// and maxPassed how many tasks of theirs.
	misfits   = 8
	maxPassed = 100
)

// maxMoves bounds the moves of one task.
const maxMoves = 2

// placeJitter keeps entries with the same view from choosing the same target.
const placeJitter = 0.05

// maxCandidates bounds the targets with room that one task is weighed against. They
// are met in random order, so that a few dozen stand for all.
const maxCandidates = 32

// round is what all choices made at one moment have in common.
type round struct {
	now     time.Duration
	outages *policy.Outages
	// trusted is set while the judgement of targets can be relied on.
	trusted bool
}

func (s *Scheduler) newRound() round {
	r := round{now: s.now(), outages: s.opts.View.Outages()}
	r.trusted = s.mostAreSound(r.now)
	return r
}

// pump starts the tasks at the head of the queue while there is room.
func (s *Scheduler) pump() {
	if s.queue.Len() == 0 {
		return
	}
	r := s.newRound()
	s.releases.Reset()
	var passed []*item
	var skipped []*job
	for s.queue.Len() > 0 && len(skipped) < misfits && len(passed) < maxPassed {
		it := s.queue.Pop()
		// After a pause of this process the sweep may not have come yet.
		s.sweepJob(it.job, r.now)
		switch {
		case it.job.ended:
			continue
		case slices.Contains(skipped, it.job):
		case s.tryStart(it, r):
			continue
		default:
			skipped = append(skipped, it.job)
		}
		passed = append(passed, it)
	}
	for _, it := range passed {
		if !it.job.ended {
			s.queue.Push(it)
		}
	}
}

// tryStart starts a task if there is room, and if its job should be begun.
func (s *Scheduler) tryStart(it *item, r round) bool {
	t := s.choose(it, r)
	if t == nil || (!it.Begun() && !s.mayBegin(it, r)) {
		return false
	}
	s.start(it, t)
	return true
}

// mayBegin reports whether a job should take room now that others could use.
func (s *Scheduler) mayBegin(it *item, r round) bool {
	if it.Overdue() {
		return load.HasSpareCapacity(s.room(r))
	}
	missing := s.missing(it.job, s.queue.BegunCPU()+s.reserved(it.job, r), r)
	if missing <= 0 {
		return true
	}
	s.collectReleases(it.job.queue, r)
	wanted := s.contention.RequiredCPU(r.now, missing)
	return s.releases.Len() == 0 || s.releases.ShouldBegin(r.now, it.job.latestStart, wanted)
}

// reserved returns the processors that a job leaves free for more urgent queues.
func (s *Scheduler) reserved(j *job, r round) int64 {
	_, all := s.room(r)
	return s.reserve.ReservedCPU(j.queue.Priority, r.now, all, s.opts.Entries())
}

// missing returns how many processors a job needs to begin, behind tasks that need
// others before, beyond those that are free. It looks no further once nothing is
// missing.
func (s *Scheduler) missing(j *job, before int64, r round) int64 {
	first := j.firstCPU()
	missing := before + first
	var capacity int64
	for _, t := range s.targets {
		if !r.isEligible(t, j.queue) || t.probation {
			continue
		}
		capacity += t.info.Capacity.CPU
		missing -= wholeTasks(t.free().CPU, j.spec.Steps[0].Need.CPU)
		if missing <= 0 {
			return missing
		}
	}
	return missing - first + load.FirstWave(first, capacity)
}

// wholeTasks returns the part of the free processors of a target that tasks of one
// size can use.
func wholeTasks(free, size int64) int64 {
	size = max(size, 1)
	return max(free, 0) / size * size
}

// firstCPU returns the processors that the first steps of a job need at once.
func (j *job) firstCPU() int64 {
	var cpu int64
	for _, st := range j.spec.Steps {
		if len(st.After) == 0 {
			cpu += int64(st.Count) * st.Need.CPU
		}
	}
	return cpu
}

// collectReleases notes when the attempts in progress in the pool of a queue should end,
// once in a round.
func (s *Scheduler) collectReleases(q *policy.Queue, r round) {
	if s.releases.Len() > 0 && s.releasesPool == q.Pool {
		return
	}
	s.releases.Reset()
	s.releasesPool = q.Pool
	var own, used int64
	for _, t := range s.targets {
		if !r.isEligible(t, q) || t.probation {
			continue
		}
		used += t.info.Capacity.CPU - t.free().CPU
		for _, at := range t.attempts {
			cpu := at.item.step.Need.CPU
			own += cpu
			s.releases.Add(load.Release{At: at.began() + at.item.expected, CPU: cpu}, at.item.expected)
		}
	}
	s.releases.AddOthers(used - own)
}

func (s *Scheduler) wish(st *task.Step) load.Requirements {
	return load.Requirements{
		Need:         st.Need,
		Label:        st.Label,
		DataRack:     st.DataRack,
		MaxPerTarget: st.MaxPerTarget,
		DataCentre:   s.opts.DataCentre,
	}
}

// choose returns the best target for a task, or nil.
func (s *Scheduler) choose(it *item, r round) *target {
	wish := s.wish(it.step)
	var best *target
	bestScore := 0.0
	candidates := 0
	for _, t := range s.targets {
		if !r.isEligible(t, it.job.queue) || (r.trusted && t.probation && !(t.probe && it.mayProbe())) {
			continue
		}
		c := t.candidate()
		c.Avoid = t.name == it.avoid
		c.DelayedShare = s.delays.DelayedShare(c.DataCentre, r.now)
		if wish.MaxPerTarget > 0 {
			c.SameStepTasks = t.ofStep(it)
		}
		if !wish.Fits(&c) {
			continue
		}
		if score := wish.Score(&c) + placeJitter*s.opts.Random(); best == nil || score > bestScore {
			best, bestScore = t, score
		}
		if candidates++; candidates == maxCandidates {
			break
		}
	}
	return best
}

// mayProbe reports whether a task can be risked on a target in doubt: one more failure
// must not be its last.
func (it *item) mayProbe() bool { return it.failures == 0 && it.job.queue.MaxAttempts > 1 }

// room returns the processors free and in all at targets that can be used.
func (s *Scheduler) room(r round) (free, all int64) {
	for _, t := range s.targets {
		if t.usable(r.now) && !t.probation && !r.outages.Has(t.info.DataCentre) {
			free += max(t.free().CPU, 0)
			all += t.info.Capacity.CPU
		}
	}
	return free, all
}

// mostAreSound reports whether the judgement of targets can be relied on: when
// half of them are on probation, the cause is not theirs.
func (s *Scheduler) mostAreSound(now time.Duration) bool {
	sound, doubtful := 0, 0
	for _, t := range s.targets {
		switch {
		case !t.usable(now):
		case t.probation:
			doubtful++
		default:
			sound++
		}
	}
	return sound > doubtful
}

// progress moves a run that hangs or is too slow, if there is room elsewhere.
func (s *Scheduler) progress(t *target, p peer.Progress) {
	at := t.attempts[p.Attempt]
	if at == nil || at.stopping || at.item.job.ended {
		return
	}
	it := at.item
	now := s.now()
	remaining := load.Remaining(p.Percent, float64(p.Pace)/100, it.expected)
	slow := t.probation || it.job.forecast.Certain
	if it.moves >= maxMoves || !load.ShouldMove(now, it.job.objective, remaining, it.expected, slow) {
		return
	}
	it.avoid = t.name
	if other := s.choose(it, s.newRound()); other == nil || other == t {
		return
	}
	it.moves++
	s.opts.Counters.Retry(apiv1.Reason_REASON_STRAGGLER)
	s.opts.Log.Info().Str("job", it.key.Job).Stringer("task", it.key).Uint64("run", at.id.Run).Str("target", t.info.ID).
		Int("percent", p.Percent).Int("pace", p.Pace).Dur("after", now-at.sent).Dur("expected", it.expected).
		Dur("objective_in", it.job.objective-now).Msg("attempt moved")
	s.stopAttempt(at)
}

// isEligible reports whether a queue's tasks may be started on a target.
func (r round) isEligible(t *target, q *policy.Queue) bool {
	return t.usable(r.now) && t.info.Pool == q.Pool && !r.outages.Has(t.info.DataCentre)
}

// start sends the next attempt of a task to a target.
func (s *Scheduler) start(it *item, t *target) {
	now := s.now()
	it.run++
	it.job.disturbed = it.job.disturbed || it.run > 1
	at := &attempt{
		item:   it,
		id:     task.Attempt{Key: it.key, Run: it.run},
		target: t,
		sent:   now,
	}
	it.attempt = at
	it.job.live++
	if !it.job.begun {
		it.job.begun = true
		s.fixOrder(it.job)
	}
	s.drain.RecordStart(now, it.Work())
	s.opts.Counters.Counter("attempts_sent").Inc(1)
	s.opts.Log.Info().Str("job", it.key.Job).Stringer("task", it.key).Uint64("run", it.run).Str("target", t.info.ID).
		Int64("free_cpu", t.free().CPU).Dur("room_age", now-t.heard).Msg("attempt sent")
	t.begin(at)
	t.send(peer.Frame{Starts: []peer.Start{{
		Attempt:     at.id,
		Spec:        it.job.spec.Spec,
		Need:        it.step.Need,
		Incarnation: t.info.Incarnation,
		Expected:    it.expected,
	}}})
}

// fixOrder moves the waiting tasks of a job that has begun to the front.
func (s *Scheduler) fixOrder(j *job) {
	for i := range j.steps {
		for _, it := range j.steps[i].items {
			s.queue.Fix(it)
		}
	}
}
