package dispatch

import (
	"testing"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// A task that may not be repeated is started again only upon a proof that its attempt never
// runs. A phase without a class fails here.
func TestOnlyTombstoneProvesThatAnAttemptNeverRuns(t *testing.T) {
	const unknownPhase = peerv1.AttemptPhase(100)
	starts := map[peerv1.AttemptPhase]int{
		peerv1.AttemptPhase_ATTEMPT_PHASE_UNSPECIFIED: 1,
		peerv1.AttemptPhase_ATTEMPT_PHASE_TOMBSTONE:   2,
		peerv1.AttemptPhase_ATTEMPT_PHASE_RUNNING:     1,
		peerv1.AttemptPhase_ATTEMPT_PHASE_DONE:        1,
		unknownPhase:                                  1,
	}
	for n, name := range peerv1.AttemptPhase_name {
		if _, ok := starts[peerv1.AttemptPhase(n)]; !ok {
			t.Errorf("%s has no class", name)
		}
	}
	for phase, want := range starts {
		fx := newFixture(1)
		fx.submit(t, fx.task(false))
		first := fx.agents["r0"].started()[0]
		fx.HandleStates("r0", []*peerv1.AttemptState{{Id: first.GetId(), Phase: phase}})
		if got := fx.startCount(); got != want || fx.ended.len() != 0 {
			t.Errorf("%v: %d starts and %d outcomes, want %d starts", phase, got, fx.ended.len(), want)
		}
	}
}

// Each verdict of a result decides whether the task is started again and what its caller is
// told. A result that is delivered twice counts once.
func TestEachVerdictOfAResultHasAClass(t *testing.T) {
	const startedAgain = verdict.Verdict(-1)
	outcomes := map[verdict.Verdict]verdict.Verdict{
		apiv1.Verdict_VERDICT_UNSPECIFIED: verdict.MayHaveRun,
		verdict.NotRun:                    startedAgain,
		verdict.MayHaveRun:                verdict.MayHaveRun,
		verdict.Ran:                       verdict.Ran,
	}
	for n, name := range apiv1.Verdict_name {
		want, ok := outcomes[verdict.Verdict(n)]
		if !ok {
			t.Errorf("%s has no class", name)
			continue
		}
		fx := newFixture(1)
		fx.submit(t, fx.task(false))
		first := fx.agents["r0"].started()[0]
		failure := &verdict.Error{Verdict: verdict.Verdict(n), Reason: apiv1.Reason_REASON_TARGET_FULL}
		for range 2 {
			fx.answer("r0", first, failure)
		}
		if want == startedAgain {
			if fx.startCount() != 2 || fx.ended.len() != 0 {
				t.Errorf("%s: %d starts and %d outcomes, want a second start", name, fx.startCount(), fx.ended.len())
			}
			continue
		}
		if fx.startCount() != 1 || fx.ended.len() != 1 || fx.ended.list[0].Err.Verdict != want {
			t.Errorf("%s: %d starts, outcomes %v, want one with %v", name, fx.startCount(), fx.ended.list, want)
		}
	}
}

// An agent that lost its link, or was replaced, leaves its attempts open.
func TestLostAgentProvesNothing(t *testing.T) {
	fx := newFixture(1)
	fx.submit(t, fx.task(false))
	info := &peerv1.TargetInfo{Name: "r0", DataCentre: "nbo1", Slots: slotsPerTarget, Size: &apiv1.Size{Cpus: 4}}
	fx.Detach("r0", fx.agents["r0"])
	fx.Attach(info, 100, &fakeAgent{})
	if fx.ended.len() != 0 {
		t.Errorf("outcomes %v while the same agent is asked again", fx.ended.list)
	}
	fx.Attach(info, 101, &fakeAgent{})
	if fx.startCount() != 1 || fx.ended.len() != 1 || fx.ended.list[0].Err.Verdict != verdict.MayHaveRun {
		t.Errorf("%d starts, outcomes %v, want one that may have run", fx.startCount(), fx.ended.list)
	}
}
