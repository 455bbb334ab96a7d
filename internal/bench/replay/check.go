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

// RepeatedAttemptsCounter is the name of the counter of attempts that follow an attempt
// which may have run.
const RepeatedAttemptsCounter = "attempts_repeated"

// checker holds the data recorded during a replay and the violations found in it.
type checker struct {
	player       *player
	starts       []standintarget.Start
	startsByTask map[string][]standintarget.Start
	counters     map[string]int64
	violations   []string
}

// check returns all violations of the invariants and of the expected outcomes.
func (p *player) check() []string {
	c := &checker{
		player:       p,
		starts:       p.fleet.Ledger.Starts(),
		startsByTask: make(map[string][]standintarget.Start),
		counters:     p.fleet.Counters(),
		violations:   p.failedStops,
	}
	for _, s := range c.starts {
		c.startsByTask[s.Task] = append(c.startsByTask[s.Task], s)
	}
	c.logCounters()
	c.checkStarts()
	c.checkStops()
	for _, j := range p.jobs {
		c.checkAnswers(j)
	}
	for _, x := range p.trace.Expectations {
		c.checkExpectation(x)
	}
	slices.Sort(c.violations)
	return c.violations
}

// silentBrokersCounter is the name of the counter of slot requests that a broker did not
// answer. Tasks are then placed without it, so that targets may refuse them as full.
const silentBrokersCounter = "brokers_silent"

// logCounters prints the non-zero counters of refusals and retries by reason, and of
// brokers that did not answer.
func (c *checker) logCounters() {
	for _, name := range slices.Sorted(maps.Keys(c.counters)) {
		isReason := strings.HasPrefix(name, "refused_") || strings.HasPrefix(name, "retried_") || name == silentBrokersCounter
		if v := c.counters[name]; v > 0 && isReason {
			c.player.logf("%s %d", name, v)
		}
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// atMS converts a time to milliseconds after the start of the replay.
func (c *checker) atMS(t time.Time) int64 {
	return t.Sub(c.player.startedAt).Milliseconds()
}

// checkStarts checks that only repeatable tasks started more than once, and that the
// system counted all repeated starts.
func (c *checker) checkStarts() {
	var repeats int64
	for _, j := range c.player.jobs {
		for i, repeatable := range j.repeatable {
			starts := c.startsByTask[j.taskName(i)]
			if len(starts) <= 1 {
				continue
			}
			if !repeatable {
				c.addViolation("task %s started %d times, the second at %d ms", j.taskName(i), len(starts), c.atMS(starts[1].At))
			}
			repeats += int64(len(starts) - 1)
		}
	}
	if counted := c.counters[RepeatedAttemptsCounter]; repeats > counted {
		c.addViolation("%d repeated starts, but the system counted %d", repeats, counted)
	}
}

func (c *checker) checkAnswers(j *job) {
	for _, r := range j.replies {
		if r.err != nil {
			c.checkNotRun(j, r)
			continue
		}
		c.checkComplete(j, r)
	}
}

// checkNotRun checks that no task started before a reply with the verdict not_run, and
// none after it unless the job was submitted again.
func (c *checker) checkNotRun(j *job, r reply) {
	if r.err.Verdict != verdict.NotRun {
		return
	}
	resubmitted := slices.ContainsFunc(j.replies, func(other reply) bool {
		return other.sentAt != r.sentAt && other.receivedAt.After(r.receivedAt)
	})
	for i := range j.repeatable {
		for _, s := range c.startsByTask[j.taskName(i)] {
			if s.At.Before(r.receivedAt) || !resubmitted {
				c.addViolation("job %s was answered not_run at %d ms, but task %d started at %d ms", j.submit.Job, c.atMS(r.receivedAt), i, c.atMS(s.At))
			}
		}
	}
}

// checkComplete checks that a complete answer contains every result, each at its own
// index and with the output of its own task.
func (c *checker) checkComplete(j *job, r reply) {
	if !isComplete(r.answer) {
		return
	}
	if got, want := len(r.answer.GetResults()), len(j.repeatable); got != want {
		c.addViolation("job %s was answered with %d of %d results", j.submit.Job, got, want)
		return
	}
	for i, result := range r.answer.GetResults() {
		if result.GetIndex() != uint32(i) || string(result.GetOutput()) != j.taskName(i) {
			c.addViolation("job %s was answered with %q for task %d", j.submit.Job, result.GetOutput(), i)
		}
	}
}

func (c *checker) checkExpectation(x trace.Expectation) {
	switch x := x.(type) {
	case *trace.JobOutcome:
		c.checkJob(x)
	case *trace.StartWindow:
		c.checkStartWindow(x)
	case *trace.RatioLimit:
		c.checkRatio(x)
	case *trace.MessageLimit:
		c.checkMessages(x)
	case *trace.CounterLimits:
		v := c.counters[x.Name]
		if (x.Min != nil && v < *x.Min) || (x.Max != nil && v > *x.Max) {
			c.addViolation("counter %s is %d", x.Name, v)
		}
	}
}

func (c *checker) checkJob(x *trace.JobOutcome) {
	j := c.player.jobs[x.Job]
	r := j.outcome()
	if r == nil {
		c.addViolation("job %s has no answer", x.Job)
		return
	}
	if x.Answer == "complete" && r.err != nil {
		c.addViolation("job %s is not complete: %v", x.Job, r.err)
	}
	if x.Answer == "failed" && r.err == nil {
		c.addViolation("job %s is complete, not failed", x.Job)
	}
	if got := verdictName(r); x.Verdict != "" && got != x.Verdict {
		c.addViolation("job %s has the verdict %s, not %s", x.Job, got, x.Verdict)
	}
	if took := r.receivedAt.Sub(j.startedAt).Milliseconds(); x.WithinMS > 0 && took > int64(x.WithinMS) {
		c.addViolation("job %s was answered after %d ms, not %d", x.Job, took, x.WithinMS)
	}
}

func verdictName(r *reply) string {
	if r.err == nil {
		return verdict.Name(apiv1.Verdict_VERDICT_RAN)
	}
	return verdict.Name(r.err.Verdict)
}

func (c *checker) checkStartWindow(x *trace.StartWindow) {
	var found *standintarget.Start
	for i, s := range c.starts {
		at := c.atMS(s.At)
		if at < int64(x.FromMS) || at >= int64(x.ToMS) {
			continue
		}
		if s.DataCentre == x.DataCentre || s.Target == x.Target || s.Department == x.Department {
			found = &c.starts[i]
			break
		}
	}
	where := x.DataCentre + x.Target + x.Department
	if x.Expect == "no_starts" && found != nil {
		c.addViolation("task %s started in %s at %d ms", found.Task, where, c.atMS(found.At))
	}
	if x.Expect == "some_starts" && found == nil {
		c.addViolation("no task started in %s between %d and %d ms", where, x.FromMS, x.ToMS)
	}
}

func (c *checker) checkRatio(x *trace.RatioLimit) {
	var ratios []float64
	for _, j := range c.player.jobs {
		r := j.outcome()
		if r == nil || r.err != nil || j.ideal == 0 {
			continue
		}
		ratios = append(ratios, float64(r.receivedAt.Sub(j.startedAt))/float64(j.ideal))
	}
	if len(ratios) == 0 {
		c.addViolation("no complete job for the ratio at quantile %g", x.Quantile)
		return
	}
	slices.Sort(ratios)
	rank := max(0, int(float64(len(ratios))*x.Quantile+0.5)-1)
	if got := ratios[rank]; got > x.Max {
		c.addViolation("response over ideal at quantile %g is %.3f, above %g", x.Quantile, got, x.Max)
	}
}

// messageCounters are the counters of frames sent between nodes.
var messageCounters = []string{"link_work_sent_frames", "link_control_sent_frames"}

func (c *checker) checkMessages(x *trace.MessageLimit) {
	var frames int64
	for _, name := range messageCounters {
		frames += c.counters[name]
	}
	if len(c.starts) == 0 {
		c.addViolation("no task started for the messages a task")
		return
	}
	if got := float64(frames) / float64(len(c.starts)); got > x.PerTaskMax {
		c.addViolation("%.2f messages a task, above %g", got, x.PerTaskMax)
	}
}

// interruptionReasons are the failure reasons that a planned stop must not cause.
var interruptionReasons = []verdict.Reason{
	apiv1.Reason_REASON_OUTCOME_UNKNOWN,
	apiv1.Reason_REASON_LINK_LOST,
	apiv1.Reason_REASON_AGENT_LOST,
	apiv1.Reason_REASON_HOME_LOST,
}

// checkStops checks that no planned stop interrupted a request in flight. Traces with
// other faults are skipped, because those faults may have interrupted it.
func (c *checker) checkStops() {
	if c.player.hasFaults() {
		return
	}
	for node, at := range c.player.plannedStops {
		for _, j := range c.player.jobs {
			for _, r := range j.replies {
				if r.err != nil && r.sentAt.Before(at) && r.receivedAt.After(at) && slices.Contains(interruptionReasons, r.err.Reason) {
					c.addViolation("planned stop of %s cut job %s: %v", node, j.submit.Job, r.err)
				}
			}
		}
	}
}

// hasFaults reports whether the trace has faults that may interrupt a request.
func (p *player) hasFaults() bool {
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
