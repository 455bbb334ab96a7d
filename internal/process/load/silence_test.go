package load

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
)

const (
	// ordersPerSecond and pollsPerSecond are the orders to and the answered polls of a target.
	ordersPerSecond = 25
	pollsPerSecond  = 15
	// maxGap is the longest time that the agent takes to be between two answers.
	maxGap = 50 * time.Millisecond
)

// drawSilence draws a target that stops answering. Its agent knows only the time of its latest
// answer, which may confirm its youngest run, and that of the first order without an answer, and
// reports the middle.
func drawSilence(random *rand.Rand, killer string, age, ago time.Duration) crash.Report {
	r := drawCrash(random, killer, age, ago)
	r.Silent = true
	answered := drawGap(random, pollsPerSecond)
	if len(r.Runs) > 0 {
		answered = min(answered, r.Runs[0].Age)
	}
	unanswered := min(drawGap(random, ordersPerSecond), maxGap-answered)
	r.Uncertainty = (answered + unanswered) / 2
	for i := range r.Runs {
		r.Runs[i].Age += (unanswered - answered) / 2
	}
	return r
}

func drawGap(random *rand.Rand, perSecond float64) time.Duration {
	return min(time.Duration(random.ExpFloat64()/perSecond*float64(time.Second)), maxGap)
}

// Tasks silence their targets, some known within 2 ms and some within 25 ms. The age at which they do
// is the same, and must be found although the agents know it with such errors.
func TestQueueThatSilencesTargetsIsFoundAtUncertainAges(t *testing.T) {
	for _, killer := range []string{"short", "narrow"} {
		likely, certain := outcomeOfCauses(6, func(random *rand.Rand, ago time.Duration) crash.Report {
			return drawSilence(random, killer, 7*time.Millisecond, ago)
		})
		t.Logf("%s: likely %.3v, certain %.3v", killer, likely, certain)
		if likely[killer] < 0.6 {
			t.Errorf("%s is found after six silences in %.3f of the draws", killer, likely[killer])
		}
		for queue, share := range certain {
			if queue != killer && share > 0.01 {
				t.Errorf("%s: %s is the certain cause in %.3f of the draws", killer, queue, share)
			}
		}
	}
}

// Targets are cut off one after the other, at times that are as uncertain.
func TestSilencesFromOutsideAtUncertainTimesBlameNoQueue(t *testing.T) {
	for _, silences := range []int{2, 4, 8} {
		likely, certain := outcomeOfCauses(silences, func(random *rand.Rand, ago time.Duration) crash.Report {
			return drawSilence(random, "", 0, ago)
		})
		t.Logf("%d silences: likely %.3v, certain %.3v", silences, likely, certain)
		for queue := range likely {
			if likely[queue] > 0.05 || certain[queue] > 0.01 {
				t.Errorf("%d silences: %s is blamed in %.3f of the draws, for certain in %.3f", silences, queue, likely[queue], certain[queue])
			}
		}
	}
}
