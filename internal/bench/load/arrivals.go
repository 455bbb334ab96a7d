package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/workload"
)

// Mix of run times: most tasks lie between shortMin and shortMax on a
// logarithmic scale, and a few are long.
const (
	shortMin  = 50 * time.Millisecond
	shortMax  = time.Second
	longMin   = 2 * time.Second
	longMax   = 4 * time.Second
	longShare = 0.03
)

// Bursts: for burstLength out of each burstPeriod jobs arrive burstFactor times
// as fast; in between they arrive more slowly, so that the mean rate is kept.
const (
	burstPeriod = 4 * time.Second
	burstLength = time.Second
	burstFactor = 2.0
)

// arrival is one job of the run.
type arrival struct {
	at         time.Duration
	runs       []time.Duration
	longest    time.Duration
	entry      int
	repeatable bool
}

// newArrivals returns the jobs of a run in order of arrival: a Poisson process
// whose mean offers the given share of the fleet's slots.
func newArrivals(o Options, entries int) []arrival {
	random := rand.New(rand.NewPCG(uint64(o.Seed), 0))
	tasks := float64(o.Profile.MinTasks+o.Profile.MaxTasks) / 2
	jobSeconds := tasks * meanRun().Seconds()
	rate := o.Load * workload.Slots / jobSeconds
	var list []arrival
	var at time.Duration
	for {
		gap := random.ExpFloat64() / (rate * o.pace(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= o.For {
			return list
		}
		list = append(list, newArrival(o, random, at, entries))
	}
}

// pace returns the rate at a time as a multiple of the mean rate.
func (o Options) pace(at time.Duration) float64 {
	if !o.Bursts {
		return 1
	}
	if at%burstPeriod < burstLength {
		return burstFactor
	}
	share := float64(burstLength) / float64(burstPeriod)
	return (1 - burstFactor*share) / (1 - share)
}

func newArrival(o Options, random *rand.Rand, at time.Duration, entries int) arrival {
	a := arrival{at: at, entry: random.IntN(entries), repeatable: o.Repeatable}
	n := o.Profile.MinTasks + random.IntN(o.Profile.MaxTasks-o.Profile.MinTasks+1)
	for range n {
		d := newRun(random)
		a.runs = append(a.runs, d)
		a.longest = max(a.longest, d)
	}
	return a
}

func newRun(random *rand.Rand) time.Duration {
	if random.Float64() < longShare {
		return (longMin + time.Duration(random.Int64N(int64(longMax-longMin)))).Truncate(time.Millisecond)
	}
	scale := math.Pow(float64(shortMax)/float64(shortMin), random.Float64())
	return time.Duration(float64(shortMin) * scale).Truncate(time.Millisecond)
}

// meanRun returns the expected run time of a task.
func meanRun() time.Duration {
	short := float64(shortMax-shortMin) / math.Log(float64(shortMax)/float64(shortMin))
	long := float64(longMin+longMax) / 2
	return time.Duration((1-longShare)*short + longShare*long)
}
