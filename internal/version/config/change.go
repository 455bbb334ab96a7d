package config

import (
	"slices"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// HasChange reports whether the history of a stored object contains a change.
func HasChange(o *apiv1.Object, changeID string) bool {
	return slices.ContainsFunc(o.GetHistory(), func(r *apiv1.ChangeRecord) bool { return r.GetChangeId() == changeID })
}

// ProofOfChange returns what a stored object, nil if it is not known, proves about the
// execution of a change that is based on one of its revisions. A change is written only at its
// base, so it can't follow once the object has passed that; the history then contains it,
// unless it is cut after the base.
func ProofOfChange(o *apiv1.Object, changeID string, base uint64) verdict.Proof {
	history := o.GetHistory()
	switch {
	case HasChange(o, changeID):
		return verdict.ProvesExecuted
	case o.GetRevision() > base && len(history) > 0 && history[0].GetBaseRevision() <= base:
		return verdict.ProvesNeverExecuted
	default:
		return verdict.ProvesNothing
	}
}

// AcceptedRevision returns the revision at which a change in the history of an object was
// stored: the base revision of the next change, or the revision of the object.
func AcceptedRevision(o *apiv1.Object, changeID string) uint64 {
	history := o.GetHistory()
	for i, record := range history {
		if record.GetChangeId() == changeID && i+1 < len(history) {
			return history[i+1].GetBaseRevision()
		}
	}
	return o.GetRevision()
}
