package link

import (
	"crypto/tls"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
)

// ErrRateLimited reports a handshake refused above a listener's rate limit. The dialer
// retries with its backoff.
var ErrRateLimited = eris.New("handshake rate limit exceeded")

// RateLimited returns a copy of config that admits perSecond handshakes a second, in bursts
// of at most burstTime. A refusal is counted in refused and costs the listener no signature.
func RateLimited(config *tls.Config, perSecond int, refused gometrics.Counter) *tls.Config {
	bucket := newTokenBucket(perSecond, time.Now())
	limited := config.Clone()
	limited.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		if !bucket.take(time.Now()) {
			refused.Inc(1)
			return nil, ErrRateLimited
		}
		return nil, nil // nil selects limited itself
	}
	return limited
}

// burstTime sets the largest burst: the handshakes that the rate admits in this time. It
// limits how long other work waits for the signatures of one burst.
const burstTime = 100 * time.Millisecond

// tokenBucket limits a rate. Its capacity is the tokens of burstTime, and at least one.
type tokenBucket struct {
	mu       sync.Mutex
	tokens   float64
	burst    float64
	rate     float64 // tokens a second
	filledAt time.Time
}

func newTokenBucket(perSecond int, now time.Time) *tokenBucket {
	burst := max(1, float64(perSecond)*burstTime.Seconds())
	return &tokenBucket{tokens: burst, burst: burst, rate: float64(perSecond), filledAt: now}
}

func (b *tokenBucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
