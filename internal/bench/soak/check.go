package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/platform/standin"
)

// out is a time for which a data centre was out of service.
type out struct {
	zone     string
	from, to time.Time
}

const (
	// evacuation is the time allowed for the last start in a data centre that
	// was taken out.
	evacuation = 5 * time.Second
	// overlapMargin covers the resolution of the stand-ins' clocks.
	overlapMargin = 3 * time.Millisecond
)

// violations returns each broken promise, as callers and targets have seen it.
func violations(calls []*call, runs []standin.Run, outs []out) []string {
	byTask := make(map[string][]standin.Run)
	byJob := make(map[string][]standin.Run)
	for _, r := range runs {
		byTask[r.Task] = append(byTask[r.Task], r)
		byJob[r.Job()] = append(byJob[r.Job()], r)
	}
	var found []string
	for task, list := range byTask {
		found = append(found, overlaps(task, list)...)
	}
	known := make(map[string]bool)
	for _, c := range calls {
		known[c.id] = true
		if c.isRefused() && len(byJob[c.id]) > 0 {
			found = append(found, fmt.Sprintf("job %s was refused as not run %v, and %s began %s", c.id, c.statuses, byJob[c.id][0].Task, byJob[c.id][0].Began.Format(time.StampMicro)))
		}
		if n := doneBefore(byJob[c.id], c.ended); c.state == "complete" && n < c.tasks {
			found = append(found, fmt.Sprintf("job %s was answered complete with %d of %d tasks done", c.id, n, c.tasks))
		}
	}
	for _, r := range runs {
		if !known[r.Job()] {
			found = append(found, fmt.Sprintf("task %s was started, which nobody sent", r.Task))
		}
		for _, o := range outs {
			if r.Zone == o.zone && r.Began.After(o.from.Add(evacuation)) && r.Began.Before(o.to) {
				found = append(found, fmt.Sprintf("task %s was started in %s, %v after it was taken out", r.Task, r.Zone, r.Began.Sub(o.from)))
			}
		}
	}
	return found
}

// overlaps returns the pairs of runs of one task that ran at the same time.
func overlaps(task string, runs []standin.Run) []string {
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
	var found []string
	for i := 1; i < len(runs); i++ {
		former, next := runs[i-1], runs[i]
		if former.Ended.IsZero() || next.Began.Before(former.Ended.Add(-overlapMargin)) {
			found = append(found, fmt.Sprintf("task %s: run %d at %s from %s to %s (%s), run %d at %s from %s", task,
				former.Number, former.Target, former.Began.Format(time.StampMicro), former.Ended.Format(time.StampMicro), former.How,
				next.Number, next.Target, next.Began.Format(time.StampMicro)))
		}
	}
	return found
}

// doneBefore counts the tasks of a job that had ended well at a time.
func doneBefore(runs []standin.Run, at time.Time) int {
	done := make(map[string]bool)
	for _, r := range runs {
		if r.How == "done" && !r.Ended.After(at) {
			done[r.Task] = true
		}
	}
	return len(done)
}
