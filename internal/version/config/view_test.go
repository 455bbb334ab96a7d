package config_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

const kindDataCentre = apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE

func dataCentre(name string, revision uint64, out bool) *apiv1.Object {
	return &apiv1.Object{Kind: kindDataCentre, Name: name, Revision: revision, Out: out}
}

// For any updates in any order, neither the revision of a view nor that of an object
// decreases, and a delta that starts above the revision of the view changes nothing.
func TestNeitherViewNorObjectReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := config.NewView()
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			before := v.Load()
			u := drawUpdate(t)
			_, ok := v.Apply(u)
			after := v.Load()
			if after.Revision() < before.Revision() {
				t.Fatalf("revision decreased from %d to %d", before.Revision(), after.Revision())
			}
			if !ok && after.Revision() != before.Revision() {
				t.Fatalf("an update with a gap was applied")
			}
			for _, o := range before.List(kindDataCentre) {
				if now := after.Get(kindDataCentre, o.GetName()); now.GetRevision() < o.GetRevision() {
					t.Fatalf("object %s decreased from revision %d to %d", o.GetName(), o.GetRevision(), now.GetRevision())
				}
			}
		}
	})
}

func drawUpdate(t *rapid.T) *peerv1.ConfigUpdate {
	u := &peerv1.ConfigUpdate{
		FromRevision: rapid.Uint64Range(0, 30).Draw(t, "from"),
		Snapshot:     rapid.Bool().Draw(t, "snapshot"),
	}
	for range rapid.IntRange(1, 3).Draw(t, "objects") {
		name := rapid.SampledFrom([]string{"nbo1", "nbo2", "nbo3"}).Draw(t, "name")
		o := dataCentre(name, rapid.Uint64Range(1, 40).Draw(t, "revision"), rapid.Bool().Draw(t, "out"))
		u.Objects = append(u.Objects, o)
		u.Revision = max(u.Revision, o.GetRevision())
	}
	return u
}

// An object that is assumed to be out of service stays so across updates, until each
// assumption is cleared.
func TestAssumedOut(t *testing.T) {
	v := config.NewView()
	v.Apply(&peerv1.ConfigUpdate{Revision: 1, Objects: []*apiv1.Object{dataCentre("nbo1", 1, false)}})
	key := config.Key{Kind: kindDataCentre, Name: "nbo1"}
	v.AssumeOut(key)
	v.AssumeOut(key)
	v.ClearAssumedOut(key)
	v.Apply(&peerv1.ConfigUpdate{FromRevision: 1, Revision: 2, Objects: []*apiv1.Object{dataCentre("nbo2", 2, true)}})
	err := v.Load().CheckTarget("desk", "nbo1", "r1")
	if err == nil || err.Verdict != verdict.NotRun || err.Reason != apiv1.Reason_REASON_DATA_CENTRE_OUT {
		t.Errorf("data centre assumed to be out: %v", err)
	}
	v.ClearAssumedOut(key)
	if err := v.Load().CheckTarget("desk", "nbo1", "r1"); err != nil {
		t.Errorf("data centre after its assumptions were cleared: %v", err)
	}
	if v.Load().Get(kindDataCentre, "nbo1").GetOut() {
		t.Error("the stored object was changed")
	}
}

func TestKnownFor(t *testing.T) {
	v := config.NewView()
	v.Apply(&peerv1.ConfigUpdate{Revision: 5, Objects: []*apiv1.Object{dataCentre("nbo1", 5, true)}})
	later := time.Now().Add(time.Second)
	if known, ok := v.KnownFor(3, later); !ok || known < 900*time.Millisecond {
		t.Errorf("revision 3: %v %v", known, ok)
	}
	if _, ok := v.KnownFor(6, later); ok {
		t.Error("revision 6 is not known")
	}
}
