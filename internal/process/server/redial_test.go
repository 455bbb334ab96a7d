package server

import (
	"math/rand/v2"
	"testing"
	"time"
)

// An entry that does not answer for a minute is dialled often in the first second, as it
// may restart, and about twice a second later.
func TestRedialBackoffSlowsDownForUnreachableEntry(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	var r redialBackoff
	first, later := 0, 0
	for now := start; now.Sub(start) < time.Minute; {
		delay := r.next(now, random.Float64())
		now = now.Add(delay)
		switch {
		case now.Sub(start) <= time.Second:
			first++
			if delay > 2*maxEarlyRedialDelay {
				t.Errorf("a delay of %v in the first second", delay)
			}
		case now.Sub(start) > 5*time.Second:
			later++
		}
	}
	if first < 20 || first > 50 {
		t.Errorf("%d dials in the first second", first)
	}
	if perSecond := float64(later) / 55; perSecond > 3 {
		t.Errorf("%.1f dials a second later", perSecond)
	}
	r.reset()
	if delay := r.next(start, 0); delay > minRedialDelay {
		t.Errorf("a delay of %v after an answer", delay)
	}
}
