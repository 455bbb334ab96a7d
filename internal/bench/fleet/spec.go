package fleet

import (
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

// Spec describes a fleet. Its JSON form is the first line of a trace.
type Spec struct {
	Trace                string       `json:"trace"`
	Seed                 int64        `json:"seed"`
	UntilMS              int          `json:"until_ms"`
	EntriesPerDataCentre int          `json:"entries_per_data_centre"`
	DataCentres          []string     `json:"data_centres"`
	Targets              []Target     `json:"targets"`
	Departments          []Department `json:"departments"`
	// Distances are not part of a trace.
	Distances Distances `json:"-"`
	// Tune changes the settings of nodes; not part of a trace.
	Tune Tune `json:"-"`
	// Direct leaves out the relays: no distances and no partitions.
	Direct bool `json:"-"`
}

// Distances are one-way delays.
type Distances struct {
	DataCentres time.Duration
	Callers     time.Duration
}

// Tune overrides defaults of the nodes' settings; zero values keep them.
type Tune struct {
	Lease       time.Duration
	StopTimeout time.Duration
	QueueLimit  int
	// HandshakeRate is that of entries.
	HandshakeRate int
	// Links is the number of entries an agent links with.
	Links int
}

// Target describes a target and its worker.
type Target struct {
	Name        string   `json:"name"`
	DataCentre  string   `json:"data_centre"`
	Rack        string   `json:"rack"`
	Slots       int      `json:"slots"`
	Size        Size     `json:"size"`
	Departments []string `json:"departments"`
}

// Size is what a task needs or a worker has.
type Size struct {
	CPUs         float64 `json:"cpus"`
	MemoryMB     int     `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
}

// Department is created before the fleet takes work.
type Department struct {
	Name       string `json:"name"`
	QuotaSlots int    `json:"quota_slots"`
}

// Proto returns the wire form of s.
func (s Size) Proto() *apiv1.Size {
	return &apiv1.Size{Cpus: s.CPUs, MemoryMb: uint32(s.MemoryMB), Accelerators: uint32(s.Accelerators)}
}
