package model

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/process/scheduler"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// checker records the events that targets and callers see and checks the invariants.
type checker struct {
	startedAt time.Time
	log       *crashLog

	mu sync.Mutex
	// running lists the targets that currently run each task.
	running map[task.Key][]string
	starts  map[string]int // by job
	// crashes counts the crashes under each task, startsAfter its starts once maxCrashes were
	// under it.
	workload    workload
	crashes     map[task.Key]int
	startsAfter map[task.Key]int
	// answers holds the answers to a caller's requests by job; tries counts the requests,
	// and open those without an answer.
	answers    map[string][]scheduler.Answer
	open       map[string]int
	tries      map[string]int
	violations []string
	// overlaps holds the overlaps of runs of one task that have ended, and overlapping when those
	// in progress began.
	overlaps    []overlap
	overlapping map[task.Key]time.Duration
}

// overlap is a period in which a task ran more than once.
type overlap struct {
	key        task.Key
	begin, end time.Duration
}

func (o overlap) length() time.Duration { return o.end - o.begin }

func (o overlap) String() string {
	return fmt.Sprintf("%v ran twice at once for %v from %v on", o.key, o.length(), o.begin)
}

// A task that crashes its targets is started less than maxStartsAfter times more once
// maxCrashes targets have crashed under it. A job may be given up for crashes from
// minCrashesToFail under one of its tasks.
const (
	maxCrashes       = 3
	maxStartsAfter   = 3
	minCrashesToFail = 2
)

// killTime is the age at which a task crashes its target.
const killTime = 15 * time.Millisecond

// workload describes the jobs of a simulation.
type workload struct {
	// killers is n if each n-th job has a task that crashes its targets, or 0.
	killers int
	// slowdown is how many times longer tasks run than usual, or 0 for once.
	slowdown int
	// resent is set if callers send their jobs to another entry at once after a reset: then only
	// overlaps longer than maxOverlap, or maxResentOverlap if that is 0, are violations.
	resent     bool
	maxOverlap time.Duration
}

// maxResentOverlap is the bound that docs/design/platform.md states for the runs of a caller that
// sends its job again at once after a reset: the entry notices that it has left, and the runs are
// stopped.
const maxResentOverlap = (10 + 50) * time.Millisecond

func newChecker(w workload) *checker {
	return &checker{
		workload:    w,
		crashes:     make(map[task.Key]int),
		startsAfter: make(map[task.Key]int),
		startedAt:   time.Now(),
		log:         &crashLog{epoch: time.Now()},
		running:     make(map[task.Key][]string),
		starts:      make(map[string]int),
		answers:     make(map[string][]scheduler.Answer),
		open:        make(map[string]int),
		tries:       make(map[string]int),
		overlapping: make(map[task.Key]time.Duration),
	}
}

func (c *checker) violationLocked(format string, args ...any) {
	at := time.Since(c.startedAt).Round(time.Millisecond)
	c.violations = append(c.violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

// started records that a target starts a task. It is a violation if another target runs
// the task, or if the only request of its job has already been answered as complete.
func (c *checker) started(target string, k task.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if others := c.running[k]; len(others) > 0 {
		if len(others) == 1 {
			c.overlapping[k] = time.Since(c.startedAt)
		}
		if !c.workload.resent {
			c.violationLocked("%v starts on %s while it runs on %v", k, target, others)
		}
	}
	if c.tries[k.Job] == 1 && slices.ContainsFunc(c.answers[k.Job], isComplete) {
		c.violationLocked("%v starts on %s after its job was complete", k, target)
	}
	c.running[k] = append(c.running[k], target)
	c.starts[k.Job]++
	if c.crashes[k] < maxCrashes {
		return
	}
	if c.startsAfter[k]++; c.startsAfter[k] >= maxStartsAfter && c.isKiller(k) {
		c.violationLocked("%v starts on %s for the %d. time after %d crashes under it", k, target, c.startsAfter[k], c.crashes[k])
	}
}

// isKiller reports whether a task crashes the targets that start it.
func (c *checker) isKiller(k task.Key) bool {
	n := 0
	_, err := fmt.Sscanf(k.Job, "job-%d", &n)
	return err == nil && c.workload.killers > 0 && n%c.workload.killers == 2 && k.Index == 0
}

// crashed records that a target has crashed on which a task ran as far as its agent knows.
func (c *checker) crashed(k task.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[k]++
}

func (c *checker) ended(target string, k task.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.running[k], target); i >= 0 {
		c.running[k] = slices.Delete(c.running[k], i, i+1)
		if len(c.running[k]) == 1 {
			c.overlaps = append(c.overlaps, overlap{key: k, begin: c.overlapping[k], end: time.Since(c.startedAt)})
		}
	}
}

// runTime returns the run time of a task, between 20 and 820 ms times the slowdown of the
// workload, derived from its key.
func (c *checker) runTime(k task.Key) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.String()))
	return time.Duration(20+h.Sum32()%800) * time.Millisecond * time.Duration(max(c.workload.slowdown, 1))
}

func (c *checker) submitted(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[job]++
	c.tries[job]++
}

func (c *checker) answered(job string, a scheduler.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[job]--
	c.answers[job] = append(c.answers[job], a)
	if a.State == scheduler.StateRefused && a.Verdict != verdict.NotRun {
		c.violationLocked("%s is refused with the verdict %v", job, a.Verdict)
	}
	if a.State == scheduler.StateFailed && c.crashesUnderLocked(job) < minCrashesToFail {
		c.violationLocked("%s has failed after %d crashes%s", job, c.crashesUnderLocked(job), c.log.about(job))
	}
}

// crashesUnderLocked returns the highest number of crashes under a task of a job.
func (c *checker) crashesUnderLocked(job string) int {
	most := 0
	for k, n := range c.crashes {
		if k.Job == job {
			most = max(most, n)
		}
	}
	return most
}

// check verifies what must hold once the system is idle: no task still runs, and no job
// refused on all requests has started a task. It returns all violations.
func (c *checker) check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, targets := range c.running {
		if len(targets) > 0 {
			c.violationLocked("%v still runs on %v", k, targets)
		}
	}
	for _, o := range c.overlaps {
		if !c.workload.resent || o.length() > cmp.Or(c.workload.maxOverlap, maxResentOverlap) {
			c.violationLocked("%v", o)
		}
	}
	for job, answers := range c.answers {
		refused := c.open[job] == 0 && !slices.ContainsFunc(answers, func(a scheduler.Answer) bool { return a.State != scheduler.StateRefused })
		if refused && c.starts[job] > 0 {
			c.violationLocked("%s was refused as not run and started %d tasks", job, c.starts[job])
		}
	}
	return c.violations
}

// longestOverlap returns the longest of the overlaps that have ended.
func (c *checker) longestOverlap() overlap {
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest overlap
	for _, o := range c.overlaps {
		if o.length() > longest.length() {
			longest = o
		}
	}
	return longest
}

// complete returns the number of jobs that were answered as complete.
func (c *checker) complete() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, answers := range c.answers {
		if slices.ContainsFunc(answers, isComplete) {
			n++
		}
	}
	return n
}

func isComplete(a scheduler.Answer) bool { return a.State == scheduler.StateComplete }
