package model

import (
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

	mu sync.Mutex
	// running lists the targets that currently run each task.
	running map[task.Key][]string
	starts  map[string]int // by job
	// answers holds the answers to a caller's requests by job; tries counts the requests,
	// and open those without an answer.
	answers    map[string][]scheduler.Answer
	open       map[string]int
	tries      map[string]int
	violations []string
}

func newChecker() *checker {
	return &checker{
		startedAt: time.Now(),
		running:   make(map[task.Key][]string),
		starts:    make(map[string]int),
		answers:   make(map[string][]scheduler.Answer),
		open:      make(map[string]int),
		tries:     make(map[string]int),
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
		c.violationLocked("%v starts on %s while it runs on %v", k, target, others)
	}
	if c.tries[k.Job] == 1 && slices.ContainsFunc(c.answers[k.Job], isComplete) {
		c.violationLocked("%v starts on %s after its job was complete", k, target)
	}
	c.running[k] = append(c.running[k], target)
	c.starts[k.Job]++
}

func (c *checker) ended(target string, k task.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.running[k], target); i >= 0 {
		c.running[k] = slices.Delete(c.running[k], i, i+1)
	}
}

// runTime returns the run time of a task, between 20 and 820 ms, derived from its key.
func (c *checker) runTime(k task.Key) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.String()))
	return time.Duration(20+h.Sum32()%800) * time.Millisecond
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
	for job, answers := range c.answers {
		refused := c.open[job] == 0 && !slices.ContainsFunc(answers, func(a scheduler.Answer) bool { return a.State != scheduler.StateRefused })
		if refused && c.starts[job] > 0 {
			c.violationLocked("%s was refused as not run and started %d tasks", job, c.starts[job])
		}
	}
	return c.violations
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
