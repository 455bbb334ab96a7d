package verdict

import apiv1 "github.com/rosemarybay/rosemarybay/api/v1"

// ProofOf returns what an error with the verdict v proves when it answers one try of a call.
func ProofOf(v Verdict) Proof {
	switch v {
	case NotRun:
		return ProvesRejected
	case Ran:
		return ProvesExecuted
	default:
		return ProvesNothing
	}
}

// RecordError records a try that failed with err, and returns the error of the whole call. If
// err says that this try has not run, but an earlier one may have, the outcome is unknown. A
// nil err stands for a call that succeeded.
func (t *Tries) RecordError(err *Error) *Error {
	if err == nil {
		t.Record(ProvesExecuted)
		return nil
	}
	v := t.Record(ProofOf(err.Verdict))
	if v <= err.Verdict {
		return err
	}
	unknown := New(v, apiv1.Reason_REASON_OUTCOME_UNKNOWN, "an earlier try has no answer; this one: %s: %s", ReasonName(err.Reason), err.Message)
	unknown.RetryAfter = err.RetryAfter
	return unknown
}
