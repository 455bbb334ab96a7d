package slots

import (
	"math"
	"sort"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
)

const (
	// evaluationInterval is the time between two evaluations of all targets.
	evaluationInterval = 200 * time.Millisecond
	// halfLife is the time in which the statistics decay to half.
	halfLife = 500 * time.Millisecond
	// maxEjectedShare limits the share of targets ejected at once. One target may
	// always be ejected unless it is the only one.
	maxEjectedShare = 0.2
	// minFailures is the smallest decayed number of failures for an ejection.
	minFailures = 3
	// minPeerEnded is the smallest number of attempts ended at the peers for a
	// comparison of failure shares.
	minPeerEnded = 10
	// failureMargin is how much a target's failure share must exceed that of its peers
	// for an ejection.
	failureMargin = 0.4
	// minExpectedEnded is the smallest number of attempts that the peers would have
	// ended in the same busy time for the ejection of a slow target.
	minExpectedEnded = 10
	// slowShare is the share of the expected number of ended attempts below which a
	// target is too slow.
	slowShare = 0.15
	// recoveredShare is the share of the expected number from which a probed target is
	// readmitted.
	recoveredShare = 0.5
)

// outliers holds the ejected targets and the counters of ejections.
type outliers struct {
	ejections    gometrics.Counter
	readmissions gometrics.Counter
	capped       gometrics.Counter
	ejected      []string
}

func newOutliers(c *metrics.Counters) outliers {
	return outliers{
		ejections:    c.Counter("targets_ejected"),
		readmissions: c.Counter("targets_readmitted"),
		capped:       c.Counter("targets_ejection_capped"),
	}
}

func (o *outliers) names() []string { return o.ejected }

// evaluate compares each target with its peers and decides whether it is ejected, probed
// or readmitted.
func (b *Broker) evaluate(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	factor := math.Exp2(-evaluationInterval.Seconds() / halfLife.Seconds())
	for _, t := range b.targets {
		t.health.decay(factor)
	}
	all, count := b.totals(now)
	for _, t := range b.targets {
		if t.brokered {
			b.evaluateTarget(t, all, count, now)
			b.updateIndex(t)
		}
	}
	b.updateEjected()
	b.serve()
}

// totals returns the summed statistics of all healthy targets, and the number of targets
// whose slots this broker grants.
func (b *Broker) totals(now time.Time) (all health, count int) {
	for _, t := range b.targets {
		if !t.brokered {
			continue
		}
		count++
		if t.health.phase == healthy {
			all.add(t.healthAt(now))
		}
	}
	return all, count
}

func (h *health) add(other health) {
	h.ended += other.ended
	h.failed += other.failed
	h.busy += other.busy
}

// healthAt returns the statistics of a target up to now, on the assumption that the
// slots that were busy at the last report have stayed busy since, for at most two
// half-lives.
func (t *target) healthAt(now time.Time) health {
	h := t.health
	since := min(now.Sub(t.lastLoadAt), 2*halfLife).Seconds()
	h.busy += since * float64(int(t.info.GetSlots())-t.free)
	return h
}

func (b *Broker) evaluateTarget(t *target, all health, count int, now time.Time) {
	h := t.healthAt(now)
	peers := health{ended: all.ended - h.ended, failed: all.failed - h.failed, busy: all.busy - h.busy}
	switch t.health.phase {
	case healthy:
		if !h.isFailing(peers) && !h.isSlow(peers) {
			return
		}
		if !b.canEject(count) {
			b.outliers.capped.Inc(1)
			return
		}
		t.health.eject(now)
		b.outliers.ejections.Inc(1)
		b.outliers.ejected = append(b.outliers.ejected, t.info.GetName())
	case ejected:
		if !now.Before(t.health.ejectedUntil) {
			t.health.startProbing()
		}
	case probing:
		b.evaluateProbe(t, h, all, now)
	}
}

// evaluateProbe ejects a target again or readmits it after its probe.
func (b *Broker) evaluateProbe(t *target, h, peers health, now time.Time) {
	probed := t.health.probedAt
	switch {
	case probed.IsZero():
	// A failed probe counts as one failure, which decays by one evaluation interval before it
	// is compared here.
	case h.failed >= 1-failureMargin || now.Sub(probed) > probeTimeout:
		t.health.eject(now)
		b.outliers.ejections.Inc(1)
	case h.ended > 0 && h.ended >= recoveredShare*peers.expected(h.busy):
		t.health.readmit()
		b.outliers.readmissions.Inc(1)
	}
}

// expected returns how many attempts would have ended in the given busy time at this
// rate.
func (h health) expected(busy float64) float64 {
	if h.busy <= 0 {
		return 0
	}
	return h.ended / h.busy * busy
}

func (h health) failureShare() float64 { return h.failed / max(1, h.ended) }

// isFailing reports whether a target's failure share is too far above that of its peers.
func (h health) isFailing(peers health) bool {
	return h.failed >= minFailures && peers.ended >= minPeerEnded && h.failureShare() > peers.failureShare()+failureMargin
}

// isSlow reports whether a target ends far fewer attempts than its peers in the same
// busy time. A target that hangs ends none.
func (h health) isSlow(peers health) bool {
	expected := peers.expected(h.busy)
	return expected >= minExpectedEnded && h.ended < slowShare*expected
}

func (b *Broker) canEject(count int) bool {
	limit := max(1, int(maxEjectedShare*float64(count)))
	out := 0
	for _, t := range b.targets {
		if t.health.phase != healthy {
			out++
		}
	}
	return out < limit && count > 1
}

func (b *Broker) updateEjected() {
	var list []string
	for name, t := range b.targets {
		if t.health.phase != healthy {
			list = append(list, name)
		}
	}
	sort.Strings(list)
	b.outliers.ejected = list
}
