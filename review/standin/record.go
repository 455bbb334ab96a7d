package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// run is one run of a task at a target.
type run struct {
	task    string
	number  uint64
	target  string
	started time.Duration
	// ended is 0 while the run is active; ending is how it ended.
	ended  time.Duration
	ending string
}

// record keeps what was sent, answered and run, in times since the start of the case.
type record struct {
	epoch time.Time

	mu    sync.Mutex
	lines []string
	runs  []*run
}

func newRecord() *record { return &record{epoch: time.Now()} }

func (r *record) now() time.Duration { return time.Since(r.epoch) }

func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(fmt.Sprintf(format, args...))
}

func (r *record) addLocked(line string) {
	r.lines = append(r.lines, fmt.Sprintf("%9.3f s  %s", r.now().Seconds(), line))
}

func (r *record) started(task string, number uint64, target string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	started := &run{task: task, number: number, target: target, started: r.now()}
	r.runs = append(r.runs, started)
	r.addLocked(fmt.Sprintf("target %s starts task %s, run %d", target, task, number))
	return started
}

func (r *record) ended(n *run, ending string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.ended, n.ending = r.now(), ending
	r.addLocked(fmt.Sprintf("target %s ends task %s, run %d: %s", n.target, n.task, n.number, ending))
}

// runsOf returns copies of the runs of one job, in the order of their starts.
func (r *record) runsOf(job string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []run
	for _, n := range r.runs {
		if strings.HasPrefix(n.task, job+".") {
			found = append(found, *n)
		}
	}
	return found
}

// minOverlap is the shortest overlap of two runs that counts: less may be due to the order in
// which two targets write the record.
const minOverlap = 3 * time.Millisecond

// overlaps returns a line for each pair of runs of one task that were active at the same time.
func (r *record) overlaps() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	byTask := make(map[string][]*run)
	for _, n := range r.runs {
		byTask[n.task] = append(byTask[n.task], n)
	}
	var found []string
	for task, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if line, ok := r.overlap(task, a, b); ok {
					found = append(found, line)
				}
			}
		}
	}
	slices.Sort(found)
	return found
}

func (r *record) overlap(task string, a, b *run) (string, bool) {
	from := max(a.started, b.started)
	to := min(r.endOf(a), r.endOf(b))
	if to-from < minOverlap {
		return "", false
	}
	return fmt.Sprintf("task %s ran on %s (run %d, %.3f s to %.3f s) and on %s (run %d, %.3f s to %.3f s): both for %d ms",
		task, a.target, a.number, a.started.Seconds(), r.endOf(a).Seconds(),
		b.target, b.number, b.started.Seconds(), r.endOf(b).Seconds(), (to - from).Milliseconds()), true
}

func (r *record) endOf(n *run) time.Duration {
	if n.ending == "" {
		return r.now()
	}
	return n.ended
}

// write writes the record and the verdict to a file.
func (r *record) write(path, verdict string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n\n"+verdict+"\n"), 0o644)
}
