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

// TestMain sets the default seed and number of runs of the property test. The command
// line overrides them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}

// In any order of frames, lost links, restarts and adoption: a task that is not repeatable
// starts at most once, no task of a job answered NotRun has started, a complete answer
// holds the results of its own tasks, and every job gets an answer.
func TestVerdictsMatchStartsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster()
		agent := func(t *rapid.T) *testAgent { return c.agents[rapid.IntRange(0, 1).Draw(t, "agent")] }
		entry := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"submit":   c.submit,
			"resubmit": c.resubmit,
			"refuse":   c.refuse,
			"cancel":   c.cancel,
			"toAgent":  func(t *rapid.T) { c.toAgent(agent(t), entry(t)) },
			"toAgent2": func(t *rapid.T) { c.toAgent(agent(t), entry(t)) },
			"toEntry":  func(t *rapid.T) { c.toEntry(agent(t), entry(t)) },
			"toEntry2": func(t *rapid.T) { c.toEntry(agent(t), entry(t)) },
			"finish": func(t *rapid.T) {
				if a := agent(t); len(a.running) > 0 {
					c.finish(a, rapid.IntRange(0, len(a.running)-1).Draw(t, "index"), rapid.IntRange(0, 4).Draw(t, "failed") == 0)
				}
			},
			"relink": func(t *rapid.T) { c.relink(agent(t), entry(t)) },
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "restarts") == 0 {
					c.restart(agent(t))
				}
			},
			"adopt": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "adopts") == 0 {
					c.adopt()
				}
			},
			"": c.checkStarts,
		})
		c.settle(t)
		c.checkStarts(t)
		c.checkAnswers(t)
	})
}

func (c *testCluster) resubmit(t *rapid.T) {
	if len(c.jobs) == 0 {
		return
	}
	j := c.jobs[rapid.IntRange(0, len(c.jobs)-1).Draw(t, "job")]
	if c.adopted == nil || rapid.Bool().Draw(t, "home") {
		c.submitTo(t, j, c.entries[0].table)
		return
	}
	if len(c.unacknowledged) > 0 {
		return
	}
	j.resumed = true
	c.submitTo(t, j, c.adoptedTable)
}

// refuse submits a job again to an entry that admits no job.
func (c *testCluster) refuse(t *rapid.T) {
	if len(c.jobs) == 0 || c.adopted == nil || len(c.unacknowledged) > 0 {
		return
	}
	j := c.jobs[rapid.IntRange(0, len(c.jobs)-1).Draw(t, "job")]
	_, err := c.adoptedTable.Submit(j.ticket, j.request, refuseAll)
	if err == nil || err.Verdict != verdict.NotRun {
		return
	}
	for i := range j.request.GetTasks() {
		if n := c.starts[j.taskName(uint32(i))]; n > 0 {
			t.Fatalf("job %d was refused as NotRun, but task %d has started", j.ticket.Sequence, i)
		}
	}
}

func (c *testCluster) cancel(t *rapid.T) {
	if len(c.jobs) == 0 || rapid.IntRange(0, 3).Draw(t, "cancels") > 0 {
		return
	}
	j := c.jobs[rapid.IntRange(0, len(c.jobs)-1).Draw(t, "job")]
	j.cancelled = true
	j.jobs[0].Fail(verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_CANCELLED, "cancelled"))
}

// settle delivers all frames and ends all attempts until nothing is left to do. If the
// home was adopted, its jobs are abandoned first, as when its lease has lapsed.
func (c *testCluster) settle(t *rapid.T) {
	if c.adopted != nil {
		c.entries[0].table.Abandon(apiv1.Reason_REASON_HOME_LOST, "lease lapsed")
	}
	const (
		idleRounds = 3
		limit      = 5 * time.Second
	)
	deadline := time.Now().Add(limit)
	for idle := 0; idle < idleRounds || !c.allAnswered(); idle++ {
		if c.step() {
			idle = -1
			continue
		}
		if time.Now().After(deadline) {
			t.Fatalf("a job has no answer although no frame or attempt is left")
		}
		time.Sleep(200 * time.Microsecond) // cancellations run in goroutines
	}
}

func (c *testCluster) step() bool {
	moved := false
	for _, a := range c.agents {
		for e := range c.entries {
			moved = c.toAgent(a, e) || moved
			moved = c.toEntry(a, e) || moved
		}
		if len(a.running) > 0 {
			c.finish(a, 0, false)
			moved = true
		}
	}
	return moved
}

func (c *testCluster) allAnswered() bool {
	for _, j := range c.jobs {
		for _, job := range j.jobs {
			if job.Answer().GetState() == apiv1.JobState_JOB_STATE_RUNNING {
				return false
			}
		}
	}
	return true
}

func (c *testCluster) checkStarts(t *rapid.T) {
	for _, j := range c.jobs {
		for i, task := range j.request.GetTasks() {
			if n := c.starts[j.taskName(uint32(i))]; n > 1 && !task.GetRepeatable() {
				t.Fatalf("task %s started %d times", j.taskName(uint32(i)), n)
			}
		}
	}
}

func (c *testCluster) checkAnswers(t *rapid.T) {
	for _, j := range c.jobs {
		for _, job := range j.jobs {
			c.checkAnswer(t, j, job.Answer())
		}
	}
}

func (c *testCluster) checkAnswer(t *rapid.T, j *testJob, a *apiv1.Answer) {
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
		if n := c.starts[j.taskName(uint32(i))]; n > 0 {
			t.Fatalf("job %d was answered NotRun, but task %d started", j.ticket.Sequence, i)
		}
	}
}
