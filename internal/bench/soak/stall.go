package soak

import "time"

// stallTick is the time between two ticks of a stallMeter.
const stallTick = 10 * time.Millisecond

// stallMeter measures for how long the soak's own process stood still, which runs the store
// and the targets. A finding beside a long stall may come from a starved machine.
type stallMeter struct {
	stop, done chan struct{}
	last       time.Time // of the latest tick
	longest    time.Duration
	sum        time.Duration
}

func startStallMeter() *stallMeter {
	m := &stallMeter{stop: make(chan struct{}), done: make(chan struct{}), last: time.Now()}
	go m.run()
	return m
}

func (m *stallMeter) run() {
	defer close(m.done)
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
			m.record(time.Now())
		}
	}
}

// record records a tick at the time now. What it comes later than stallTick after the one
// before is a stall; a delay of less than another stallTick is none.
func (m *stallMeter) record(now time.Time) {
	if late := now.Sub(m.last) - stallTick; late >= stallTick {
		m.longest = max(m.longest, late)
		m.sum += late
	}
	m.last = now
}

// end stops the meter and returns the longest stall and the sum of all.
func (m *stallMeter) end() (longest, sum time.Duration) {
	close(m.stop)
	<-m.done
	m.record(time.Now())
	return m.longest, m.sum
}
