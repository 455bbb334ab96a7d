package verdict

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

// RecordError records a try that failed with err, and returns the error of the whole call. Its
// verdict is that of all tries: if err says that this try has not run, an earlier one may have.
// A nil err stands for a call that succeeded.
func (t *Tries) RecordError(err *Error) *Error {
	t.Begin()
	if err == nil {
		t.End(ProvesExecuted)
		return nil
	}
	return t.EndWithError(err)
}

// EndWithError is RecordError for a try begun before.
func (t *Tries) EndWithError(err *Error) *Error {
	t.End(ProofOf(err.Verdict))
	return t.Qualify(err)
}

// Qualify returns err as the error of the whole call, without recording a try.
func (t *Tries) Qualify(err *Error) *Error {
	v := t.Verdict(ProofOf(err.Verdict))
	if v <= err.Verdict {
		return err
	}
	qualified := *err
	qualified.Verdict = v
	qualified.Message += "; an earlier try has no answer"
	qualified.lastTry = err
	return &qualified
}

// Begin records that a try was sent, which is open until End.
func (t *Tries) Begin() {
	t.Sent++
	t.Open++
}

// End records what the answer to a try begun before proves, and returns whether the call may
// have run. Tries begun after the one that is answered may still be open.
func (t *Tries) End(p Proof) Verdict {
	if p != ProvesNothing {
		t.Open = max(0, t.Open-1)
	}
	t.Executed = t.Executed || p == ProvesExecuted
	return t.Verdict(p)
}
