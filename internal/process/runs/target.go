// Package runs manages the attempts that run at the target beside an agent: it starts and
// stops them, renews the target's lease on them, and reports how each one ended to the
// entry that sent it.
//
// An attempt runs only under two leases. The target ends its runs when the agent stops
// renewing their lease; the agent stops the attempts of an entry that no longer echoes
// the agent's frames. Before a result is reported for a start that was not answered, a
// higher fencing token ensures that the order can no longer take effect.
package runs

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Announcement describes a target, as reported by the target itself.
type Announcement struct {
	ID string
	// Incarnation distinguishes the restarts of a target with the same ID.
	Incarnation int64
	// Sequence increases with each announcement of an incarnation.
	Sequence   uint64
	Address    string
	Pool       string
	DataCentre string
	Capacity   task.Resources
	Labels     []string
	// Draining is set before a planned shutdown.
	Draining bool
	// Token is a fencing token that this agent, or an earlier process of it, has used for the
	// target when it stored the announcement; 0 in an announcement of the target itself.
	Token uint64
}

// maxLabels bounds the labels of a target.
const maxLabels = 100

// Ranges of the numbers of an announcement; the incarnation is a time in milliseconds.
var (
	// IncarnationRange covers a time of day for the next centuries.
	IncarnationRange = bounds.Range[int64]{Min: 0, Max: int64(200 * 365 * 24 * time.Hour / time.Millisecond)}
	sequenceRange    = bounds.Range[uint64]{Min: 0, Max: bounds.MaxCount}
	tokenRange       = bounds.Range[uint64]{Min: 0, Max: bounds.MaxCount}
)

// Validate returns an error unless the announcement describes a target that can be used.
func (a *Announcement) Validate() error {
	errs := []error{
		bounds.CheckName("target ID", a.ID),
		IncarnationRange.Check("incarnation", a.Incarnation),
		sequenceRange.Check("sequence", a.Sequence),
		tokenRange.Check("token", a.Token),
		bounds.CheckHostPort("address", a.Address),
		bounds.CheckName("pool", a.Pool),
		bounds.CheckName("data centre", a.DataCentre),
		a.Capacity.Validate(),
		bounds.Range[int]{Min: 0, Max: maxLabels}.Check("number of labels", len(a.Labels)),
	}
	for _, label := range a.Labels[:min(len(a.Labels), maxLabels)] {
		errs = append(errs, bounds.CheckName("label", label))
	}
	return errors.Join(errs...)
}

// ErrRefused means that nothing listens at the target's address any more.
var ErrRefused = eris.New("target refuses connections")

// TargetClient executes orders at a target. An error means that no answer arrived: the
// order may still be executed, unless a higher token reaches the target first.
type TargetClient interface {
	// Start runs an attempt, or returns the reason why it does not. It succeeds if the
	// attempt already runs.
	Start(ctx context.Context, permit Permit, start peer.Start) (Answer, error)
	// Stop ends an attempt, or prevents its start if it has not started.
	Stop(ctx context.Context, token uint64, attempt task.Attempt) (Answer, error)
	// Poll acknowledges ended runs up to LastSeen and returns the running and ended ones.
	// It can wait until a run ends.
	Poll(ctx context.Context, request PollRequest) (Report, error)
	// Close closes the connections to the target.
	Close()
}

// Permit is the permission to send one order that extends the target's lease.
type Permit struct {
	// Token is the fencing token of the order.
	Token uint64
	// IssuedAt is when the permission was checked.
	IssuedAt time.Time
	// LeaseFrom is when the lease in the order begins, IssuedAt or earlier. The target rejects
	// or ends what a pause of this process has delayed too long.
	LeaseFrom time.Time
}

// PollRequest is a request for the state of the runs at a target.
type PollRequest struct {
	Permit
	// LastSeen is the highest number of an ended run that has been processed.
	LastSeen uint64
	// Wait is how long the target may delay its answer until a run ends.
	Wait time.Duration
	// Renew extends the lease on all runs.
	Renew bool
}

// Answer is the result of an order, as given by the target.
type Answer int

// The possible answers.
const (
	AnswerDone Answer = iota
	// AnswerFenced: the target has seen a higher token.
	AnswerFenced
	// AnswerStaleRun: this run of the task or a later one has already ended at the
	// target.
	AnswerStaleRun
	// AnswerLeaseExpired: the lease given in the order has expired.
	AnswerLeaseExpired
	// AnswerNoRoom: the target does not have enough free capacity.
	AnswerNoRoom
	// AnswerUnhealthy: the target refuses because of its own state; nothing was executed.
	AnswerUnhealthy
	// AnswerInvalid: the order is invalid and will never be executed.
	AnswerInvalid
	// AnswerOtherIncarnation: the target is another incarnation than the intended one, and
	// has not executed the order.
	AnswerOtherIncarnation
	// AnswerDoneByOtherIncarnation: another incarnation than the intended one has executed
	// the order. This can happen when a target restarts under the same ID.
	AnswerDoneByOtherIncarnation
	answers // the number of answers
)

var answerNames = [answers]string{
	AnswerDone:                   "done",
	AnswerFenced:                 "fenced",
	AnswerStaleRun:               "stale_run",
	AnswerLeaseExpired:           "lease_expired",
	AnswerNoRoom:                 "no_room",
	AnswerUnhealthy:              "unhealthy",
	AnswerInvalid:                "invalid",
	AnswerOtherIncarnation:       "other_incarnation",
	AnswerDoneByOtherIncarnation: "done_by_other_incarnation",
}

// String returns the name used in logs.
func (a Answer) String() string { return answerNames[a] }

// startProofs is what each answer to a start order proves. A rejection says nothing about
// earlier orders of the attempt: also AnswerStaleRun is given both for a run that has ended and
// for one that was prevented.
var startProofs = [answers]verdict.Proof{
	AnswerDone:                   verdict.ProvesExecuted,
	AnswerFenced:                 verdict.ProvesRejected,
	AnswerStaleRun:               verdict.ProvesRejected,
	AnswerLeaseExpired:           verdict.ProvesRejected,
	AnswerNoRoom:                 verdict.ProvesRejected,
	AnswerUnhealthy:              verdict.ProvesRejected,
	AnswerInvalid:                verdict.ProvesRejected,
	AnswerOtherIncarnation:       verdict.ProvesRejected,
	AnswerDoneByOtherIncarnation: verdict.ProvesExecuted,
}

// refusals maps each answer that refuses a start to the reason reported to the entry.
var refusals = map[Answer]peer.Refusal{
	AnswerStaleRun:         peer.RefusalStaleRun,
	AnswerNoRoom:           peer.RefusalNoCapacity,
	AnswerUnhealthy:        peer.RefusalUnhealthy,
	AnswerInvalid:          peer.RefusalInvalid,
	AnswerOtherIncarnation: peer.RefusalUnavailable,
}

// Report is the state of a target's runs.
type Report struct {
	Answer  Answer
	Running []ActiveRun
	Ended   []EndedRun
	// Unreadable is the number of listed runs that cannot be read, Cause the reason of the
	// first one.
	Unreadable int
	Cause      error
	// Incomplete is set if one of them is an active run: a run that is not in Running may be
	// active all the same.
	Incomplete bool
}

// RecordUnreadable records a listed run that cannot be read.
func (r *Report) RecordUnreadable(cause error) {
	r.Unreadable++
	if r.Cause == nil {
		r.Cause = cause
	}
}

// ActiveRun is one run in progress.
type ActiveRun struct {
	Attempt task.Attempt
	Percent int
	// ProgressUnknown is set if Percent could not be read.
	ProgressUnknown bool
	// CPU is the recent CPU use in thousandths of a core.
	CPU int64
}

// EndedRun is one run that has ended.
type EndedRun struct {
	// Number counts the ended runs of an incarnation, starting at 1.
	Number  uint64
	Attempt task.Attempt
	Outcome peer.Outcome
}
