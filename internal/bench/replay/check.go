package replay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/bench/trace"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// RepeatedCounter counts the attempts that follow one that may have run.
const RepeatedCounter = "attempts_repeated"

// findings is what a replay has to judge.
type findings struct {
	player   *player
	starts   []standintarget.Start
	byTask   map[string][]standintarget.Start
	counters map[string]int64
	list     []string
}

// check returns all violations of the invariants and the stated outcomes.
func (p *player) check() []string {
	f := &findings{
		player:   p,
		starts:   p.fleet.Ledger.Starts(),
		byTask:   make(map[string][]standintarget.Start),
		counters: p.fleet.Counters(),
		list:     p.stopFaults,
	}
	for _, s := range f.starts {
		f.byTask[s.Task] = append(f.byTask[s.Task], s)
	}
	f.noteCounters()
	f.checkStarts()
	f.checkStops()
	for _, j := range p.jobs {
		f.checkAnswers(j)
	}
	for _, x := range p.trace.Expects {
		f.checkExpect(x)
	}
	slices.Sort(f.list)
	return f.list
}

// noteCounters prints the reasons of refusals and retries that occurred.
func (f *findings) noteCounters() {
	for _, name := range slices.Sorted(maps.Keys(f.counters)) {
		isReason := strings.HasPrefix(name, "refused_") || strings.HasPrefix(name, "retried_")
		if v := f.counters[name]; v > 0 && isReason {
			f.player.note("%s %d", name, v)
		}
	}
}

func (f *findings) add(format string, args ...any) {
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// atMS returns a time in milliseconds after the start of the replay.
func (f *findings) atMS(t time.Time) int64 {
	return t.Sub(f.player.begun).Milliseconds()
}

// checkStarts checks that no task starts twice but a repeatable one, and that
// one only where the system counted a repeat.
func (f *findings) checkStarts() {
	var repeats int64
	for _, j := range f.player.jobs {
		for i, repeatable := range j.repeatable {
			starts := f.byTask[j.taskName(i)]
			if len(starts) <= 1 {
				continue
			}
			if !repeatable {
				f.add("task %s started %d times, the second at %d ms", j.taskName(i), len(starts), f.atMS(starts[1].At))
			}
			repeats += int64(len(starts) - 1)
		}
	}
	if counted := f.counters[RepeatedCounter]; repeats > counted {
		f.add("%d repeated starts, but the system counted %d", repeats, counted)
	}
}

func (f *findings) checkAnswers(j *job) {
	for _, r := range j.answers {
		if r.err != nil {
			f.checkNotRun(j, r)
			continue
		}
		f.checkComplete(j, r)
	}
}

// checkNotRun checks that a refusal that says not_run had no start before it,
// and none after it unless the job was submitted again.
func (f *findings) checkNotRun(j *job, r reply) {
	if r.err.Verdict != verdict.NotRun {
		return
	}
	again := slices.ContainsFunc(j.answers, func(other reply) bool {
		return other.sent != r.sent && other.at.After(r.at)
	})
	for i := range j.repeatable {
		for _, s := range f.byTask[j.taskName(i)] {
			if s.At.Before(r.at) || !again {
				f.add("job %s was answered not_run at %d ms, but task %d started at %d ms", j.submit.Job, f.atMS(r.at), i, f.atMS(s.At))
			}
		}
	}
}

// checkComplete checks that an answer holds every result, each its own.
func (f *findings) checkComplete(j *job, r reply) {
	if !isComplete(r.answer) {
		return
	}
	if got, want := len(r.answer.GetResults()), len(j.repeatable); got != want {
		f.add("job %s was answered with %d of %d results", j.submit.Job, got, want)
		return
	}
	for i, result := range r.answer.GetResults() {
		if result.GetIndex() != uint32(i) || string(result.GetOutput()) != j.taskName(i) {
			f.add("job %s was answered with %q for task %d", j.submit.Job, result.GetOutput(), i)
		}
	}
}

func (f *findings) checkExpect(x trace.Expect) {
	switch x := x.(type) {
	case *trace.JobOutcome:
		f.checkJob(x)
	case *trace.Starts:
		f.checkWindow(x)
	case *trace.Ratio:
		f.checkRatio(x)
	case *trace.Messages:
		f.checkMessages(x)
	case *trace.Counter:
		v := f.counters[x.Name]
		if (x.Min != nil && v < *x.Min) || (x.Max != nil && v > *x.Max) {
			f.add("counter %s is %d", x.Name, v)
		}
	}
}

func (f *findings) checkJob(x *trace.JobOutcome) {
	j := f.player.jobs[x.Job]
	r := j.outcome()
	if r == nil {
		f.add("job %s has no answer", x.Job)
		return
	}
	if x.Answer == "complete" && r.err != nil {
		f.add("job %s is not complete: %v", x.Job, r.err)
	}
	if x.Answer == "failed" && r.err == nil {
		f.add("job %s is complete, not failed", x.Job)
	}
	if got := verdictOf(r); x.Verdict != "" && got != x.Verdict {
		f.add("job %s has the verdict %s, not %s", x.Job, got, x.Verdict)
	}
	if took := r.at.Sub(j.began).Milliseconds(); x.WithinMS > 0 && took > int64(x.WithinMS) {
		f.add("job %s was answered after %d ms, not %d", x.Job, took, x.WithinMS)
	}
}

func verdictOf(r *reply) string {
	if r.err == nil {
		return verdict.Name(apiv1.Verdict_VERDICT_RAN)
	}
	return verdict.Name(r.err.Verdict)
}

func (f *findings) checkWindow(x *trace.Starts) {
	var found *standintarget.Start
	for i, s := range f.starts {
		at := f.atMS(s.At)
		if at < int64(x.FromMS) || at >= int64(x.ToMS) {
			continue
		}
		if s.DataCentre == x.DataCentre || s.Target == x.Target || s.Department == x.Department {
			found = &f.starts[i]
			break
		}
	}
	where := x.DataCentre + x.Target + x.Department
	if x.Expect == "no_starts" && found != nil {
		f.add("task %s started in %s at %d ms", found.Task, where, f.atMS(found.At))
	}
	if x.Expect == "some_starts" && found == nil {
		f.add("no task started in %s between %d and %d ms", where, x.FromMS, x.ToMS)
	}
}

func (f *findings) checkRatio(x *trace.Ratio) {
	var ratios []float64
	for _, j := range f.player.jobs {
		r := j.outcome()
		if r == nil || r.err != nil || j.ideal == 0 {
			continue
		}
		ratios = append(ratios, float64(r.at.Sub(j.began))/float64(j.ideal))
	}
	if len(ratios) == 0 {
		f.add("no complete job for the ratio at quantile %g", x.Quantile)
		return
	}
	slices.Sort(ratios)
	rank := max(0, int(float64(len(ratios))*x.Quantile+0.5)-1)
	if got := ratios[rank]; got > x.Max {
		f.add("response over ideal at quantile %g is %.3f, above %g", x.Quantile, got, x.Max)
	}
}

// messageCounters count what the nodes sent to each other.
var messageCounters = []string{"link_work_sent_frames", "link_control_sent_frames"}

func (f *findings) checkMessages(x *trace.Messages) {
	var frames int64
	for _, name := range messageCounters {
		frames += f.counters[name]
	}
	if len(f.starts) == 0 {
		f.add("no task started for the messages a task")
		return
	}
	if got := float64(frames) / float64(len(f.starts)); got > x.PerTaskMax {
		f.add("%.2f messages a task, above %g", got, x.PerTaskMax)
	}
}

// cutReasons are the ends of a request that a planned stop must not cause.
var cutReasons = []verdict.Reason{
	apiv1.Reason_REASON_OUTCOME_UNKNOWN,
	apiv1.Reason_REASON_LINK_LOST,
	apiv1.Reason_REASON_AGENT_LOST,
	apiv1.Reason_REASON_HOME_LOST,
}

// checkStops checks that a planned stop cut no request in flight. A trace with
// other disturbances is not judged, since they may have cut it.
func (f *findings) checkStops() {
	if f.player.isDisturbed() {
		return
	}
	for node, at := range f.player.stops {
		for _, j := range f.player.jobs {
			for _, r := range j.answers {
				if r.err != nil && r.sent.Before(at) && r.at.After(at) && slices.Contains(cutReasons, r.err.Reason) {
					f.add("planned stop of %s cut job %s: %v", node, j.submit.Job, r.err)
				}
			}
		}
	}
}

// isDisturbed reports whether the trace has events that may cut a request.
func (p *player) isDisturbed() bool {
	return slices.ContainsFunc(p.trace.Events, func(e trace.Event) bool {
		switch e := e.(type) {
		case *trace.Pause, *trace.Partition, *trace.TargetFault:
			return true
		case *trace.NodeEvent:
			return e.Do == "kill"
		default:
			return false
		}
	})
}
