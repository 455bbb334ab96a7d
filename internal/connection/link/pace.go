package link

import (
	"crypto/tls"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
)

// ErrPaced refuses a handshake above the rate of a listener. The dialer's
// backoff brings it back.
var ErrPaced = eris.New("too many handshakes at once")

// Paced returns a copy of config that admits a number of handshakes a second,
// and at most those of burstTime at once. A refusal costs the listener no signature. It is
// counted in refused.
func Paced(config *tls.Config, perSecond int, refused gometrics.Counter) *tls.Config {
	p := newPacer(perSecond, time.Now())
	paced := config.Clone()
	paced.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		if !p.take(time.Now()) {
			refused.Inc(1)
			return nil, ErrPaced
		}
		return nil, nil // go on with paced itself
	}
	return paced
}

// burstTime is the time whose handshakes may come together. Work waits for no
// longer than their signatures take.
const burstTime = 100 * time.Millisecond

// pacer is a token bucket that holds the tokens of burstTime, and at least one.
type pacer struct {
	mu       sync.Mutex
	tokens   float64
	burst    float64
	limit    float64 // tokens a second
	filledAt time.Time
}

func newPacer(perSecond int, now time.Time) *pacer {
	burst := max(1, float64(perSecond)*burstTime.Seconds())
	return &pacer{tokens: burst, burst: burst, limit: float64(perSecond), filledAt: now}
}

func (p *pacer) take(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = min(p.burst, p.tokens+p.limit*now.Sub(p.filledAt).Seconds())
	p.filledAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}
