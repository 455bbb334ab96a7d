package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/slots"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

const localEntry = 1

// fakeAgent is a Sender that records the frames sent to it.
type fakeAgent struct {
	mu      sync.Mutex
	starts  []*peerv1.Start
	cancels int
}

func (a *fakeAgent) Send(f *peerv1.Frame) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch body := f.GetBody().(type) {
	case *peerv1.Frame_Start:
		a.starts = append(a.starts, body.Start)
	case *peerv1.Frame_Cancel:
		a.cancels += len(body.Cancel.GetIds())
	}
	return nil
}

func (a *fakeAgent) started() []*peerv1.Start {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*peerv1.Start(nil), a.starts...)
}

// localSlots sends slot requests to one broker in the same process.
type localSlots struct{ broker *slots.Broker }

func (s localSlots) Acquire(ctx context.Context, _ uint64, req *peerv1.AcquireSlots) (*peerv1.AcquiredSlots, error) {
	return s.broker.Acquire(ctx, req), nil
}

func (s localSlots) TryAcquire(_ uint64, req *peerv1.AcquireSlots) *peerv1.AcquiredSlots {
	return s.broker.TryAcquire(req)
}

func (s localSlots) Return(_ uint64, m *peerv1.ReturnSlots) { s.broker.Return(m) }

// fixture is a dispatcher with fake agents that have slotsPerTarget slots each.
type fixture struct {
	*Dispatcher
	agents   map[string]*fakeAgent
	counters *metrics.Counters
	ended    outcomeRecorder
	next     uint64
}

const slotsPerTarget = 2

func newFixture(targets int) *fixture {
	v := config.NewView()
	applyObject(v, departmentObject(1, false))
	fx := &fixture{agents: make(map[string]*fakeAgent), counters: metrics.New()}
	broker := slots.New(v, fx.counters)
	fx.Dispatcher = New(Options{
		Incarnation: localEntry, DataCentre: "nbo1", QueueLimit: 100, Config: v, Counters: fx.counters,
		Slots: localSlots{broker}, Broker: broker,
	})
	for i := range targets {
		name := fmt.Sprintf("r%d", i)
		fx.agents[name] = &fakeAgent{}
		info := &peerv1.TargetInfo{Name: name, DataCentre: "nbo1", Slots: slotsPerTarget, Size: &apiv1.Size{Cpus: 4}}
		fx.Attach(info, uint64(i+100), fx.agents[name])
		fx.HandleLoad(name, &peerv1.Load{Free: slotsPerTarget, Broker: localEntry})
	}
	return fx
}

func (fx *fixture) task(repeatable bool) *Task {
	fx.next++
	return &Task{
		ID: ticket.ID{Home: localEntry, Sequence: fx.next}, JobTasks: 1, Department: "desk",
		Spec:     &apiv1.Task{Kind: "match", Repeatable: repeatable, Size: &apiv1.Size{Cpus: 1}},
		Deadline: time.Now().Add(time.Minute), Expires: time.Now().Add(time.Hour), Done: fx.ended.add,
	}
}

// startsByTarget returns all starts so far by target.
func (fx *fixture) startsByTarget() map[string][]*peerv1.Start {
	m := make(map[string][]*peerv1.Start)
	for name, a := range fx.agents {
		if s := a.started(); len(s) > 0 {
			m[name] = s
		}
	}
	return m
}

func (fx *fixture) startCount() int {
	n := 0
	for _, s := range fx.startsByTarget() {
		n += len(s)
	}
	return n
}

func (fx *fixture) answer(target string, s *peerv1.Start, failure *verdict.Error) {
	r := &peerv1.Result{Id: s.GetId(), RunUs: 100_000}
	if failure != nil {
		r.Failure = failure.Failure()
	}
	fx.HandleResult(target, r)
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s did not happen within 10 s", what)
}

func (fx *fixture) submit(t *testing.T, tasks ...*Task) {
	t.Helper()
	if err := fx.Submit(tasks); err != nil {
		t.Fatal(err)
	}
}

// Guards against more starts than free slots, and against starting a task twice.
func TestStartsDoNotExceedFreeSlots(t *testing.T) {
	fx := newFixture(2)
	var tasks []*Task
	for range 10 {
		tasks = append(tasks, fx.task(false))
	}
	fx.submit(t, tasks...)
	if got := fx.startCount(); got != 2*slotsPerTarget {
		t.Errorf("%d starts on %d slots", got, 2*slotsPerTarget)
	}
	seen := make(map[uint64]bool)
	for _, list := range fx.startsByTarget() {
		for _, s := range list {
			if seen[s.GetId().GetSequence()] || !s.GetGranted() {
				t.Errorf("start %v is a duplicate or has no granted slot", s.GetId())
			}
			seen[s.GetId().GetSequence()] = true
		}
	}
}

// A failed task ends unless it is repeatable; a repeatable one is retried.
func TestOnlyRepeatableTasksAreRetried(t *testing.T) {
	failure := verdict.New(verdict.Ran, apiv1.Reason_REASON_TARGET_FAILED, "failed")
	for _, repeatable := range []bool{false, true} {
		fx := newFixture(1)
		fx.submit(t, fx.task(repeatable))
		fx.answer("r0", fx.agents["r0"].started()[0], failure)
		if !repeatable {
			if len(fx.ended.list) != 1 || fx.ended.list[0].Err == nil {
				t.Errorf("outcomes %v, want the failure", fx.ended.list)
			}
			continue
		}
		waitUntil(t, "the second attempt", func() bool { return fx.startCount() == 2 })
		if got := fx.counters.Counter("attempts_repeated").Count(); got != 1 {
			t.Errorf("%d repeated attempts counted", got)
		}
	}
}

// A repeatable task crashes each target that starts it, while other tasks succeed and earn
// retries: it must not take target after target.
func TestTaskThatCrashesTargetsIsNotRetriedForEver(t *testing.T) {
	fx := newFixture(6)
	fx.submit(t, fx.task(true))
	crash := verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_TARGET_FAILED, "connection reset")
	crashes := 0
	waitUntil(t, "the end of the task", func() bool {
		for name, starts := range fx.startsByTarget() {
			for _, s := range starts {
				if s.GetId().GetAttempt() == uint32(crashes+1) {
					crashes++
					fx.budget.Success()
					fx.answer(name, s, crash)
				}
			}
		}
		return fx.ended.len() == 1
	})
	if crashes > 3 {
		t.Errorf("the task crashed %d targets", crashes)
	}
	if err := fx.ended.list[0].Err; err == nil || err.Reason != apiv1.Reason_REASON_TARGET_CRASHED || err.Verdict != verdict.MayHaveRun {
		t.Errorf("outcome is %v", err)
	}
}

// If every attempt fails, the retry budget must keep the number of attempts close to one
// per task.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	fx := newFixture(1)
	failure := verdict.New(verdict.Ran, apiv1.Reason_REASON_TARGET_FAILED, "failed")
	const tasks = 60
	for range tasks {
		fx.submit(t, fx.task(true))
	}
	answered := 0
	waitUntil(t, "the end of all tasks", func() bool {
		for _, s := range fx.agents["r0"].started()[answered:] {
			answered++
			fx.answer("r0", s, failure)
			fx.HandleLoad("r0", &peerv1.Load{Free: slotsPerTarget, Broker: localEntry, GrantedStarts: uint64(answered)})
		}
		fx.ended.mu.Lock()
		defer fx.ended.mu.Unlock()
		return len(fx.ended.list) == tasks
	})
	if answered > tasks+retryInitial {
		t.Errorf("%d attempts for %d tasks", answered, tasks)
	}
}

// learnRunTimes fills the histogram of the test's kind with run times of 100 ms.
func (fx *fixture) learnRunTimes() {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	for range minSamples {
		fx.runTimes.add("match", 100*time.Millisecond)
	}
}

// A straggler gets exactly one speculative attempt, at another target. The first result
// wins; the other attempt is cancelled and its result dropped.
func TestStragglerIsRepeatedOnce(t *testing.T) {
	fx := newFixture(2)
	fx.learnRunTimes()
	fx.submit(t, fx.task(true), fx.task(false))
	fx.speculateOnStragglers(time.Now())
	if got := fx.startCount(); got != 2 {
		t.Fatalf("%d starts before any task is a straggler", got)
	}
	for range 3 {
		fx.speculateOnStragglers(time.Now().Add(time.Second))
	}
	waitUntil(t, "the second attempt", func() bool { return fx.startCount() == 3 })
	byTask := make(map[uint64][]string)
	starts := make(map[string]*peerv1.Start)
	for name, list := range fx.startsByTarget() {
		for _, s := range list {
			if s.GetId().GetSequence() == 1 {
				byTask[1] = append(byTask[1], name)
				starts[name] = s
			}
		}
	}
	if len(byTask[1]) != 2 || byTask[1][0] == byTask[1][1] {
		t.Fatalf("attempts of the repeatable task at %v, want two targets", byTask[1])
	}
	winner, loser := byTask[1][0], byTask[1][1]
	fx.answer(winner, starts[winner], nil)
	if fx.agents[loser].cancels != 1 {
		t.Errorf("the losing attempt was cancelled %d times", fx.agents[loser].cancels)
	}
	fx.answer(loser, starts[loser], nil)
	if len(fx.ended.list) != 1 || fx.ended.list[0].Err != nil {
		t.Errorf("outcomes %v, want one success", fx.ended.list)
	}
	if got := fx.counters.Counter("results_late").Count(); got != 1 {
		t.Errorf("%d late results, want that of the losing attempt", got)
	}
}

// Cancelling a task with a speculative attempt cancels both attempts, and the task ends
// once.
func TestCancelStopsBothAttempts(t *testing.T) {
	fx := newFixture(2)
	fx.learnRunTimes()
	task := fx.task(true)
	fx.submit(t, task)
	fx.speculateOnStragglers(time.Now().Add(time.Second))
	waitUntil(t, "the second attempt", func() bool { return fx.startCount() == 2 })
	fx.Cancel([]*Task{task}, apiv1.Reason_REASON_CANCELLED)
	stopped := verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_CANCELLED, "stopped")
	for name, list := range fx.startsByTarget() {
		if fx.agents[name].cancels != 1 {
			t.Errorf("attempt at %s was cancelled %d times", name, fx.agents[name].cancels)
		}
		fx.answer(name, list[0], stopped)
	}
	if len(fx.ended.list) != 1 || fx.ended.list[0].Err.Verdict != verdict.MayHaveRun {
		t.Errorf("outcomes %v, want one MayHaveRun", fx.ended.list)
	}
}

// A job that would wait for more than half of the time to its deadline is refused with a
// retry-after, and none of its tasks is sent.
func TestJobIsRefusedWhenExpectedWaitExceedsDeadlineShare(t *testing.T) {
	fx := newFixture(1)
	now := time.Now()
	fx.mu.Lock()
	fx.queue.forClass(classOf(fx.task(false)))
	fx.queue.backlogs["desk"] = &backlog{total: time.Minute}
	fx.startRates.departments["desk"] = &decayingRate{perSecond: 2, lastAt: time.Minute}
	fx.mu.Unlock()
	var tasks []*Task
	for range slotsPerTarget + 10 {
		tasks = append(tasks, fx.task(false))
	}
	fx.submit(t, tasks...)
	late := fx.task(false)
	late.Deadline = now.Add(2 * time.Second)
	err := fx.Submit([]*Task{late})
	if err == nil || err.Verdict != verdict.NotRun || err.Reason != apiv1.Reason_REASON_OVERLOAD || err.RetryAfter <= 0 {
		t.Errorf("refusal is %v, want NotRun with a retry-after", err)
	}
	fx.submit(t, fx.task(false))
}

// After an idle period the start rate is low for lack of tasks, not of slots. Guards
// against refusing the first jobs that wait because of that rate.
func TestIdleTimeDoesNotLowerStartRate(t *testing.T) {
	fx := newFixture(1)
	fx.submit(t, fx.task(false), fx.task(false))
	time.Sleep(minRateAge)
	for _, s := range fx.agents["r0"].started() {
		fx.answer("r0", s, nil)
	}
	fx.HandleLoad("r0", &peerv1.Load{Free: slotsPerTarget, Broker: localEntry})
	time.Sleep(2 * rateWindow)
	var tasks []*Task
	for range slotsPerTarget + 4 {
		tasks = append(tasks, fx.task(false))
	}
	fx.submit(t, tasks...)
	next := fx.task(false)
	next.Deadline = time.Now().Add(4 * time.Second)
	if err := fx.Submit([]*Task{next}); err != nil {
		t.Errorf("a job behind 4 tasks is refused: %v", err)
	}
}

func TestInfeasibleTaskIsRefused(t *testing.T) {
	fx := newFixture(2)
	huge := fx.task(false)
	huge.Spec.Size.Cpus = 64
	err := fx.Submit([]*Task{huge})
	if err == nil || err.Verdict != verdict.NotRun || err.Reason != apiv1.Reason_REASON_NO_ELIGIBLE_TARGET {
		t.Errorf("refusal is %v, want NotRun for lack of an eligible target", err)
	}
}

// unresponsiveSlots stands for a broker that never answers.
type unresponsiveSlots struct{ localSlots }

func (unresponsiveSlots) TryAcquire(uint64, *peerv1.AcquireSlots) *peerv1.AcquiredSlots { return nil }

func (unresponsiveSlots) Acquire(ctx context.Context, _ uint64, _ *peerv1.AcquireSlots) (*peerv1.AcquiredSlots, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// If the broker does not answer, the tasks are placed directly.
func TestTasksArePlacedDirectlyWhenBrokerIsUnresponsive(t *testing.T) {
	fx := newFixture(1)
	fx.opts.Slots = unresponsiveSlots{}
	fx.submit(t, fx.task(false))
	waitUntil(t, "the start", func() bool { return fx.startCount() == 1 })
	if fx.agents["r0"].started()[0].GetGranted() {
		t.Error("the start is marked as granted, but no broker granted a slot")
	}
}

// Tasks of short jobs start first, but no job overtakes one that has waited for longer
// than the slack.
func TestShortJobsGoFirstWithinBounds(t *testing.T) {
	fx := newFixture(1)
	fx.submit(t, fx.task(false), fx.task(false))
	long, short := fx.task(false), fx.task(false)
	long.Spec.RunMs, short.Spec.RunMs = 60_000, 50
	fx.submit(t, long)
	fx.submit(t, short)
	fx.mu.Lock()
	cq := fx.queue.forClass(classOf(long))
	if cq.first() != short {
		t.Error("the short job is not first")
	}
	late := fx.task(false)
	fx.queue.push(late, long.due.Add(time.Millisecond))
	if cq.tasks.Back().Value.(*Task) != late {
		t.Error("a job with a later due time overtook one with an earlier due time")
	}
	fx.mu.Unlock()
	if long.due.Sub(short.due) > maxSlack+time.Second {
		t.Errorf("a declared run time delays a job by %s", long.due.Sub(short.due))
	}
}

// A start refused as fenced has not run, but the adopter may run the task. The task must
// end as MayHaveRun and must not be sent again.
func TestFencedTaskMayHaveRun(t *testing.T) {
	fx := newFixture(1)
	fx.submit(t, fx.task(true))
	fx.answer("r0", fx.agents["r0"].started()[0], verdict.NotRunError(apiv1.Reason_REASON_FENCED, "fenced"))
	if len(fx.ended.list) != 1 || fx.ended.list[0].Err == nil || fx.ended.list[0].Err.Verdict != verdict.MayHaveRun {
		t.Errorf("outcomes %v, want one that may have run", fx.ended.list)
	}
	if got := fx.startCount(); got != 1 {
		t.Errorf("%d starts, want 1", got)
	}
}

// Without granted slots, no more tasks are sent than slots were reported free.
func TestDirectStartsDoNotExceedReportedSlots(t *testing.T) {
	fx := newFixture(1)
	fx.opts.Slots = unresponsiveSlots{}
	fx.HandleLoad("r0", &peerv1.Load{Free: 1, Broker: localEntry})
	fx.submit(t, fx.task(false), fx.task(false), fx.task(false))
	waitUntil(t, "the first start", func() bool { return fx.startCount() >= 1 })
	fx.Refresh()
	if got := fx.startCount(); got != 1 {
		t.Errorf("%d starts on 1 free slot", got)
	}
}
