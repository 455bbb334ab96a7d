// Package task defines what a caller submits: a job, its steps, and the tasks of each
// step.
package task

import (
	"fmt"
	"time"
)

// Resources is an amount of each resource of a target.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// MemoryMB is in megabytes.
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		CPU:          r.CPU + o.CPU,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		CPU:          r.CPU - o.CPU,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// FitsIn reports whether free has at least r of each resource. A resource that is not
// requested always fits, even if free is negative for it.
func (r Resources) FitsIn(free Resources) bool {
	return fits(r.CPU, free.CPU) && fits(r.MemoryMB, free.MemoryMB) && fits(r.Accelerators, free.Accelerators)
}

func fits(need, free int64) bool { return need == 0 || need <= free }

// Key identifies one task of a job.
type Key struct {
	Job   string `cbor:"1,keyasint"`
	Step  int    `cbor:"2,keyasint,omitempty"`
	Index int    `cbor:"3,keyasint,omitempty"`
}

// String returns the key in the form used in logs.
func (k Key) String() string { return fmt.Sprintf("%s/%d/%d", k.Job, k.Step, k.Index) }

// Attempt identifies one run of a task. Run numbers start at 1 and increase.
type Attempt struct {
	Key Key    `cbor:"1,keyasint"`
	Run uint64 `cbor:"2,keyasint"`
}

// Step is a group of identical tasks.
type Step struct {
	Count int
	// Need is what each task uses of its target.
	Need Resources
	// Estimate is the run time of a task as declared by the caller.
	Estimate time.Duration
	// After lists the indices of the steps that must be done before this one.
	After []int
	// Label, if set, must be one of the target's labels.
	Label string
	// DataRack, if set, is the rack on which the tasks run fastest.
	DataRack string
	// MaxPerTarget bounds the tasks of the step on one target; 0 means no bound.
	MaxPerTarget int
}

// RunsAnywhere reports whether each target with enough cores and memory can run the tasks.
func (s *Step) RunsAnywhere() bool {
	return s.Label == "" && s.MaxPerTarget == 0 && s.Need.Accelerators == 0
}

// Job is a caller's request: steps of parallel tasks that get one answer.
type Job struct {
	// ID is chosen by the caller; requests with the same ID are the same job.
	ID string
	// Queue names the configured queue that the job was sent to.
	Queue string
	// Spec is passed to the target without being interpreted.
	Spec  string
	Steps []Step
	// Arrived is when the request was read.
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// CriticalPath returns the length of the longest chain of estimates through the steps.
func (j *Job) CriticalPath() time.Duration {
	return LongestChain(j.Steps, func(step int) time.Duration { return j.Steps[step].Estimate })
}

// LongestChain returns the length of the longest chain of durations through the steps.
// A step may depend only on earlier ones.
func LongestChain(steps []Step, duration func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		var start time.Duration
		for _, before := range s.After {
			start = max(start, ends[before])
		}
		ends[i] = start + duration(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// Tasks returns the number of tasks of all steps.
func (j *Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}
