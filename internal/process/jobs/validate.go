package jobs

import (
	"errors"
	"time"
	"unicode/utf8"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// cpusRange is the range of a task's number of cores.
var cpusRange = bounds.Range[float64]{Min: 0, Max: float64(bounds.CPU.Max) / 1000}

// Validate checks a submission. Its errors are NotRun.
func Validate(r *apiv1.SubmitRequest) *verdict.Error {
	if err := ValidateOwner(r.GetDepartment(), r.GetOwner()); err != nil {
		return err
	}
	if n := len(r.GetTasks()); n == 0 || n > MaxTasks {
		return invalid("a job has between 1 and %d tasks, not %d", MaxTasks, n)
	}
	deadline := time.Duration(r.GetDeadlineMs()) * time.Millisecond
	if deadline <= 0 || deadline > MaxDeadline {
		return invalid("deadline_ms must be between 1 and %d", MaxDeadline.Milliseconds())
	}
	for i, task := range r.GetTasks() {
		if err := validateTask(i, task); err != nil {
			return err
		}
	}
	return nil
}

// ValidateOwner checks the department and owner of a caller.
func ValidateOwner(department, owner string) *verdict.Error {
	for _, name := range []string{department, owner} {
		if name == "" || len(name) > MaxNameBytes || !utf8.ValidString(name) {
			return invalid("department and owner must be valid text of 1 to %d bytes", MaxNameBytes)
		}
	}
	return nil
}

func validateTask(index int, t *apiv1.Task) *verdict.Error {
	if len(t.GetPayload()) > MaxPayloadBytes {
		return invalid("task %d has a payload of %d bytes, the limit is %d", index, len(t.GetPayload()), MaxPayloadBytes)
	}
	if err := validateSize(t.GetSize()); err != nil {
		return invalid("task %d: %v", index, err)
	}
	if len(t.GetKind()) > MaxNameBytes {
		return invalid("task %d has a kind longer than %d bytes", index, MaxNameBytes)
	}
	return nil
}

func validateSize(size *apiv1.Size) error {
	return errors.Join(
		cpusRange.Check("cpus", size.GetCpus()),
		bounds.MemoryMB.Check("memory_mb", int64(size.GetMemoryMb())),
		bounds.Accelerators.Check("accelerators", int64(size.GetAccelerators())),
	)
}

func invalid(format string, args ...any) *verdict.Error {
	return verdict.NotRunError(apiv1.Reason_REASON_INVALID_ARGUMENT, format, args...)
}
