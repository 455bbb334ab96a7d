// Package verdict defines the error type of the dispatcher. Each error states whether
// the request that it answers may have run.
package verdict

import (
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

// Verdict states whether a request may have run.
type Verdict = apiv1.Verdict

// The verdicts, ordered from no execution to certain execution; Worst relies on the
// order.
const (
	// NotRun means that no task has started or will start.
	NotRun = apiv1.Verdict_VERDICT_NOT_RUN
	// MayHaveRun means that at least one task may have started.
	MayHaveRun = apiv1.Verdict_VERDICT_MAY_HAVE_RUN
	// Ran means that at least one task has started.
	Ran = apiv1.Verdict_VERDICT_RAN
)

// Reason classifies a refusal or failure.
type Reason = apiv1.Reason

// Error is a refusal or failure with its verdict.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Message    string
	RetryAfter time.Duration
	// lastTry is the error of the latest try of a call, if that of the whole call differs.
	lastTry *Error
}

// New returns an Error with a formatted message.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// NotRunError returns an Error for a request that has not run and will not run.
func NotRunError(reason Reason, format string, args ...any) *Error {
	return New(NotRun, reason, format, args...)
}

// Error returns the verdict, the reason and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", Name(e.Verdict), ReasonName(e.Reason), e.Message)
}

// LastTry returns the error of the latest try of the call that failed with e.
func (e *Error) LastTry() *Error {
	if e == nil || e.lastTry == nil {
		return e
	}
	return e.lastTry
}

// Failure returns the protobuf form of e.
func (e *Error) Failure() *apiv1.Failure {
	return &apiv1.Failure{
		Verdict:      e.Verdict,
		Reason:       e.Reason,
		Message:      e.Message,
		RetryAfterMs: uint32(e.RetryAfter / time.Millisecond),
	}
}

// FromFailure returns the Error for a protobuf Failure, or nil for nil. A verdict that is
// missing or unknown becomes MayHaveRun.
func FromFailure(f *apiv1.Failure) *Error {
	if f == nil {
		return nil
	}
	v := f.GetVerdict()
	if ProofOf(v) == ProvesNothing {
		v = MayHaveRun
	}
	return &Error{
		Verdict:    v,
		Reason:     f.GetReason(),
		Message:    f.GetMessage(),
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
	}
}

// ToConnect returns e as an RPC error with the Failure as its detail.
func (e *Error) ToConnect() *connect.Error {
	ce := connect.NewError(connectCode(e.Reason), errors.New(e.Error()))
	if detail, err := connect.NewErrorDetail(e.Failure()); err == nil {
		ce.AddDetail(detail)
	}
	return ce
}

// FromError returns the Error contained in err. An RPC error without a Failure detail,
// such as a broken connection, becomes an Error with the verdict MayHaveRun.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	var ce *connect.Error
	if errors.As(err, &ce) {
		if f := failureDetail(ce); f != nil {
			return FromFailure(f)
		}
	}
	return New(MayHaveRun, apiv1.Reason_REASON_OUTCOME_UNKNOWN, "%v", err)
}

func failureDetail(ce *connect.Error) *apiv1.Failure {
	for _, detail := range ce.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if f, ok := value.(*apiv1.Failure); ok {
			return f
		}
	}
	return nil
}

// Worst returns the verdict of a request of which two parts have the verdicts a and b: the
// one that claims more execution.
func Worst(a, b Verdict) Verdict {
	return max(a, b)
}

func connectCode(r Reason) connect.Code {
	switch r {
	case apiv1.Reason_REASON_INVALID_ARGUMENT, apiv1.Reason_REASON_TICKET_INVALID:
		return connect.CodeInvalidArgument
	case apiv1.Reason_REASON_UNAUTHENTICATED:
		return connect.CodeUnauthenticated
	case apiv1.Reason_REASON_PERMISSION_DENIED, apiv1.Reason_REASON_TICKET_OWNER:
		return connect.CodePermissionDenied
	case apiv1.Reason_REASON_JOB_UNKNOWN, apiv1.Reason_REASON_DEPARTMENT_UNKNOWN, apiv1.Reason_REASON_CONFIG_UNKNOWN:
		return connect.CodeNotFound
	case apiv1.Reason_REASON_TICKET_EXPIRED, apiv1.Reason_REASON_DEPARTMENT_LEFT, apiv1.Reason_REASON_NO_ELIGIBLE_TARGET:
		return connect.CodeFailedPrecondition
	case apiv1.Reason_REASON_OVERLOAD, apiv1.Reason_REASON_QUOTA, apiv1.Reason_REASON_RATE_LIMIT:
		return connect.CodeResourceExhausted
	case apiv1.Reason_REASON_DEADLINE_EXCEEDED:
		return connect.CodeDeadlineExceeded
	case apiv1.Reason_REASON_CANCELLED:
		return connect.CodeCanceled
	case apiv1.Reason_REASON_CONFLICT:
		return connect.CodeAborted
	case apiv1.Reason_REASON_INTERNAL:
		return connect.CodeInternal
	default:
		return connect.CodeUnavailable
	}
}
