package slots

import (
	"math"
	"sort"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
)

const (
	// judgeInterval is the time between two judgements of all targets.
	judgeInterval = 200 * time.Millisecond
	// halfLife is the time after which evidence counts half.
	halfLife = 500 * time.Millisecond
	// maxEjectedShare bounds the targets ejected at once; one always may be.
	maxEjectedShare = 0.2
	// minFailures is the least number of failures, decayed, to eject on.
	minFailures = 3
	// minPeerEnds is the least number of attempts that ended at the peers, to
	// compare with.
	minPeerEnds = 10
	// failureMargin is how far a target's share of failures must lie above that
	// of its peers.
	failureMargin = 0.4
	// minExpected is the least number of ends that peers would have had in the
	// same busy time, to eject a slow target on.
	minExpected = 10
	// slowShare is the share of that number below which a target is too slow.
	slowShare = 0.15
	// recoveredShare is the same for a target that was probed to come back.
	recoveredShare = 0.5
)

// outliers counts and lists the ejected targets.
type outliers struct {
	ejections    gometrics.Counter
	readmissions gometrics.Counter
	capped       gometrics.Counter
	list         []string
}

func newOutliers(c *metrics.Counters) outliers {
	return outliers{
		ejections:    c.Counter("targets_ejected"),
		readmissions: c.Counter("targets_readmitted"),
		capped:       c.Counter("targets_ejection_capped"),
	}
}

func (o *outliers) names() []string { return o.list }

// judge decides for each target, on evidence against its peers, whether it is
// ejected, probed or readmitted.
func (b *Broker) judge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	factor := math.Exp2(-judgeInterval.Seconds() / halfLife.Seconds())
	for _, a := range b.targets {
		a.health.decay(factor)
	}
	all, count := b.totals(now)
	for _, a := range b.targets {
		if a.mine {
			b.judgeOne(a, all, count, now)
			b.place(a)
		}
	}
	b.listEjected()
	b.serve()
}

// totals returns the evidence on all healthy targets together, and the number
// of targets whose slots this broker lends.
func (b *Broker) totals(now time.Time) (all health, count int) {
	for _, a := range b.targets {
		if !a.mine {
			continue
		}
		count++
		if a.health.phase == healthy {
			all.add(a.evidence(now))
		}
	}
	return all, count
}

func (h *health) add(e health) {
	h.ended += e.ended
	h.failed += e.failed
	h.busy += e.busy
}

// evidence returns the health of a target up to now: slots that were busy at
// the last report have stayed busy since.
func (a *account) evidence(now time.Time) health {
	h := a.health
	since := min(now.Sub(a.lastAt), 2*halfLife).Seconds()
	h.busy += since * float64(int(a.info.GetSlots())-a.free)
	return h
}

func (b *Broker) judgeOne(a *account, all health, count int, now time.Time) {
	h := a.evidence(now)
	peers := health{ended: all.ended - h.ended, failed: all.failed - h.failed, busy: all.busy - h.busy}
	switch a.health.phase {
	case healthy:
		if !h.isFailing(peers) && !h.isSlow(peers) {
			return
		}
		if !b.mayEject(count) {
			b.outliers.capped.Inc(1)
			return
		}
		a.health.eject(now)
		b.outliers.ejections.Inc(1)
		b.outliers.list = append(b.outliers.list, a.info.GetName())
	case ejected:
		if !now.Before(a.health.until) {
			a.health.probe()
		}
	case probing:
		b.judgeProbe(a, h, all, now)
	}
}

// judgeProbe decides on a target after its probe.
func (b *Broker) judgeProbe(a *account, h, peers health, now time.Time) {
	probed := a.health.probedAt
	switch {
	case probed.IsZero():
	case h.failed >= 1-failureMargin || now.Sub(probed) > probeTimeout:
		a.health.eject(now)
		b.outliers.ejections.Inc(1)
	case h.ended > 0 && h.ended >= recoveredShare*peers.expected(h.busy):
		a.health.readmit()
		b.outliers.readmissions.Inc(1)
	}
}

// expected returns how many attempts would have ended at this pace in a busy
// time.
func (h health) expected(busy float64) float64 {
	if h.busy <= 0 {
		return 0
	}
	return h.ended / h.busy * busy
}

func (h health) failureShare() float64 { return h.failed / max(1, h.ended) }

// isFailing reports whether a target fails more of what it starts than its
// peers do.
func (h health) isFailing(peers health) bool {
	return h.failed >= minFailures && peers.ended >= minPeerEnds && h.failureShare() > peers.failureShare()+failureMargin
}

// isSlow reports whether a target ends far fewer attempts than its peers do in
// the same busy time. One that hangs ends none.
func (h health) isSlow(peers health) bool {
	expected := peers.expected(h.busy)
	return expected >= minExpected && h.ended < slowShare*expected
}

func (b *Broker) mayEject(count int) bool {
	limit := max(1, int(maxEjectedShare*float64(count)))
	out := 0
	for _, a := range b.targets {
		if a.health.phase != healthy {
			out++
		}
	}
	return out < limit && count > 1
}

func (b *Broker) listEjected() {
	var list []string
	for name, a := range b.targets {
		if a.health.phase != healthy {
			list = append(list, name)
		}
	}
	sort.Strings(list)
	b.outliers.list = list
}
