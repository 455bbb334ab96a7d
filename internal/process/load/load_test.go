package load

import (
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// testTask is a minimal QueuedTask.
type testTask struct {
	name     string
	latest   time.Duration
	begun    bool
	overdue  bool
	priority int
	work     Work
	position int
}

func (w *testTask) LatestStart() time.Duration { return w.latest }

func (w *testTask) Begun() bool { return w.begun }

func (w *testTask) Priority() int { return w.priority }

func (w *testTask) Work() Work { return w.work }

func (w *testTask) CPU() int64 { return int64(w.work) * 10 }

func (w *testTask) Position() *int { return &w.position }

func popAll(q *Queue[*testTask]) []string {
	var names []string
	for q.Len() > 0 {
		names = append(names, q.Pop().name)
	}
	return names
}

// A burst in one queue: short jobs with little slack arrive behind long ones.
func TestQueueOrdersByPriorityAndSlack(t *testing.T) {
	q := &Queue[*testTask]{}
	long := &testTask{name: "long", latest: 700 * time.Millisecond, work: 900}
	overdue := &testTask{name: "overdue", latest: 10 * time.Millisecond, overdue: true, work: 5}
	short := &testTask{name: "short", latest: 80 * time.Millisecond, work: 60}
	begun := &testTask{name: "begun", latest: 900 * time.Millisecond, begun: true, work: 7}
	urgent := &testTask{name: "urgent", latest: 950 * time.Millisecond, priority: -1, work: 3}
	for _, w := range []*testTask{long, overdue, short, begun, urgent} {
		q.Push(w)
	}
	if work, cpu := q.WorkAhead(0, 100*time.Millisecond); work != 70 || cpu != 700 {
		t.Errorf("work ahead of 100 ms is %d with CPU %d, want 70 on 700", work, cpu)
	}
	if cpu := q.BegunCPU(); cpu != 70 {
		t.Errorf("tasks of begun jobs need CPU %d, want 70", cpu)
	}
	got := popAll(q)
	want := []string{"begun", "urgent", "short", "long", "overdue"}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("order %v, want %v", got, want)
		}
	}
	if q.TotalWork() != 0 {
		t.Errorf("work left in an empty queue: %d", q.TotalWork())
	}
}

func TestQueueRemovesAndReorders(t *testing.T) {
	q := &Queue[*testTask]{}
	a := &testTask{name: "a", latest: 1, work: 1}
	b := &testTask{name: "b", latest: 2, work: 2}
	c := &testTask{name: "c", latest: 3, work: 4}
	for _, w := range []*testTask{a, b, c} {
		q.Push(w)
	}
	q.Remove(b)
	q.Remove(b)
	c.begun = true
	q.Fix(c)
	if got := popAll(q); len(got) != 2 || got[0] != "c" || got[1] != "a" {
		t.Errorf("order %v, want c a", got)
	}
}

// A burst of twice the capacity: the predicted wait grows with the queue, so that the
// excess can be refused on arrival.
func TestDrainRatePredictsTheWaitInABurst(t *testing.T) {
	var d DrainRate
	const cpu = 3000
	for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
		d.RecordStart(now, WorkOf(cpu, 100*time.Millisecond))
	}
	// 300,000 every 10 ms are 30 cores.
	wait := d.EstimateWait(time.Second, WorkOf(30_000, 200*time.Millisecond), 1)
	if wait < 150*time.Millisecond || wait > 250*time.Millisecond {
		t.Errorf("wait for 200 ms of all processors is %v", wait)
	}
	if wait := d.EstimateWait(10*time.Second, WorkOf(1000, time.Second), 1000); wait != time.Second {
		t.Errorf("after a pause the wait is %v, want 1 s at the lowest rate", wait)
	}
	if wait := d.EstimateWait(10*time.Second, 0, 0); wait != 0 {
		t.Errorf("wait without a backlog is %v", wait)
	}
}

// Callers refused together must not retry together.
func TestRetryAfterSpreadsRetries(t *testing.T) {
	early := RetryAfter(400*time.Millisecond, 0)
	late := RetryAfter(400*time.Millisecond, 0.99)
	if early < 400*time.Millisecond || late-early < 400*time.Millisecond {
		t.Errorf("retries between %v and %v, want them spread over the wait", early, late)
	}
	if got := RetryAfter(time.Hour, 0.5); got != maxRetryAfter {
		t.Errorf("retry after %v, want at most %v", got, maxRetryAfter)
	}
}

// In a lasting overload, jobs start at the last moment allowed. A job that takes two
// thirds of its predicted run time must still meet its own objective; one whose run
// time is certain may wait longer.
func TestSlackLeavesRoomForShortRuns(t *testing.T) {
	const stretch, latency, expected = 1.6, 60 * time.Millisecond, 200 * time.Millisecond
	wait := Slack(stretch, latency, Forecast{RunTime: expected})
	actual := expected * 2 / 3
	if objective := time.Duration(stretch*float64(actual)) + latency; wait+actual > objective {
		t.Errorf("a job of %v that waited %v misses its objective of %v", actual, wait, objective)
	}
	certain := Slack(stretch, latency, Forecast{RunTime: expected, Certain: true})
	if objective := time.Duration(stretch*float64(expected)) + latency; certain <= wait || certain+expected > objective {
		t.Errorf("a job certain to run %v may wait %v, an uncertain one %v", expected, certain, wait)
	}
}

// Declared run times are off by a common factor.
func TestEstimatorLearnsTheFactorOfAQueue(t *testing.T) {
	e := NewEstimator()
	if got := e.Predict("q", 100*time.Millisecond); got != 100*time.Millisecond {
		t.Errorf("first prediction %v, want the declared run time", got)
	}
	for range 50 {
		e.Observe("q", 100*time.Millisecond, 250*time.Millisecond)
	}
	if got := e.Predict("q", 100*time.Millisecond); got < 240*time.Millisecond || got > 260*time.Millisecond {
		t.Errorf("prediction %v, want about 250 ms", got)
	}
	e.Observe("q", 100*time.Millisecond, time.Hour)
	if got := e.Predict("q", 100*time.Millisecond); got > 300*time.Millisecond {
		t.Errorf("one hung run changed the prediction to %v", got)
	}
	if got := e.Predict("other", 0); got != defaultRunTime {
		t.Errorf("prediction without a declared run time %v", got)
	}
}

// A third of the targets slows down by a factor of 5, and recovers.
func TestHealthFollowsPace(t *testing.T) {
	var h Health
	h.RecordPace(0.2, 1)
	if !h.Healthy() {
		t.Error("one slow run put the target on probation")
	}
	h.RecordPace(0.2, 3)
	if h.Healthy() {
		t.Error("a target at a fifth of its pace counts as healthy")
	}
	h.RecordPace(0.5, 3)
	if h.Healthy() {
		t.Error("no hysteresis between slow and healthy")
	}
	h.RecordPace(0.9, 1)
	if !h.Healthy() {
		t.Error("a recovered target stays on probation")
	}
}

func TestRunPaceDetectsAHungRun(t *testing.T) {
	const expected = 200 * time.Millisecond
	var r RunPace
	r.Start(0)
	r.Update(10*time.Millisecond, 5, expected)
	if _, known := r.Pace(); known {
		t.Error("a pace is known before the window is over")
	}
	r.Update(100*time.Millisecond, 50, expected)
	if pace, _ := r.Pace(); pace < 0.9 || pace > 1.1 {
		t.Errorf("pace %v, want 1", pace)
	}
	r.Update(200*time.Millisecond, 50, expected)
	if pace, _ := r.Pace(); pace != 0 {
		t.Errorf("pace of a hung run %v, want 0", pace)
	}
}

func TestShouldMoveOnlyWhereItHelps(t *testing.T) {
	const fresh = 200 * time.Millisecond
	objective := 400 * time.Millisecond
	for _, c := range []struct {
		name      string
		now       time.Duration
		remaining time.Duration
		slow      bool
		move      bool
	}{
		{"in time on a slow target", 100 * time.Millisecond, 250 * time.Millisecond, true, false},
		{"late on a slow target", 100 * time.Millisecond, time.Second, true, true},
		{"late, but nearly done", 390 * time.Millisecond, 100 * time.Millisecond, true, false},
		{"longer than declared", 100 * time.Millisecond, time.Second, false, false},
		{"hangs", 100 * time.Millisecond, Remaining(40, 0, fresh), false, true},
	} {
		if got := ShouldMove(c.now, objective, c.remaining, fresh, c.slow); got != c.move {
			t.Errorf("%s: move %v, want %v", c.name, got, c.move)
		}
	}
}

func TestRequirementsFitResourcesLabelsAndBounds(t *testing.T) {
	target := Candidate{
		Free:          task.Resources{CPU: 3000, MemoryMB: 100},
		Capacity:      task.Resources{CPU: 32000, MemoryMB: 1000},
		Labels:        []string{"a", "r1"},
		SameStepTasks: 2,
	}
	for _, c := range []struct {
		name string
		req  Requirements
		fits bool
	}{
		{"fits", Requirements{Need: task.Resources{CPU: 3000, MemoryMB: 100}}, true},
		{"too much memory", Requirements{Need: task.Resources{CPU: 1, MemoryMB: 101}}, false},
		{"accelerator", Requirements{Need: task.Resources{Accelerators: 1}}, false},
		{"other label", Requirements{Label: "b"}, false},
		{"its label", Requirements{Label: "a"}, true},
		{"bound reached", Requirements{MaxPerTarget: 2}, false},
		{"below the bound", Requirements{MaxPerTarget: 3}, true},
	} {
		if got := c.req.Fits(&target); got != c.fits {
			t.Errorf("%s: fits %v, want %v", c.name, got, c.fits)
		}
	}
}

func TestScorePrefersFreeCapacityAndDataRack(t *testing.T) {
	full := Candidate{Free: task.Resources{CPU: 4000}, Capacity: task.Resources{CPU: 32000}, DataCentre: "dc1"}
	empty := Candidate{Free: task.Resources{CPU: 30000}, Capacity: task.Resources{CPU: 32000}, DataCentre: "dc2", Labels: []string{"r2"}}
	w := Requirements{Need: task.Resources{CPU: 3000}, DataCentre: "dc1"}
	if w.Score(&full) >= w.Score(&empty) {
		t.Error("the local but full target is preferred")
	}
	avoided := empty
	avoided.Avoid = true
	if w.Score(&avoided) >= w.Score(&full) {
		t.Error("the target on which the task failed is preferred")
	}
	lossy := empty
	lossy.DelayedShare = 0.25
	if w.Score(&lossy) >= w.Score(&full) {
		t.Error("the target behind a link that loses packets is preferred")
	}
	w.DataRack = "r2"
	if w.Score(&full) >= w.Score(&empty) {
		t.Error("the rack of the data is not preferred")
	}
}

func BenchmarkScore(b *testing.B) {
	c := Candidate{Free: task.Resources{CPU: 30000}, Capacity: task.Resources{CPU: 32000}, DataCentre: "dc2"}
	w := Requirements{Need: task.Resources{CPU: 3000}, DataCentre: "dc1"}
	b.ReportAllocs()
	for b.Loop() {
		for range 1000 {
			if w.Fits(&c) {
				_ = w.Score(&c)
			}
		}
	}
}

// In a rolling restart callers keep using their connections until the entry is gone.
func TestStoppingEntryAdmitsOnlyJobsThatEndInTime(t *testing.T) {
	stop := PlannedStop{AdmitUntil: 2 * time.Second, EndsAt: 5 * time.Second}
	for _, c := range []struct {
		name     string
		now      time.Duration
		expected time.Duration
		admitted bool
	}{
		{"a long job while the balancer still sends", time.Second, time.Second, true},
		{"a short job later", 3 * time.Second, 100 * time.Millisecond, true},
		{"a long job later", 3 * time.Second, time.Second, false},
		{"a short job while most entries stop", 4 * time.Second, 200 * time.Millisecond, true},
		{"a short job at the end", 4900 * time.Millisecond, 100 * time.Millisecond, false},
	} {
		if got := stop.Admits(c.now, c.expected); got != c.admitted {
			t.Errorf("%s: admitted %v, want %v", c.name, got, c.admitted)
		}
	}
}

// The links to one data centre lose a tenth of the packets each way, then recover.
func TestStartDelaysDetectALossyLink(t *testing.T) {
	d := NewStartDelays()
	now := time.Duration(0)
	start := func(destination string, slowEvery int) {
		for i := range 100 {
			took := 4 * time.Millisecond
			if slowEvery > 0 && i%slowEvery == slowEvery-1 {
				took = 205 * time.Millisecond
			}
			now += time.Millisecond
			d.Observe(destination, now, took)
		}
	}
	start("dc1", 0)
	start("dc2", 50)
	start("dc3", 5)
	if got := d.DelayedShare("dc1", now) + d.DelayedShare("dc2", now); got != 0 {
		t.Errorf("links without losses have a delayed share of %.2f", got)
	}
	if got := d.DelayedShare("dc3", now); got < 0.1 || got > 0.35 {
		t.Errorf("a fifth of the starts is delayed, the share is %.2f", got)
	}
	if got := d.DelayedShare("dc3", now+4*delayHalfLife); got != 0 {
		t.Errorf("a link avoided for 4 s still has a delayed share of %.2f", got)
	}
}
