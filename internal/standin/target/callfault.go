package target

import (
	"net"
	"net/http"
	"time"
)

// CallFault is what goes wrong with one call, independently of the target's Mode.
type CallFault int

// The faults of a call. In all but Busy, the caller gets no answer.
const (
	Answered CallFault = iota
	// ExecutedUnanswered and Unexecuted keep the call open without a response, after the
	// task has started or without starting it.
	ExecutedUnanswered
	Unexecuted
	// ExecutedLate keeps the call open and starts the task after LateDelay, also if the caller
	// has gone.
	ExecutedLate
	// ExecutedReset and UnexecutedReset reset the connection, after the task has started or
	// without starting it.
	ExecutedReset
	UnexecutedReset
	// Busy answers 503 without starting the task.
	Busy
)

// CallFaults lists the faults of a call without Answered.
func CallFaults() []CallFault {
	return []CallFault{ExecutedUnanswered, Unexecuted, ExecutedLate, ExecutedReset, UnexecutedReset, Busy}
}

// LateDelay is the time from a call to its late execution.
const LateDelay = 2 * time.Second

// SetCallFaults sets the function that chooses the fault of each call; nil means Answered.
func (t *Target) SetCallFaults(next func() CallFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callFault = next
}

func (t *Target) nextCallFault() CallFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.callFault == nil {
		return Answered
	}
	return t.callFault()
}

// serveFaulty serves a call with a fault.
func (t *Target) serveFaulty(w http.ResponseWriter, r *http.Request, start *Start, fault CallFault) {
	switch fault {
	case ExecutedUnanswered, ExecutedReset:
		t.ledger.add(start)
	case ExecutedLate:
		time.AfterFunc(LateDelay, func() { t.ledger.add(start) })
	}
	switch fault {
	case Busy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
	case ExecutedReset, UnexecutedReset:
		resetConnection(w)
	default:
		<-r.Context().Done()
	}
}

// resetConnection closes the connection of a request without a response or a proper end.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // close sends a reset
	}
	_ = conn.Close()
}
