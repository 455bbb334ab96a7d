// Package bounds checks values that come from outside the process: the ranges of numbers, and
// the form of names and addresses.
package bounds

import (
	"cmp"
	"time"

	"github.com/rotisserie/eris"
)

// Range is the inclusive range of a number.
type Range[T cmp.Ordered] struct{ Min, Max T }

// Contains reports whether v is in the range. NaN is in no range.
func (r Range[T]) Contains(v T) bool { return v >= r.Min && v <= r.Max }

// Clamp returns the number of the range that is closest to v.
func (r Range[T]) Clamp(v T) T { return min(max(v, r.Min), r.Max) }

// Check returns an error that names the field, its value and the range, unless v is in
// the range.
func (r Range[T]) Check(field string, v T) error {
	if r.Contains(v) {
		return nil
	}
	return eris.Errorf("%s is %v, expected a number from %v to %v", field, v, r.Min, r.Max)
}

// MaxCount is the highest number that every JSON decoder reads exactly.
const MaxCount = 1 << 53

// Ranges of resources, of a task as well as of a target. The sum over all targets of a
// large fleet stays far below the limit of the type.
var (
	// CPU is in thousandths of a core.
	CPU = Range[int64]{0, 100_000_000}
	// MemoryMB is in megabytes.
	MemoryMB = Range[int64]{0, 1 << 30}
	// Accelerators is a number of devices.
	Accelerators = Range[int64]{0, 100_000}
)

// StartRate is the range of a number of starts on one target, per second.
var StartRate = Range[float64]{0, 1_000_000}

// MaxRunTime is the longest run time of a task that a caller may declare.
const MaxRunTime = 24 * time.Hour

// RunTime is the range of a declared or expected run time.
var RunTime = Range[time.Duration]{0, MaxRunTime}
