package model

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/standin/runtarget"
)

const (
	// maxOrderDelay is the longest delay of the calls that delayOrders affects, and maxCallDelay
	// that of others; both are longer than the lease.
	maxOrderDelay = 1500 * time.Millisecond
	maxCallDelay  = 3 * time.Second
	// roundTrip is the time of a call between an agent and its target.
	roundTrip = 200 * time.Microsecond
	// maxPollWait is the longest wait for the end of a run in a poll.
	maxPollWait = 20 * time.Millisecond
	targetCPU   = 8000
)

// target simulates the target beside an agent, of which one incarnation follows the other. It
// reports each start and end to the checker.
type target struct {
	*runtarget.Target
	checker *checker
	// onKiller is called when a task has run for killTime that crashes its targets.
	onKiller func(killer task.Attempt, incarnation int64)

	mu sync.Mutex
	// id and incarnation are those of the incarnation that runs, or ran last.
	id          string
	incarnation int64
	// down is set between a crash and the next incarnation, silent as well if the address does
	// not refuse connections meanwhile.
	down, silent bool
	// ordered holds the attempts of which the agent does not know that they have ended.
	ordered map[task.Attempt]bool
}

func newTarget(c *checker, drift float64) *target {
	t := &target{checker: c, down: true, ordered: make(map[task.Attempt]bool)}
	t.Target = runtarget.New(runtarget.Options{
		Capacity:     task.Resources{CPU: targetCPU},
		MaxLease:     targetLease,
		Drift:        drift,
		Started:      t.started,
		Ended:        func(a task.Attempt, _ peer.Outcome) { c.ended(t.name(), a.Key) },
		Acknowledged: t.acknowledged,
	})
	return t
}

// name returns the name of the present incarnation in the checker's events.
func (t *target) name() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%s (incarnation %d)", t.id, t.incarnation)
}

// started reports a start, and ends the run after the run time of its task.
func (t *target) started(s peer.Start) {
	a := s.Attempt
	t.checker.started(t.name(), a.Key)
	time.AfterFunc(t.checker.runTime(a.Key), func() { t.End(a, peer.OutcomeDone) })
	if t.checker.isKiller(a.Key) {
		incarnation := t.present()
		time.AfterFunc(killTime, func() { t.onKiller(a, incarnation) })
	}
}

// present returns the incarnation that runs, or ran last.
func (t *target) present() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnation
}

func (t *target) acknowledged(a task.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ordered, a)
}

// boot starts the next incarnation.
func (t *target) boot(id string, incarnation int64) {
	t.mu.Lock()
	t.id, t.incarnation, t.down, t.silent = id, incarnation, false, false
	clear(t.ordered)
	t.mu.Unlock()
	t.Boot(id, incarnation)
}

// crash ends the present incarnation, if there is one.
func (t *target) crash(refuses bool) {
	t.Crash(refuses)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return
	}
	t.down, t.silent = true, !refuses
	for a := range t.ordered {
		t.checker.crashed(a.Key)
	}
}

// conn is the connection of one agent process to a target. Its calls and their answers wait
// while the process is paused.
type conn struct {
	*target
	agent *agent
	// process is the number of the process that opened the connection. After that process
	// ends, no order is sent.
	process int
	// id and incarnation are those of the intended target.
	id          string
	incarnation int64
	// clockBack is how far the process's clock of the day has been set back.
	clockBack time.Duration

	clockMu sync.Mutex
	// clock is the target's clock in the answer received at clockReadAt.
	clock       time.Duration
	clockReadAt time.Time
}

// leaseUntil returns the end of a lease that is issued at a time, or 0 while the target's clock
// is unknown.
func (c *conn) leaseUntil(issuedAt time.Time) time.Duration {
	c.clockMu.Lock()
	defer c.clockMu.Unlock()
	if c.clockReadAt.IsZero() {
		return 0
	}
	return c.clock + issuedAt.Sub(c.clockReadAt) + targetLease
}

func (c *conn) setClock(clock time.Duration) {
	c.clockMu.Lock()
	defer c.clockMu.Unlock()
	c.clock, c.clockReadAt = clock, time.Now()
}

// do sends a call and returns the answer, each once the process is no longer paused.
func (c *conn) do(ctx context.Context, token uint64, call runtarget.Call) (runtarget.Reply, runs.Answer, error) {
	if !c.agent.waitRunnable(c.process) {
		return runtarget.Reply{}, 0, runtarget.ErrSilent
	}
	if call.Kind == runtarget.Start {
		c.noteOrder(call.Start.Attempt)
	}
	time.Sleep(roundTrip)
	call.Target, call.Token = c.id, token-uint64(c.clockBack.Milliseconds())
	reply, err := c.Do(ctx, call)
	if !c.agent.waitRunnable(c.process) {
		return runtarget.Reply{}, 0, runtarget.ErrSilent
	}
	if errors.Is(err, runtarget.ErrRefused) {
		return reply, 0, runs.ErrRefused
	}
	if err != nil {
		return reply, 0, err
	}
	if reply.Incarnation != 0 {
		c.setClock(reply.Clock)
	}
	return reply, c.answer(reply), nil
}

// answers maps the answers of the intended incarnation.
var answers = map[runtarget.Answer]runs.Answer{
	runtarget.Done:         runs.AnswerDone,
	runtarget.Fenced:       runs.AnswerFenced,
	runtarget.StaleRun:     runs.AnswerStaleRun,
	runtarget.LeaseExpired: runs.AnswerLeaseExpired,
	runtarget.NoRoom:       runs.AnswerNoRoom,
	runtarget.Unhealthy:    runs.AnswerUnhealthy,
	runtarget.OtherTarget:  runs.AnswerOtherIncarnation,
}

func (c *conn) answer(reply runtarget.Reply) runs.Answer {
	switch {
	case reply.Incarnation == 0 || reply.Incarnation == c.incarnation:
		return answers[reply.Answer]
	case reply.Answer == runtarget.Done:
		return runs.AnswerDoneByOtherIncarnation
	}
	return runs.AnswerOtherIncarnation
}

func (c *conn) Start(ctx context.Context, permit runs.Permit, s peer.Start) (runs.Answer, error) {
	call := runtarget.Call{Kind: runtarget.Start, Start: s, Until: c.leaseUntil(permit.LeaseFrom)}
	_, answer, err := c.do(ctx, permit.Token, call)
	return answer, err
}

// noteOrder records that an attempt may run as far as the agent knows, also if the target has
// crashed and the agent can't know yet.
func (c *conn) noteOrder(a task.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent && !c.ordered[a] {
		c.checker.crashed(a.Key)
	}
	c.ordered[a] = true
}

func (c *conn) Stop(ctx context.Context, token uint64, a task.Attempt) (runs.Answer, error) {
	_, answer, err := c.do(ctx, token, runtarget.Call{Kind: runtarget.Stop, Attempt: a})
	return answer, err
}

func (c *conn) Poll(ctx context.Context, request runs.PollRequest) (runs.Report, error) {
	call := runtarget.Call{Kind: runtarget.Poll, LastSeen: request.LastSeen, Wait: min(request.Wait, maxPollWait)}
	if request.Renew {
		call.Until = c.leaseUntil(request.LeaseFrom)
	}
	reply, answer, err := c.do(ctx, request.Token, call)
	if err != nil || answer != runs.AnswerDone {
		return runs.Report{Answer: answer}, err
	}
	var report runs.Report
	for _, r := range reply.Running {
		report.Running = append(report.Running, runs.ActiveRun{Attempt: r.Start.Attempt, Percent: 50})
	}
	for _, e := range reply.Ended {
		report.Ended = append(report.Ended, runs.EndedRun(e))
	}
	return report, nil
}

func (c *conn) Close() {}
