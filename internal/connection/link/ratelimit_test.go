package link

import (
	"context"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
)

// TestTokenBucketKeepsItsRate checks at random instants that no more handshakes are
// admitted than the rate and one burst allow.
func TestTokenBucketKeepsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 500).Draw(t, "rate")
		start := time.Unix(0, 0)
		now := start
		bucket := newTokenBucket(rate, now)
		admitted := 0
		for _, gap := range rapid.SliceOf(rapid.IntRange(0, 200)).Draw(t, "gaps") {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if bucket.take(now) {
				admitted++
			}
		}
		bound := max(1, float64(rate)*burstTime.Seconds()) + float64(rate)*now.Sub(start).Seconds()
		if float64(admitted) > bound+1e-6 {
			t.Fatalf("%d handshakes admitted in %s at a rate of %d a second", admitted, now.Sub(start), rate)
		}
	})
}

func TestTokenBucketRefills(t *testing.T) {
	now := time.Unix(0, 0)
	bucket := newTokenBucket(20, now)
	first, second, third := bucket.take(now), bucket.take(now), bucket.take(now)
	if !first || !second || third {
		t.Fatal("a burst must admit exactly two handshakes")
	}
	if !bucket.take(now.Add(time.Second / 20)) {
		t.Fatal("no handshake admitted after the bucket refilled one token")
	}
}

func TestRateLimitedListenerRefusesAndCounts(t *testing.T) {
	ca, err := identity.NewCA("test")
	if err != nil {
		t.Fatal(err)
	}
	refused := gometrics.NewCounter()
	listening := transport(t)
	listener, err := listening.Listen(RateLimited(nodeKeys(t, ca, "entry").ServerConfig(), 1, refused), Config())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	dialer := &Dialer{Transport: transport(t), TLS: nodeKeys(t, ca, "agent").ClientConfig(), Stats: NewStats(gometrics.NewRegistry())}
	dial := func() error {
		l, err := dialer.Dial(ctx, listening.Conn.LocalAddr().String())
		if err == nil {
			t.Cleanup(l.Close)
		}
		return err
	}
	// The bucket holds one token and refills one token a second.
	failures := 0
	for range 3 {
		if dial() != nil {
			failures++
		}
	}
	if failures == 0 || refused.Count() != int64(failures) {
		t.Fatalf("%d dials failed, but %d refusals were counted", failures, refused.Count())
	}
	for dial() != nil {
		if ctx.Err() != nil {
			t.Fatal("no handshake was admitted after the bucket refilled")
		}
		time.Sleep(50 * time.Millisecond)
	}
	_ = listener.Close()
}
