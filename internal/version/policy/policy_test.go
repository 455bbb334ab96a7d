package policy

import (
	"testing"
	"time"
)

func TestViewIgnoresOlderVersions(t *testing.T) {
	var v View
	if v.Snapshot() != nil || v.Outages().Has("dc1") {
		t.Fatal("an empty view holds something")
	}
	for _, c := range []struct {
		version uint64
		taken   bool
	}{{5, true}, {5, false}, {4, false}, {9, true}, {8, false}} {
		if got := v.Apply(&Snapshot{Version: c.version}); got != c.taken {
			t.Errorf("version %d applied: %v, want %v", c.version, got, c.taken)
		}
	}
	if !v.ApplyOutages(&Outages{Revision: 20, Out: []string{"dc1"}}) || v.ApplyOutages(&Outages{Revision: 19}) {
		t.Error("a newer list of outages was not applied, or an older one was")
	}
	if v.Snapshot().Version != 9 || !v.Outages().Has("dc1") || v.Outages().Has("dc2") {
		t.Errorf("view %+v %+v", v.Snapshot(), v.Outages())
	}
}

func TestObjectiveOfCriticalPath(t *testing.T) {
	q := Queue{Stretch: 1.6, TargetLatency: 60 * time.Millisecond}
	if got := q.Objective(100 * time.Millisecond); got != 220*time.Millisecond {
		t.Errorf("objective %v, want 220 ms", got)
	}
}
