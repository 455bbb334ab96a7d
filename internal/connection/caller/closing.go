package caller

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// IntakeReason is the reason for which an Intake closes a connection.
type IntakeReason string

// The reasons for which an Intake closes a connection.
const (
	IntakeReasonHead         IntakeReason = "head_too_long"
	IntakeReasonBody         IntakeReason = "body_too_long"
	IntakeReasonUnauthorized IntakeReason = "unauthorized_body"
	IntakeReasonMalformed    IntakeReason = "malformed_request"
	IntakeReasonHandshake    IntakeReason = "handshake_too_long"
	IntakeReasonPipelined    IntakeReason = "too_many_pipelined"
	IntakeReasonMemory       IntakeReason = "memory_budget"
	IntakeReasonIdle         IntakeReason = "idle_at_connection_limit"
	IntakeReasonBusy         IntakeReason = "busy_at_connection_limit"
)

// errLimit is the error with which an Intake closes connections.
var errLimit = eris.New("a limit for clients is exceeded")

const (
	// softConnectionPercent is the share of the connections from which idle ones are closed for
	// new ones.
	softConnectionPercent = 90
	// unservedPercent is the share of the connections that may be without a complete request before
	// one of them is closed rather than an idle one. Callers who have just connected are the newest
	// of them.
	unservedPercent = 25
)

// closeOneLocked closes a connection for a new one. Activity counts by requests: a client that sends a
// byte now and then is idle.
func (in *Intake) closeOneLocked(opened *inbound, a *actions) {
	var unserved, idle, busy *inbound
	count := 0
	for c := range in.conns {
		switch {
		case c == opened:
		case c.running || len(c.queue) > 0:
			busy = earlier(busy, c, c.startedAt, func(o *inbound) time.Time { return o.startedAt })
		case !c.served:
			count++
			unserved = earlier(unserved, c, c.openedAt, func(o *inbound) time.Time { return o.openedAt })
		default:
			idle = earlier(idle, c, c.activeAt, func(o *inbound) time.Time { return o.activeAt })
		}
	}
	switch {
	case unserved != nil && (idle == nil || count > in.options.Connections*unservedPercent/100):
		in.dropLocked(unserved, IntakeReasonIdle, nil, a)
	case idle != nil:
		in.dropLocked(idle, IntakeReasonIdle, nil, a)
	case busy != nil && len(in.conns) > in.options.Connections:
		in.dropLocked(busy, IntakeReasonBusy, nil, a)
	}
}

// earlier returns the connection with the earlier time.
func earlier(best, c *inbound, at time.Time, timeOf func(*inbound) time.Time) *inbound {
	if best == nil || at.Before(timeOf(best)) {
		return c
	}
	return best
}

// relieveLocked makes room for a request that waits: it closes the connection that holds the most
// input or unread responses or, for a small request, the one with the largest running request. Both
// must be larger than small requests.
func (in *Intake) relieveLocked(waiting *inbound, bytes int, a *actions) {
	victim := in.largestLocked(waiting, func(c *inbound) int { return c.usage.input + c.usage.unread })
	if victim == nil && bytes <= smallRequest {
		victim = in.largestLocked(waiting, func(c *inbound) int { return c.usage.running })
	}
	if victim != nil {
		in.dropLocked(victim, IntakeReasonMemory, nil, a)
	}
}

// largestLocked returns the other connection that holds the most, or nil if none holds more than a small
// request.
func (in *Intake) largestLocked(except *inbound, size func(*inbound) int) *inbound {
	var largest *inbound
	most := smallRequest
	for c := range in.conns {
		if n := size(c); c != except && n > most {
			largest, most = c, n
		}
	}
	return largest
}

// shedLocked closes connections until what they hold fits into the budget, those that hold the most
// first.
func (in *Intake) shedLocked(a *actions) {
	for in.options.Bytes > 0 && in.used > in.options.Bytes {
		var largest *inbound
		most := 0
		for c := range in.conns {
			if n := c.usage.sheddable(); n > most {
				largest, most = c, n
			}
		}
		if largest == nil {
			return
		}
		// No status is sent: the job of the request may be running, if its caller sends it again.
		in.dropLocked(largest, IntakeReasonMemory, nil, a)
	}
}

// dropLocked has a connection closed. The status is sent first, unless an earlier request of the
// connection has not been answered: it would be taken for the answer of that one.
func (in *Intake) dropLocked(c *inbound, reason IntakeReason, status []byte, a *actions) {
	if c.running || len(c.queue) > 0 || c.usage.unread > 0 {
		status = nil
	}
	c.closing = true
	delete(in.conns, c)
	c.countQueued(-len(c.queue))
	c.queue = nil
	in.setUsageLocked(c, usage{running: c.usage.running})
	a.closures = append(a.closures, closure{c, reason, status})
	in.wakeLocked(a)
}

// refusals are the responses to requests that exceed a limit. None of them has reached a handler.
var refusals = map[IntakeReason][]byte{
	IntakeReasonHead:         refusal("431 Request Header Fields Too Large"),
	IntakeReasonBody:         refusal("413 Content Too Large"),
	IntakeReasonUnauthorized: refusal("401 Unauthorized"),
	IntakeReasonMalformed:    refusal("400 Bad Request"),
}

func refusal(status string) []byte {
	return []byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

func intakeReasonOf(err error) IntakeReason {
	switch {
	case errors.Is(err, errHeadTooLong):
		return IntakeReasonHead
	case errors.Is(err, errBodyTooLong):
		return IntakeReasonBody
	case errors.Is(err, errUnauthorized):
		return IntakeReasonUnauthorized
	case errors.Is(err, errHandshakeTooLong):
		return IntakeReasonHandshake
	}
	return IntakeReasonMalformed
}
