package peer

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// MaxCrashRuns bounds the runs of one crash report.
const MaxCrashRuns = 512

// CrashID identifies a crash: an incarnation of a target ends only once.
type CrashID struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
}

// Crash reports that a target ended without notice, and the runs that were on it. Agents
// and entries forward reports to each other, so that the loss of any process loses none.
type Crash struct {
	ID CrashID `cbor:"1,keyasint"`
	// Agent is the name of the agent beside the target.
	Agent string `cbor:"2,keyasint"`
	// Age is the time since the crash when the frame was sent.
	Age  time.Duration `cbor:"3,keyasint,omitempty"`
	Runs []CrashedRun  `cbor:"4,keyasint,omitempty"`
	// Withdrawn is set once the same incarnation has answered again, so that it cannot have
	// crashed.
	Withdrawn bool `cbor:"5,keyasint,omitempty"`
}

// CrashedRun is a run that was on a target when it crashed.
type CrashedRun struct {
	Task  task.Key `cbor:"1,keyasint"`
	Queue string   `cbor:"2,keyasint,omitempty"`
	// Age is the time since its start.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Isolated is set if the run was started isolated from those of other jobs.
	Isolated bool `cbor:"4,keyasint,omitempty"`
}

// IsAlone reports whether all runs were isolated ones of one job.
func (c *Crash) IsAlone() bool {
	for _, r := range c.Runs {
		if !r.Isolated || r.Task.Job != c.Runs[0].Task.Job {
			return false
		}
	}
	return len(c.Runs) > 0
}

func (c *Crash) validate() error {
	if len(c.Runs) > MaxCrashRuns {
		return eris.Errorf("crash report has %d runs, at most %d are allowed", len(c.Runs), MaxCrashRuns)
	}
	errs := []error{bounds.RunTime.Check("age of crash", c.Age)}
	for i := range c.Runs {
		errs = append(errs, bounds.RunTime.Check("age of crashed run", c.Runs[i].Age))
	}
	return errors.Join(errs...)
}
