package config

import (
	"testing"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// An object that lacks a change proves that it was never made only if its history reaches back
// to the base of the change.
func TestObjectProvesWhetherAChangeWasMade(t *testing.T) {
	object := func(revision uint64, history ...*apiv1.ChangeRecord) *apiv1.Object {
		return &apiv1.Object{Revision: revision, History: history}
	}
	record := func(id string, base uint64) *apiv1.ChangeRecord {
		return &apiv1.ChangeRecord{ChangeId: id, BaseRevision: base}
	}
	const base = 5
	for _, c := range []struct {
		name   string
		object *apiv1.Object
		want   verdict.Proof
	}{
		{"not known", nil, verdict.ProvesNothing},
		{"at the base", object(5, record("a", 0)), verdict.ProvesNothing},
		{"before the base", object(4, record("a", 0)), verdict.ProvesNothing},
		{"changed at the base by another", object(8, record("a", 0), record("b", 5)), verdict.ProvesNeverExecuted},
		{"without history", object(8), verdict.ProvesNothing},
		{"history cut after the base", object(8, record("b", 6)), verdict.ProvesNothing},
		{"with the change", object(8, record("a", 0), record("mine", 5)), verdict.ProvesExecuted},
		{"with the change and a later one", object(9, record("mine", 5), record("b", 8)), verdict.ProvesExecuted},
	} {
		if got := ProofOfChange(c.object, "mine", base); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if got := AcceptedRevision(object(9, record("mine", 5), record("b", 8)), "mine"); got != 8 {
		t.Errorf("accepted at %d, want 8", got)
	}
}
