package slots

import (
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

const (
	// ejectBase is how long a target stays ejected the first time; each time
	// in a row doubles it, up to ejectMax.
	ejectBase = 2 * time.Second
	ejectMax  = 30 * time.Second
	// cautiousFactor is the multiple of the time ejected after which tasks that
	// may not be repeated may probe the target too.
	cautiousFactor = 3
	// probeTimeout is how long the outcome of a probe is awaited.
	probeTimeout = 3 * time.Second
)

type phase int

const (
	healthy phase = iota
	ejected
	probing
)

// health is the evidence on one target, and what was decided on it.
type health struct {
	phase    phase
	times    int
	since    time.Time
	until    time.Time
	probedAt time.Time
	// Decayed sums: attempts ended, those that failed, and busy slot-seconds.
	ended, failed, busy float64
}

// observe adds the difference of two reports of an agent.
func (h *health) observe(before, now *peerv1.Load) {
	if before == nil || now.GetEnded() < before.GetEnded() || now.GetBusyMs() < before.GetBusyMs() {
		return
	}
	h.ended += float64(now.GetEnded() - before.GetEnded())
	h.failed += float64(now.GetFailed() - before.GetFailed())
	h.busy += float64(now.GetBusyMs()-before.GetBusyMs()) / 1000
}

func (h *health) decay(factor float64) {
	h.ended *= factor
	h.failed *= factor
	h.busy *= factor
}

// limit returns how many of the available slots may be lent.
func (h *health) limit(available int) int {
	switch {
	case h.phase == healthy:
		return available
	case h.phase == probing && h.probedAt.IsZero():
		return min(available, 1)
	default:
		return 0
	}
}

// accepts reports whether a task may go to the target.
func (h *health) accepts(repeatable bool, now time.Time) bool {
	if h.phase == healthy || repeatable {
		return true
	}
	return now.Sub(h.since) >= cautiousFactor*h.until.Sub(h.since)
}

// probed records that a probe was lent.
func (h *health) probed(now time.Time) {
	if h.phase == probing {
		h.probedAt = now
	}
}

func (h *health) eject(now time.Time) {
	d := min(ejectMax, ejectBase<<min(h.times, 4))
	h.times++
	h.phase, h.since, h.until = ejected, now, now.Add(d)
}

func (h *health) probe() {
	h.phase, h.probedAt = probing, time.Time{}
	h.ended, h.failed, h.busy = 0, 0, 0
}

func (h *health) readmit() {
	h.phase = healthy
	h.ended, h.failed, h.busy = 0, 0, 0
}
