package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// crashedRun returns a run of a job named "queue-n".
func crashedRun(queue string, n int, age time.Duration) crash.Run {
	return crash.Run{Task: task.Key{Job: fmt.Sprint(queue, "-", n)}, Queue: queue, Age: age}
}

// crashes feeds crashes to a Confinement as an entry does.
type crashes struct {
	confinement Confinement
	log         crash.Log
	number      int64
	suspects    Suspects
}

func (c *crashes) observe(now time.Duration, runs ...crash.Run) {
	rates := []crash.QueueRate{{Queue: "k", PerSecond: 15}, {Queue: "a", PerSecond: 25}, {Queue: "b", PerSecond: 8}}
	c.number++
	r := crash.Report{ID: crash.ID{Target: fmt.Sprint("t", c.number), Incarnation: 1}, Runs: runs, Rates: rates}
	c.log.Add(now, r)
	reports := c.log.Reports(now)
	c.suspects = NewSuspects(reports)
	const targets = 1
	c.confinement.Observe(now, &r, reports, c.suspects, targets)
}

// One task of queue k crashes a target beside a dozen runs of others each time.
func (c *crashes) mixed(now time.Duration, job int) {
	runs := []crash.Run{crashedRun("k", job, 9*time.Millisecond)}
	for n := range 5 {
		runs = append(runs, crashedRun("a", 100*job+n, time.Duration(30+40*n)*time.Millisecond))
		runs = append(runs, crashedRun("b", 100*job+n, time.Duration(50+150*n)*time.Millisecond))
	}
	c.observe(now, runs...)
}

func TestMainSuspectIsIsolatedAndOthersAreNot(t *testing.T) {
	var c crashes
	c.mixed(0, 1)
	if s := c.suspects["k-1"]; !s.MustIsolate() || s.MustGiveUp() {
		t.Errorf("the killer: %+v", s)
	}
	for job, s := range c.suspects {
		if job != "k-1" && s.MustIsolate() {
			t.Errorf("%s: %+v", job, s)
		}
	}
}

func TestTaskIsGivenUpAfterTwoCrashesIfOneWasAlone(t *testing.T) {
	var c crashes
	c.mixed(0, 1)
	c.observe(time.Second, crashedRun("k", 1, 9*time.Millisecond))
	if s := c.suspects["k-1"]; !s.MustGiveUp() || s.Crashes != 2 || !s.Alone || !s.Proven {
		t.Errorf("the killer: %+v", s)
	}
}

// A job was at two crashes that have other causes, alone at one of them: it ran for 10 ms at
// one and for 600 ms at the other.
func TestTaskIsNotGivenUpForCrashesAtDifferentAges(t *testing.T) {
	var c crashes
	c.observe(0, crashedRun("a", 1, 10*time.Millisecond), crashedRun("b", 1, 300*time.Millisecond))
	c.observe(time.Second, crashedRun("a", 1, 600*time.Millisecond))
	if s := c.suspects["a-1"]; s.MustGiveUp() || !s.MustIsolate() {
		t.Errorf("suspicion %+v", s)
	}
	if c.confinement.Any() {
		t.Error("its queue is kept apart")
	}
}

// An old run of another job was on two crashed targets by chance.
func TestTaskIsGivenUpAfterThreeCrashesBesideOthers(t *testing.T) {
	var c crashes
	for n := range 3 {
		c.observe(time.Duration(n)*time.Second, crashedRun("k", n, 9*time.Millisecond), crashedRun("a", 1, 500*time.Millisecond))
		if s := c.suspects["a-1"]; s.MustGiveUp() != (n == 2) {
			t.Errorf("after %d crashes: %+v", n+1, s)
		}
	}
}

// A start order of an innocent job was on its way to two targets that crashed, and it was alone
// on the second.
func TestUnconfirmedRunsProveNoTask(t *testing.T) {
	var c crashes
	for n := range 3 {
		run := crashedRun("a", 1, time.Millisecond)
		run.Unconfirmed = true
		c.observe(time.Duration(n)*time.Second, run)
		if s := c.suspects["a-1"]; s.Proven || s.MustGiveUp() != (n == 2) {
			t.Errorf("after %d crashes: %+v", n+1, s)
		}
	}
}

// A job was alone on two targets that were cut off.
func TestSilentTargetsProveNoTask(t *testing.T) {
	var reports []crash.Report
	for n := range 3 {
		r := crash.Report{ID: crash.ID{Target: fmt.Sprint(n)}, Age: time.Duration(n) * time.Second, Silent: true}
		r.Runs = []crash.Run{crashedRun("k", 1, 9*time.Millisecond)}
		reports = append(reports, r)
		if s := NewSuspects(reports)["k-1"]; s.Proven || !s.MustIsolate() || s.MustGiveUp() != (n == 2) {
			t.Errorf("after %d: %+v", n+1, s)
		}
	}
}

// Two targets end together, and their agents find it with polls at different moments.
func TestCrashesThatMayBeOfOneMomentMakeNoSuspects(t *testing.T) {
	reports := []crash.Report{
		{ID: crash.ID{Target: "a"}, Uncertainty: 50 * time.Millisecond, Runs: []crash.Run{crashedRun("k", 1, time.Millisecond)}},
		{ID: crash.ID{Target: "b"}, Runs: []crash.Run{crashedRun("k", 2, time.Millisecond)}, Age: 45 * time.Millisecond},
	}
	for job, s := range NewSuspects(reports) {
		if s.Share > 0 {
			t.Errorf("%s: %+v", job, s)
		}
	}
	reports[0].Uncertainty = 10 * time.Millisecond
	for job, s := range NewSuspects(reports) {
		if s.Share == 0 {
			t.Errorf("%s is no suspect", job)
		}
	}
}

func TestWithdrawnCrashMakesNoSuspect(t *testing.T) {
	r := crash.Report{Runs: []crash.Run{crashedRun("k", 1, 0)}, Withdrawn: true}
	if s := NewSuspects([]crash.Report{r}); len(s) > 0 {
		t.Errorf("suspects %+v", s)
	}
}

// Jobs of queue k crash a target every 300 ms, beside runs of queues a and b.
func TestQueueThatCrashesTargetsIsPutApartThenIsolated(t *testing.T) {
	var c crashes
	for n := range 3 {
		c.mixed(time.Duration(n)*300*time.Millisecond, n)
	}
	if got := c.confinement.Separation("k"); got != Apart {
		t.Fatalf("after three crashes it is %v", got)
	}
	c.observe(time.Second, crashedRun("k", 7, 9*time.Millisecond), crashedRun("k", 8, 30*time.Millisecond))
	if got := c.confinement.Separation("k"); got != Isolated {
		t.Errorf("after a crash of its own targets it is %v", got)
	}
	for _, other := range []string{"a", "b"} {
		if got := c.confinement.Separation(other); got != Shared {
			t.Errorf("%s is %v", other, got)
		}
	}
}

// One task of a queue with few runs crashes two targets, alone on the second. Its job is given
// up, and the other jobs of its queue go on beside all.
func TestQueueIsNotConfinedForOneTask(t *testing.T) {
	var c crashes
	c.mixed(0, 1)
	c.observe(time.Second, crashedRun("k", 1, 9*time.Millisecond))
	if !c.suspects["k-1"].MustGiveUp() || c.confinement.Any() {
		t.Errorf("given up %v, its queue is %v", c.suspects["k-1"].MustGiveUp(), c.confinement.Separation("k"))
	}
}

// A suspect of an innocent queue was alone on a target that crashed for another reason, at the age
// of its first crash by chance. The crashes before speak against its queue as the cause.
func TestQueueThatIsHardlyTheCauseIsNotConfinedForOneTask(t *testing.T) {
	var c crashes
	for n := range 4 {
		c.mixed(time.Duration(n)*300*time.Millisecond, n+1)
	}
	c.observe(1500*time.Millisecond, crashedRun("b", 100, 50*time.Millisecond))
	if s := c.suspects["b-100"]; !s.Proven {
		t.Fatalf("suspicion %+v", s)
	}
	if got := c.confinement.Separation("b"); got != Shared {
		t.Errorf("its queue is %v", got)
	}
}

// Two targets that two tasks were on end at one moment, one of them with one task alone.
func TestCrashesAtOneMomentProveNoTask(t *testing.T) {
	first := crash.Report{ID: crash.ID{Target: "a"}, Age: time.Second, Runs: []crash.Run{crashedRun("k", 1, 9*time.Millisecond), crashedRun("a", 1, time.Second)}}
	alone := crash.Report{ID: crash.ID{Target: "b"}, Runs: []crash.Run{crashedRun("k", 1, 9*time.Millisecond)}}
	other := crash.Report{ID: crash.ID{Target: "c"}, Runs: []crash.Run{crashedRun("a", 2, time.Second)}}
	if s := NewSuspects([]crash.Report{alone, first})["k-1"]; !s.Proven {
		t.Errorf("without the other crash: %+v", s)
	}
	if s := NewSuspects([]crash.Report{alone, other, first})["k-1"]; s.Proven {
		t.Errorf("with it: %+v", s)
	}
}

// Half of the targets lose power at the same moment.
func TestCrashesAtOneMomentBlameNoQueue(t *testing.T) {
	var c crashes
	for n := range 6 {
		c.mixed(time.Duration(n)*time.Millisecond, n)
	}
	if c.confinement.Any() {
		t.Error("a queue is kept apart")
	}
	for job, s := range c.suspects {
		if s.MustIsolate() {
			t.Errorf("%s is isolated: %+v", job, s)
		}
	}
}

func TestQueueIsReleasedAfterHarmlessJobs(t *testing.T) {
	var c crashes
	for n := range 3 {
		c.mixed(time.Duration(n)*300*time.Millisecond, n)
	}
	for n := 1; n < cleanJobs; n++ {
		if c.confinement.RecordClean(time.Second, "k") {
			t.Fatalf("released after %d jobs", n)
		}
	}
	if !c.confinement.RecordClean(time.Second, "k") || c.confinement.Separation("k") != Shared {
		t.Error("not released")
	}
}

// Another entry has counted from a crash before the latest one.
func TestReleaseFromBeforeTheLatestCrashIsIgnored(t *testing.T) {
	var c crashes
	for n := range 3 {
		c.mixed(time.Duration(n)*300*time.Millisecond, n)
	}
	before := c.confinement.LatestCrash("k")
	c.mixed(time.Second, 9)
	if c.confinement.Release(2*time.Second, "k", before) {
		t.Error("released")
	}
	if !c.confinement.Release(2*time.Second, "k", c.confinement.LatestCrash("k")) {
		t.Error("not released")
	}
}

func TestConfinementWithoutCrashesExpires(t *testing.T) {
	var c crashes
	for n := range 3 {
		c.mixed(time.Duration(n)*300*time.Millisecond, n)
	}
	if got := c.confinement.Expire(maxConfinement + time.Second); len(got) != 1 || got[0] != "k" {
		t.Errorf("released %v", got)
	}
}

// However many jobs crash targets, most of the fleet must be left to others.
func TestPartAtStakeIsBounded(t *testing.T) {
	for _, c := range []struct {
		size, down int
		highest    Separation
		want       int
	}{
		{11, 0, Isolated, 4}, {11, 2, Isolated, 2}, {11, 4, Isolated, 0}, {11, 5, Isolated, 0},
		{11, 3, Apart, 2}, {11, 5, Apart, 0}, {11, 3, Shared, 1}, {11, 5, Shared, 0},
		{69, 0, Isolated, 23}, {1, 0, Isolated, 0}, {3, 0, Isolated, 1},
	} {
		if got := TargetsApart(c.size, c.down, c.highest); got != c.want {
			t.Errorf("%d targets, %d down, %v: %d set apart, want %d", c.size, c.down, c.highest, got, c.want)
		}
	}
}
