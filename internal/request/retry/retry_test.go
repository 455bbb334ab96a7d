package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any order of successes and failures, the retries must not exceed the initial
// budget plus the share earned by successes.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, initial, limit = 0.1, 3, 20
		b := NewBudget(ratio, initial, limit)
		successes, taken := 0, 0
		for _, success := range rapid.SliceOf(rapid.Bool()).Draw(t, "outcomes") {
			if success {
				b.Success()
				successes++
			} else if b.Take() {
				taken++
			}
		}
		if float64(taken) > initial+ratio*float64(successes)+1e-9 {
			t.Fatalf("%d retries after %d successes", taken, successes)
		}
	})
}

func TestBackoffGrowsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failed := rapid.IntRange(0, 100).Draw(t, "failed")
		d := Backoff(failed)
		if d < minBackoff/2 || d > maxBackoff*3/2 {
			t.Fatalf("backoff after %d failures is %s", failed, d)
		}
	})
	if Backoff(6) < 100*time.Millisecond {
		t.Errorf("backoff does not grow")
	}
}
