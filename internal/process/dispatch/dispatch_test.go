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

const self = 1

// agent is a fake Sender that records the frames sent to it.
type agent struct {
	mu      sync.Mutex
	starts  []*peerv1.Start
	cancels int
}

func (a *agent) Send(f *peerv1.Frame) error {
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

func (a *agent) started() []*peerv1.Start {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*peerv1.Start(nil), a.starts...)
}

// localSlots passes requests to one broker in the same process.
type localSlots struct{ broker *slots.Broker }

func (s localSlots) Acquire(ctx context.Context, _ uint64, w *peerv1.AcquireSlots) (*peerv1.AcquiredSlots, error) {
	return s.broker.Acquire(ctx, w), nil
}

func (s localSlots) TryAcquire(_ uint64, w *peerv1.AcquireSlots) *peerv1.AcquiredSlots {
	return s.broker.TryAcquire(w)
}

func (s localSlots) Return(_ uint64, m *peerv1.ReturnSlots) { s.broker.Return(m) }

// desk is a dispatcher with fake agents of two slots each.
type desk struct {
	*Dispatcher
	agents   map[string]*agent
	counters *metrics.Counters
	ended    outcomes
	next     uint64
}

const deskSlots = 2

func newDesk(targets int) *desk {
	v := config.NewView()
	applyObject(v, departmentObject(1, false))
	k := &desk{agents: make(map[string]*agent), counters: metrics.New()}
	broker := slots.New(v, k.counters)
	k.Dispatcher = New(Options{
		Sender: self, DataCentre: "nbo1", QueueLimit: 100, Config: v, Counters: k.counters,
		Slots: localSlots{broker}, Broker: broker,
	})
	for i := range targets {
		name := fmt.Sprintf("r%d", i)
		k.agents[name] = &agent{}
		info := &peerv1.TargetInfo{Name: name, DataCentre: "nbo1", Slots: deskSlots, Size: &apiv1.Size{Cpus: 4}}
		k.Attach(info, uint64(i+100), k.agents[name])
		k.HandleLoad(name, &peerv1.Load{Free: deskSlots, Broker: self})
	}
	return k
}

func (k *desk) task(repeatable bool) *Task {
	k.next++
	return &Task{
		ID: ticket.ID{Home: self, Sequence: k.next}, JobTasks: 1, Department: "desk",
		Spec:     &apiv1.Task{Kind: "match", Repeatable: repeatable, Size: &apiv1.Size{Cpus: 1}},
		Deadline: time.Now().Add(time.Minute), Expires: time.Now().Add(time.Hour), Done: k.ended.add,
	}
}

// starts returns all starts so far, with the target of each.
func (k *desk) startsBy() map[string][]*peerv1.Start {
	m := make(map[string][]*peerv1.Start)
	for name, a := range k.agents {
		if s := a.started(); len(s) > 0 {
			m[name] = s
		}
	}
	return m
}

func (k *desk) count() int {
	n := 0
	for _, s := range k.startsBy() {
		n += len(s)
	}
	return n
}

func (k *desk) answer(target string, s *peerv1.Start, failure *verdict.Error) {
	r := &peerv1.Result{Id: s.GetId(), RunUs: 100_000}
	if failure != nil {
		r.Failure = failure.Failure()
	}
	k.HandleResult(target, r)
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

func (k *desk) submit(t *testing.T, tasks ...*Task) {
	t.Helper()
	if err := k.Submit(tasks); err != nil {
		t.Fatal(err)
	}
}

// No more tasks are sent than slots are free, and each once.
func TestNoStartWithoutASlot(t *testing.T) {
	k := newDesk(2)
	var tasks []*Task
	for range 10 {
		tasks = append(tasks, k.task(false))
	}
	k.submit(t, tasks...)
	if got := k.count(); got != 2*deskSlots {
		t.Errorf("%d starts on %d slots", got, 2*deskSlots)
	}
	seen := make(map[uint64]bool)
	for _, list := range k.startsBy() {
		for _, s := range list {
			if seen[s.GetId().GetSequence()] || !s.GetGranted() {
				t.Errorf("start %v is a repetition or has no slot", s.GetId())
			}
			seen[s.GetId().GetSequence()] = true
		}
	}
}

// A failed task that may not be repeated ends; one that may is tried again.
func TestOnlyRepeatableTasksAreRetried(t *testing.T) {
	failure := verdict.New(verdict.Ran, apiv1.Reason_REASON_TARGET_FAILED, "failed")
	for _, repeatable := range []bool{false, true} {
		k := newDesk(1)
		k.submit(t, k.task(repeatable))
		k.answer("r0", k.agents["r0"].started()[0], failure)
		if !repeatable {
			if len(k.ended.list) != 1 || k.ended.list[0].Err == nil {
				t.Errorf("outcomes %v, want the failure", k.ended.list)
			}
			continue
		}
		waitUntil(t, "the second attempt", func() bool { return k.count() == 2 })
		if got := k.counters.Counter("attempts_repeated").Count(); got != 1 {
			t.Errorf("%d repeated attempts counted", got)
		}
	}
}

// When everything fails, the budget keeps the attempts near one a task.
func TestRetriesDoNotMultiply(t *testing.T) {
	k := newDesk(1)
	failure := verdict.New(verdict.Ran, apiv1.Reason_REASON_TARGET_FAILED, "failed")
	const tasks = 60
	for range tasks {
		k.submit(t, k.task(true))
	}
	answered := 0
	waitUntil(t, "the end of all tasks", func() bool {
		for _, s := range k.agents["r0"].started()[answered:] {
			answered++
			k.answer("r0", s, failure)
			k.HandleLoad("r0", &peerv1.Load{Free: deskSlots, Broker: self, GrantedStarts: uint64(answered)})
		}
		k.ended.mu.Lock()
		defer k.ended.mu.Unlock()
		return len(k.ended.list) == tasks
	})
	if answered > tasks+retryInitial {
		t.Errorf("%d attempts for %d tasks", answered, tasks)
	}
}

// learn makes 100 ms the usual run time.
func (k *desk) learn() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for range minSamples {
		k.runTimes.add("match", 100*time.Millisecond)
	}
}

// A straggler gets one second attempt at another target; the first result wins,
// the other attempt is stopped and its result dropped.
func TestStragglerIsRepeatedOnce(t *testing.T) {
	k := newDesk(2)
	k.learn()
	k.submit(t, k.task(true), k.task(false))
	k.repeatStragglers(time.Now())
	if got := k.count(); got != 2 {
		t.Fatalf("%d starts before any task is late", got)
	}
	for range 3 {
		k.repeatStragglers(time.Now().Add(time.Second))
	}
	waitUntil(t, "the second attempt", func() bool { return k.count() == 3 })
	byTask := make(map[uint64][]string)
	starts := make(map[string]*peerv1.Start)
	for name, list := range k.startsBy() {
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
	k.answer(winner, starts[winner], nil)
	if k.agents[loser].cancels != 1 {
		t.Errorf("the loser was stopped %d times", k.agents[loser].cancels)
	}
	k.answer(loser, starts[loser], nil)
	if len(k.ended.list) != 1 || k.ended.list[0].Err != nil {
		t.Errorf("outcomes %v, want one success", k.ended.list)
	}
	if got := k.counters.Counter("results_late").Count(); got != 1 {
		t.Errorf("%d late results, want the loser's", got)
	}
}

// Cancelling a task stops both of its attempts, and it ends once.
func TestCancelStopsBothAttempts(t *testing.T) {
	k := newDesk(2)
	k.learn()
	task := k.task(true)
	k.submit(t, task)
	k.repeatStragglers(time.Now().Add(time.Second))
	waitUntil(t, "the second attempt", func() bool { return k.count() == 2 })
	k.Cancel([]*Task{task}, apiv1.Reason_REASON_CANCELLED)
	stopped := verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_CANCELLED, "stopped")
	for name, list := range k.startsBy() {
		if k.agents[name].cancels != 1 {
			t.Errorf("attempt at %s was stopped %d times", name, k.agents[name].cancels)
		}
		k.answer(name, list[0], stopped)
	}
	if len(k.ended.list) != 1 || k.ended.list[0].Err.Verdict != verdict.MayHaveRun {
		t.Errorf("outcomes %v, want one MayHaveRun", k.ended.list)
	}
}

// A job that would wait past half of its deadline is refused with the time to
// come back, and nothing of it is sent.
func TestLongQueueRefusesEarly(t *testing.T) {
	k := newDesk(1)
	now := time.Now()
	k.mu.Lock()
	k.queue.line(classOf(k.task(false)))
	k.queue.backlogs["desk"] = &backlog{past: time.Minute}
	k.pace.departments["desk"] = &average{perSecond: 2, at: time.Minute}
	k.mu.Unlock()
	var tasks []*Task
	for range deskSlots + 10 {
		tasks = append(tasks, k.task(false))
	}
	k.submit(t, tasks...)
	late := k.task(false)
	late.Deadline = now.Add(2 * time.Second)
	err := k.Submit([]*Task{late})
	if err == nil || err.Verdict != verdict.NotRun || err.Reason != apiv1.Reason_REASON_OVERLOAD || err.RetryAfter <= 0 {
		t.Errorf("refusal is %v, want NotRun with a time to come back", err)
	}
	k.submit(t, k.task(false))
}

// After a time without work the rate of starts is low for want of tasks, not of
// slots: the first jobs that wait must not be refused for it.
func TestFirstQueueAfterIdleTimeRefusesNobody(t *testing.T) {
	k := newDesk(1)
	k.submit(t, k.task(false), k.task(false))
	time.Sleep(minPaceAge)
	for _, s := range k.agents["r0"].started() {
		k.answer("r0", s, nil)
	}
	k.HandleLoad("r0", &peerv1.Load{Free: deskSlots, Broker: self})
	time.Sleep(2 * paceWindow)
	var tasks []*Task
	for range deskSlots + 4 {
		tasks = append(tasks, k.task(false))
	}
	k.submit(t, tasks...)
	next := k.task(false)
	next.Deadline = time.Now().Add(4 * time.Second)
	if err := k.Submit([]*Task{next}); err != nil {
		t.Errorf("a job behind 4 tasks is refused: %v", err)
	}
}

func TestImpossibleTaskIsRefusedAtOnce(t *testing.T) {
	k := newDesk(2)
	huge := k.task(false)
	huge.Spec.Size.Cpus = 64
	err := k.Submit([]*Task{huge})
	if err == nil || err.Verdict != verdict.NotRun || err.Reason != apiv1.Reason_REASON_NO_ELIGIBLE_TARGET {
		t.Errorf("refusal is %v, want NotRun for want of a target", err)
	}
}

// silentSlots is a broker that never answers.
type silentSlots struct{ localSlots }

func (silentSlots) TryAcquire(uint64, *peerv1.AcquireSlots) *peerv1.AcquiredSlots { return nil }

func (silentSlots) Acquire(ctx context.Context, _ uint64, _ *peerv1.AcquireSlots) (*peerv1.AcquiredSlots, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Without an answer of the broker the tasks are placed directly.
func TestSilentBrokerIsPassedOver(t *testing.T) {
	k := newDesk(1)
	k.opts.Slots = silentSlots{}
	k.submit(t, k.task(false))
	waitUntil(t, "the start", func() bool { return k.count() == 1 })
	if k.agents["r0"].started()[0].GetGranted() {
		t.Error("the start claims a slot that nobody lent")
	}
}

// Tasks of short jobs go first, but a job that has waited for longer than the
// slack is not passed by any.
func TestShortJobsGoFirstWithinBounds(t *testing.T) {
	k := newDesk(1)
	k.submit(t, k.task(false), k.task(false))
	long, short := k.task(false), k.task(false)
	long.Spec.RunMs, short.Spec.RunMs = 60_000, 50
	k.submit(t, long)
	k.submit(t, short)
	k.mu.Lock()
	l := k.queue.line(classOf(long))
	if l.first() != short {
		t.Error("the short job does not go first")
	}
	late := k.task(false)
	k.queue.push(late, long.due.Add(time.Millisecond))
	if l.tasks.Back().Value.(*Task) != late {
		t.Error("a job that is due later passed one that is due")
	}
	k.mu.Unlock()
	if long.due.Sub(short.due) > maxSlack+time.Second {
		t.Errorf("a declared run time puts a job back by %s", long.due.Sub(short.due))
	}
}

// A start that was refused as fenced was not run here, but the adopter may run
// its task: the task ends as may have run, and is not sent again.
func TestFencedTaskMayHaveRun(t *testing.T) {
	k := newDesk(1)
	k.submit(t, k.task(true))
	k.answer("r0", k.agents["r0"].started()[0], verdict.NotRunError(apiv1.Reason_REASON_FENCED, "fenced"))
	if len(k.ended.list) != 1 || k.ended.list[0].Err == nil || k.ended.list[0].Err.Verdict != verdict.MayHaveRun {
		t.Errorf("outcomes %v, want one that may have run", k.ended.list)
	}
	if got := k.count(); got != 1 {
		t.Errorf("%d starts, want 1", got)
	}
}

// Without a lent slot no more tasks are sent than slots were reported free.
func TestDirectStartsKeepToReportedSlots(t *testing.T) {
	k := newDesk(1)
	k.opts.Slots = silentSlots{}
	k.HandleLoad("r0", &peerv1.Load{Free: 1, Broker: self})
	k.submit(t, k.task(false), k.task(false), k.task(false))
	waitUntil(t, "the first start", func() bool { return k.count() >= 1 })
	k.Refresh()
	if got := k.count(); got != 1 {
		t.Errorf("%d starts on 1 free slot", got)
	}
}
