package load

import (
	"math"
	"time"
)

const (
	// slowConfirmation is the time above which the confirmation of a start counts as
	// delayed in the network: a lost packet is retransmitted after 200 ms, while a
	// loaded machine answers within some 20 ms.
	slowConfirmation = 60 * time.Millisecond
	// delayWeight is the weight of one start in the moving average of delayed starts.
	delayWeight = 0.05
	// delayHalfLife is the half-life of that average. The decay makes an avoided
	// destination eligible again.
	delayHalfLife = time.Second
	// minDelayedShare is the share below which delays are treated as random.
	minDelayedShare = 0.08
)

// StartDelays measures, for each destination, the share of starts that are delayed in
// the network. It addresses links that lose packets: where one in five starts is 200 ms
// late, a job of eight tasks is late five times out of six.
type StartDelays struct {
	shares map[string]delayShare
}

type delayShare struct {
	value float64
	at    time.Duration
}

// NewStartDelays returns a StartDelays without observations.
func NewStartDelays() *StartDelays { return &StartDelays{shares: make(map[string]delayShare)} }

// Observe records how long a destination took to confirm a start.
func (d *StartDelays) Observe(destination string, now, took time.Duration) {
	share := d.decayed(destination, now)
	slow := 0.0
	if took > slowConfirmation {
		slow = 1
	}
	d.shares[destination] = delayShare{value: share + delayWeight*(slow-share), at: now}
}

// DelayedShare returns the share of delayed starts at a destination, or 0 if it is
// below minDelayedShare.
func (d *StartDelays) DelayedShare(destination string, now time.Duration) float64 {
	if share := d.decayed(destination, now); share > minDelayedShare {
		return share
	}
	return 0
}

func (d *StartDelays) decayed(destination string, now time.Duration) float64 {
	share := d.shares[destination]
	if share.value == 0 {
		return 0
	}
	return share.value * math.Exp2(-float64(now-share.at)/float64(delayHalfLife))
}
