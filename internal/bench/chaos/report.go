package chaos

import (
	"fmt"
	"slices"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// promise counts how often one promise was broken.
type promise struct {
	name   string
	broken int
}

// findings are the outcomes of a run.
type findings struct {
	run      *run
	starts   map[string][]standintarget.Start
	twice    promise
	notRun   promise
	partial  promise
	owner    promise
	repeated int
	shown    int
}

// report prints the figures and reports whether every promise held.
func (r *run) report() bool {
	f := &findings{
		run:     r,
		starts:  make(map[string][]standintarget.Start),
		twice:   promise{name: "tasks not repeatable started twice"},
		notRun:  promise{name: "false not_run"},
		partial: promise{name: "partial answers"},
		owner:   promise{name: "answers to the wrong owner"},
	}
	for _, s := range r.fleet.Ledger.Starts() {
		f.starts[s.Task] = append(f.starts[s.Task], s)
	}
	for _, j := range r.jobs {
		f.checkStarts(j)
		for _, answer := range j.replies {
			f.checkReply(j, answer)
		}
	}
	f.print()
	return f.twice.broken+f.notRun.broken+f.partial.broken+f.owner.broken == 0
}

func (f *findings) fail(p *promise, format string, args ...any) {
	p.broken++
	if f.shown++; f.shown <= failuresShown {
		_, _ = fmt.Fprintf(f.run.out, "BROKEN %s: %s\n", p.name, fmt.Sprintf(format, args...))
	}
}

func (f *findings) checkStarts(j *job) {
	for i := range j.request.Tasks {
		starts := f.starts[j.taskName(i)]
		for _, s := range starts {
			if s.Owner != ownerName(j.owner) {
				f.fail(&f.owner, "task %s started for %s", s.Task, s.Owner)
			}
		}
		if len(starts) < 2 {
			continue
		}
		f.repeated += len(starts) - 1
		if !j.repeatable {
			f.fail(&f.twice, "task %s on %s and %s", j.taskName(i), starts[0].Target, starts[1].Target)
		}
	}
}

func (f *findings) checkReply(j *job, r reply) {
	if r.err != nil {
		f.checkNotRun(j, r)
		return
	}
	if r.answer.GetState() != apiv1.JobState_JOB_STATE_COMPLETE {
		return
	}
	if len(r.answer.GetResults()) != len(j.request.Tasks) {
		f.fail(&f.partial, "job %d has %d of %d results", j.number, len(r.answer.GetResults()), len(j.request.Tasks))
		return
	}
	for i, result := range r.answer.GetResults() {
		if string(result.GetOutput()) != j.taskName(i) {
			f.fail(&f.owner, "job %d got %q for task %d", j.number, result.GetOutput(), i)
		}
	}
}

// checkNotRun checks that a job refused with not_run had not started, and did not
// start later unless it was submitted again.
func (f *findings) checkNotRun(j *job, r reply) {
	if r.err.Verdict != verdict.NotRun {
		return
	}
	again := slices.ContainsFunc(j.replies, func(other reply) bool { return other.sent.After(r.sent) })
	for i := range j.request.Tasks {
		for _, s := range f.starts[j.taskName(i)] {
			if s.At.Before(r.at) || !again {
				f.fail(&f.notRun, "job %d: %v, but task %d started on %s", j.number, r.err, i, s.Target)
			}
		}
	}
}

// share counts complete jobs among some.
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

// isHit reports whether the home of a job was killed while its first submission
// was under way.
func (r *run) isHit(j *job) bool {
	return r.wasKilled(j, j.began, j.first.Add(time.Millisecond))
}

// isStranded reports whether the home of a job was killed between the issue of
// the ticket and the first submission.
func (r *run) isStranded(j *job) bool {
	return r.wasKilled(j, j.fetched, j.began)
}

func (r *run) wasKilled(j *job, from, to time.Time) bool {
	return slices.ContainsFunc(r.lost[r.fleet.Entries[j.issuer].Name], func(at time.Time) bool {
		return at.After(from) && at.Before(to)
	})
}

func (f *findings) print() {
	r := f.run
	var all, hitAgain, hitOnce, stranded share
	failed := make(map[string]int)
	for _, j := range r.jobs {
		all.add(j)
		if !j.isComplete() {
			failed[j.lastError()]++
		}
		switch {
		case len(j.replies) == 0:
		case r.isStranded(j):
			stranded.add(j)
		case !r.isHit(j):
		case j.once:
			hitOnce.add(j)
		default:
			hitAgain.add(j)
		}
	}
	counters := r.fleet.Counters()
	f.row("jobs", r.options.Jobs)
	f.row("seed", r.options.Seed)
	for _, kind := range faultKinds {
		f.row(kind.name, r.faults[kind.name])
	}
	f.row("jobs complete", all)
	f.row("home killed meanwhile, submitted again", hitAgain)
	f.row("home killed meanwhile, not submitted again", hitOnce)
	f.row("home killed before the first submission", stranded)
	f.row("repeatable tasks started again", f.repeated)
	for _, name := range []string{"attempts_repeated", "homes_adopted", "homes_taken_over", "incarnations_lost", "adoptions_lost", "results_late"} {
		f.row(name+" (of nodes that still run or were asked)", counters[name])
	}
	for _, p := range []promise{f.twice, f.notRun, f.partial, f.owner} {
		f.row(p.name, p.broken)
	}
	for message, n := range failed {
		_, _ = fmt.Fprintf(r.out, "not complete %5d: %s\n", n, message)
	}
}

func (f *findings) row(name string, value any) {
	_, _ = fmt.Fprintf(f.run.out, "%-64s %20v\n", name, value)
}

func (j *job) lastError() string {
	if len(j.replies) == 0 {
		return "no ticket"
	}
	last := j.replies[len(j.replies)-1]
	if last.err == nil {
		return "still running"
	}
	caller := ""
	if j.once {
		caller = ", not submitted again"
	}
	return verdict.Name(last.err.Verdict) + " " + verdict.ReasonName(last.err.Reason) + caller
}
