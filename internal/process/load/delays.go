package load

import (
	"math"
	"time"
)

const (
	// slowConfirmation is the time above which the confirmation of a start has been
	// held up on its way: a lost packet is sent again after 200 ms, while a loaded
	// machine answers within some 20 ms.
	slowConfirmation = 60 * time.Millisecond
	// delayWeight is the weight of one start in the share of those held up.
	delayWeight = 0.05
	// delayHalfLife is how fast that share is forgotten, so that a way that is
	// avoided is tried again.
	delayHalfLife = time.Second
	// delayIgnored is the share that is taken for chance.
	delayIgnored = 0.08
)

// Delays measures by destination which share of the starts is held up on the way. It
// answers links that lose packets: where one in five starts is 200 ms late, a job of
// eight tasks is late five times out of six.
type Delays struct {
	shares map[string]delayShare
}

type delayShare struct {
	value float64
	at    time.Duration
}

// NewDelays returns one that has seen nothing.
func NewDelays() *Delays { return &Delays{shares: make(map[string]delayShare)} }

// Observe notes how long the confirmation of a start at a destination has taken.
func (d *Delays) Observe(destination string, now, took time.Duration) {
	share := d.faded(destination, now)
	slow := 0.0
	if took > slowConfirmation {
		slow = 1
	}
	d.shares[destination] = delayShare{value: share + delayWeight*(slow-share), at: now}
}

// Share returns the share of the starts at a destination that are held up.
func (d *Delays) Share(destination string, now time.Duration) float64 {
	if share := d.faded(destination, now); share > delayIgnored {
		return share
	}
	return 0
}

func (d *Delays) faded(destination string, now time.Duration) float64 {
	share := d.shares[destination]
	if share.value == 0 {
		return 0
	}
	return share.value * math.Exp2(-float64(now-share.at)/float64(delayHalfLife))
}
