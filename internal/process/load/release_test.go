package load

import (
	"testing"
	"time"
)

// All capacity was filled at one moment. A wide job must not begin with the little that
// is left if the rest becomes free too late for it.
func TestJobBeginsOnlyWhenItsLastTaskStartsInTime(t *testing.T) {
	const now = time.Second
	var r Releases
	for i := range 10 {
		r.Add(Release{At: now + time.Duration(10-i)*50*time.Millisecond, CPU: 3000}, 500*time.Millisecond)
	}
	for _, c := range []struct {
		name    string
		slack   time.Duration
		missing int64
		begin   bool
	}{
		{"all fits", 0, 0, true},
		{"one task waits for the first end", 60 * time.Millisecond, 3000, true},
		{"one task, no time left", 40 * time.Millisecond, 3000, false},
		{"three tasks", 160 * time.Millisecond, 9000, true},
		{"three tasks, the last one late", 120 * time.Millisecond, 9000, false},
		{"more than will ever be free", time.Minute, 40_000, false},
	} {
		if got := r.ShouldBegin(now, now+c.slack, c.missing); got != c.begin {
			t.Errorf("%s: begin %v, want %v", c.name, got, c.begin)
		}
	}
	r.Reset()
	if r.ShouldBegin(now, now+time.Hour, 1) {
		t.Error("free capacity is predicted where nothing runs")
	}
}

// Three entries share the capacity: this entry's tasks end late, while those of the
// others end continuously.
func TestReleasesIncludeTasksOfOtherEntries(t *testing.T) {
	const now = time.Second
	var r Releases
	for range 10 {
		r.Add(Release{At: now + 300*time.Millisecond, CPU: 3000}, 400*time.Millisecond)
	}
	alone, _ := r.FreeAt(now, 6000)
	r.AddOthers(60_000)
	at, ok := r.FreeAt(now, 6000)
	// 60,000 in 400 ms are 150 per millisecond.
	if want := now + 40*time.Millisecond; !ok || (at-want).Abs() > 5*time.Millisecond || alone != now+300*time.Millisecond {
		t.Errorf("capacity free at %v, alone at %v; want %v and 1.3 s", at, alone, want)
	}
	if at, ok := r.FreeAt(now, 80_000); !ok || at < now+300*time.Millisecond {
		t.Errorf("capacity of own tasks and others free at %v, %v", at, ok)
	}
	if _, ok := r.FreeAt(now, 91_000); ok {
		t.Error("more capacity is predicted than is in use")
	}
}
