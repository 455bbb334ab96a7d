package loadreplay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// orderDelay is the round trip between an agent and the target on the same machine.
const orderDelay = 300 * time.Microsecond

// target simulates a target that guards its capacity and runs each task at its speed. It
// implements runs.TargetClient.
type target struct {
	workload *workload
	capacity int64
	speed    float64

	// announce announces a capacity of the target from now on, which it then does not guard.
	announce func(capacity int64)

	mu   sync.Mutex
	used int64
	// announcedAt is when a capacity was announced; zero while the target guards its own.
	announcedAt time.Time
	// overCapacity is the number of starts over an announced capacity.
	overCapacity int
	running      map[task.Attempt]*activeRun
	ended        []runs.EndedRun
	// crashed is set once a task has crashed this incarnation; onCrash is called then.
	crashed bool
	onCrash func()
	// changed is closed and replaced whenever a run ends.
	changed chan struct{}
	// wastedCPU is the work of stopped runs, in thousandths of a core times seconds.
	wastedCPU float64
}

type activeRun struct {
	cpu     int64
	started time.Time
	length  time.Duration
	timer   *time.Timer
}

func newTarget(w *workload, capacity int64, speed float64) *target {
	return &target{workload: w, capacity: capacity, speed: speed, running: make(map[task.Attempt]*activeRun), changed: make(chan struct{})}
}

func (t *target) Start(ctx context.Context, _ runs.Permit, s peer.Start) (runs.Answer, error) {
	time.Sleep(orderDelay)
	if t.isGone() {
		return 0, t.goneError(ctx)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.used+s.Need.CPU > t.capacity {
		if t.announcedAt.IsZero() {
			return runs.AnswerNoRoom, nil
		}
		if time.Since(t.announcedAt) > orderDelay {
			t.overCapacity++
		}
	}
	length := float64(t.workload.work(s.Attempt.Key)) / t.speed * t.workload.slowdown(s.Attempt.Key, t.running)
	r := &activeRun{cpu: s.Need.CPU, started: time.Now(), length: time.Duration(length)}
	t.used += r.cpu
	t.running[s.Attempt] = r
	r.timer = time.AfterFunc(r.length, func() { t.end(s.Attempt, peer.OutcomeDone) })
	if after, ok := t.workload.crashes(s.Attempt.Key); ok {
		time.AfterFunc(after, func() { t.crash(s.Attempt) })
	}
	return runs.AnswerDone, nil
}

func (t *target) setCapacity(capacity int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity, t.announcedAt = capacity, time.Now()
}

// isGone reports whether a task has crashed this incarnation.
func (t *target) isGone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashed
}

// goneError returns the error of an order to a target that has crashed: its address refuses
// connections or, if its tasks silence targets, does not answer in time.
func (t *target) goneError(ctx context.Context) error {
	if !t.workload.silent {
		return runs.ErrRefused
	}
	<-ctx.Done()
	return errors.New("no answer")
}

// crash ends the target if a killer still runs on it.
func (t *target) crash(killer task.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashed || t.running[killer] == nil {
		return
	}
	t.crashed = true
	for _, r := range t.running {
		r.timer.Stop()
	}
	t.workload.recordCrash(killer.Key, len(t.running))
	clear(t.running)
	close(t.changed)
	t.changed = make(chan struct{})
	t.onCrash()
}

func (t *target) Stop(ctx context.Context, _ uint64, a task.Attempt) (runs.Answer, error) {
	time.Sleep(orderDelay)
	if t.isGone() {
		return 0, t.goneError(ctx)
	}
	t.end(a, peer.OutcomeStopped)
	return runs.AnswerDone, nil
}

func (t *target) end(a task.Attempt, outcome peer.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.running[a]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(t.running, a)
	t.used -= r.cpu
	if outcome == peer.OutcomeStopped {
		t.wastedCPU += float64(r.cpu) * time.Since(r.started).Seconds()
	}
	t.ended = append(t.ended, runs.EndedRun{Number: uint64(len(t.ended) + 1), Attempt: a, Outcome: outcome})
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *target) Poll(ctx context.Context, request runs.PollRequest) (runs.Report, error) {
	time.Sleep(orderDelay)
	timeout := time.NewTimer(request.Wait)
	defer timeout.Stop()
	for {
		report, changed, crashed := t.report(request.LastSeen)
		if crashed {
			return runs.Report{}, t.goneError(ctx)
		}
		if len(report.Ended) > 0 {
			return report, nil
		}
		select {
		case <-ctx.Done():
			return runs.Report{}, errors.New("no answer")
		case <-timeout.C:
			report, _, _ = t.report(request.LastSeen)
			return report, nil
		case <-changed:
		}
	}
}

func (t *target) report(lastSeen uint64) (report runs.Report, changed <-chan struct{}, crashed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, r := range t.running {
		percent := int(100 * time.Since(r.started) / max(r.length, 1))
		report.Running = append(report.Running, runs.ActiveRun{Attempt: a, Percent: min(percent, 99)})
	}
	report.Ended = append(report.Ended, t.ended[min(lastSeen, uint64(len(t.ended))):]...)
	return report, t.changed, t.crashed
}

func (t *target) Close() {}
