package trace

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// checker checks the references and values of a trace, line by line.
type checker struct {
	trace    *Trace
	hasFleet bool
	last     int
	jobs     map[string]bool
	nodes    map[string]bool
	targets  map[string]bool
}

func newChecker(t *Trace) *checker {
	return &checker{
		trace:   t,
		jobs:    make(map[string]bool),
		nodes:   make(map[string]bool),
		targets: make(map[string]bool),
	}
}

func (c *checker) fleet() error {
	f := &c.trace.Fleet
	if f.UntilMS <= 0 || f.EntriesPerDataCentre <= 0 || len(f.DataCentres) == 0 {
		return eris.New("fleet needs until_ms, entries_per_data_centre and data_centres")
	}
	for _, dc := range f.DataCentres {
		for i := range f.EntriesPerDataCentre {
			c.nodes[fmt.Sprintf("%s-entry-%d", dc, i+1)] = true
		}
	}
	for _, t := range f.Targets {
		if t.Name == "" || t.Slots <= 0 || t.Size.CPUs <= 0 || t.Size.MemoryMB <= 0 {
			return eris.Errorf("target %q needs name, slots and size", t.Name)
		}
		if !slices.Contains(f.DataCentres, t.DataCentre) {
			return eris.Errorf("target %q is in unknown data centre %q", t.Name, t.DataCentre)
		}
		c.targets[t.Name] = true
		c.nodes[t.Name] = true
		c.nodes[t.Name+"-agent"] = true
	}
	return nil
}

func (c *checker) event(e Event, do string) error {
	if e.at() < c.last {
		return eris.Errorf("at_ms %d is before the event above it", e.at())
	}
	if e.at() > c.trace.Fleet.UntilMS {
		return eris.Errorf("at_ms %d is after until_ms", e.at())
	}
	c.last = e.at()
	switch e := e.(type) {
	case *Submit:
		return c.submit(e)
	case *Resubmit:
		return firstOf(c.job(e.Job), c.entry(e.Via))
	case *Cancel:
		return c.job(e.Job)
	case *Change:
		return firstOf(c.changed(do, e.Name), c.entry(e.Via))
	case *NodeEvent:
		return c.process(e.Node)
	case *Pause:
		return firstOf(c.process(e.Node), positive("for_ms", e.ForMS))
	case *Partition:
		return firstOf(c.side(e.A), c.side(e.B), positive("for_ms", e.ForMS))
	case *Store:
		return firstOf(oneOf("mode", e.Mode, "down", "slow", "lose_answers"), positive("for_ms", e.ForMS))
	case *TargetFault:
		return c.targetFault(e)
	}
	return nil
}

func (c *checker) submit(e *Submit) error {
	if e.Job == "" || c.jobs[e.Job] {
		return eris.Errorf("job %q is missing or submitted twice", e.Job)
	}
	c.jobs[e.Job] = true
	if e.Department == "" || e.Caller == "" || len(e.Tasks) == 0 {
		return eris.New("submit needs department, caller and tasks")
	}
	for _, g := range e.Tasks {
		if g.Count <= 0 || g.RunMS < 0 {
			return eris.New("tasks need a positive count and a run_ms")
		}
	}
	return firstOf(c.entry(e.Via), positive("deadline_ms", e.DeadlineMS))
}

func (c *checker) targetFault(e *TargetFault) error {
	if !c.targets[e.Name] {
		return eris.Errorf("unknown target %q", e.Name)
	}
	if e.Mode == "slow" && e.Factor <= 0 {
		return eris.New("mode slow needs a positive factor")
	}
	return firstOf(oneOf("mode", e.Mode, "fail_all", "slow", "hang"), positive("for_ms", e.ForMS))
}

func (c *checker) expect(x Expect) error {
	switch x := x.(type) {
	case *JobOutcome:
		if !c.jobs[x.Job] {
			return eris.Errorf("unknown job %q", x.Job)
		}
		if x.Verdict != "" {
			if err := oneOf("verdict", x.Verdict, "not_run", "may_have_run", "ran"); err != nil {
				return err
			}
		}
		return oneOf("answer", x.Answer, "complete", "failed", "any")
	case *Starts:
		return c.starts(x)
	case *Ratio:
		if x.Quantile <= 0 || x.Quantile > 1 || x.Max <= 0 {
			return eris.New("ratio needs a quantile up to 1 and a positive max")
		}
	case *Messages:
		if x.PerTaskMax <= 0 {
			return eris.New("per_task_max must be positive")
		}
	case *Counter:
		if x.Name == "" || (x.Min == nil && x.Max == nil) {
			return eris.New("counter needs name and min or max")
		}
	}
	return nil
}

func (c *checker) starts(x *Starts) error {
	given := 0
	for _, name := range []string{x.DataCentre, x.Target, x.Department} {
		if name != "" {
			given++
		}
	}
	if given != 1 {
		return eris.New("give one of data_centre, target and department")
	}
	if x.ToMS <= x.FromMS {
		return eris.New("to_ms must be after from_ms")
	}
	return nil
}

func (c *checker) job(name string) error {
	if !c.jobs[name] {
		return eris.Errorf("job %q was not submitted before", name)
	}
	return nil
}

func (c *checker) entry(via string) error {
	if via == "" || (c.nodes[via] && !c.targets[via]) {
		return nil
	}
	return eris.Errorf("unknown entry %q", via)
}

func (c *checker) process(name string) error {
	if !c.nodes[name] || c.targets[name] {
		return eris.Errorf("%q is not a process of the system", name)
	}
	return nil
}

func (c *checker) side(names []string) error {
	if len(names) == 0 {
		return eris.New("partition needs a and b")
	}
	for _, name := range names {
		if name != "store" && !c.nodes[name] && !slices.Contains(c.trace.Fleet.DataCentres, name) {
			return eris.Errorf("unknown node or data centre %q", name)
		}
	}
	return nil
}

func (c *checker) changed(do, name string) error {
	f := &c.trace.Fleet
	known := false
	switch do {
	case "data_centre_out", "data_centre_in":
		known = slices.Contains(f.DataCentres, name)
	case "target_leave", "target_return":
		known = c.targets[name]
	default:
		for _, d := range f.Departments {
			known = known || d.Name == name
		}
	}
	if !known {
		return eris.Errorf("unknown name %q", name)
	}
	return nil
}

func positive(field string, v int) error {
	if v <= 0 {
		return eris.Errorf("%s must be positive", field)
	}
	return nil
}

func oneOf(field, v string, allowed ...string) error {
	if slices.Contains(allowed, v) {
		return nil
	}
	return eris.Errorf("%s %q is not one of %v", field, v, allowed)
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
