package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/bench/trace"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// submitGrace is how long a caller waits for an answer after the job's deadline.
const submitGrace = 3 * time.Second

// job is one job of a trace with the replies to its submissions.
type job struct {
	submit      *trace.Submit
	request     client.Job
	repeatable  []bool
	ideal       time.Duration
	ticket      []byte
	ticketReady chan struct{} // closed when ticket is set or could not be obtained
	startedAt   time.Time

	replies []reply // guarded by player.mu
}

// reply is the result of one submission. Its error is what the entry answered to this one, so
// that each verdict of an entry is checked.
type reply struct {
	via        string
	sentAt     time.Time
	receivedAt time.Time
	answer     *apiv1.Answer
	err        *verdict.Error
}

func newJob(e *trace.Submit) *job {
	j := &job{submit: e, ticketReady: make(chan struct{})}
	j.request = client.Job{
		Label:    e.Job,
		Deadline: time.Duration(e.DeadlineMS) * time.Millisecond,
	}
	for _, g := range e.Tasks {
		for range g.Count {
			j.addTask(g)
		}
	}
	return j
}

func (j *job) addTask(g trace.TaskGroup) {
	payload, _ := json.Marshal(standintarget.Payload{Task: j.taskName(len(j.request.Tasks)), RunMS: g.RunMS})
	j.request.Tasks = append(j.request.Tasks, &apiv1.Task{
		Kind: "trace",
		Size: &apiv1.Size{
			Cpus:         g.Size.CPUs,
			MemoryMb:     uint32(g.Size.MemoryMB),
			Accelerators: uint32(g.Size.Accelerators),
		},
		RunMs:      uint32(g.RunMS),
		Payload:    payload,
		Repeatable: g.Repeatable,
	})
	j.repeatable = append(j.repeatable, g.Repeatable)
	j.ideal = max(j.ideal, time.Duration(g.RunMS)*time.Millisecond)
}

func (j *job) taskName(index int) string {
	return fmt.Sprintf("%s/%d", j.submit.Job, index)
}

func (p *player) submit(ctx context.Context, e *trace.Submit) {
	j := newJob(e)
	p.mu.Lock()
	p.jobs[e.Job] = j
	p.mu.Unlock()
	via := p.entry(e.Via)
	p.runInBackground(func() {
		c := p.fleet.Client(e.Department, e.Caller, via)
		sent := time.Now()
		ticket, err := c.Ticket(ctx)
		j.ticket = ticket
		j.startedAt = time.Now()
		close(j.ticketReady)
		if err != nil {
			p.record(j, reply{via: via.Name, sentAt: sent, receivedAt: time.Now(), err: verdict.FromError(err)})
			return
		}
		p.send(ctx, j, c, via)
	})
}

func (p *player) resubmit(ctx context.Context, e *trace.Resubmit) {
	j := p.job(e.Job)
	via := p.entry(e.Via)
	p.runInBackground(func() {
		<-j.ticketReady
		if j.ticket == nil {
			return
		}
		p.send(ctx, j, p.fleet.Client(j.submit.Department, j.submit.Caller, via), via)
	})
}

func (p *player) job(name string) *job {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.jobs[name]
}

func (p *player) send(ctx context.Context, j *job, c *client.Client, via *fleet.Node) {
	ctx, cancel := context.WithTimeout(ctx, j.request.Deadline+submitGrace)
	defer cancel()
	sent := time.Now()
	answer, err := c.Resubmit(ctx, j.ticket, j.request)
	p.record(j, reply{via: via.Name, sentAt: sent, receivedAt: time.Now(), answer: answer, err: verdict.FromError(err).LastTry()})
}

func (p *player) cancel(ctx context.Context, e *trace.Cancel) {
	j := p.job(e.Job)
	via := p.entry("")
	p.runInBackground(func() {
		<-j.ticketReady
		if j.ticket == nil {
			return
		}
		_, err := p.fleet.Client(j.submit.Department, j.submit.Caller, via).Cancel(ctx, j.ticket)
		p.logf("cancel %s: %v", e.Job, err)
	})
}

func (p *player) record(j *job, r reply) {
	p.mu.Lock()
	j.replies = append(j.replies, r)
	p.mu.Unlock()
	outcome := "complete"
	if r.err != nil {
		outcome = r.err.Error()
	}
	p.logf("job %s via %s: %s", j.submit.Job, r.via, outcome)
}

// outcome returns the reply that determines the outcome of the job: the first complete
// one, otherwise the last one.
func (j *job) outcome() *reply {
	replies := slices.Clone(j.replies)
	slices.SortFunc(replies, func(a, b reply) int { return a.receivedAt.Compare(b.receivedAt) })
	var last *reply
	for i := range replies {
		if replies[i].err == nil && isComplete(replies[i].answer) {
			return &replies[i]
		}
		last = &replies[i]
	}
	return last
}

func isComplete(a *apiv1.Answer) bool {
	return a.GetState() == apiv1.JobState_JOB_STATE_COMPLETE
}
