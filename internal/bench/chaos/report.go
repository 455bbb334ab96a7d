package chaos

import (
	"fmt"
	"slices"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// invariant is a guarantee of the system with the number of its violations.
type invariant struct {
	name       string
	violations int
}

// checker checks the replies and task starts of a run against the guarantees.
type checker struct {
	run            *run
	starts         map[string][]standintarget.Start
	startedTwice   invariant
	falseNotRun    invariant
	partialAnswers invariant
	wrongOwner     invariant
	// repeatedStarts counts the starts of tasks beyond the first of each.
	repeatedStarts int
	// reported counts the violations for maxPrintedViolations.
	reported int
}

// report prints the results of the run and reports whether every guarantee held.
func (r *run) report() bool {
	c := &checker{
		run:            r,
		starts:         make(map[string][]standintarget.Start),
		startedTwice:   invariant{name: "tasks not repeatable started twice"},
		falseNotRun:    invariant{name: "false not_run"},
		partialAnswers: invariant{name: "partial answers"},
		wrongOwner:     invariant{name: "answers to the wrong owner"},
	}
	for _, s := range r.fleet.Ledger.Starts() {
		c.starts[s.Task] = append(c.starts[s.Task], s)
	}
	for _, j := range r.jobs {
		c.checkStarts(j)
		for _, reply := range j.replies {
			c.checkReply(j, reply)
		}
	}
	c.print()
	return c.startedTwice.violations+c.falseNotRun.violations+c.partialAnswers.violations+c.wrongOwner.violations == 0
}

// addViolation counts a violation and prints the first maxPrintedViolations of a run.
func (c *checker) addViolation(inv *invariant, format string, args ...any) {
	inv.violations++
	if c.reported++; c.reported <= maxPrintedViolations {
		_, _ = fmt.Fprintf(c.run.out, "BROKEN %s: %s\n", inv.name, fmt.Sprintf(format, args...))
	}
}

// checkStarts checks that the tasks of a job started for its owner only, and not twice
// unless they may be repeated.
func (c *checker) checkStarts(j *job) {
	for i := range j.request.Tasks {
		starts := c.starts[j.taskName(i)]
		for _, s := range starts {
			if s.Owner != ownerName(j.owner) {
				c.addViolation(&c.wrongOwner, "task %s started for %s", s.Task, s.Owner)
			}
		}
		if len(starts) < 2 {
			continue
		}
		c.repeatedStarts += len(starts) - 1
		if !j.repeatable {
			c.addViolation(&c.startedTwice, "task %s on %s and %s", j.taskName(i), starts[0].Target, starts[1].Target)
		}
	}
}

// checkReply checks that a complete answer has the results of all tasks of the job, and
// that a refusal with not_run is correct.
func (c *checker) checkReply(j *job, r reply) {
	if r.err != nil {
		c.checkNotRun(j, r)
		return
	}
	if r.answer.GetState() != apiv1.JobState_JOB_STATE_COMPLETE {
		return
	}
	if len(r.answer.GetResults()) != len(j.request.Tasks) {
		c.addViolation(&c.partialAnswers, "job %d has %d of %d results", j.number, len(r.answer.GetResults()), len(j.request.Tasks))
		return
	}
	for i, result := range r.answer.GetResults() {
		if string(result.GetOutput()) != j.taskName(i) {
			c.addViolation(&c.wrongOwner, "job %d got %q for task %d", j.number, result.GetOutput(), i)
		}
	}
}

// checkNotRun checks that no task of a job refused with not_run had started before the
// refusal, and that none started later unless the job was resubmitted.
func (c *checker) checkNotRun(j *job, r reply) {
	if r.err.Verdict != verdict.NotRun {
		return
	}
	resubmitted := slices.ContainsFunc(j.replies, func(other reply) bool { return other.sentAt.After(r.sentAt) })
	for i := range j.request.Tasks {
		for _, s := range c.starts[j.taskName(i)] {
			if s.At.Before(r.receivedAt) || !resubmitted {
				c.addViolation(&c.falseNotRun, "job %d: %v, but task %d started on %s", j.number, r.err, i, s.Target)
			}
		}
	}
}

// share counts the complete jobs of a group.
type share struct {
	complete, all int
}

func (s *share) add(j *job) {
	s.all++
	if j.isComplete() {
		s.complete++
	}
}

func (s share) String() string {
	percent := 100 * float64(s.complete) / float64(max(1, s.all))
	return fmt.Sprintf("%d of %d (%.1f %%)", s.complete, s.all, percent)
}

// isHomeKilledDuringFirstSubmit reports whether the home of a job was killed during the
// job's first submission.
func (r *run) isHomeKilledDuringFirstSubmit(j *job) bool {
	return r.wasKilled(j, j.firstSubmit, j.firstReply.Add(time.Millisecond))
}

// isHomeKilledBeforeFirstSubmit reports whether the home of a job was killed between the
// first use of one of its tickets and the job's first submission.
func (r *run) isHomeKilledBeforeFirstSubmit(j *job) bool {
	return r.wasKilled(j, j.homeFirstUsed, j.firstSubmit)
}

func (r *run) wasKilled(j *job, from, to time.Time) bool {
	return slices.ContainsFunc(r.kills[r.fleet.Entries[j.issuerEntry].Name], func(at time.Time) bool {
		return at.After(from) && at.Before(to)
	})
}

func (c *checker) print() {
	r := c.run
	var all, killedResubmitted, killedSubmittedOnce, killedBeforeFirst share
	failed := make(map[string]int)
	for _, j := range r.jobs {
		all.add(j)
		if !j.isComplete() {
			failed[j.lastError()]++
		}
		switch {
		case len(j.replies) == 0:
		case r.isHomeKilledBeforeFirstSubmit(j):
			killedBeforeFirst.add(j)
		case !r.isHomeKilledDuringFirstSubmit(j):
		case j.submitOnce:
			killedSubmittedOnce.add(j)
		default:
			killedResubmitted.add(j)
		}
	}
	counters := r.fleet.Counters()
	c.row("jobs", r.options.Jobs)
	c.row("seed", r.options.Seed)
	for _, kind := range faultKinds {
		c.row(kind.name, r.faultCounts[kind.name])
	}
	c.row("jobs complete", all)
	c.row("home killed meanwhile, submitted again", killedResubmitted)
	c.row("home killed meanwhile, not submitted again", killedSubmittedOnce)
	c.row("home killed before the first submission", killedBeforeFirst)
	c.row("repeatable tasks started again", c.repeatedStarts)
	for _, name := range []string{"attempts_repeated", "homes_adopted", "homes_taken_over", "incarnations_lost", "adoptions_lost", "results_late"} {
		c.row(name+" (of nodes that still run or were asked)", counters[name])
	}
	for _, inv := range []invariant{c.startedTwice, c.falseNotRun, c.partialAnswers, c.wrongOwner} {
		c.row(inv.name, inv.violations)
	}
	for message, n := range failed {
		_, _ = fmt.Fprintf(r.out, "not complete %5d: %s\n", n, message)
	}
}

func (c *checker) row(name string, value any) {
	_, _ = fmt.Fprintf(c.run.out, "%-64s %20v\n", name, value)
}

// lastError describes why a job is not complete.
func (j *job) lastError() string {
	if len(j.replies) == 0 {
		return "no ticket"
	}
	last := j.replies[len(j.replies)-1]
	if last.err == nil {
		return "still running"
	}
	caller := ""
	if j.submitOnce {
		caller = ", not submitted again"
	}
	return verdict.Name(last.err.Verdict) + " " + verdict.ReasonName(last.err.Reason) + caller
}
