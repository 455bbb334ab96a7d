package trace

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// checker validates the values and references of a trace, line by line. Names must
// refer to the fleet or to a job submitted earlier, and events must be in order of time.
type checker struct {
	trace    *Trace
	hasFleet bool
	lastAtMS int
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

func (c *checker) checkFleet() error {
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

func (c *checker) checkEvent(e Event, do string) error {
	if e.at() < c.lastAtMS {
		return eris.Errorf("at_ms %d is before the event above it", e.at())
	}
	if e.at() > c.trace.Fleet.UntilMS {
		return eris.Errorf("at_ms %d is after until_ms", e.at())
	}
	c.lastAtMS = e.at()
	switch e := e.(type) {
	case *Submit:
		return c.checkSubmit(e)
	case *Resubmit:
		return firstError(c.checkJob(e.Job), c.checkEntry(e.Via))
	case *Cancel:
		return c.checkJob(e.Job)
	case *Change:
		return firstError(c.checkChangedObject(do, e.Name), c.checkEntry(e.Via))
	case *NodeEvent:
		return c.checkProcess(e.Node)
	case *Pause:
		return firstError(c.checkProcess(e.Node), checkPositive("for_ms", e.ForMS))
	case *Partition:
		return firstError(c.checkPartitionSide(e.A), c.checkPartitionSide(e.B), checkPositive("for_ms", e.ForMS))
	case *StoreFault:
		return firstError(checkOneOf("mode", e.Mode, "down", "slow", "lose_answers"), checkPositive("for_ms", e.ForMS))
	case *TargetFault:
		return c.checkTargetFault(e)
	}
	return nil
}

func (c *checker) checkSubmit(e *Submit) error {
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
	return firstError(c.checkEntry(e.Via), checkPositive("deadline_ms", e.DeadlineMS))
}

func (c *checker) checkTargetFault(e *TargetFault) error {
	if !c.targets[e.Name] {
		return eris.Errorf("unknown target %q", e.Name)
	}
	if e.Mode == "slow" && e.Factor <= 0 {
		return eris.New("mode slow needs a positive factor")
	}
	return firstError(checkOneOf("mode", e.Mode, "fail_all", "slow", "hang"), checkPositive("for_ms", e.ForMS))
}

func (c *checker) checkExpectation(x Expectation) error {
	switch x := x.(type) {
	case *JobOutcome:
		if !c.jobs[x.Job] {
			return eris.Errorf("unknown job %q", x.Job)
		}
		if x.Verdict != "" {
			if err := checkOneOf("verdict", x.Verdict, "not_run", "may_have_run", "ran"); err != nil {
				return err
			}
		}
		return checkOneOf("answer", x.Answer, "complete", "failed", "any")
	case *StartWindow:
		return c.checkStartWindow(x)
	case *RatioLimit:
		if x.Quantile <= 0 || x.Quantile > 1 || x.Max <= 0 {
			return eris.New("ratio needs a quantile up to 1 and a positive max")
		}
	case *MessageLimit:
		if x.PerTaskMax <= 0 {
			return eris.New("per_task_max must be positive")
		}
	case *CounterLimits:
		if x.Name == "" || (x.Min == nil && x.Max == nil) {
			return eris.New("counter needs name and min or max")
		}
	}
	return nil
}

func (c *checker) checkStartWindow(x *StartWindow) error {
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

func (c *checker) checkJob(name string) error {
	if !c.jobs[name] {
		return eris.Errorf("job %q was not submitted before", name)
	}
	return nil
}

func (c *checker) checkEntry(via string) error {
	if via == "" || (c.nodes[via] && !c.targets[via]) {
		return nil
	}
	return eris.Errorf("unknown entry %q", via)
}

func (c *checker) checkProcess(name string) error {
	if !c.nodes[name] || c.targets[name] {
		return eris.Errorf("%q is not a process of the system", name)
	}
	return nil
}

func (c *checker) checkPartitionSide(names []string) error {
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

func (c *checker) checkChangedObject(do, name string) error {
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

func checkPositive(field string, v int) error {
	if v <= 0 {
		return eris.Errorf("%s must be positive", field)
	}
	return nil
}

func checkOneOf(field, v string, allowed ...string) error {
	if slices.Contains(allowed, v) {
		return nil
	}
	return eris.Errorf("%s %q is not one of %v", field, v, allowed)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
