package command

import (
	"errors"
	"fmt"
	"io"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// inForceUnknownError reports a change that was accepted but is not known to be in force.
type inForceUnknownError struct {
	revision uint64
	reason   string
}

// Error returns the accepted revision and why the state is unknown.
func (e *inForceUnknownError) Error() string {
	return fmt.Sprintf("accepted at revision %d; in force not known: %s", e.revision, e.reason)
}

// localError is a failure on the local machine; it carries no verdict of an entry.
type localError struct{ err error }

// Error implements error.
func (e *localError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *localError) Unwrap() error { return e.err }

// exitStatus prints an error with its verdict and a suggested next step, and returns
// the matching exit status.
func exitStatus(w io.Writer, sub subcommand, err error) int {
	var inForceUnknown *inForceUnknownError
	var local *localError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage):
		_, _ = fmt.Fprintln(w, err)
		return exitUsage
	case errors.As(err, &local):
		_, _ = fmt.Fprintln(w, err)
		return exitFailed
	case errors.As(err, &inForceUnknown):
		_, _ = fmt.Fprintf(w, "%s\nnext: run \"rosemarybay status\" until all nodes show revision %d\n", inForceUnknown, inForceUnknown.revision)
		return exitUnknown
	}
	e := fromError(err)
	_, _ = fmt.Fprintf(w, "verdict: %s\nreason: %s\n%s\n", verdict.Name(e.Verdict), verdict.ReasonName(e.Reason), e.Message)
	if o := conflictObject(err); o != nil {
		_, _ = fmt.Fprintf(w, "present: %s %s is %s at revision %d, changed by %s\n",
			kindName(o.GetKind()), o.GetName(), serviceState(o), o.GetRevision(), lastChangeBy(o))
	}
	if e.RetryAfter > 0 {
		_, _ = fmt.Fprintf(w, "try again in %s\n", e.RetryAfter)
	}
	_, _ = fmt.Fprintf(w, "next: %s\n", nextStep(sub, e.Reason))
	if isUnknown(e) && !sub.readOnly {
		return exitUnknown
	}
	return exitFailed
}

// fromError converts an RPC error. An RPC that the entry does not implement has not
// run.
func fromError(err error) *verdict.Error {
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return verdict.NotRunError(apiv1.Reason_REASON_INVALID_ARGUMENT, "the entry does not offer this call: %v", err)
	}
	return verdict.FromError(err)
}

// conflictObject returns the current object attached to a conflict error, or nil.
func conflictObject(err error) *apiv1.Object {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil
	}
	for _, detail := range ce.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if o, ok := value.(*apiv1.Object); ok {
			return o
		}
	}
	return nil
}

// isUnknown reports whether an error leaves the outcome of the request unknown.
func isUnknown(e *verdict.Error) bool {
	return e.Reason == apiv1.Reason_REASON_OUTCOME_UNKNOWN
}

// nextStep returns the suggested next step after a rejection or failure.
func nextStep(sub subcommand, reason verdict.Reason) string {
	switch reason {
	case apiv1.Reason_REASON_INVALID_ARGUMENT:
		return "correct the arguments; \"rosemarybay " + sub.name + " -h\" lists them"
	case apiv1.Reason_REASON_UNAUTHENTICATED:
		return "give a token that the entry knows with -token-file or " + tokenVariable
	case apiv1.Reason_REASON_PERMISSION_DENIED, apiv1.Reason_REASON_TICKET_OWNER:
		return "use the token of the department and owner of the job, or an operator's for changes"
	case apiv1.Reason_REASON_TICKET_INVALID, apiv1.Reason_REASON_JOB_UNKNOWN:
		return "compare the ticket with the one that \"submit\" printed"
	case apiv1.Reason_REASON_TICKET_EXPIRED, apiv1.Reason_REASON_HOME_LOST, apiv1.Reason_REASON_AGENT_LOST:
		return "the answer is gone; find out at the target whether the job ran before it is submitted under a new ticket"
	case apiv1.Reason_REASON_DEPARTMENT_UNKNOWN, apiv1.Reason_REASON_CONFIG_UNKNOWN:
		return "see \"department list\"; a department is made by \"department create\""
	case apiv1.Reason_REASON_DEPARTMENT_LEFT:
		return "the department is out of service; \"department return\" takes it back"
	case apiv1.Reason_REASON_DATA_CENTRE_OUT, apiv1.Reason_REASON_TARGET_LEFT, apiv1.Reason_REASON_NO_ELIGIBLE_TARGET:
		return "see \"status\", \"datacentre list\", \"target list\" and \"department list\" for what the department may use"
	case apiv1.Reason_REASON_CONFLICT:
		return "another change came first; read the object with \"config get\" and decide again"
	case apiv1.Reason_REASON_OUTCOME_UNKNOWN:
		return nextStepIfUnknown(sub)
	case apiv1.Reason_REASON_STORE_UNAVAILABLE:
		return "the store is out or the entry is new; repeat the command, the present configuration stays in force"
	case apiv1.Reason_REASON_OVERLOAD, apiv1.Reason_REASON_QUOTA, apiv1.Reason_REASON_RATE_LIMIT, apiv1.Reason_REASON_STOPPING:
		return "wait and repeat the command"
	default:
		return "read \"status\" and \"counters\"; under \"not_run\" the command can be repeated"
	}
}

func nextStepIfUnknown(sub subcommand) string {
	switch {
	case sub.readOnly:
		return "check -address and repeat the command"
	case sub.name == "submit":
		return "repeat the command with the same tasks and -ticket TICKET; no task starts twice"
	case sub.name == "job cancel":
		return "repeat the command"
	default:
		return "repeat the command with the same -change-id; it is applied once"
	}
}
