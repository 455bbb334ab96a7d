package verdict

import (
	"testing"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

// A verdict without a class proves nothing. A new verdict fails here until it has one.
func TestEachVerdictHasAProof(t *testing.T) {
	want := map[Verdict]Proof{
		apiv1.Verdict_VERDICT_UNSPECIFIED: ProvesNothing,
		NotRun:                            ProvesRejected,
		MayHaveRun:                        ProvesNothing,
		Ran:                               ProvesExecuted,
	}
	for n, name := range apiv1.Verdict_name {
		proof, ok := want[Verdict(n)]
		if got := ProofOf(Verdict(n)); !ok || got != proof {
			t.Errorf("%s proves %v, want %v (in the table: %v)", name, got, proof, ok)
		}
	}
}

func TestErrorOfRepeatDoesNotHideAnUnansweredTry(t *testing.T) {
	lost := New(MayHaveRun, apiv1.Reason_REASON_OUTCOME_UNKNOWN, "connection lost")
	overload := NotRunError(apiv1.Reason_REASON_OVERLOAD, "too many tasks are waiting")
	overload.RetryAfter = time.Second
	failed := New(Ran, apiv1.Reason_REASON_TARGET_FAILED, "target failed")
	expired := New(MayHaveRun, apiv1.Reason_REASON_TICKET_EXPIRED, "ticket has expired")
	for _, c := range []struct {
		name   string
		errors []*Error
		want   Verdict
		reason Reason
	}{
		{"refused", []*Error{overload}, NotRun, apiv1.Reason_REASON_OVERLOAD},
		{"refused twice", []*Error{overload, overload}, NotRun, apiv1.Reason_REASON_OVERLOAD},
		{"no answer, then refused", []*Error{lost, overload}, MayHaveRun, apiv1.Reason_REASON_OVERLOAD},
		{"refused, then no answer, then refused", []*Error{overload, lost, overload}, MayHaveRun, apiv1.Reason_REASON_OVERLOAD},
		{"no answer, then ran", []*Error{lost, failed}, Ran, apiv1.Reason_REASON_TARGET_FAILED},
		{"no answer, then expired", []*Error{lost, expired}, MayHaveRun, apiv1.Reason_REASON_TICKET_EXPIRED},
		{"expired, then refused", []*Error{expired, overload}, MayHaveRun, apiv1.Reason_REASON_OVERLOAD},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tries Tries
			var got *Error
			for _, err := range c.errors {
				got = tries.RecordError(err)
			}
			last := c.errors[len(c.errors)-1]
			if got.Verdict != c.want || got.Reason != c.reason || got.RetryAfter != last.RetryAfter || got.LastTry() != last {
				t.Errorf("got %v after %v, want %v and %v", got, got.RetryAfter, c.want, c.reason)
			}
		})
	}
}

// A try in flight is open: the answer to another one says nothing about it.
func TestTryInFlightIsOpenUntilItsAnswer(t *testing.T) {
	for _, c := range []struct {
		proof              Proof
		beside, afterwards Verdict
	}{
		{ProvesNothing, MayHaveRun, MayHaveRun},
		{ProvesRejected, MayHaveRun, NotRun},
		{ProvesExecuted, Ran, Ran},
		{ProvesNeverExecuted, NotRun, NotRun},
	} {
		var tries Tries
		tries.Begin()
		tries.Begin()
		if got := tries.End(c.proof); got != c.beside {
			t.Errorf("proof %v beside a try in flight: %v, want %v", c.proof, got, c.beside)
		}
		if got := tries.End(ProvesRejected); got != c.afterwards || tries.Sent != 2 {
			t.Errorf("proof %v, then a rejection: %v after %d tries, want %v", c.proof, got, tries.Sent, c.afterwards)
		}
	}
}

// A failure whose verdict is missing or unknown counts like no answer. Below not_run, it would
// be lost among the verdicts of a job's other tasks.
func TestFailureWithoutVerdictMayHaveRun(t *testing.T) {
	const unknown = Verdict(100)
	for v, want := range map[Verdict]Verdict{
		apiv1.Verdict_VERDICT_UNSPECIFIED: MayHaveRun,
		unknown:                           MayHaveRun,
		NotRun:                            NotRun,
		MayHaveRun:                        MayHaveRun,
		Ran:                               Ran,
	} {
		e := FromFailure(&apiv1.Failure{Verdict: v})
		if e.Verdict != want || Worst(NotRun, e.Verdict) != want {
			t.Errorf("%v: %v, the worst with not run is %v, want %v", v, e.Verdict, Worst(NotRun, e.Verdict), want)
		}
	}
}
