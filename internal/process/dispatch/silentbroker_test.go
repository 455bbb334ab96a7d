package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// stalledSlots stands for a broker in another process that does not answer until a time.
type stalledSlots struct {
	localSlots
	until time.Time
}

func (stalledSlots) TryAcquire(uint64, *peerv1.AcquireSlots) *peerv1.AcquiredSlots { return nil }

func (s stalledSlots) Acquire(ctx context.Context, broker uint64, req *peerv1.AcquireSlots) (*peerv1.AcquiredSlots, error) {
	if time.Now().Before(s.until) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.localSlots.Acquire(ctx, broker, req)
}

// A broker that stood still for a moment was not asked for 2 s: all entries placed their tasks
// without it, on targets whose slots it had granted to others, which refused them as full.
func TestBrokerIsAskedAgainSoonAfterShortSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(1)
		timeout := acquireWait + acquireGrace
		fx.opts.Slots = stalledSlots{fx.opts.Slots.(localSlots), time.Now().Add(timeout)}
		fx.submit(t, fx.task(false))
		time.Sleep(timeout + 300*time.Millisecond)
		fx.submit(t, fx.task(false))
		time.Sleep(timeout)
		starts := fx.agents["r0"].started()
		if len(starts) != 2 || starts[0].GetGranted() || !starts[1].GetGranted() {
			t.Errorf("starts %v, expected the first one without and the second one with a granted slot", starts)
		}
	})
}

// Tasks wait for the timeout of each request to a silent broker, so that it must be asked at most
// some three times in the first 2 s and every 2 s then.
func TestSilentBrokerIsAskedLessAndLess(t *testing.T) {
	const observed, timeout = 30 * time.Second, sharedAcquireWait + acquireGrace
	b := newBrokers()
	b.reassign(0, 1)
	b.reassign(0, 2)
	start := time.Now()
	asked := 0
	for now := start; now.Before(start.Add(observed)); now = now.Add(time.Millisecond) {
		if b.isUnresponsive(1, now) {
			continue
		}
		asked++
		now = now.Add(timeout)
		b.recordSilence(1, now)
		b.recordSilence(1, now.Add(time.Millisecond)) // of another class
	}
	if most := 3 + int(observed/maxBrokerBackoff); asked > most {
		t.Errorf("asked %d times in %v, expected at most %d", asked, observed, most)
	}
	if b.isUnresponsive(2, start) {
		t.Error("another broker is not asked")
	}
	now := start.Add(time.Hour)
	b.recordAnswer(1)
	b.recordSilence(1, now)
	if b.isUnresponsive(1, now.Add(minBrokerBackoff)) {
		t.Error("the backoff did not start anew after an answer")
	}
}
