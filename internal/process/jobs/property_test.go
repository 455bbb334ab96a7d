package jobs

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// TestMain fixes the seed and the number of the property test's runs unless the
// command line gives them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}

// Whatever the order of frames, losses, restarts and adoption, a task that may
// not be repeated starts at most once, NotRun is true, a complete answer holds
// its own results, and every job is answered.
func TestVerdictsAreTrueInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		agent := func(t *rapid.T) *testAgent { return w.agents[rapid.IntRange(0, 1).Draw(t, "agent")] }
		entry := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"submit":   w.submit,
			"resubmit": w.resubmit,
			"cancel":   w.cancel,
			"toAgent":  func(t *rapid.T) { w.toAgent(agent(t), entry(t)) },
			"toAgent2": func(t *rapid.T) { w.toAgent(agent(t), entry(t)) },
			"toEntry":  func(t *rapid.T) { w.toEntry(agent(t), entry(t)) },
			"toEntry2": func(t *rapid.T) { w.toEntry(agent(t), entry(t)) },
			"finish": func(t *rapid.T) {
				if a := agent(t); len(a.running) > 0 {
					w.finish(a, rapid.IntRange(0, len(a.running)-1).Draw(t, "index"), rapid.IntRange(0, 4).Draw(t, "failed") == 0)
				}
			},
			"relink": func(t *rapid.T) { w.relink(agent(t), entry(t)) },
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "restarts") == 0 {
					w.restart(agent(t))
				}
			},
			"adopt": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "adopts") == 0 {
					w.adopt()
				}
			},
			"": w.checkStarts,
		})
		w.settle(t)
		w.checkStarts(t)
		w.checkAnswers(t)
	})
}

func (w *world) resubmit(t *rapid.T) {
	if len(w.jobs) == 0 {
		return
	}
	j := w.jobs[rapid.IntRange(0, len(w.jobs)-1).Draw(t, "job")]
	if w.adopted == nil || rapid.Bool().Draw(t, "home") {
		w.submitTo(t, j, w.entries[0].table)
		return
	}
	if len(w.awaited) > 0 {
		return
	}
	j.resumed = true
	w.submitTo(t, j, w.adoption)
}

func (w *world) cancel(t *rapid.T) {
	if len(w.jobs) == 0 || rapid.IntRange(0, 3).Draw(t, "cancels") > 0 {
		return
	}
	j := w.jobs[rapid.IntRange(0, len(w.jobs)-1).Draw(t, "job")]
	j.cancelled = true
	j.jobs[0].Fail(verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_CANCELLED, "cancelled"))
}

// settle delivers all frames and ends all attempts until nothing happens. A home
// that was adopted learns it at last.
func (w *world) settle(t *rapid.T) {
	if w.adopted != nil {
		w.entries[0].table.Abandon(apiv1.Reason_REASON_HOME_LOST, "lease lapsed")
	}
	const (
		quietRounds = 3
		limit       = 5 * time.Second
	)
	deadline := time.Now().Add(limit)
	for quiet := 0; quiet < quietRounds || !w.allAnswered(); quiet++ {
		if w.step() {
			quiet = -1
			continue
		}
		if time.Now().After(deadline) {
			t.Fatalf("a job has no answer though nothing is under way")
		}
		time.Sleep(200 * time.Microsecond) // cancellations run on their own
	}
}

func (w *world) step() bool {
	moved := false
	for _, a := range w.agents {
		for e := range w.entries {
			moved = w.toAgent(a, e) || moved
			moved = w.toEntry(a, e) || moved
		}
		if len(a.running) > 0 {
			w.finish(a, 0, false)
			moved = true
		}
	}
	return moved
}

func (w *world) allAnswered() bool {
	for _, j := range w.jobs {
		for _, job := range j.jobs {
			if job.Answer().GetState() == apiv1.JobState_JOB_STATE_RUNNING {
				return false
			}
		}
	}
	return true
}

func (w *world) checkStarts(t *rapid.T) {
	for _, j := range w.jobs {
		for i, task := range j.request.GetTasks() {
			if n := w.starts[j.taskName(uint32(i))]; n > 1 && !task.GetRepeatable() {
				t.Fatalf("task %s started %d times", j.taskName(uint32(i)), n)
			}
		}
	}
}

func (w *world) checkAnswers(t *rapid.T) {
	for _, j := range w.jobs {
		for _, job := range j.jobs {
			w.checkAnswer(t, j, job.Answer())
		}
	}
}

func (w *world) checkAnswer(t *rapid.T, j *testJob, a *apiv1.Answer) {
	if a.GetState() == apiv1.JobState_JOB_STATE_COMPLETE {
		for i := range j.request.GetTasks() {
			if got := string(a.GetResults()[i].GetOutput()); got != j.taskName(uint32(i)) {
				t.Fatalf("task %s has the result %q", j.taskName(uint32(i)), got)
			}
		}
		return
	}
	if a.GetFailure().GetVerdict() != verdict.NotRun || (j.resumed && j.cancelled) {
		return
	}
	for i := range j.request.GetTasks() {
		if n := w.starts[j.taskName(uint32(i))]; n > 0 {
			t.Fatalf("job %d was answered NotRun, but task %d started", j.ticket.Sequence, i)
		}
	}
}
