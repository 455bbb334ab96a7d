package verdict

// Proof is what an answer proves about the execution of a call that may have been sent
// several times. The zero value is no proof of any kind: an answer without a class counts
// like no answer.
type Proof int

// The classes of answers.
const (
	// ProvesNothing: the answer is missing, or does not say whether the call was or will be
	// executed.
	ProvesNothing Proof = iota
	// ProvesRejected: this try was not executed and will not be. Earlier tries without an
	// answer may have been, or may still be, executed.
	ProvesRejected
	// ProvesExecuted: this try or an earlier one has been executed.
	ProvesExecuted
	// ProvesNeverExecuted: no try so far has been or will be executed.
	ProvesNeverExecuted
)

// Tries records the tries of one call. The zero value is a call that was not sent.
type Tries struct {
	// Sent is the number of tries, Open the number of those that may have been or may
	// still be executed.
	Sent, Open int
	// Executed is set once an answer has proved that a try was executed.
	Executed bool
}

// Record records a try and what its answer proves, and returns whether the call may have
// run.
func (t *Tries) Record(p Proof) Verdict {
	t.Sent++
	switch p {
	case ProvesNothing:
		t.Open++
	case ProvesExecuted:
		t.Executed = true
	case ProvesNeverExecuted:
		t.Open = 0
	}
	return t.Verdict(p)
}

// Verdict returns whether the call may have run, given the latest proof.
func (t Tries) Verdict(p Proof) Verdict {
	switch {
	case p == ProvesExecuted, t.Executed:
		return Ran
	case p == ProvesNeverExecuted, t.Open == 0:
		return NotRun
	}
	return MayHaveRun
}
