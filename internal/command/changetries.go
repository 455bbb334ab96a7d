package command

import (
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

// changeTries records the tries of one change, those of earlier commands included.
type changeTries struct {
	tries verdict.Tries
	// request is sent with each try of this command.
	request *apiv1.ChangeRequest
	// isBaseKnown is set if all tries have the base revision of request.
	isBaseKnown bool
}

// newChangeTries returns the tries before the first one of this command. A change whose ID is
// given may have been sent by an earlier command.
func (c *invocation) newChangeTries(m *apiv1.ChangeRequest) *changeTries {
	t := &changeTries{request: m, isBaseKnown: c.change.id == "" || c.change.base >= 0}
	if c.change.id != "" {
		t.tries.Record(verdict.ProvesNothing)
	}
	return t
}

// record records the error of a try and returns that of the change. While an earlier try may
// be executed, the outcome is unknown.
func (t *changeTries) record(err error) error {
	e := fromError(err)
	if t.tries.Record(t.proofOf(e, conflictObject(err))) == verdict.NotRun || isUnknown(e) {
		return err
	}
	return verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_OUTCOME_UNKNOWN, "an earlier try has no answer; this one: %s: %s", verdict.ReasonName(e.Reason), e.Message)
}

// proofOf returns what an error proves about the change. present is the stored object in the
// error of a conflict, or nil.
func (t *changeTries) proofOf(e *verdict.Error, present *apiv1.Object) verdict.Proof {
	base := t.request.GetBaseRevision()
	if !t.isBaseKnown {
		base = 0
	}
	if config.ProofOfChange(present, t.request.GetChangeId(), base) == verdict.ProvesNeverExecuted {
		return verdict.ProvesNeverExecuted
	}
	return verdict.ProofOf(e.Verdict)
}
