package crash

import (
	"fmt"
	"testing"
	"time"
)

func report(target string, age time.Duration) Report {
	return Report{ID: ID{Target: target, Incarnation: 1}, Agent: target, Age: age}
}

// The same crash is reported by its agent, forwarded by an entry and restored from the store.
func TestCrashCountsOnce(t *testing.T) {
	var l Log
	if !l.Add(0, report("a", time.Second)) || l.Add(time.Second, report("a", 0)) {
		t.Error("a crash is new twice or never")
	}
	if got := l.Reports(2 * time.Second); len(got) != 1 || got[0].Age != 3*time.Second {
		t.Errorf("reports are %+v", got)
	}
}

// A report that is late must not undo its withdrawal.
func TestWithdrawalHoldsInAnyOrder(t *testing.T) {
	var l Log
	withdrawn := report("a", 0)
	withdrawn.Withdrawn = true
	l.Add(0, withdrawn)
	if l.Add(0, report("a", 0)) {
		t.Error("a withdrawn crash is new")
	}
	if got := l.Reports(0); !got[0].Withdrawn {
		t.Errorf("reports are %+v", got)
	}
}

// Processes pass reports on to each other, so that an old one must not live on for ever.
func TestOldReportsEnd(t *testing.T) {
	var l Log
	l.Add(0, report("a", 0))
	if l.Add(0, report("b", Retention+1)) {
		t.Error("a report is kept beyond its retention")
	}
	if got := l.Reports(Retention + 1); len(got) != 0 {
		t.Errorf("reports are %+v", got)
	}
}

// A release is known for as long as its crash, and not without it.
func TestReleaseEndsWithItsCrash(t *testing.T) {
	var l Log
	l.Add(0, report("a", 0))
	l.AddRelease(Release{Queue: "k", Latest: report("a", 0).ID})
	l.AddRelease(Release{Queue: "q", Latest: report("unknown", 0).ID})
	if got := l.Releases(Retention); len(got) != 1 || got[0].Queue != "k" {
		t.Errorf("releases are %+v", got)
	}
	if got := l.Releases(Retention + 1); len(got) != 0 {
		t.Errorf("releases are %+v", got)
	}
}

func TestReportsAreBounded(t *testing.T) {
	var l Log
	for n := range 2 * maxReports {
		l.Add(time.Duration(n), report(fmt.Sprint(n), 0))
	}
	got := l.Reports(2 * maxReports)
	if len(got) != maxReports || got[0].ID.Target != fmt.Sprint(2*maxReports-1) {
		t.Errorf("%d reports, the latest is %v", len(got), got[0].ID)
	}
}

// A target stops answering, answers again, and then crashes: that must not count as the first
// report, which is withdrawn.
func TestCrashAfterAWithdrawnReportIsNew(t *testing.T) {
	var l Log
	id := l.NextID("a", 1)
	l.Add(0, Report{ID: id, Agent: "a", Silent: true})
	if l.NextID("a", 1) != id {
		t.Error("a crash has two IDs")
	}
	l.Add(0, Report{ID: id, Agent: "a", Withdrawn: true})
	if next := l.NextID("a", 1); next == id || !l.Add(0, Report{ID: next, Agent: "a"}) {
		t.Errorf("the crash after %v is %v", id, next)
	}
}
