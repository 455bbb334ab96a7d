package jobs

import (
	"fmt"
	"sync"

	"pgregory.net/rapid"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/attempts"
	"github.com/rosemarybay/rosemarybay/internal/process/dispatch"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

const testSlots = 16

// testLink carries frames between an entry and an agent, in order, until it is closed.
type testLink struct {
	mu      sync.Mutex
	toAgent []*peerv1.Frame
	toEntry []*peerv1.Frame
	closed  bool
}

// Send implements dispatch.Sender.
func (l *testLink) Send(f *peerv1.Frame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return fmt.Errorf("link is closed")
	}
	l.toAgent = append(l.toAgent, f)
	return nil
}

func (l *testLink) sendBack(f *peerv1.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.toEntry = append(l.toEntry, f)
	}
}

func (l *testLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed, l.toAgent, l.toEntry = true, nil, nil
}

func pop(mu *sync.Mutex, queue *[]*peerv1.Frame) *peerv1.Frame {
	mu.Lock()
	defer mu.Unlock()
	if len(*queue) == 0 {
		return nil
	}
	f := (*queue)[0]
	*queue = (*queue)[1:]
	return f
}

type testAgent struct {
	name        string
	incarnation uint64
	table       *attempts.Table
	running     []*peerv1.Start
	links       [2]*testLink // by entry
}

func (a *testAgent) info() *peerv1.TargetInfo {
	return &peerv1.TargetInfo{Name: a.name, DataCentre: "nbo1", Slots: testSlots}
}

type testEntry struct {
	incarnation uint64
	dispatcher  *dispatch.Dispatcher
	table       *Table
}

type testJob struct {
	ticket  ticket.Ticket
	request *apiv1.SubmitRequest
	jobs    []*Job
	// resumed is set once the job was submitted to the adopter.
	resumed bool
	// cancelled is set once the job was cancelled at the home. The adopter does not
	// receive the cancellation.
	cancelled bool
}

func (j *testJob) taskName(task uint32) string {
	return fmt.Sprintf("%d/%d", j.ticket.Sequence, task)
}

// testCluster is a home (entry 0), its adopter (entry 1) and two agents. The test
// delivers the frames of the links between them.
type testCluster struct {
	entries [2]*testEntry
	agents  [2]*testAgent
	jobs    []*testJob
	starts  map[string]int

	adopted      *Adopted
	adoptedTable *Table
	// unacknowledged holds the agents whose acknowledgement of the fence is missing.
	unacknowledged map[string]bool
}

const testDepartment = "desk"

// newTestConfig returns a configuration with testDepartment.
func newTestConfig() *config.View {
	v := config.NewView()
	v.Apply(&peerv1.ConfigUpdate{Revision: 1, Objects: []*apiv1.Object{{
		Kind:     apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT,
		Name:     testDepartment,
		Revision: 1,
	}}})
	return v
}

func newTestCluster() *testCluster {
	c := &testCluster{starts: make(map[string]int), unacknowledged: make(map[string]bool)}
	for i := range c.entries {
		counters := metrics.New()
		incarnation := uint64(i + 1)
		d := dispatch.New(dispatch.Options{
			Incarnation: incarnation,
			DataCentre:  "nbo1",
			QueueLimit:  1000,
			Config:      newTestConfig(),
			Counters:    counters,
		})
		c.entries[i] = &testEntry{
			incarnation: incarnation,
			dispatcher:  d,
			table:       NewTable(incarnation, ticket.Key{1}, MaxDeadline, d, counters),
		}
	}
	for i := range c.agents {
		c.agents[i] = &testAgent{name: fmt.Sprintf("r%d", i)}
		c.restart(c.agents[i])
	}
	return c
}

// restart gives an agent a new incarnation.
func (c *testCluster) restart(a *testAgent) {
	a.incarnation++
	a.table = attempts.New(testSlots)
	a.running = nil
	for e := range c.entries {
		c.relink(a, e)
	}
}

// relink replaces the link between an agent and an entry by a new one.
func (c *testCluster) relink(a *testAgent, e int) {
	if old := a.links[e]; old != nil {
		old.close()
		c.entries[e].dispatcher.Detach(a.name, old)
	}
	l := &testLink{}
	a.links[e] = l
	if e == 1 && c.adopted != nil {
		c.adopted.Records.SetAgentIncarnation(a.name, a.incarnation)
		_ = l.Send(c.fence())
	}
	c.entries[e].dispatcher.Attach(a.info(), a.incarnation, l)
}

func (c *testCluster) fence() *peerv1.Frame {
	return &peerv1.Frame{Body: &peerv1.Frame_Fence{Fence: &peerv1.Fence{
		Incarnation: c.entries[0].incarnation,
		Adopter:     c.entries[1].incarnation,
		Generation:  1,
	}}}
}

// adopt makes entry 1 the adopter of entry 0, which is not notified and keeps running.
func (c *testCluster) adopt() {
	if c.adopted != nil {
		return
	}
	c.adopted = &Adopted{Generation: 1, Records: NewAttemptRecords(c.entries[0].incarnation)}
	c.adoptedTable = c.entries[1].table.NewAdopted(c.entries[0].incarnation, *c.adopted)
	for _, a := range c.agents {
		c.adopted.Records.SetAgentIncarnation(a.name, a.incarnation)
		c.unacknowledged[a.name] = true
		_ = a.links[1].Send(c.fence())
	}
}

// toAgent delivers the next frame to an agent. It reports whether there was one.
func (c *testCluster) toAgent(a *testAgent, e int) bool {
	l := a.links[e]
	f := pop(&l.mu, &l.toAgent)
	switch body := f.GetBody().(type) {
	case *peerv1.Frame_Start:
		c.begin(a, l, body.Start)
	case *peerv1.Frame_Cancel:
		a.stop(l, body.Cancel.GetIds())
	case *peerv1.Frame_Query:
		a.stop(l, body.Query.GetIds())
	case *peerv1.Frame_Fence:
		kept, ok := a.table.Fence(body.Fence)
		l.sendBack(&peerv1.Frame{Body: &peerv1.Frame_FenceAck{FenceAck: &peerv1.FenceAck{Kept: kept, Complete: true, Superseded: !ok}}})
	}
	return f != nil
}

func (c *testCluster) begin(a *testAgent, l *testLink, s *peerv1.Start) {
	err := a.table.Begin(s, func() *verdict.Error { return nil }, func() {})
	if err != nil {
		l.sendBack(&peerv1.Frame{Body: &peerv1.Frame_Result{Result: &peerv1.Result{Id: s.GetId(), Failure: err.Failure()}}})
		return
	}
	c.starts[fmt.Sprintf("%d/%d", s.GetId().GetSequence(), s.GetId().GetTask())]++
	a.running = append(a.running, s)
}

func (a *testAgent) stop(l *testLink, ids []*peerv1.AttemptID) {
	states, results := a.table.Stop(ids, false)
	l.sendBack(&peerv1.Frame{Body: &peerv1.Frame_AttemptStates{AttemptStates: &peerv1.AttemptStates{States: states}}})
	for _, r := range results {
		l.sendBack(&peerv1.Frame{Body: &peerv1.Frame_Result{Result: r}})
	}
}

// finish ends the running attempt with this index.
func (c *testCluster) finish(a *testAgent, index int, failed bool) {
	s := a.running[index]
	a.running = append(a.running[:index], a.running[index+1:]...)
	id := s.GetId()
	r := &peerv1.Result{Id: id, Output: fmt.Appendf(nil, "%d/%d", id.GetSequence(), id.GetTask())}
	if failed {
		r.Output = nil
		r.Failure = verdict.New(verdict.Ran, apiv1.Reason_REASON_TARGET_FAILED, "failed").Failure()
	}
	a.table.Finish(r)
	a.links[a.table.ResponsibleEntry(id.GetIncarnation())-1].sendBack(&peerv1.Frame{Body: &peerv1.Frame_Result{Result: r}})
}

// toEntry delivers the next frame to an entry. It reports whether there was one.
func (c *testCluster) toEntry(a *testAgent, e int) bool {
	l := a.links[e]
	f := pop(&l.mu, &l.toEntry)
	d := c.entries[e].dispatcher
	switch body := f.GetBody().(type) {
	case *peerv1.Frame_Result:
		if e == 1 && body.Result.GetFailure().GetVerdict() != verdict.NotRun {
			c.adopted.Records.Add(a.name, &peerv1.KeptAttempt{
				State:  &peerv1.AttemptState{Id: body.Result.GetId(), Phase: peerv1.AttemptPhase_ATTEMPT_PHASE_DONE},
				Result: body.Result,
			})
		}
		d.HandleResult(a.name, body.Result)
	case *peerv1.Frame_AttemptStates:
		d.HandleStates(a.name, body.AttemptStates.GetStates())
	case *peerv1.Frame_FenceAck:
		for _, k := range body.FenceAck.GetKept() {
			if ended := c.adopted.Records.Add(a.name, k); ended != nil {
				d.HandleResult(a.name, ended)
			}
		}
		delete(c.unacknowledged, a.name)
	}
	return f != nil
}

func (c *testCluster) submit(t *rapid.T) {
	j := &testJob{request: &apiv1.SubmitRequest{Department: testDepartment, DeadlineMs: uint32(MaxDeadline.Milliseconds())}}
	for range rapid.IntRange(1, 3).Draw(t, "tasks") {
		j.request.Tasks = append(j.request.Tasks, &apiv1.Task{Repeatable: rapid.Bool().Draw(t, "repeatable")})
	}
	home := c.entries[0].table
	j.ticket, _ = home.Decode(home.Issue(testDepartment, "mama", 1)[0], testDepartment, "mama")
	c.jobs = append(c.jobs, j)
	c.submitTo(t, j, home)
}

func (c *testCluster) submitTo(t *rapid.T, j *testJob, table *Table) {
	job, err := table.Submit(j.ticket, j.request, func() *verdict.Error { return nil })
	if err != nil {
		t.Fatalf("submission was refused: %v", err)
	}
	j.jobs = append(j.jobs, job)
}
