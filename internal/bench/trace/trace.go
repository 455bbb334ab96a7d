// Package trace reads the traces that the bench replays.
package trace

import (
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
)

// Trace is a fleet, the events that happen to it and the outcomes expected.
type Trace struct {
	Fleet   fleet.Spec
	Events  []Event
	Expects []Expect
}

// Event is something that happens at a time after the start.
type Event interface {
	at() int
}

// When is the time of an event in milliseconds after the start.
type When struct {
	Do   string `json:"do"`
	AtMS int    `json:"at_ms"`
}

func (w When) at() int { return w.AtMS }

// AtMS returns the time of an event in milliseconds after the start.
func AtMS(e Event) int { return e.at() }

// TaskGroup is a number of like tasks.
type TaskGroup struct {
	Count      int        `json:"count"`
	RunMS      int        `json:"run_ms"`
	Size       fleet.Size `json:"size"`
	Repeatable bool       `json:"repeatable"`
}

// The events.
type (
	// Submit submits a job for the first time.
	Submit struct {
		When
		Job        string      `json:"job"`
		Department string      `json:"department"`
		Caller     string      `json:"caller"`
		Via        string      `json:"via"`
		DeadlineMS int         `json:"deadline_ms"`
		Tasks      []TaskGroup `json:"tasks"`
	}
	// Resubmit submits a job's ticket again.
	Resubmit struct {
		When
		Job string `json:"job"`
		Via string `json:"via"`
	}
	// Cancel cancels a job.
	Cancel struct {
		When
		Job string `json:"job"`
	}
	// Change takes something out of service or back.
	Change struct {
		When
		Name string `json:"name"`
		Via  string `json:"via"`
	}
	// NodeEvent kills, stops or starts a node.
	NodeEvent struct {
		When
		Node string `json:"node"`
	}
	// Pause stops a node from running for a time.
	Pause struct {
		When
		Node  string `json:"node"`
		ForMS int    `json:"for_ms"`
	}
	// Partition cuts two sets of nodes from each other for a time.
	Partition struct {
		When
		A     []string `json:"a"`
		B     []string `json:"b"`
		ForMS int      `json:"for_ms"`
	}
	// Store sets a fault of the platform's store for a time.
	Store struct {
		When
		Mode  string `json:"mode"`
		ForMS int    `json:"for_ms"`
	}
	// TargetFault sets a fault of a target for a time.
	TargetFault struct {
		When
		Name   string  `json:"name"`
		Mode   string  `json:"mode"`
		Factor float64 `json:"factor"`
		ForMS  int     `json:"for_ms"`
	}
)

// Expect is a stated outcome.
type Expect interface {
	expect()
}

// Kind names an outcome.
type Kind struct {
	Expect string `json:"expect"`
}

func (Kind) expect() {}

// The outcomes.
type (
	// JobOutcome states the answer of a job.
	JobOutcome struct {
		Kind
		Job      string `json:"job"`
		Answer   string `json:"answer"`
		Verdict  string `json:"verdict"`
		WithinMS int    `json:"within_ms"`
	}
	// Starts states that there are none, or some, starts in a window. Exactly
	// one of DataCentre, Target and Department is set.
	Starts struct {
		Kind
		DataCentre string `json:"data_centre"`
		Target     string `json:"target"`
		Department string `json:"department"`
		FromMS     int    `json:"from_ms"`
		ToMS       int    `json:"to_ms"`
	}
	// Ratio bounds response over ideal of the complete jobs.
	Ratio struct {
		Kind
		Quantile float64 `json:"quantile"`
		Max      float64 `json:"max"`
	}
	// Messages bounds the messages between the system's processes.
	Messages struct {
		Kind
		PerTaskMax float64 `json:"per_task_max"`
	}
	// Counter bounds a counter summed over the nodes.
	Counter struct {
		Kind
		Name string `json:"name"`
		Min  *int64 `json:"min"`
		Max  *int64 `json:"max"`
	}
)
