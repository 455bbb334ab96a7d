package load

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
)

// drawPair draws two crashes of one moment. A job of queue "short" has tasks on many targets, so
// that half of its jobs on one of the two are on the other as well.
func drawPair(random *rand.Rand, ago time.Duration) []crash.Report {
	a, b := drawCrash(random, "", 0, ago), drawCrash(random, "", 0, ago+8*time.Millisecond)
	for i := range b.Runs {
		b.Runs[i].Task.Job += "-b"
	}
	for _, run := range a.Runs {
		if run.Queue == "short" && random.IntN(2) == 0 {
			shareJob(&b, run)
		}
	}
	a.Uncertainty, b.Uncertainty = 10*time.Millisecond, 15*time.Millisecond
	return []crash.Report{a, b}
}

// shareJob makes a run of a crash with about the same age one of the same job.
func shareJob(r *crash.Report, run crash.Run) {
	for i, other := range r.Runs {
		if other.Queue == run.Queue && other.Age > run.Age/2 && other.Age < 2*run.Age {
			r.Runs[i] = run
			return
		}
	}
}

// Targets crash two at a time, every two seconds, for a reason that has nothing to do with their
// tasks. The same jobs are on both, which must not count twice.
func TestTargetsThatCrashTwoAtATimeBlameNoQueue(t *testing.T) {
	const draws, pairs = 1000, 4
	random := rand.New(rand.NewPCG(1, 2))
	blamed := 0
	for range draws {
		var c Confinement
		var reports []crash.Report
		confined := false
		for n := pairs; n > 0; n-- {
			reports = slices.Concat(drawPair(random, time.Duration(2*n)*time.Second), reports)
			for _, r := range reports[:2] {
				c.Observe(0, &r, reports, NewSuspects(reports), 11)
				confined = confined || c.Any()
			}
		}
		if confined {
			blamed++
		}
	}
	if blamed > draws/20 {
		t.Errorf("a queue is kept apart in %d of %d draws", blamed, draws)
	}
}
