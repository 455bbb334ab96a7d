package caller

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rotisserie/eris"
)

// Defaults of IntakeOptions. A client inside the limits of a configuration meets none of them.
const (
	defaultHeadBytes = 64 << 10
	defaultBodyBytes = 1 << 20
	// requestOverhead is charged for each request in progress in addition to its bytes.
	requestOverhead = 2 << 10
	// maxPipelined is the number of requests that a connection may send ahead of their responses.
	maxPipelined = 100
	// maxUnreadBytes bounds the responses that a client has not read.
	maxUnreadBytes = 1 << 20
	// softConnectionPercent is the share of the connections from which idle ones are closed for
	// new ones.
	softConnectionPercent = 90
)

// IntakeReason is the reason for which an Intake closes a connection.
type IntakeReason string

// The reasons for which an Intake closes a connection.
const (
	IntakeReasonHead      IntakeReason = "head_too_long"
	IntakeReasonBody      IntakeReason = "body_too_long"
	IntakeReasonFraming   IntakeReason = "malformed_framing"
	IntakeReasonPipelined IntakeReason = "too_many_pipelined"
	IntakeReasonMemory    IntakeReason = "memory_budget"
	IntakeReasonIdle      IntakeReason = "idle_at_connection_limit"
)

// errLimit is the error with which an Intake closes connections.
var errLimit = eris.New("a limit for clients is exceeded")

// IntakeOptions configures an Intake.
type IntakeOptions struct {
	// Bytes is the budget for the requests in progress of all connections together.
	Bytes int
	// Connections is the number of connections above which idle ones are closed; 0 means never.
	Connections int
	// OnClose, if not nil, is called with the reason for each connection that is closed.
	OnClose func(IntakeReason, net.Addr)
}

// Intake bounds what the clients of a process make it buffer. It is shared by all servers of the
// process. The engine buffers the requests of a connection before it calls a handler, so the
// intake follows the input in front of the engine.
type Intake struct {
	options IntakeOptions

	mu    sync.Mutex
	conns map[*nbio.Conn]*inbound
	used  int
}

// inbound is the input of one connection.
type inbound struct {
	message messageReader
	// pending holds the charges of the complete requests whose handlers have not returned.
	pending []int
	// charged is what the connection takes of the budget.
	charged  int
	activeAt time.Time
	served   bool
	closing  bool
}

// NewIntake returns an Intake without connections.
func NewIntake(o IntakeOptions) *Intake {
	return &Intake{options: o, conns: make(map[*nbio.Conn]*inbound)}
}

// opened registers a connection, and closes an idle one if there are too many.
func (in *Intake) opened(conn *nbio.Conn) {
	in.mu.Lock()
	in.conns[conn] = &inbound{activeAt: time.Now()}
	var idle *nbio.Conn
	if limit := in.options.Connections * softConnectionPercent / 100; limit > 0 && len(in.conns) > limit {
		idle = in.idlestLocked(conn)
	}
	in.mu.Unlock()
	if idle != nil {
		in.close(idle, IntakeReasonIdle, nil)
	}
}

// idlestLocked returns the connection without a request in progress that has been idle for
// longest, one that never sent a whole request first, or nil.
func (in *Intake) idlestLocked(except *nbio.Conn) *nbio.Conn {
	var idlest *nbio.Conn
	var best *inbound
	for conn, c := range in.conns {
		if conn == except || c.closing || len(c.pending) > 0 {
			continue
		}
		if best == nil || (best.served && !c.served) || (best.served == c.served && c.activeAt.Before(best.activeAt)) {
			idlest, best = conn, c
		}
	}
	return idlest
}

// closed releases what a connection has taken.
func (in *Intake) closed(conn *nbio.Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c := in.conns[conn]; c != nil {
		in.used -= c.charged
		delete(in.conns, conn)
	}
}

// admit accounts for input that was read from a connection. It reports false if the connection
// has been closed, so that the input must be dropped.
func (in *Intake) admit(conn *nbio.Conn, input []byte, limits MessageLimits) bool {
	in.mu.Lock()
	c := in.conns[conn]
	if c == nil || c.closing {
		in.mu.Unlock()
		return false
	}
	c.activeAt = time.Now()
	done, err := c.message.read(input, limits.orDefault(), nil)
	for _, size := range done {
		c.pending = append(c.pending, size+requestOverhead)
	}
	in.chargeLocked(c)
	unanswered := len(c.pending) > 0
	reason, victim := intakeReasonOf(err), conn
	switch {
	case err != nil:
	case len(c.pending) > maxPipelined:
		reason = IntakeReasonPipelined
	case in.used > in.options.Bytes:
		reason, victim = IntakeReasonMemory, in.largestLocked(conn)
		unanswered = len(in.conns[victim].pending) > 0
	default:
		in.mu.Unlock()
		return true
	}
	in.conns[victim].closing = true
	in.mu.Unlock()
	var status []byte
	if !unanswered {
		status = refusals[reason]
	}
	in.close(victim, reason, status)
	return victim != conn
}

// chargeLocked updates what a connection takes of the budget.
func (in *Intake) chargeLocked(c *inbound) {
	charge := c.message.size()
	for _, size := range c.pending {
		charge += size
	}
	in.used += charge - c.charged
	c.charged = charge
}

// largestLocked returns the connection to close for lack of memory: that with the largest
// unfinished request, or with the most requests sent ahead if none is unfinished. An ordinary
// request is small, so it outlasts those that use the memory up.
func (in *Intake) largestLocked(current *nbio.Conn) *nbio.Conn {
	largest, most := current, 0
	for conn, c := range in.conns {
		size := c.message.size()
		if len(c.pending) > 1 {
			size += c.charged - c.message.size() - c.pending[0]
		}
		if !c.closing && size > most {
			largest, most = conn, size
		}
	}
	return largest
}

// requestEnded releases the oldest request of a connection, whose handler has returned.
func (in *Intake) requestEnded(conn *nbio.Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	c := in.conns[conn]
	if c == nil || len(c.pending) == 0 {
		return
	}
	c.pending = c.pending[1:]
	c.served, c.activeAt = true, time.Now()
	in.chargeLocked(c)
}

// close closes a connection. The status, if not nil, is sent first.
func (in *Intake) close(conn *nbio.Conn, reason IntakeReason, status []byte) {
	if in.options.OnClose != nil {
		in.options.OnClose(reason, conn.RemoteAddr())
	}
	if status != nil {
		_, _ = conn.Write(status) // the client may have left
	}
	_ = conn.CloseWithError(errLimit)
}

// refusals are the responses to requests that exceed a limit. None of them has reached a handler.
var refusals = map[IntakeReason][]byte{
	IntakeReasonHead:   refusal("431 Request Header Fields Too Large"),
	IntakeReasonBody:   refusal("413 Content Too Large"),
	IntakeReasonMemory: refusal("503 Service Unavailable\r\nRetry-After: 1"),
}

func refusal(status string) []byte {
	return []byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

func intakeReasonOf(err error) IntakeReason {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, errHeadTooLong):
		return IntakeReasonHead
	case errors.Is(err, errBodyTooLong):
		return IntakeReasonBody
	}
	return IntakeReasonFraming
}

func (l MessageLimits) orDefault() MessageLimits {
	if l.Head <= 0 {
		l.Head = defaultHeadBytes
	}
	if l.Body <= 0 {
		l.Body = defaultBodyBytes
	}
	return l
}
