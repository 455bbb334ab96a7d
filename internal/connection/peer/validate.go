package peer

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// validate returns an error if a number of the frame is out of its range. Sums over many
// frames then cannot overflow.
func (f *Frame) validate() error {
	for i := range f.Starts {
		if err := f.Starts[i].validate(); err != nil {
			return eris.Wrapf(err, "start %d", i)
		}
	}
	for i := range f.Crashes {
		if err := f.Crashes[i].Validate(); err != nil {
			return eris.Wrapf(err, "crash %d", i)
		}
	}
	if f.Claims != nil {
		for i := range f.Claims.Attempts {
			if err := f.Claims.Attempts[i].Need.Validate(); err != nil {
				return eris.Wrapf(err, "claim %d", i)
			}
		}
	}
	if f.Target != nil {
		if err := f.Target.Capacity.Validate(); err != nil {
			return eris.Wrap(err, "target")
		}
		if err := f.Target.validateSlowdown(); err != nil {
			return eris.Wrap(err, "target")
		}
	}
	if err := validateDemand(f.Demand); err != nil {
		return err
	}
	if err := f.Interference.validate(); err != nil {
		return eris.Wrap(err, "interference")
	}
	if err := bounds.RunTime.Check("age of the policy", f.PolicyAge); err != nil {
		return err
	}
	if f.Room != nil {
		return errors.Join(
			eris.Wrap(validateFree(f.Room.Free), "free capacity"),
			validateDemand(f.Room.Demand),
			bounds.RunTime.Check("exclusive time", f.Room.ExclusiveFor),
		)
	}
	return nil
}

// slowdownRange is the range of a slowdown in percent.
var slowdownRange = bounds.Range[int]{Min: 0, Max: 1000}

func (t *Target) validateSlowdown() error {
	return errors.Join(
		slowdownRange.Check("slowdown", t.Slowdown),
		bounds.RunTime.Check("age of the slowdown", t.SlowdownAge),
	)
}

// Ranges of an estimate of interference: logarithms of a slowdown.
var (
	effectRange      = bounds.Range[float64]{Min: -10, Max: 10}
	effectErrorRange = bounds.Range[float64]{Min: 0, Max: 10}
)

func (i *Interference) validate() error {
	if i == nil {
		return nil
	}
	for _, p := range i.Pairs {
		if err := errors.Join(effectRange.Check("effect", p.Effect), effectErrorRange.Check("error", p.Error)); err != nil {
			return err
		}
	}
	return nil
}

// Validate returns an error unless the entry can be dialled.
func (e *Entry) Validate() error {
	errs := []error{bounds.CheckName("name of the entry", e.Name), bounds.CheckIPPort("address", e.Address)}
	if e.DataCentre != "" {
		errs = append(errs, bounds.CheckName("data centre", e.DataCentre))
	}
	return errors.Join(errs...)
}

func validateDemand(demand task.Demand) error {
	for _, d := range demand {
		if err := bounds.CPU.Check("demand", d.CPU); err != nil {
			return err
		}
	}
	return nil
}

func (s *Start) validate() error {
	return errors.Join(
		s.Need.Validate(),
		bounds.RunTime.Check("expected run time", s.Expected),
		bounds.RunTime.Check("run time on the average target", s.Average),
		startWaitRange.Check("wait for capacity", s.WaitFor),
		bounds.RunTime.Check("exclusive run time", s.ExclusiveFor),
	)
}

// startWaitRange is the range of Start.WaitFor. It is far shorter than OwnerLease, so that an entry
// that has given an attempt up cannot be surprised by its start.
var startWaitRange = bounds.Range[time.Duration]{Min: 0, Max: MaxStartWait}

// validateFree checks a free capacity, which is negative while runs use more than a
// target's capacity.
func validateFree(free task.Resources) error {
	cpu, memory, accelerators := bounds.CPU, bounds.MemoryMB, bounds.Accelerators
	cpu.Min, memory.Min, accelerators.Min = -cpu.Max, -memory.Max, -accelerators.Max
	return errors.Join(
		cpu.Check("cpu", free.CPU),
		memory.Check("memory", free.MemoryMB),
		accelerators.Check("accelerators", free.Accelerators),
	)
}
