package main

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"
)

const (
	cancelBound = 3 * time.Second
	stopBound   = 50 * time.Millisecond
	contact     = 3 * time.Second
	// roomBound is contact_ms and one beat, after which a room that has shrunk counts.
	roomBound = 3*time.Second + heartbeat
)

// violation is a broken rule.
type violation struct{ rule, text string }

// note records a broken rule that a case has found by itself.
func (w *world) note(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noted = append(w.noted, violation{rule, fmt.Sprintf(format, args...)})
}

func (w *world) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(w.begun).Seconds())
}

func (w *world) describe(r *runRecord) string {
	return fmt.Sprintf("%s run %d on %s life %d from %s to %s (%s) late %v", r.task, r.number, r.runner, r.life, w.at(r.begun), w.at(r.ended), r.how, r.late)
}

// check returns the broken rules, from what clients and runners saw.
func (w *world) check() []violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := slices.Clone(w.noted)
	add := func(rule, format string, args ...any) {
		found = append(found, violation{rule, fmt.Sprintf(format, args...)})
	}
	now := time.Now()
	for _, p := range slices.Concat(w.entries, w.agents) {
		if p.fell > 0 {
			add("FELL", "%s ended by itself %d times", p.name, p.fell)
		}
	}
	byTask := make(map[string][]*runRecord)
	byJob := make(map[*job][]*runRecord)
	for _, r := range w.records {
		if r.job == nil {
			add("UNASKED", "nobody sent the job of %s", w.describe(r))
			continue
		}
		byTask[r.task] = append(byTask[r.task], r)
		byJob[r.job] = append(byJob[r.job], r)
		if r.spec != r.job.spec {
			add("UNASKED", "another spec %q: %s", r.spec, w.describe(r))
		}
		if r.used > r.capacity {
			add("LIMIT", "%d of %d used: %s", r.used, r.capacity, w.describe(r))
		}
		s := r.job.steps[r.step]
		if s.Requires != "" && !slices.Contains(r.labels, s.Requires) {
			add("ROUTE", "without the label %s: %s", s.Requires, w.describe(r))
		}
		if s.AntiAffinity > 0 && r.sameStep > s.AntiAffinity {
			add("ROUTE", "%d tasks of the step: %s", r.sameStep, w.describe(r))
		}
	}
	for _, runs := range byTask {
		sort.Slice(runs, func(a, b int) bool { return runs[a].begun.Before(runs[b].begun) })
		for i, r := range runs {
			for _, o := range runs[:i] {
				if o.ended.IsZero() || o.ended.After(r.begun) {
					add("TWICE", "%s beside %s", w.describe(r), w.describe(o))
				}
			}
		}
	}
	for j, runs := range byJob {
		w.checkJob(j, runs, byTask, now, add)
	}
	return found
}

func (w *world) checkJob(j *job, runs []*runRecord, byTask map[string][]*runRecord, now time.Time, add func(rule, format string, args ...any)) {
	doneBefore := func(step, index int, at time.Time) bool {
		for _, o := range byTask[fmt.Sprintf("%s.0.%d.%d", j.id, step, index)] {
			if o.how == "done" && !o.ended.After(at) {
				return true
			}
		}
		return false
	}
	for _, r := range runs {
		for _, before := range j.steps[r.step].After {
			for i := range j.steps[before].Count {
				if !doneBefore(before, i, r.begun) {
					add("ORDER", "task %d of step %d has not ended done: %s", i, before, w.describe(r))
				}
			}
		}
		for _, c := range j.cancels {
			if c.status != http.StatusOK && c.status != http.StatusGone {
				continue
			}
			ended := r.ended
			if ended.IsZero() {
				ended = now
			}
			starts := r.begun.Sub(c.got) > cancelBound && r.begun.After(w.inTouchFrom)
			runsOn := ended.Sub(c.got) > cancelBound+stopBound && c.got.After(w.inTouchFrom)
			if starts || runsOn {
				add("UNASKED", "cancelled at %s with %d: %s", w.at(c.got), c.status, w.describe(r))
			}
		}
	}
	if !j.done {
		return
	}
	rejected := len(j.attempts) > 0
	for _, a := range j.attempts {
		rejected = rejected && a.status >= 400 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout
		if a.state != "complete" {
			continue
		}
		for s := range j.steps {
			for i := range j.steps[s].Count {
				if !doneBefore(s, i, a.got) {
					add("MIXED", "job %s shown as complete at %s, task %d.%d has not ended done", j.id, w.at(a.got), s, i)
				}
			}
		}
	}
	if rejected && len(runs) > 0 {
		add("REFUSED", "all requests of job %s were rejected: %v; %s", j.id, j.attempts[0].status, w.describe(runs[0]))
	}
}
