package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
)

const (
	// startRateWindow is the time constant of the measured rates.
	startRateWindow = 10 * time.Second
	// minRecordTime is the time that starts must have been recorded before the rates are known.
	minRecordTime = 2 * time.Second
	// droppedStartRate is the rate, in jobs per second, below which a queue is forgotten.
	droppedStartRate = 0.001
)

// StartRates measures how often jobs of each queue begin on a target. Its times are durations
// since the start of the process.
type StartRates struct {
	byQueue map[string]*startCount
	// first is when the first start was recorded.
	first time.Duration
}

// startCount is a number of starts that decays with startRateWindow.
type startCount struct {
	count float64
	at    time.Duration
}

// Record records that a job of a queue begins on the target.
func (s *StartRates) Record(now time.Duration, queue string) {
	if s.byQueue == nil {
		s.byQueue, s.first = make(map[string]*startCount), now
	}
	c := s.byQueue[queue]
	if c == nil {
		c = &startCount{at: now}
		s.byQueue[queue] = c
	}
	c.count = c.count*decay(now-c.at) + 1
	c.at = now
}

// Rates returns the rates of the queues with the most starts, or nil if starts have not been
// recorded for long enough.
func (s *StartRates) Rates(now time.Duration) []crash.QueueRate {
	if s.byQueue == nil || now-s.first < minRecordTime {
		return nil
	}
	observed := startRateWindow.Seconds() * (1 - decay(now-s.first))
	var rates []crash.QueueRate
	for queue, c := range s.byQueue {
		perSecond := c.count * decay(now-c.at) / observed
		if perSecond < droppedStartRate {
			delete(s.byQueue, queue)
			continue
		}
		rates = append(rates, crash.QueueRate{Queue: queue, PerSecond: perSecond})
	}
	slices.SortFunc(rates, func(a, b crash.QueueRate) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Queue, b.Queue))
	})
	return rates[:min(len(rates), crash.MaxRates)]
}

func decay(age time.Duration) float64 { return math.Exp(-age.Seconds() / startRateWindow.Seconds()) }
