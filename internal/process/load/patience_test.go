package load

import (
	"testing"
	"time"
)

func (w *testTask) Overdue() bool { return w.overdue }

// After an outage callers repeat their requests: at an entry without observations, and
// from callers who wait equally long for any job.
func TestPatienceDetectsRepeatedRequests(t *testing.T) {
	const timeout, predicted = 1500 * time.Millisecond, 100 * time.Millisecond
	fresh := NewPatience()
	if f := fresh.Forecast("q", predicted, 500*time.Millisecond, timeout); f.Waited == 0 {
		t.Error("after a restart a caller with 500 of 1500 ms left is taken for a new caller")
	}
	p := NewPatience()
	for i := range 200 {
		left := 2*time.Second + time.Duration(i%7)*50*time.Millisecond
		if f := p.Forecast("q", predicted, left, timeout); f.Waited != 0 {
			t.Fatalf("caller %d with %v left is taken for one that repeats a request", i, left)
		}
		p.Observe("q", predicted+time.Duration(i%5)*time.Millisecond, left)
	}
	if f := p.Forecast("q", predicted, 800*time.Millisecond, timeout); f.Waited == 0 || f.Certain {
		t.Errorf("a caller with 0.8 of 2 s left: %+v", f)
	}
	if f := p.Forecast("q", predicted, 1900*time.Millisecond, timeout); f.Waited != 0 || f.RunTime != predicted {
		t.Errorf("a caller with 1.9 of 2 s left: %+v", f)
	}
}

// In an overload the declared run times of jobs are off by half, while callers wait 1.5 s
// plus four times the actual run time. The forecast must find the actual run time.
func TestPatiencePredictsTheRunTime(t *testing.T) {
	p := NewPatience()
	patience := func(run time.Duration) time.Duration { return 1500*time.Millisecond + 4*run }
	for i := range 100 {
		run := 100*time.Millisecond + time.Duration(i*37%100)*2*time.Millisecond
		p.Observe("q", run+time.Duration(i%3)*time.Millisecond, patience(run))
	}
	const declared, run = 200 * time.Millisecond, 120 * time.Millisecond
	for _, queue := range []string{"q", "one that is new"} {
		f := p.Forecast(queue, declared, patience(run), time.Second)
		if !f.Certain || f.Waited != 0 || (f.RunTime-run).Abs() > 5*time.Millisecond {
			t.Errorf("%s: forecast %+v, want a run of %v", queue, f, run)
		}
	}
	const before = 1300 * time.Millisecond
	f := p.Forecast("q", declared, patience(run)-before, time.Second)
	if f.Certain || f.RunTime != declared || (f.Waited-before).Abs() > 400*time.Millisecond {
		t.Errorf("a caller that repeats its request after %v: %+v", before, f)
	}
}

// Half of the jobs of a queue take a tenth of the declared run time. Their callers have
// less time left than others, but must not be taken for ones who have waited before.
func TestPatienceDistinguishesShortJobsFromRepeatedRequests(t *testing.T) {
	p := NewPatience()
	patience := func(run time.Duration) time.Duration { return 1700*time.Millisecond + 4*run }
	run := func(i int) time.Duration {
		if i%2 == 0 {
			return 10*time.Millisecond + time.Duration(i%7)*time.Millisecond
		}
		return 150 * time.Millisecond
	}
	for i := range 200 {
		p.Observe("q", run(i), patience(run(i)))
	}
	for i := range 50 {
		f := p.Forecast("q", 100*time.Millisecond, patience(run(i)), time.Second)
		if f.Waited != 0 || (f.RunTime-run(i)).Abs() > 5*time.Millisecond {
			t.Fatalf("a job of %v: forecast %+v", run(i), f)
		}
	}
	if f := p.Forecast("q", 100*time.Millisecond, patience(run(0))-300*time.Millisecond, time.Second); f.Waited == 0 {
		t.Errorf("a caller that repeats its request after 300 ms: %+v", f)
	}
}

// Runs on a slow target and repeated requests must not move the fitted line; when all
// callers change, a new line must be fitted.
func TestPatienceIgnoresOutliersUntilAllCallersChange(t *testing.T) {
	p := NewPatience()
	patience := func(run time.Duration) time.Duration { return 1500*time.Millisecond + 4*run }
	learn := func(samples int, change func(run time.Duration) (time.Duration, time.Duration)) {
		for i := range samples {
			run, left := change(100*time.Millisecond + time.Duration(i*37%100)*2*time.Millisecond)
			p.Observe("q", run, left)
		}
	}
	usual := func(run time.Duration) (time.Duration, time.Duration) { return run, patience(run) }
	learn(100, usual)
	for range 50 {
		learn(3, usual)
		learn(3, func(run time.Duration) (time.Duration, time.Duration) { return 6 * run, patience(run) })
		learn(3, func(run time.Duration) (time.Duration, time.Duration) { return run, patience(run) - time.Second })
	}
	const run = 150 * time.Millisecond
	if f := p.Forecast("q", run, patience(run), time.Second); !f.Certain || (f.RunTime-run).Abs() > 5*time.Millisecond {
		t.Errorf("after outliers the forecast is %+v, want a run of %v", f, run)
	}
	later := func(run time.Duration) time.Duration { return 5*time.Second + 8*run }
	learn(200, func(run time.Duration) (time.Duration, time.Duration) { return run, later(run) })
	if f := p.Forecast("q", run, later(run), time.Second); !f.Certain || (f.RunTime-run).Abs() > 5*time.Millisecond {
		t.Errorf("after a change of all callers the forecast is %+v, want a run of %v", f, run)
	}
}

// After a power loss of all machines, a restarted entry restores the models.
func TestPatienceIsRestoredAfterARestart(t *testing.T) {
	p := NewPatience()
	for i := range 100 {
		run := time.Duration(50+i) * time.Millisecond
		p.Observe("q", run, time.Second+4*run)
	}
	next := NewPatience()
	next.Restore(p.Lines())
	const run = 80 * time.Millisecond
	if f := next.Forecast("q", run, time.Second+4*run, time.Second); !f.Certain || (f.RunTime-run).Abs() > time.Millisecond {
		t.Errorf("forecast %+v, want a run of %v", f, run)
	}
}

// After an outage there is capacity for some seconds of work, and callers who repeat
// their requests still wait.
func TestOverdueJobsWaitWhileTheirAnswerIsUseful(t *testing.T) {
	f := Forecast{RunTime: time.Second, Waited: 1300 * time.Millisecond}
	const objective = 1600 * time.Millisecond
	for _, c := range []struct{ left, want time.Duration }{
		{5 * time.Second, 2500 * time.Millisecond},
		{2 * time.Second, time.Second},
		{time.Second, 400 * time.Millisecond},
	} {
		if got := OverdueSlack(f, objective, c.left); got != c.want {
			t.Errorf("a caller with %v left waits for %v, want %v", c.left, got, c.want)
		}
	}
}

// The callers of short jobs have waited for several objectives when all entries are back,
// and most of them still wait. They were refused after a quarter of an objective, before
// the jobs that were begun first had ended.
func TestOverdueShortJobsWaitForOneObjective(t *testing.T) {
	f := Forecast{RunTime: 60 * time.Millisecond, Waited: 1300 * time.Millisecond}
	const objective = 156 * time.Millisecond
	for _, c := range []struct{ left, want time.Duration }{
		{time.Second, objective},
		{160 * time.Millisecond, 100 * time.Millisecond},
		{60 * time.Millisecond, objective / 4},
	} {
		if got := OverdueSlack(f, objective, c.left); got != c.want {
			t.Errorf("a caller with %v left waits for %v, want %v", c.left, got, c.want)
		}
	}
}

func TestOverdueJobsLeaveAFifthFree(t *testing.T) {
	if HasSpareCapacity(10, 100) || !HasSpareCapacity(30, 100) {
		t.Error("the share left free is not a fifth")
	}
}
