package caller

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Defaults of IntakeOptions. A client inside the limits of a configuration meets none of them.
const (
	defaultHeadBytes = 64 << 10
	defaultBodyBytes = 1 << 20
	// maxPipelined is the number of requests that a connection may send ahead of their responses.
	maxPipelined = 100
)

const (
	// smallRequest is the memory up to which a request counts as ordinary.
	smallRequest = 32 << 10
	// largePercent is the share of the budget that requests above smallRequest may use, and that
	// unfinished and waiting requests and unread responses may use together.
	largePercent = 75
)

// IntakeOptions configures an Intake.
type IntakeOptions struct {
	// Bytes is the budget for the memory of requests and unread responses of all connections
	// together; 0 means no limit.
	Bytes int
	// Connections is the number of connections above which others are closed for new ones; 0 means
	// no limit.
	Connections int
	// OnClose, if not nil, is called with the reason for each connection that is closed.
	OnClose func(IntakeReason, net.Addr)
}

// Intake bounds what the clients of a process make it hold. It is shared by all servers of the
// process. It answers three load patterns: crowds whose requests together take more memory than the
// process has, crowds that hold connections, and clients that read no responses. Ordinary requests
// are small, so what takes the most memory is closed first, and the last part of the budget is left to
// small requests.
type Intake struct {
	options IntakeOptions

	mu    sync.Mutex
	conns map[*inbound]struct{}
	// used is the sum of what the connections take of the budget, held the part that is released at
	// once when they are closed.
	used, held int
	// large is the number of running requests above smallRequest.
	large int
	// smallWaiting and largeWaiting are the connections whose next request waits for memory.
	smallWaiting, largeWaiting []*inbound
}

// NewIntake returns an Intake without connections.
func NewIntake(o IntakeOptions) *Intake {
	return &Intake{options: o, conns: make(map[*inbound]struct{})}
}

// usage is what a connection takes of the budget, in bytes.
type usage struct {
	// input is the unfinished request, queued those that are complete but have not been started.
	input, queued int
	// running is the request with the handler.
	running int
	// unread is the part of the responses that the client has not read.
	unread int
}

func (u usage) sum() int { return u.input + u.queued + u.running + u.unread }

// sheddable returns what is released at once when the connection is closed.
func (u usage) sheddable() int { return u.input + u.queued + u.unread }

// actions are what has to be done for connections after a decision, without the lock.
type actions struct {
	closures []closure
	starts   []*inbound
}

// closure is a connection to close, after a status if that is not nil.
type closure struct {
	c      *inbound
	reason IntakeReason
	status []byte
}

func (in *Intake) run(a actions) {
	for _, cl := range a.closures {
		if in.options.OnClose != nil {
			in.options.OnClose(cl.reason, cl.c.conn.RemoteAddr())
		}
		cl.c.close(cl.status)
	}
	for _, c := range a.starts {
		c.start()
	}
}

// opened registers a connection, and closes another one if there are too many.
func (in *Intake) opened(c *inbound) {
	var a actions
	in.mu.Lock()
	c.openedAt = time.Now()
	c.activeAt = c.openedAt
	in.conns[c] = struct{}{}
	if limit := in.options.Connections; limit > 0 && len(in.conns) > limit*softConnectionPercent/100 {
		in.closeOneLocked(c, &a)
	}
	in.mu.Unlock()
	in.run(a)
}

// closed releases what a connection has taken.
func (in *Intake) closed(c *inbound) {
	var a actions
	in.mu.Lock()
	in.removeLocked(c)
	in.setUsageLocked(c, usage{})
	in.wakeLocked(&a)
	in.mu.Unlock()
	in.run(a)
}

// removeLocked takes a connection off all lists. What its running request takes stays charged.
func (in *Intake) removeLocked(c *inbound) {
	c.closing = true
	delete(in.conns, c)
	c.countQueued(-len(c.queue))
	c.queue = nil
	if c.waiting {
		c.waiting = false
		isRemoved := func(o *inbound) bool { return o == c }
		in.smallWaiting = slices.DeleteFunc(in.smallWaiting, isRemoved)
		in.largeWaiting = slices.DeleteFunc(in.largeWaiting, isRemoved)
	}
	in.setUsageLocked(c, usage{running: c.usage.running})
}

// received accounts for input of a connection: the requests that it has completed, what its unfinished
// request holds, and the error with which the input ended.
func (in *Intake) received(c *inbound, done []*message, held int, err error) {
	var a actions
	in.mu.Lock()
	if c.closing {
		in.mu.Unlock()
		return
	}
	c.queue = append(c.queue, done...)
	c.countQueued(len(done))
	u := c.usage
	u.input = held
	for _, m := range done {
		u.queued += m.held()
	}
	in.setUsageLocked(c, u)
	switch {
	case err != nil:
		reason := intakeReasonOf(err)
		in.dropLocked(c, reason, refusals[reason], &a)
	case len(c.queue) > maxPipelined:
		in.dropLocked(c, IntakeReasonPipelined, nil, &a)
	default:
		in.offerLocked(c, &a)
		in.shedLocked(&a)
	}
	for _, m := range c.queue {
		// A decoded head takes several times as much memory as its bytes.
		m.parsed = nil
	}
	in.mu.Unlock()
	in.run(a)
}

// responded releases the request that was with the handler and starts the next one.
func (in *Intake) responded(c *inbound) {
	var a actions
	in.mu.Lock()
	if !c.running {
		in.mu.Unlock()
		return
	}
	c.running, c.served, c.activeAt = false, true, time.Now()
	u := c.usage
	u.running = 0
	in.setUsageLocked(c, u)
	in.offerLocked(c, &a)
	in.wakeLocked(&a)
	in.mu.Unlock()
	in.run(a)
}

// updateUnread records how much of its responses the client of a connection has not read.
func (in *Intake) updateUnread(c *inbound) {
	var a actions
	in.mu.Lock()
	// The number is read under the lock: two updates may come at the same time.
	unread := int(c.unwritten.Load())
	c.hasUnread.Store(unread > 0)
	if !c.closing && c.usage.unread != unread {
		u := c.usage
		u.unread = unread
		in.setUsageLocked(c, u)
		in.shedLocked(&a)
		in.offerLocked(c, &a)
		in.wakeLocked(&a)
	}
	in.mu.Unlock()
	in.run(a)
}

// resize changes what the running request of a connection takes. It reports false if a large one does
// not fit into the budget.
func (in *Intake) resize(c *inbound, bytes int) bool {
	var a actions
	in.mu.Lock()
	defer func() {
		in.mu.Unlock()
		in.run(a)
	}()
	if c.closing || !c.running {
		return true
	}
	u := c.usage
	fits := in.fitsLocked(bytes, bytes-u.running)
	if !fits && bytes > smallRequest {
		return false
	}
	if !fits {
		in.relieveLocked(c, bytes, u.running, &a)
	}
	u.running = bytes
	in.setUsageLocked(c, u)
	in.wakeLocked(&a)
	return true
}

// setUsageLocked changes what a connection takes.
func (in *Intake) setUsageLocked(c *inbound, u usage) {
	in.used += u.sum() - c.usage.sum()
	in.held += u.sheddable() - c.usage.sheddable()
	if c.usage.running > smallRequest {
		in.large--
	}
	if u.running > smallRequest {
		in.large++
	}
	c.usage = u
}

// fitsLocked reports whether a request that takes bytes, of which the budget does not have more yet,
// may run. One large request always may.
func (in *Intake) fitsLocked(bytes, more int) bool {
	budget := in.options.Bytes
	switch {
	case budget == 0 || more <= 0:
		return true
	case bytes <= smallRequest:
		return in.used+more <= budget
	}
	return in.large == 0 || in.used+more <= budget*largePercent/100
}

// offerLocked starts the next request of a connection, or has it wait for memory. The next one is
// started only once the client has read the response before it, so that a connection holds one
// response at most.
func (in *Intake) offerLocked(c *inbound, a *actions) {
	if c.closing || c.running || c.waiting || c.usage.unread > 0 || len(c.queue) == 0 {
		return
	}
	m := c.queue[0]
	if in.fitsLocked(m.weight, m.weight-m.held()) {
		in.beginLocked(c, a)
		return
	}
	c.waiting, c.startedAt = true, time.Now()
	if m.weight <= smallRequest {
		in.smallWaiting = append(in.smallWaiting, c)
	} else {
		in.largeWaiting = append(in.largeWaiting, c)
	}
	in.relieveLocked(c, m.weight, m.held(), a)
}

// beginLocked takes the next request of a connection from its queue and has it started.
func (in *Intake) beginLocked(c *inbound, a *actions) {
	m := c.queue[0]
	c.queue = c.queue[1:]
	c.countQueued(-1)
	u := c.usage
	u.queued -= m.held()
	u.running = m.weight
	in.setUsageLocked(c, u)
	c.running, c.startedAt, c.next = true, time.Now(), m
	a.starts = append(a.starts, c)
}

// wakeLocked starts the requests for which there is memory now, small ones first.
func (in *Intake) wakeLocked(a *actions) {
	in.smallWaiting = in.wakeListLocked(in.smallWaiting, a)
	in.largeWaiting = in.wakeListLocked(in.largeWaiting, a)
}

func (in *Intake) wakeListLocked(waiting []*inbound, a *actions) []*inbound {
	for len(waiting) > 0 {
		c := waiting[0]
		m := c.queue[0]
		if !in.fitsLocked(m.weight, m.weight-m.held()) {
			return waiting
		}
		in.beginLocked(c, a)
		c.waiting = false
		waiting = waiting[1:]
	}
	return nil
}
