package scheduler

import (
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// minDemandInterval and demandIntervalPerTarget limit how often the demand is computed and,
// if it has changed, sent to each agent in a frame of its own: an entry sends at most one
// frame in demandIntervalPerTarget for it, however many agents it is linked with.
const (
	minDemandInterval       = 10 * time.Millisecond
	demandIntervalPerTarget = 250 * time.Microsecond
)

// updateDemand computes what the waiting tasks need of each target, and sends it to the
// agents for which it has changed.
func (s *Scheduler) updateDemand() {
	if s.queue.Len() == 0 && !s.demandUnsent {
		return
	}
	now := s.now()
	if now-s.demandUpdatedAt < max(minDemandInterval, time.Duration(len(s.targets))*demandIntervalPerTarget) {
		s.demandUnsent = true
		return
	}
	s.demandUpdatedAt = now
	demands := s.demandByPool()
	s.demandUnsent = len(demands) > 0
	r := s.newRound()
	capacity := make(map[string]int64, len(demands))
	for _, t := range s.targets {
		if r.isInService(t) {
			capacity[t.info.Pool] += t.info.Capacity.CPU
		}
	}
	for _, t := range s.targets {
		t.demand = nil
		if r.isInService(t) {
			t.demand = demands[t.info.Pool].Share(t.info.Capacity.CPU, capacity[t.info.Pool])
		}
		if t.link != nil && !slices.Equal(t.demand, t.sentDemand) {
			s.demandUnsent = true
			t.lastSentAt = now
			t.send(peer.Frame{})
		}
	}
}

// demandByPool returns what the waiting tasks need of each pool. Tasks that only some
// targets can run do not count: capacity that is left free elsewhere would not help them.
func (s *Scheduler) demandByPool() map[string]task.Demand {
	demands := make(map[string]task.Demand)
	s.queue.All(func(it *item) {
		if !it.Overdue() && it.step.RunsAnywhere() {
			pool := it.job.queue.Pool
			demands[pool] = demands[pool].Add(it.Priority(), it.CPU())
		}
	})
	return demands
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

// mustYield reports whether a task leaves the free capacity to tasks of the pool's most
// urgent queue at other entries.
func (s *Scheduler) mustYield(it *item, r placementRound) bool {
	if s.demandedTargets == 0 || it.Begun() {
		return false
	}
	p := s.contended(it.job, r)
	if it.Priority() <= p.topPriority || !load.MustYield(p.free, p.urgent, it.CPU()) {
		return false
	}
	s.logYield(it.job, p.free, p.urgent)
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

// contendedPool is the free capacity of the healthy targets of a pool, and what the waiting
// tasks of its most urgent queue need of them at other entries, in thousandths of a core. It
// is valid for the current round of placement.
type contendedPool struct {
	known, apart bool
	name         string
	topPriority  int
	free, urgent int64
}

// contended returns the state of the pool of a job's queue. It is computed once per round and pool.
func (s *Scheduler) contended(j *job, r placementRound) *contendedPool {
	p, q := &s.contendedPool, j.queue
	if p.known && p.name == q.Pool && p.apart == j.isApart() {
		return p
	}
	*p = contendedPool{known: true, name: q.Pool, apart: j.isApart(), topPriority: s.topPriority(q.Pool).Priority()}
	for _, t := range s.targets {
		if !r.isEligible(t, j) || t.probation {
			continue
		}
		p.free += max(t.free().CPU, 0)
		p.urgent += t.othersDemand.UpTo(p.topPriority)
	}
	return p
}

// topPriority returns the tracker of the most urgent priority of a pool.
func (s *Scheduler) topPriority(pool string) *load.TopPriority {
	top := s.topPriorities[pool]
	if top == nil {
		top = &load.TopPriority{}
		s.topPriorities[pool] = top
	}
	return top
}
