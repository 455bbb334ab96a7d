package server

import (
	"math/rand/v2"
	"testing"
	"time"
)

// An entry is gone for a minute: it is called often at first, as it may be back at once,
// and then twice a second or so.
func TestRedialSlowsDownForAnEntryThatStaysAway(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	begun := time.Now()
	var r redial
	first, later := 0, 0
	for now := begun; now.Sub(begun) < time.Minute; {
		pause := r.next(now, random.Float64())
		now = now.Add(pause)
		switch {
		case now.Sub(begun) <= time.Second:
			first++
			if pause > 2*redialSoon {
				t.Errorf("a pause of %v in the first second", pause)
			}
		case now.Sub(begun) > 5*time.Second:
			later++
		}
	}
	if first < 20 || first > 50 {
		t.Errorf("%d calls in the first second", first)
	}
	if perSecond := float64(later) / 55; perSecond > 3 {
		t.Errorf("%.1f calls a second later", perSecond)
	}
	r.answered()
	if pause := r.next(begun, 0); pause > redialMin {
		t.Errorf("a pause of %v after an answer", pause)
	}
}
