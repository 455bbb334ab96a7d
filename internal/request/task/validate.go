package task

import (
	"errors"

	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
)

// Validate returns an error that names each amount out of its range.
func (r Resources) Validate() error {
	return errors.Join(
		bounds.CPU.Check("cpu", r.CPU),
		bounds.MemoryMB.Check("memory", r.MemoryMB),
		bounds.Accelerators.Check("accelerators", r.Accelerators),
	)
}
