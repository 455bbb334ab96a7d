package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/workload"
)

// Run times of tasks: most are log-uniform between minShortRun and maxShortRun, and a
// share of longTaskShare is uniform between minLongRun and maxLongRun.
const (
	minShortRun   = 50 * time.Millisecond
	maxShortRun   = time.Second
	minLongRun    = 2 * time.Second
	maxLongRun    = 4 * time.Second
	longTaskShare = 0.03
)

// Bursts: for the first burstLength of each burstPeriod the arrival rate is burstFactor
// times the mean; for the rest it is lower, so that the mean rate is kept.
const (
	burstPeriod = 4 * time.Second
	burstLength = time.Second
	burstFactor = 2.0
)

// arrival is one job of the run.
type arrival struct {
	// offset is the time from the start of the run.
	offset     time.Duration
	runTimes   []time.Duration
	longest    time.Duration
	entryIndex int
	repeatable bool
}

// newArrivals returns the jobs of a run in order of arrival. Arrivals are a Poisson
// process whose mean rate offers work for a share of o.Load of all slots.
func newArrivals(o Options, entries int) []arrival {
	random := rand.New(rand.NewPCG(uint64(o.Seed), 0))
	tasks := float64(o.Profile.MinTasks+o.Profile.MaxTasks) / 2
	jobSeconds := tasks * meanRunTime().Seconds()
	rate := o.Load * workload.TotalSlots / jobSeconds
	var list []arrival
	var at time.Duration
	for {
		gap := random.ExpFloat64() / (rate * o.rateFactor(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= o.Duration {
			return list
		}
		list = append(list, newArrival(o, random, at, entries))
	}
}

// rateFactor returns the arrival rate at an offset as a multiple of the mean rate.
func (o Options) rateFactor(at time.Duration) float64 {
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
	a := arrival{offset: at, entryIndex: random.IntN(entries), repeatable: o.Repeatable}
	n := o.Profile.MinTasks + random.IntN(o.Profile.MaxTasks-o.Profile.MinTasks+1)
	for range n {
		d := newRunTime(random)
		a.runTimes = append(a.runTimes, d)
		a.longest = max(a.longest, d)
	}
	return a
}

func newRunTime(random *rand.Rand) time.Duration {
	if random.Float64() < longTaskShare {
		return (minLongRun + time.Duration(random.Int64N(int64(maxLongRun-minLongRun)))).Truncate(time.Millisecond)
	}
	scale := math.Pow(float64(maxShortRun)/float64(minShortRun), random.Float64())
	return time.Duration(float64(minShortRun) * scale).Truncate(time.Millisecond)
}

// meanRunTime returns the expected value of newRunTime.
func meanRunTime() time.Duration {
	short := float64(maxShortRun-minShortRun) / math.Log(float64(maxShortRun)/float64(minShortRun))
	long := float64(minLongRun+maxLongRun) / 2
	return time.Duration((1-longTaskShare)*short + longTaskShare*long)
}
