package runtarget

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// Kind is a kind of call.
type Kind int

// The kinds of calls.
const (
	Start Kind = iota
	Stop
	Poll
	kinds
)

// Call is a call of a target.
type Call struct {
	Kind Kind
	// Target is the ID of the intended target. One with another ID does nothing.
	Target string
	Token  uint64
	// Until is the end of the lease in a start or poll, on the target's clock. A call without
	// it renews nothing.
	Until time.Duration
	// Start is the order of a start.
	Start peer.Start
	// Attempt is the run that a stop ends.
	Attempt task.Attempt
	// LastSeen is the highest number of an ended run that a poll acknowledges, and Wait how
	// long its answer may wait for the next end.
	LastSeen uint64
	Wait     time.Duration
}

// attempt returns the attempt that an order is about.
func (c *Call) attempt() task.Attempt {
	if c.Kind == Start {
		return c.Start.Attempt
	}
	return c.Attempt
}

// Answer is the result of a call.
type Answer int

// The possible answers.
const (
	// Done: executed. A start of a run that is in progress is done as well.
	Done Answer = iota
	// Fenced: a higher token has been seen.
	Fenced
	// StaleRun: this run of the task or a later one was stopped or has ended.
	StaleRun
	// LeaseExpired: the lease has expired.
	LeaseExpired
	// NoRoom: the free capacity is not enough.
	NoRoom
	// Unhealthy: the target has done nothing.
	Unhealthy
	// OtherTarget: the intended target does not run at this address. Nothing was done.
	OtherTarget
)

// Reply is the answer to a call. Unhealthy and OtherTarget come without anything else.
type Reply struct {
	Answer      Answer
	Incarnation int64
	Clock       time.Duration
	// Running and Ended are the answer to a poll.
	Running []Run
	Ended   []End
}

// Execute executes a call without any fault, while the target is up. The answer does not wait.
func (t *Target) Execute(c Call) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executeLocked(&c)
}

func (t *Target) executeLocked(c *Call) Reply {
	if !t.up || c.Target != t.id {
		return Reply{Answer: OtherTarget}
	}
	if c.Token < t.token {
		return t.replyLocked(Fenced)
	}
	t.token = c.Token
	switch c.Kind {
	case Start:
		return t.replyLocked(t.startLocked(c))
	case Stop:
		t.stopLocked(c.Attempt)
		return t.replyLocked(Done)
	default:
		t.pollLocked(c)
		return t.reportLocked()
	}
}

func (t *Target) replyLocked(a Answer) Reply {
	return Reply{Answer: a, Incarnation: t.incarnation, Clock: t.clockLocked()}
}

// startLocked takes the lease of a start also if it does not run the attempt.
func (t *Target) startLocked(c *Call) Answer {
	t.renewLocked(c.Until)
	a := c.Start.Attempt
	_, isRunning := t.running[a]
	switch {
	case isRunning:
		return Done
	case t.highest[a.Key] >= a.Run:
		return StaleRun
	case t.isLateLocked(c):
		return LeaseExpired
	case !t.hasRoomLocked(c.Start.Need):
		return NoRoom
	}
	t.beginLocked(c.Start)
	return Done
}

func (t *Target) beginLocked(s peer.Start) {
	t.running[s.Attempt] = Run{Start: s, Began: time.Now()}
	t.used = t.used.Add(s.Need)
	if t.options.Started != nil {
		t.options.Started(s)
	}
}

func (t *Target) isLateLocked(c *Call) bool {
	until := c.Until
	if t.options.AcceptsExpiredOrders {
		until = t.leaseUntil
	}
	return until <= t.clockLocked()
}

func (t *Target) hasRoomLocked(need task.Resources) bool {
	free := t.options.Capacity.Sub(t.used)
	for _, r := range []struct{ limit, need, free int64 }{
		{t.options.Capacity.CPU, need.CPU, free.CPU},
		{t.options.Capacity.MemoryMB, need.MemoryMB, free.MemoryMB},
		{t.options.Capacity.Accelerators, need.Accelerators, free.Accelerators},
	} {
		if r.limit > 0 && r.need > r.free {
			return false
		}
	}
	return true
}

// stopLocked ends a run, or prevents its start.
func (t *Target) stopLocked(a task.Attempt) {
	t.highest[a.Key] = max(t.highest[a.Key], a.Run)
	t.endLocked(a, peer.OutcomeStopped)
}

// pollLocked forgets the acknowledged ends and renews the lease.
func (t *Target) pollLocked(c *Call) {
	if c.Until > 0 && t.options.Renewed != nil {
		t.options.Renewed()
	}
	t.renewLocked(c.Until)
	n := 0
	for n < len(t.ended) && t.ended[n].Number <= c.LastSeen {
		if t.options.Acknowledged != nil {
			t.options.Acknowledged(t.ended[n].Attempt)
		}
		n++
	}
	t.ended = t.ended[n:]
}

func (t *Target) reportLocked() Reply {
	reply := t.replyLocked(Done)
	reply.Running = t.runsLocked()
	reply.Ended = append(reply.Ended, t.ended[:min(len(t.ended), maxEndsInReport)]...)
	return reply
}
