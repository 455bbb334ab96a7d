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
	// NetworkDelays are the simulated network delays. They are not part of a trace.
	NetworkDelays NetworkDelays `json:"-"`
	// Overrides overrides settings of the nodes. It is not part of a trace.
	Overrides Overrides `json:"-"`
	// Direct connects the nodes without relays, and so without delays between data
	// centres and without partitions of the links.
	Direct bool `json:"-"`
}

// NetworkDelays are one-way network delays.
type NetworkDelays struct {
	// BetweenDataCentres is the delay between two data centres.
	BetweenDataCentres time.Duration
	// CallerToEntry is the delay between a caller and an entry.
	CallerToEntry time.Duration
}

// Overrides overrides default settings of the nodes; a zero value keeps the default.
type Overrides struct {
	Lease       time.Duration
	StopTimeout time.Duration
	QueueLimit  int
	// HandshakeRate is the handshake rate limit of an entry.
	HandshakeRate int
	// LinksPerAgent is the number of entries an agent links with; 0 keeps the default.
	LinksPerAgent int
}

// Target describes a target and the worker on which it runs.
type Target struct {
	Name        string   `json:"name"`
	DataCentre  string   `json:"data_centre"`
	Rack        string   `json:"rack"`
	Slots       int      `json:"slots"`
	Size        Size     `json:"size"`
	Departments []string `json:"departments"`
}

// Size is the resources that a task needs or a worker has.
type Size struct {
	CPUs         float64 `json:"cpus"`
	MemoryMB     int     `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
}

// Department describes a department, which Start creates once the entries are ready.
type Department struct {
	Name       string `json:"name"`
	QuotaSlots int    `json:"quota_slots"`
}

// Proto returns s as a protobuf message.
func (s Size) Proto() *apiv1.Size {
	return &apiv1.Size{Cpus: s.CPUs, MemoryMb: uint32(s.MemoryMB), Accelerators: uint32(s.Accelerators)}
}
