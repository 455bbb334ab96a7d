// Package runs keeps what runs at the target beside an agent: it starts and
// stops attempts, renews their lease and reports how each ended to the entry
// that sent it.
//
// An attempt runs only under two leases. The target ends what it runs when the
// agent no longer renews; the agent stops the attempts of an entry that it no
// longer hears. An order without an answer is made harmless by a higher fencing
// token before anything is said of it.
package runs

import (
	"context"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// Announcement is what a target says of itself.
type Announcement struct {
	ID string
	// Incarnation tells the lifetimes of a target with one ID apart.
	Incarnation int64
	// Sequence rises with each announcement of a lifetime.
	Sequence   uint64
	Address    string
	Pool       string
	DataCentre string
	Capacity   task.Resources
	Labels     []string
	// Draining is set before a planned end.
	Draining bool
}

// Target carries out orders. An error means that no answer came: the order may
// be carried out, now or later, unless a higher token reaches the target first.
type Target interface {
	// Start runs an attempt, or returns why it does not. Starting an attempt
	// that runs already succeeds.
	Start(ctx context.Context, token uint64, start peer.Start) (Answer, error)
	// Stop ends an attempt, and forbids it if it has not begun.
	Stop(ctx context.Context, token uint64, attempt task.Attempt) (Answer, error)
	// Look acknowledges ends up to lastSeen and returns what there is. It waits
	// for an end, if asked to.
	Look(ctx context.Context, look Look) (Report, error)
	// Close ends the connections to the target.
	Close()
}

// Look asks a target what there is.
type Look struct {
	Token uint64
	// LastSeen is the highest end that has been taken note of.
	LastSeen uint64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
	// Renew asks for a new lease on all that runs.
	Renew bool
}

// Answer is a target's answer to an order.
type Answer int

// The answers.
const (
	AnswerDone Answer = iota
	// AnswerFenced: a higher token has been seen.
	AnswerFenced
	// AnswerStaleRun: this run or a higher one of the task has ended there.
	AnswerStaleRun
	// AnswerLate: the lease in the order is over.
	AnswerLate
	AnswerNoRoom
	// AnswerUnhealthy: refused for its own state; nothing was done.
	AnswerUnhealthy
	// AnswerInvalid: such an order is never carried out.
	AnswerInvalid
	// AnswerOtherLifetime: the target is not the lifetime that was meant, and
	// has done nothing.
	AnswerOtherLifetime
	// AnswerDoneByOther: a lifetime that was not meant has carried out the order:
	// a target may be born again under its ID.
	AnswerDoneByOther
)

// refusals gives the reason for an entry of each answer that refuses a start.
var refusals = map[Answer]peer.Refusal{
	AnswerStaleRun:      peer.RefusalStaleRun,
	AnswerNoRoom:        peer.RefusalRoom,
	AnswerUnhealthy:     peer.RefusalUnhealthy,
	AnswerInvalid:       peer.RefusalInvalid,
	AnswerOtherLifetime: peer.RefusalUnavailable,
}

// Report is what a target says of its runs.
type Report struct {
	Answer  Answer
	Running []Running
	Ended   []Ended
}

// Running is one run in progress.
type Running struct {
	Attempt task.Attempt
	Percent int
	// CPU is the recent use in thousandths of a core.
	CPU int64
}

// Ended is one run that has ended.
type Ended struct {
	// Number counts the ends of one lifetime upwards from 1.
	Number  uint64
	Attempt task.Attempt
	Outcome peer.Outcome
}
