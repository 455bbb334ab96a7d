// Package crash defines the report of a target that crashed under its runs, and keeps such
// reports for as long as the tasks concerned may be started again.
package crash

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

const (
	// MaxRuns bounds the runs of one report.
	MaxRuns = 512
	// MaxRates bounds the queues of which one report gives the rates.
	MaxRates = 64
	// MaxWithdrawals bounds the withdrawn reports about one incarnation.
	MaxWithdrawals = 1 << 20
)

// ID identifies a crash. An incarnation of a target ends only once, but it may stop answering
// several times before.
type ID struct {
	Target      string `cbor:"1,keyasint" json:"target"`
	Incarnation int64  `cbor:"2,keyasint" json:"incarnation"`
	// Withdrawals is the number of earlier reports about this incarnation that were withdrawn.
	Withdrawals int `cbor:"3,keyasint,omitempty" json:"withdrawals,omitempty"`
}

// Report says that a target ended without notice, and which runs were on it. Agents and
// entries forward reports to each other, so that the loss of one process loses none.
type Report struct {
	ID ID `cbor:"1,keyasint" json:"id"`
	// Agent is the name of the agent beside the target.
	Agent string `cbor:"2,keyasint" json:"agent"`
	// Age is the time since the crash when the report was sent.
	Age  time.Duration `cbor:"3,keyasint,omitempty" json:"age"`
	Runs []Run         `cbor:"4,keyasint,omitempty" json:"runs"`
	// Withdrawn is set once the same incarnation has answered again: it did not crash.
	Withdrawn bool `cbor:"5,keyasint,omitempty" json:"withdrawn"`
	// Uncertainty is how much earlier or later the crash may have been than Age says.
	Uncertainty time.Duration `cbor:"8,keyasint,omitempty" json:"uncertainty,omitempty"`
	// Silent is set if the target has only stopped answering: it may hang or be cut off.
	Silent bool `cbor:"6,keyasint,omitempty" json:"silent,omitempty"`
	// Rates is how often jobs of each queue have begun on the target before; empty if its agent
	// has not seen it for long enough.
	Rates []QueueRate `cbor:"7,keyasint,omitempty" json:"rates,omitempty"`
}

// QueueRate is how many jobs of a queue begin on a target each second.
type QueueRate struct {
	Queue     string  `cbor:"1,keyasint" json:"queue"`
	PerSecond float64 `cbor:"2,keyasint" json:"per_second"`
}

// Run is a run that was on a target when it crashed.
type Run struct {
	Task  task.Key `cbor:"1,keyasint" json:"task"`
	Queue string   `cbor:"2,keyasint,omitempty" json:"queue"`
	// Age is the time since its start.
	Age time.Duration `cbor:"3,keyasint,omitempty" json:"age"`
	// Isolated is set if the run was kept apart from those of other jobs.
	Isolated bool `cbor:"4,keyasint,omitempty" json:"isolated"`
	// Unconfirmed is set if the target had not answered its start order.
	Unconfirmed bool `cbor:"5,keyasint,omitempty" json:"unconfirmed,omitempty"`
}

// Release says that the jobs of a queue have proved harmless since a crash, so that they are
// no longer kept apart.
type Release struct {
	Queue string `cbor:"1,keyasint"`
	// Latest is the latest crash that the sender knows of which the queue was the cause.
	Latest ID `cbor:"2,keyasint"`
}

// IsAlone reports whether only runs of one job were on the target.
func (r *Report) IsAlone() bool {
	for i := range r.Runs {
		if r.Runs[i].Task.Job != r.Runs[0].Task.Job {
			return false
		}
	}
	return len(r.Runs) > 0
}

// Validate returns an error if a number of the report is out of its range.
func (r *Report) Validate() error {
	if len(r.Runs) > MaxRuns {
		return eris.Errorf("crash report has %d runs, at most %d are allowed", len(r.Runs), MaxRuns)
	}
	if len(r.Rates) > MaxRates {
		return eris.Errorf("crash report has rates of %d queues, at most %d are allowed", len(r.Rates), MaxRates)
	}
	if r.ID.Withdrawals < 0 || r.ID.Withdrawals > MaxWithdrawals {
		return eris.Errorf("crash report follows %d withdrawals, at most %d are allowed", r.ID.Withdrawals, MaxWithdrawals)
	}
	errs := []error{bounds.RunTime.Check("age of crash", r.Age), bounds.RunTime.Check("uncertainty", r.Uncertainty)}
	for i := range r.Runs {
		errs = append(errs, bounds.RunTime.Check("age of crashed run", r.Runs[i].Age))
	}
	for _, rate := range r.Rates {
		errs = append(errs, bounds.StartRate.Check("rate of starts", rate.PerSecond))
	}
	return errors.Join(errs...)
}
