package scheduler

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/process/load"
)

// missingCPU returns how much capacity a job lacks to begin, in thousandths of a core,
// if ahead is the capacity needed by tasks ahead of it. It stops early with a value of
// at most 0 as soon as nothing is missing.
func (s *Scheduler) missingCPU(j *job, ahead int64, r placementRound) int64 {
	first := j.initialCPU()
	missing := ahead + first
	var capacity int64
	for _, t := range s.targets {
		if !r.isEligible(t, j) || t.probation {
			continue
		}
		capacity += t.info.Capacity.CPU
		if s.unequalSpeeds && !j.overdue && r.now > j.latestStartOn(t) {
			continue
		}
		missing -= wholeTasks(t.free().CPU, j.spec.Steps[0].Need.CPU)
		if missing <= 0 {
			return missing
		}
	}
	return missing - first + load.FirstWave(first, capacity)
}

// wholeTasks returns the part of a target's free capacity that tasks of one size can
// use.
func wholeTasks(free, size int64) int64 {
	size = max(size, 1)
	return max(free, 0) / size * size
}

// initialCPU returns the capacity that the steps without dependencies need together.
func (j *job) initialCPU() int64 {
	var cpu int64
	for _, st := range j.spec.Steps {
		if len(st.After) == 0 {
			cpu += int64(st.Count) * st.Need.CPU
		}
	}
	return cpu
}

// collectReleases records the expected ends of the attempts in progress in the pool of
// a job's queue. It does so once per round and pool.
func (s *Scheduler) collectReleases(j *job, r placementRound) {
	if s.releases.Len() > 0 && s.releasesPool == j.queue.Pool && s.releasesApart == j.isApart() {
		return
	}
	s.releases.Reset()
	s.releasesPool, s.releasesApart = j.queue.Pool, j.isApart()
	var own, used int64
	for _, t := range s.targets {
		if !r.isEligible(t, j) || t.probation {
			continue
		}
		used += t.info.Capacity.CPU - t.free().CPU
		for _, at := range t.attempts {
			cpu := at.item.step.Need.CPU
			own += cpu
			run := at.item.expectedOn(t)
			s.releases.Add(load.Release{At: at.startTime() + run, CPU: cpu}, run)
		}
	}
	s.releases.AddOthers(used - own)
}

// usableCPU returns the free and the total capacity of all usable targets.
func (s *Scheduler) usableCPU(r placementRound) (free, all int64) {
	for _, t := range s.targets {
		if t.usable(r.now) && !t.setApart && !t.probation && !r.outages.Has(t.info.DataCentre) {
			free += max(t.free().CPU, 0)
			all += t.info.Capacity.CPU
		}
	}
	return free, all
}

// mostAreHealthy reports whether more of the usable targets are healthy than on probation.
// If half of them are on probation, the cause is not in the targets.
func (s *Scheduler) mostAreHealthy(now time.Duration) bool {
	healthy, onProbation := 0, 0
	for _, t := range s.targets {
		switch {
		case !t.usable(now):
		case t.probation:
			onProbation++
		default:
			healthy++
		}
	}
	return healthy > onProbation
}

// predictCapacity predicts how long the job's last task waits for capacity behind the
// work ahead of it in the queue. Without running tasks to predict from, it uses the
// drain rate.
func (s *Scheduler) predictCapacity(j *job, now time.Duration) capacityPrediction {
	work, cpu := s.queueOf(j).WorkAhead(j.queue.Priority, j.latestStart)
	r := s.newRound()
	p := capacityPrediction{missing: s.missingCPU(j, cpu+s.othersAhead(j, r), r)}
	if p.missing <= 0 {
		return p
	}
	s.releases.Reset()
	s.collectReleases(j, r)
	if s.releases.Len() == 0 {
		p.wait = s.drain.EstimateWait(now, work, s.shareOfCapacity())
		return p
	}
	at, ok := s.releases.FreeAt(now, s.contention.RequiredCPU(now, p.missing))
	if !ok {
		p.wait = s.drain.EstimateWait(now, s.queue.TotalWork(), s.shareOfCapacity())
		return p
	}
	p.wait = at - now
	return p
}

// othersAhead returns the thousandths of a core that waiting tasks of other entries need which are as
// urgent as a job or more so. In a burst these are most of the tasks that go before it, and without
// them the forecast of its wait is some tens of milliseconds while the capacity goes to others.
func (s *Scheduler) othersAhead(j *job, r placementRound) int64 {
	if !s.opts.LateAnswers || s.demandedTargets == 0 {
		return 0
	}
	var cpu int64
	for _, t := range s.targets {
		if r.isEligible(t, j) {
			cpu += t.othersDemand.UpTo(j.queue.Priority)
		}
	}
	return cpu
}

// shareOfCapacity returns the capacity of all targets in service, in thousandths of a
// core, divided by the number of entries that share them.
func (s *Scheduler) shareOfCapacity() int64 {
	var cpu int64
	for _, t := range s.targets {
		if t.info.Available && !t.setApart {
			cpu += t.info.Capacity.CPU
		}
	}
	return cpu / int64(max(s.opts.Entries(), 1))
}
