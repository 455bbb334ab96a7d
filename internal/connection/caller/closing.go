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
	// hardConnectionPercent is the share of the connections from which busy ones are closed for new ones.
	// It is below the limit of the engine, which refuses connections before the intake is asked and
	// counts a closed one until its handler has returned.
	hardConnectionPercent = 95
	// unservedPercent is the share of the connections that may be without a complete request before
	// one of them is closed rather than an idle one. Callers who have just connected are the newest
	// of them.
	unservedPercent = 25
	// longRequest is the time from which on a running request may be closed for a small one that finds no
	// memory: otherwise jobs whose callers wait for hours would keep all others out.
	longRequest = 10 * time.Second
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
	case busy != nil && len(in.conns) > in.options.Connections*hardConnectionPercent/100:
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

// relieveLocked makes room for a request that takes bytes, of which the budget has some already. It closes
// the connections that hold the most input or unread responses: for a large request those that hold
// more than a small one, for a small request those that hold more than it. If that is not enough for a
// small request, the connection with the largest running request is closed too, or that with the oldest
// one if all are small and it is over longRequest old.
func (in *Intake) relieveLocked(c *inbound, bytes, have int, a *actions) {
	least := smallRequest
	if bytes <= smallRequest {
		least = min(have, smallRequest)
	}
	waiting := c.waiting
	for !in.fitsLocked(bytes, bytes-have) {
		victim := in.largestLocked(c, least, func(c *inbound) int { return c.usage.input + c.usage.unread })
		if victim == nil && bytes <= smallRequest {
			victim = in.largestLocked(c, smallRequest, func(c *inbound) int { return c.usage.running })
			if victim == nil {
				victim = in.longestRunningLocked(c, time.Now())
			}
			if victim != nil {
				// Its memory is released when its handler returns.
				in.dropLocked(victim, IntakeReasonMemory, nil, a)
			}
			return
		}
		if victim == nil {
			return
		}
		in.dropLocked(victim, IntakeReasonMemory, nil, a)
		if waiting && !c.waiting {
			return // it has been started with that memory
		}
	}
}

// largestLocked returns the other connection that holds the most, or nil if none holds more than least.
func (in *Intake) largestLocked(except *inbound, least int, size func(*inbound) int) *inbound {
	var largest *inbound
	most := least
	for c := range in.conns {
		if n := size(c); c != except && n > most {
			largest, most = c, n
		}
	}
	return largest
}

// longestRunningLocked returns the other connection whose request has been running for longest, or nil if
// none has for longer than longRequest.
func (in *Intake) longestRunningLocked(except *inbound, now time.Time) *inbound {
	var longest *inbound
	for c := range in.conns {
		if c != except && c.running && now.Sub(c.startedAt) > longRequest {
			longest = earlier(longest, c, c.startedAt, func(o *inbound) time.Time { return o.startedAt })
		}
	}
	return longest
}

// shedLocked closes connections until what all hold fits into the budget, and what they hold beside
// running requests into its share, those that hold the most first.
func (in *Intake) shedLocked(a *actions) {
	budget := in.options.Bytes
	for budget > 0 && (in.used > budget || in.held > budget*largePercent/100) {
		largest := in.largestLocked(nil, 0, func(c *inbound) int { return c.usage.sheddable() })
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
	in.removeLocked(c)
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
