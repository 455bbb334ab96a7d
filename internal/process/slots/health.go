package slots

import (
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

const (
	// ejectBase is how long a target stays ejected the first time. Each further
	// ejection doubles the time, up to ejectMax.
	ejectBase = 2 * time.Second
	ejectMax  = 30 * time.Second
	// nonRepeatableProbeFactor is the multiple of the ejection time after which tasks
	// that are not repeatable may be sent to the target as a probe too.
	nonRepeatableProbeFactor = 3
	// probeTimeout is how long the broker waits for the outcome of a probe.
	probeTimeout = 3 * time.Second
)

type phase int

const (
	healthy phase = iota
	ejected
	probing
)

// health holds the outlier statistics of one target and its ejection state.
type health struct {
	phase        phase
	ejections    int
	ejectedAt    time.Time
	ejectedUntil time.Time
	probedAt     time.Time
	// Exponentially decayed sums: ended attempts, failed attempts, busy slot-seconds.
	ended, failed, busy float64
}

// addReport adds the difference between two consecutive reports of an agent.
func (h *health) addReport(previous, current *peerv1.Load) {
	if previous == nil || current.GetEnded() < previous.GetEnded() || current.GetBusyMs() < previous.GetBusyMs() {
		return
	}
	h.ended += float64(current.GetEnded() - previous.GetEnded())
	h.failed += float64(current.GetFailed() - previous.GetFailed())
	h.busy += float64(current.GetBusyMs()-previous.GetBusyMs()) / 1000
}

func (h *health) decay(factor float64) {
	h.ended *= factor
	h.failed *= factor
	h.busy *= factor
}

// grantLimit returns how many of the available slots may be granted.
func (h *health) grantLimit(available int) int {
	switch {
	case h.phase == healthy:
		return available
	case h.phase == probing && h.probedAt.IsZero():
		return min(available, 1)
	default:
		return 0
	}
}

// accepts reports whether a task may be sent to the target.
func (h *health) accepts(repeatable bool, now time.Time) bool {
	if h.phase == healthy || repeatable {
		return true
	}
	return now.Sub(h.ejectedAt) >= nonRepeatableProbeFactor*h.ejectedUntil.Sub(h.ejectedAt)
}

// recordProbe records that the slot for a probe was granted.
func (h *health) recordProbe(now time.Time) {
	if h.phase == probing {
		h.probedAt = now
	}
}

func (h *health) eject(now time.Time) {
	d := min(ejectMax, ejectBase<<min(h.ejections, 4))
	h.ejections++
	h.phase, h.ejectedAt, h.ejectedUntil = ejected, now, now.Add(d)
}

func (h *health) startProbing() {
	h.phase, h.probedAt = probing, time.Time{}
	h.ended, h.failed, h.busy = 0, 0, 0
}

func (h *health) readmit() {
	h.phase = healthy
	h.ended, h.failed, h.busy = 0, 0, 0
}
