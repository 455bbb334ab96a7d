// Package trace defines and reads the trace files that the benchmark replays: a fleet,
// timed events and expected outcomes, one JSON object per line.
package trace

import (
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
)

// Trace describes a fleet, the events applied to it and the expected outcomes.
type Trace struct {
	Fleet        fleet.Spec
	Events       []Event
	Expectations []Expectation
}

// Event is an action at a fixed time after the start of the replay.
type Event interface {
	at() int
}

// EventHeader holds the fields common to all events: the event type and its time in
// milliseconds after the start.
type EventHeader struct {
	Do   string `json:"do"`
	AtMS int    `json:"at_ms"`
}

func (h EventHeader) at() int { return h.AtMS }

// AtMS returns the time of an event in milliseconds after the start.
func AtMS(e Event) int { return e.at() }

// TaskGroup is a group of identical tasks.
type TaskGroup struct {
	Count      int        `json:"count"`
	RunMS      int        `json:"run_ms"`
	Size       fleet.Size `json:"size"`
	Repeatable bool       `json:"repeatable"`
}

// Types of events.
type (
	// Submit submits a job for the first time.
	Submit struct {
		EventHeader
		Job        string      `json:"job"`
		Department string      `json:"department"`
		Caller     string      `json:"caller"`
		Via        string      `json:"via"`
		DeadlineMS int         `json:"deadline_ms"`
		Tasks      []TaskGroup `json:"tasks"`
	}
	// Resubmit submits a job again under its ticket.
	Resubmit struct {
		EventHeader
		Job string `json:"job"`
		Via string `json:"via"`
	}
	// Cancel cancels a job.
	Cancel struct {
		EventHeader
		Job string `json:"job"`
	}
	// Change takes a data centre, target or department out of service or back into
	// service.
	Change struct {
		EventHeader
		Name string `json:"name"`
		Via  string `json:"via"`
	}
	// NodeEvent kills, stops or starts a node.
	NodeEvent struct {
		EventHeader
		Node string `json:"node"`
	}
	// Pause suspends the process of a node for a time.
	Pause struct {
		EventHeader
		Node  string `json:"node"`
		ForMS int    `json:"for_ms"`
	}
	// Partition blocks the network between two sets of nodes for a time.
	Partition struct {
		EventHeader
		A     []string `json:"a"`
		B     []string `json:"b"`
		ForMS int      `json:"for_ms"`
	}
	// StoreFault injects a fault into the platform's store for a time.
	StoreFault struct {
		EventHeader
		Mode  string `json:"mode"`
		ForMS int    `json:"for_ms"`
	}
	// TargetFault injects a fault into a target for a time.
	TargetFault struct {
		EventHeader
		Name   string  `json:"name"`
		Mode   string  `json:"mode"`
		Factor float64 `json:"factor"`
		ForMS  int     `json:"for_ms"`
	}
)

// Expectation is an expected outcome, checked after the replay.
type Expectation interface {
	expect()
}

// ExpectationHeader holds the field common to all expectations: the type of the outcome.
type ExpectationHeader struct {
	Expect string `json:"expect"`
}

func (ExpectationHeader) expect() {}

// Types of expected outcomes.
type (
	// JobOutcome is the expected answer of a job, optionally with its verdict and a
	// time limit.
	JobOutcome struct {
		ExpectationHeader
		Job      string `json:"job"`
		Answer   string `json:"answer"`
		Verdict  string `json:"verdict"`
		WithinMS int    `json:"within_ms"`
	}
	// StartWindow expects no task starts, or at least one, in a time window. Exactly one of
	// DataCentre, Target and Department is set.
	StartWindow struct {
		ExpectationHeader
		DataCentre string `json:"data_centre"`
		Target     string `json:"target"`
		Department string `json:"department"`
		FromMS     int    `json:"from_ms"`
		ToMS       int    `json:"to_ms"`
	}
	// RatioLimit is an upper bound for a quantile of the ratio of response time to ideal
	// time over the complete jobs.
	RatioLimit struct {
		ExpectationHeader
		Quantile float64 `json:"quantile"`
		Max      float64 `json:"max"`
	}
	// MessageLimit is an upper bound for the messages per task between the system's
	// processes.
	MessageLimit struct {
		ExpectationHeader
		PerTaskMax float64 `json:"per_task_max"`
	}
	// CounterLimits bounds the sum of a counter over all nodes.
	CounterLimits struct {
		ExpectationHeader
		Name string `json:"name"`
		Min  *int64 `json:"min"`
		Max  *int64 `json:"max"`
	}
)
