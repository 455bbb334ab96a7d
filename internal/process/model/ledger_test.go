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

// ledger is what targets and callers see, and what must hold of it.
type ledger struct {
	begun time.Time

	mu sync.Mutex
	// running names the targets that run a task now.
	running map[task.Key][]string
	starts  map[string]int // by job
	// answers are those to each try of a caller, by job; open are the tries without one.
	answers map[string][]scheduler.Answer
	open    map[string]int
	tries   map[string]int
	broken  []string
}

func newLedger() *ledger {
	return &ledger{
		begun:   time.Now(),
		running: make(map[task.Key][]string),
		starts:  make(map[string]int),
		answers: make(map[string][]scheduler.Answer),
		open:    make(map[string]int),
		tries:   make(map[string]int),
	}
}

func (l *ledger) breakRule(format string, args ...any) {
	at := time.Since(l.begun).Round(time.Millisecond)
	l.broken = append(l.broken, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

// started notes that a target begins to run a task. No other may run it then.
func (l *ledger) started(target string, k task.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if others := l.running[k]; len(others) > 0 {
		l.breakRule("%v starts on %s while it runs on %v", k, target, others)
	}
	if l.tries[k.Job] == 1 && slices.ContainsFunc(l.answers[k.Job], isComplete) {
		l.breakRule("%v starts on %s after its job was complete", k, target)
	}
	l.running[k] = append(l.running[k], target)
	l.starts[k.Job]++
}

func (l *ledger) ended(target string, k task.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.running[k], target); i >= 0 {
		l.running[k] = slices.Delete(l.running[k], i, i+1)
	}
}

// runTime is that of a task, from 20 to 820 ms.
func (l *ledger) runTime(k task.Key) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.String()))
	return time.Duration(20+h.Sum32()%800) * time.Millisecond
}

func (l *ledger) asked(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[job]++
	l.tries[job]++
}

func (l *ledger) answered(job string, a scheduler.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[job]--
	l.answers[job] = append(l.answers[job], a)
	if a.State == scheduler.StateRefused && a.Verdict != verdict.NotRun {
		l.breakRule("%s is refused with the verdict %v", job, a.Verdict)
	}
}

// check looks at what holds once nothing moves any more.
func (l *ledger) check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, targets := range l.running {
		if len(targets) > 0 {
			l.breakRule("%v still runs on %v", k, targets)
		}
	}
	for job, answers := range l.answers {
		refused := l.open[job] == 0 && !slices.ContainsFunc(answers, func(a scheduler.Answer) bool { return a.State != scheduler.StateRefused })
		if refused && l.starts[job] > 0 {
			l.breakRule("%s was refused as not run and started %d tasks", job, l.starts[job])
		}
	}
	return l.broken
}

// complete counts the jobs that were answered complete.
func (l *ledger) complete() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, answers := range l.answers {
		if slices.ContainsFunc(answers, isComplete) {
			n++
		}
	}
	return n
}

func isComplete(a scheduler.Answer) bool { return a.State == scheduler.StateComplete }
