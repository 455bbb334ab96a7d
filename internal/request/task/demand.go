package task

import "slices"

// PriorityCPU is the capacity that waiting tasks of one priority need.
type PriorityCPU struct {
	_ struct{} `cbor:",toarray"`
	// Priority is that of the tasks' queue; 0 is the most urgent.
	Priority int
	// CPU is in thousandths of a core.
	CPU int64
}

// Demand is the capacity that waiting tasks need, ordered by priority. It has one element
// for each priority.
type Demand []PriorityCPU

// Add returns the demand with the capacity for one more task.
func (d Demand) Add(priority int, cpu int64) Demand {
	i, found := slices.BinarySearchFunc(d, priority, func(p PriorityCPU, priority int) int { return p.Priority - priority })
	if !found {
		d = slices.Insert(d, i, PriorityCPU{Priority: priority})
	}
	d[i].CPU += cpu
	return d
}

// UpTo returns the capacity that tasks of a priority and more urgent ones need.
func (d Demand) UpTo(priority int) int64 {
	var cpu int64
	for _, p := range d {
		if p.Priority <= priority {
			cpu += p.CPU
		}
	}
	return cpu
}

// Share returns the part of the demand that falls to one target, in proportion to its
// part of all capacity.
func (d Demand) Share(capacity, all int64) Demand {
	if all <= 0 {
		return nil
	}
	var share Demand
	for _, p := range d {
		if cpu := int64(float64(p.CPU) * float64(capacity) / float64(all)); cpu > 0 {
			share = append(share, PriorityCPU{Priority: p.Priority, CPU: cpu})
		}
	}
	return share
}
