package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

const (
	faultSeed     = 1
	faultShare    = 0.3 // of the calls of a target
	faultyCallers = 12
	jobsPerCaller = 6
	faultyJobTime = time.Second
	// impatience is how long an impatient caller waits before it submits again.
	impatience = 60 * time.Millisecond
	// faultyRunLimit ends callers on a busy machine.
	faultyRunLimit = time.Minute
)

// faultCounter draws the fault of each call and counts them.
type faultCounter struct {
	mu     sync.Mutex
	random *rand.Rand
	counts map[standintarget.CallFault]int
}

func (c *faultCounter) next() standintarget.CallFault {
	c.mu.Lock()
	defer c.mu.Unlock()
	fault := standintarget.Answered
	if c.random.Float64() < faultShare {
		faults := standintarget.CallFaults()
		fault = faults[c.random.IntN(len(faults))]
	}
	c.counts[fault]++
	return fault
}

// faultyJob is a job and the last reply to its caller.
type faultyJob struct {
	name       string
	repeatable bool
	request    client.Job
	answer     *apiv1.Answer
	err        *verdict.Error
}

func newFaultyJob(name string, random *rand.Rand) *faultyJob {
	j := &faultyJob{name: name, repeatable: random.IntN(2) == 0, request: client.Job{Deadline: faultyJobTime}}
	for i := range 1 + random.IntN(3) {
		payload, _ := json.Marshal(standintarget.Payload{Task: j.taskName(i), RunMS: 5 + random.IntN(40)})
		j.request.Tasks = append(j.request.Tasks, &apiv1.Task{Kind: "faulty", Payload: payload, Repeatable: j.repeatable})
	}
	return j
}

func (j *faultyJob) taskName(task int) string { return fmt.Sprintf("%s/%d", j.name, task) }

// submit submits the job until its outcome is known. Impatient callers give up their first tries
// and submit again.
func (j *faultyJob) submit(ctx context.Context, c *client.Client, impatient bool) {
	var ticket []byte
	for ticket == nil && ctx.Err() == nil {
		ticket, _ = c.Ticket(ctx)
	}
	for try := 0; ctx.Err() == nil; try++ {
		wait := 2 * faultyJobTime
		if impatient && try < 2 {
			wait = impatience
		}
		tryCtx, cancel := context.WithTimeout(ctx, wait)
		answer, err := c.Resubmit(tryCtx, ticket, j.request)
		cancel()
		j.answer, j.err = answer, verdict.FromError(err)
		isFinal := answer != nil && answer.GetState() != apiv1.JobState_JOB_STATE_RUNNING
		if isFinal || (j.err != nil && j.err.Verdict == verdict.NotRun) {
			return
		}
		time.Sleep(awaitInterval)
	}
}

// Targets that execute without an answer, execute late, reset connections or refuse as busy,
// at each call by chance: no task that may not be repeated starts twice, a job answered not_run
// has not run, and a complete answer holds every result.
func TestVerdictsHoldWithTargetsThatDoNotAnswer(t *testing.T) {
	p := startFixture(t)
	counter := &faultCounter{random: rand.New(rand.NewPCG(faultSeed, 0)), counts: make(map[standintarget.CallFault]int)}
	p.target.SetCallFaults(counter.next)
	for _, name := range []string{"r2", "r3"} {
		p.addTarget(name).SetCallFaults(counter.next)
	}
	ctx, cancel := context.WithTimeout(t.Context(), faultyRunLimit)
	defer cancel()
	jobs := make([][]*faultyJob, faultyCallers)
	var callers sync.WaitGroup
	for n := range jobs {
		random := rand.New(rand.NewPCG(faultSeed, uint64(n+1)))
		c := p.client("desk")
		callers.Go(func() {
			for i := range jobsPerCaller {
				j := newFaultyJob(fmt.Sprintf("%d-%d", n, i), random)
				j.submit(ctx, c, random.IntN(3) == 0)
				jobs[n] = append(jobs[n], j)
			}
		})
	}
	callers.Wait()
	time.Sleep(standintarget.LateDelay)

	starts := make(map[string]int)
	for _, s := range p.ledger.Starts() {
		starts[s.Task]++
	}
	outcomes := make(map[string]int)
	for _, list := range jobs {
		for _, j := range list {
			outcomes[j.check(t, starts)]++
		}
	}
	t.Logf("faults %v, outcomes %v", counter.counts, outcomes)
	for _, fault := range standintarget.CallFaults() {
		if counter.counts[fault] == 0 {
			t.Errorf("no call had the fault %v", fault)
		}
	}
	if outcomes["complete"] == 0 || outcomes["may_have_run"] == 0 {
		t.Errorf("outcomes %v, want complete and unknown ones", outcomes)
	}
}

// check checks the last reply to a job against the starts of its tasks, and returns its outcome.
func (j *faultyJob) check(t *testing.T, starts map[string]int) string {
	t.Helper()
	for i := range j.request.Tasks {
		n := starts[j.taskName(i)]
		if n > 1 && !j.repeatable {
			t.Errorf("task %s started %d times", j.taskName(i), n)
		}
		if n > 0 && j.err != nil && j.err.Verdict == verdict.NotRun {
			t.Errorf("task %s started, its job was answered %v", j.taskName(i), j.err)
		}
	}
	switch {
	case j.err != nil:
		return verdict.Name(j.err.Verdict)
	case j.answer.GetState() != apiv1.JobState_JOB_STATE_COMPLETE:
		return "unresolved"
	}
	for i := range j.request.Tasks {
		if results := j.answer.GetResults(); len(results) <= i || string(results[i].GetOutput()) != j.taskName(i) {
			t.Errorf("job %s: results %v", j.name, results)
		}
	}
	return "complete"
}

// addTarget starts one more target with its agent.
func (p *fixture) addTarget(name string) *standintarget.Target {
	p.t.Helper()
	target, url := p.startTarget(name)
	s := p.agentSettings
	s.Name = name + "-agent"
	s.TLS = p.nodeKeys(p.ca, s.Name, "agent")
	section := *s.Agent
	section.StatusListen = "127.0.0.1:" + freePort(p.t)
	section.Target = settings.Target{Name: name, Rack: name, URL: url, Slots: 8, CPUs: 30, MemoryMB: 130000}
	s.Agent = &section
	p.runAgent(p.parse(s))
	return target
}
