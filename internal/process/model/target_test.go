package model

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

var errUnanswered = errors.New("no answer")

// fault is how a target treats the orders that reach it.
type fault int

const (
	sound fault = iota
	// mute: orders do not arrive.
	mute
	// loses: orders are carried out, and not answered.
	loses
	// late: orders are carried out lateBy later, and not answered.
	late
)

// lateBy is the longest delay of an order; most are shorter.
const lateBy = 1500 * time.Millisecond

// target is one lifetime of a target. It fences orders, holds what runs under a lease
// that its own clock measures, and tells the ledger of each start and end.
type target struct {
	ledger *ledger
	name   string
	// drift is how much longer a lease is by this target's clock.
	drift float64

	mu      sync.Mutex
	fault   fault
	token   uint64
	until   time.Time
	runs    map[task.Attempt]*time.Timer
	highest map[task.Key]uint64
	ended   []runs.Ended
	dead    bool
}

func newTarget(l *ledger, name string, drift float64) *target {
	t := &target{ledger: l, name: name, drift: drift, runs: make(map[task.Attempt]*time.Timer), highest: make(map[task.Key]uint64)}
	go t.lapse()
	return t
}

// lapse ends what runs when the lease is over.
func (t *target) lapse() {
	for {
		time.Sleep(5 * time.Millisecond)
		t.mu.Lock()
		if t.dead {
			t.mu.Unlock()
			return
		}
		if time.Now().After(t.until) {
			for a := range t.runs {
				t.endLocked(a, peer.OutcomeLost)
			}
		}
		t.mu.Unlock()
	}
}

// crash ends everything; the target is never heard again.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, timer := range t.runs {
		timer.Stop()
		t.ledger.ended(t.name, a.Key)
	}
	clear(t.runs)
	t.dead = true
}

func (t *target) setFault(f fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

func (t *target) endLocked(a task.Attempt, outcome peer.Outcome) {
	timer, ok := t.runs[a]
	if !ok {
		return
	}
	timer.Stop()
	delete(t.runs, a)
	t.ledger.ended(t.name, a.Key)
	t.ended = append(t.ended, runs.Ended{Number: uint64(len(t.ended) + 1), Attempt: a, Outcome: outcome})
}

// order passes an order through the present fault.
func (t *target) order(ctx context.Context, carryOut func() runs.Answer) (runs.Answer, error) {
	time.Sleep(200 * time.Microsecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dead || t.fault == mute {
		t.mu.Unlock()
		<-ctx.Done()
		t.mu.Lock()
		return 0, errUnanswered
	}
	switch t.fault {
	case loses:
		carryOut()
		return 0, errUnanswered
	case late:
		time.AfterFunc(lateBy/time.Duration(1+len(t.ended)%5), func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			if !t.dead {
				carryOut()
			}
		})
		return 0, errUnanswered
	}
	return carryOut(), nil
}

func (t *target) fencedLocked(token uint64) bool {
	if token < t.token {
		return true
	}
	t.token = token
	return false
}

// conn is a target as one process of its agent reaches it. It stands still with it.
type conn struct {
	*target
	agent *agent
	// process is the one that dialled; a dead one sends nothing.
	process int
}

func (c *conn) lease() time.Time {
	return time.Now().Add(time.Duration(float64(targetLease) * (1 + c.drift)))
}

func (c *conn) Start(ctx context.Context, token uint64, s peer.Start) (runs.Answer, error) {
	until := c.lease()
	if !c.agent.awaken(c.process) {
		return 0, errUnanswered
	}
	return c.order(ctx, func() runs.Answer {
		a := s.Attempt
		switch {
		case c.fencedLocked(token):
			return runs.AnswerFenced
		case time.Now().After(until):
			return runs.AnswerLate
		case c.runs[a] != nil:
			return runs.AnswerDone
		case c.highest[a.Key] >= a.Run:
			return runs.AnswerStaleRun
		}
		if c.until.Before(until) {
			c.until = until
		}
		c.highest[a.Key] = a.Run
		c.ledger.started(c.name, a.Key)
		c.runs[a] = time.AfterFunc(c.ledger.runTime(a.Key), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.endLocked(a, peer.OutcomeDone)
		})
		return runs.AnswerDone
	})
}

func (c *conn) Stop(ctx context.Context, token uint64, a task.Attempt) (runs.Answer, error) {
	if !c.agent.awaken(c.process) {
		return 0, errUnanswered
	}
	return c.order(ctx, func() runs.Answer {
		if c.fencedLocked(token) {
			return runs.AnswerFenced
		}
		c.highest[a.Key] = max(c.highest[a.Key], a.Run)
		c.endLocked(a, peer.OutcomeStopped)
		return runs.AnswerDone
	})
}

func (c *conn) Look(ctx context.Context, look runs.Look) (runs.Report, error) {
	until := c.lease()
	if !c.agent.awaken(c.process) {
		return runs.Report{}, errUnanswered
	}
	var report runs.Report
	answer, err := c.order(ctx, func() runs.Answer {
		if c.fencedLocked(look.Token) {
			return runs.AnswerFenced
		}
		if look.Renew && c.until.Before(until) {
			c.until = until
		}
		for a := range c.runs {
			report.Running = append(report.Running, runs.Running{Attempt: a, Percent: 50})
		}
		for _, e := range c.ended {
			if e.Number > look.LastSeen {
				report.Ended = append(report.Ended, e)
			}
		}
		return runs.AnswerDone
	})
	report.Answer = answer
	if len(report.Ended) == 0 && err == nil {
		select {
		case <-ctx.Done():
		case <-time.After(min(look.Wait, 20*time.Millisecond)):
		}
	}
	return report, err
}

func (c *conn) Close() {}
