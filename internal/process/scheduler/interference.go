package scheduler

import (
	"math"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
)

// interferenceUpdateInterval is the time between updates of the pairs that are kept apart.
const interferenceUpdateInterval = time.Second

// receiveInterference records the estimates of an agent.
func (s *Scheduler) receiveInterference(t *target, i *peer.Interference) {
	if !s.opts.Interference || i == nil {
		return
	}
	list := make([]load.PairEstimate, 0, len(i.Pairs))
	for _, p := range i.Pairs {
		list = append(list, load.PairEstimate{Pair: load.Pair{Queue: p.Queue, Beside: p.Beside}, Effect: p.Effect, Error: p.Error})
	}
	s.interference.Record(t.name, s.now(), list)
}

// sweepInterference learns and forgets pairs of queues whose tasks slow each other down.
func (s *Scheduler) sweepInterference(now time.Duration) {
	if !s.opts.Interference || now-s.interferenceUpdatedAt < interferenceUpdateInterval {
		return
	}
	s.interferenceUpdatedAt = now
	for _, c := range s.interference.Update(now) {
		message := "interference forgotten"
		if c.Learned {
			message = "interference learned"
			s.opts.Counters.Counter("interference_learned").Inc(1)
		} else {
			s.opts.Counters.Counter("interference_forgotten").Inc(1)
		}
		s.opts.Log.Info().Str("queue", c.Queue).Str("beside", c.Beside).Float64("slowdown", math.Exp(c.Effect)).
			Float64("relative_error", c.Error).Int("targets", c.Targets).Msg(message)
	}
}
