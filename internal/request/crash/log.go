package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Retention is how long a report is kept: longer than the callers of its tasks retry.
	Retention = time.Minute
	// maxReports bounds the reports kept, of some 40 bytes for each run.
	maxReports = 256
)

// Log keeps recent reports, one for each crash, and the releases that followed. Its times are
// durations since the start of the process. It is not safe for concurrent use.
type Log struct {
	kept map[ID]*kept
	// released holds the latest crash before the release of each queue.
	released map[string]ID
}

// kept is a report with the time of its crash, which may be before the process started.
type kept struct {
	report Report
	at     time.Duration
}

// Add keeps a report. It returns false if the report says nothing new.
func (l *Log) Add(now time.Duration, r Report) bool {
	l.expire(now)
	if r.Age > Retention {
		return false
	}
	if known := l.kept[r.ID]; known != nil {
		changed := r.Withdrawn && !known.report.Withdrawn
		known.report.Withdrawn = known.report.Withdrawn || r.Withdrawn
		return changed
	}
	if l.kept == nil {
		l.kept = make(map[ID]*kept)
	}
	l.kept[r.ID] = &kept{report: r, at: now - r.Age}
	l.dropOldest()
	return true
}

// NextID returns the ID of a new report about an incarnation of a target.
func (l *Log) NextID(target string, incarnation int64) ID {
	next := ID{Target: target, Incarnation: incarnation}
	for id, k := range l.kept {
		if k.report.Withdrawn && id.Target == target && id.Incarnation == incarnation {
			next.Withdrawals = max(next.Withdrawals, id.Withdrawals+1)
		}
	}
	return next
}

// Stands reports whether a report is kept and not withdrawn.
func (l *Log) Stands(id ID) bool {
	k := l.kept[id]
	return k != nil && !k.report.Withdrawn
}

// AddRelease keeps a release for as long as the crash that it followed.
func (l *Log) AddRelease(r Release) {
	if l.kept[r.Latest] == nil || len(l.released) >= maxReports {
		return
	}
	if l.released == nil {
		l.released = make(map[string]ID)
	}
	l.released[r.Queue] = r.Latest
}

// Releases returns the releases kept.
func (l *Log) Releases(now time.Duration) []Release {
	l.expire(now)
	var releases []Release
	for queue, latest := range l.released {
		releases = append(releases, Release{Queue: queue, Latest: latest})
	}
	return releases
}

// Reports returns the reports kept, the latest crash first, with their present ages.
func (l *Log) Reports(now time.Duration) []Report {
	l.expire(now)
	reports := make([]Report, 0, len(l.kept))
	for _, k := range l.kept {
		r := k.report
		r.Age = now - k.at
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID.Target, b.ID.Target))
	})
	return reports
}

func (l *Log) expire(now time.Duration) {
	for id, k := range l.kept {
		if now-k.at > Retention {
			delete(l.kept, id)
		}
	}
	for queue, latest := range l.released {
		if l.kept[latest] == nil {
			delete(l.released, queue)
		}
	}
}

func (l *Log) dropOldest() {
	for len(l.kept) > maxReports {
		var oldest ID
		var at time.Duration
		first := true
		for id, k := range l.kept {
			if first || k.at < at {
				oldest, at, first = id, k.at, false
			}
		}
		delete(l.kept, oldest)
	}
}
