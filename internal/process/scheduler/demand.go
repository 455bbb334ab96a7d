package scheduler

import (
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// demandInterval limits how often a changed demand is sent to an agent in a frame of its
// own.
const demandInterval = 10 * time.Millisecond

// poolDemand is what the waiting tasks of this entry need of one pool.
type poolDemand struct {
	demand task.Demand
	// capacity is that of all targets of the pool.
	capacity int64
}

// updateDemand computes the demand by pool, and sends it to the agents if it has changed.
func (s *Scheduler) updateDemand() {
	now := s.now()
	demands := make(map[string]*poolDemand)
	s.queue.All(func(it *item) {
		if it.Overdue() {
			return
		}
		pool := it.job.queue.Pool
		if demands[pool] == nil {
			demands[pool] = &poolDemand{}
		}
		demands[pool].demand = demands[pool].demand.Add(it.Priority(), it.CPU())
	})
	if len(demands) == 0 && !s.demandUnsent {
		return
	}
	for _, t := range s.targets {
		if d := demands[t.info.Pool]; d != nil && t.usable(now) {
			d.capacity += t.info.Capacity.CPU
		}
	}
	s.demands, s.demandUnsent = demands, len(demands) > 0
	for _, t := range s.targets {
		if t.link == nil || slices.Equal(t.sentDemand, s.demandFor(t)) {
			continue
		}
		s.demandUnsent = true
		if now-t.lastSentAt >= demandInterval {
			t.lastSentAt = now
			t.send(peer.Frame{})
		}
	}
}

// demandFor returns what this entry's waiting tasks need of a target.
func (s *Scheduler) demandFor(t *target) task.Demand {
	d := s.demands[t.info.Pool]
	if d == nil {
		return nil
	}
	return d.demand.Share(t.info.Capacity.CPU, d.capacity)
}

// updateOthersDemand records what the waiting tasks of other entries need of a target.
func (s *Scheduler) updateOthersDemand(t *target, demand task.Demand) {
	if len(t.othersDemand) > 0 {
		s.demandedTargets--
	}
	t.othersDemand = demand
	if len(demand) > 0 {
		s.demandedTargets++
	}
}

// mustYield reports whether a task leaves the free capacity to more urgent tasks of other
// entries.
func (s *Scheduler) mustYield(it *item, r placementRound) bool {
	if it.Begun() {
		return false
	}
	urgent := s.urgentElsewhere(it.job, r)
	if urgent == 0 {
		return false
	}
	free := s.poolFreeCPU(it.job, r)
	if !load.MustYield(free, urgent, it.CPU()) {
		return false
	}
	s.logYield(it.job, free, urgent)
	return true
}

// logYield logs and counts the first time that a job yields.
func (s *Scheduler) logYield(j *job, free, urgent int64) {
	if j.yielded {
		return
	}
	j.yielded = true
	s.opts.Counters.Counter("jobs_yielded").Inc(1)
	s.opts.Log.Info().Str("job", j.spec.ID).Int("priority", j.queue.Priority).Int64("free_cpu", free).
		Int64("urgent_elsewhere_cpu", urgent).Msg("job yields")
}

// poolFreeCPU returns the free capacity of the healthy targets of a job's pool.
func (s *Scheduler) poolFreeCPU(j *job, r placementRound) int64 {
	var free int64
	for _, t := range s.targets {
		if r.isEligible(t, j.queue) && !t.probation {
			free += max(t.free().CPU, 0)
		}
	}
	return free
}

// urgentElsewhere returns the capacity that more urgent tasks of other entries need.
func (s *Scheduler) urgentElsewhere(j *job, r placementRound) int64 {
	if s.demandedTargets == 0 {
		return 0
	}
	var urgent int64
	for _, t := range s.targets {
		if r.isEligible(t, j.queue) && !t.probation {
			urgent += t.othersDemand.Before(j.queue.Priority)
		}
	}
	return urgent
}
