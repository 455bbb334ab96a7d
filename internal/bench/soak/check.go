package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/platform/standin"
)

// outage is a period in which a data centre was taken out of service.
type outage struct {
	dataCentre string
	from, to   time.Time
}

const (
	// maxStartAfterOutage is how long tasks may still start in a data centre after it
	// was taken out of service.
	maxStartAfterOutage = 5 * time.Second
	// overlapMargin allows for the resolution of the stand-in targets' clocks.
	overlapMargin = 3 * time.Millisecond
)

// violations compares the answers to callers with the runs at targets and describes
// each broken guarantee: a task that ran twice at once, a refused job that ran, a
// complete job with tasks missing, a run of a job that no caller submitted, and a
// start in a data centre that is out of service.
func violations(jobs []*submittedJob, runs []standin.Run, outages []outage) []string {
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
	submitted := make(map[string]bool)
	for _, j := range jobs {
		submitted[j.id] = true
		if j.isRefused() && len(byJob[j.id]) > 0 {
			found = append(found, fmt.Sprintf("job %s was refused as not run %v, and %s began %s", j.id, j.statuses, byJob[j.id][0].Task, byJob[j.id][0].Started.Format(time.StampMicro)))
		}
		if n := doneBefore(byJob[j.id], j.ended); j.state == "complete" && n < j.tasks {
			found = append(found, fmt.Sprintf("job %s was answered complete with %d of %d tasks done", j.id, n, j.tasks))
		}
	}
	for _, r := range runs {
		if !submitted[r.Job()] {
			found = append(found, fmt.Sprintf("task %s was started, which nobody sent", r.Task))
		}
		for _, o := range outages {
			if r.Zone == o.dataCentre && r.Started.After(o.from.Add(maxStartAfterOutage)) && r.Started.Before(o.to) {
				found = append(found, fmt.Sprintf("task %s was started in %s, %v after it was taken out", r.Task, r.Zone, r.Started.Sub(o.from)))
			}
		}
	}
	return found
}

// overlaps describes each pair of successive runs of one task that ran at the same
// time. A run that has not ended counts as overlapping with the next.
func overlaps(task string, runs []standin.Run) []string {
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.Started.Compare(b.Started) })
	var found []string
	for i := 1; i < len(runs); i++ {
		previous, next := runs[i-1], runs[i]
		if previous.Ended.IsZero() || next.Started.Before(previous.Ended.Add(-overlapMargin)) {
			found = append(found, fmt.Sprintf("task %s: run %d at %s from %s to %s (%s), run %d at %s from %s", task,
				previous.Number, previous.Target, previous.Started.Format(time.StampMicro), previous.Ended.Format(time.StampMicro), previous.Ending,
				next.Number, next.Target, next.Started.Format(time.StampMicro)))
		}
	}
	return found
}

// doneBefore counts the distinct tasks that had succeeded by the given time.
func doneBefore(runs []standin.Run, at time.Time) int {
	done := make(map[string]bool)
	for _, r := range runs {
		if r.Ending == "done" && !r.Ended.After(at) {
			done[r.Task] = true
		}
	}
	return len(done)
}
