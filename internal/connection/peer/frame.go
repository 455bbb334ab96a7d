// Package peer implements the frame protocol between agents and entries over TCP.
//
// A frame is a CBOR map with a length prefix of four bytes. Each side sends frames when
// it has data and heartbeats when it has none. A link on which nothing arrives within
// SilenceLimit fails by its read deadline, since a connection can fail without a reset.
package peer

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// Frame is one message in either direction. All fields are optional.
type Frame struct {
	Hello  *Hello  `cbor:"1,keyasint,omitempty"`
	Target *Target `cbor:"2,keyasint,omitempty"`
	// Room is the free capacity of the agent's target. The agent sets it on every frame.
	Room    *Room          `cbor:"3,keyasint,omitempty"`
	Starts  []Start        `cbor:"4,keyasint,omitempty"`
	Stops   []task.Attempt `cbor:"5,keyasint,omitempty"`
	Results []Result       `cbor:"6,keyasint,omitempty"`
	Policy  *Policy        `cbor:"7,keyasint,omitempty"`
	// Claims answers the agent's Hello with those of its Runs that the entry has sent.
	Claims *Claims `cbor:"8,keyasint,omitempty"`
	// Sent is the sender's clock when the frame was encoded; the receiver returns it as Echo.
	Sent int64 `cbor:"9,keyasint,omitempty"`
	// Echo is the latest Sent received from the other side.
	Echo int64 `cbor:"10,keyasint,omitempty"`
	// AckedResults acknowledges all results up to this Result.Number.
	AckedResults uint64 `cbor:"11,keyasint,omitempty"`
	// Accepted is the number of Starts on this link that the agent has processed.
	Accepted uint64     `cbor:"12,keyasint,omitempty"`
	Progress []Progress `cbor:"13,keyasint,omitempty"`
	// CancelJobs lists jobs that were cancelled. An agent starts nothing of them any more, and
	// forwards the list to its other entries.
	CancelJobs []string `cbor:"14,keyasint,omitempty"`
	// Subscribe subscribes an agent to the list of entries. The full list is sent first,
	// unless revision and count match; each later change follows.
	Subscribe *Subscribe `cbor:"15,keyasint,omitempty"`
	// Entries is the list of entries, or a change of it, sent to subscribers.
	Entries *Entries `cbor:"16,keyasint,omitempty"`
	// Demand is the capacity that the entry's waiting tasks need of the agent's target, by
	// priority. The entry sets it on every frame.
	Demand task.Demand `cbor:"17,keyasint,omitempty"`
	// Crashes are reports of crashed targets that the receiver may not have.
	Crashes []crash.Report `cbor:"18,keyasint,omitempty"`
	// Released lists the queues whose jobs an entry no longer keeps apart. An agent forwards
	// the list to its other entries.
	Released []crash.Release `cbor:"19,keyasint,omitempty"`
	// PolicyAge is how long ago the entry last confirmed its policy with the store. An age up to
	// FreshPolicyAge is left out.
	PolicyAge time.Duration `cbor:"20,keyasint,omitempty"`
	// CancelsRecorded lists the jobs of CancelJobs of this entry that the agent has recorded.
	CancelsRecorded []string `cbor:"21,keyasint,omitempty"`
	// LateOrders lists attempts of the entry of which the target left a start order unanswered.
	// Such an order may be executed until MaxOrderDelay after it was sent, also by the next
	// incarnation of the target.
	LateOrders []task.Attempt `cbor:"22,keyasint,omitempty"`
	// Interference is what an agent has measured of tasks that slow each other down.
	Interference *Interference `cbor:"23,keyasint,omitempty"`
}

// Subscribe is a subscription to the list of entries, with the revision and the number of
// entries that the agent already has.
type Subscribe struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	Count    int    `cbor:"2,keyasint,omitempty"`
}

// Entry is the name and address at which agents connect to an entry.
type Entry struct {
	Name        string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint"`
}

// Entries is the full list of entries or a change of it.
type Entries struct {
	// Revision is that of the latest change of any entry; lower revisions are older.
	Revision uint64 `cbor:"1,keyasint"`
	// Complete is set if Present is the full list rather than the changed entries.
	Complete bool     `cbor:"2,keyasint,omitempty"`
	Present  []Entry  `cbor:"3,keyasint,omitempty"`
	Removed  []string `cbor:"4,keyasint,omitempty"`
}

// Hello identifies the sender. It is the first frame on a link.
type Hello struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint,omitempty"`
	// Runs are the attempts at the agent's target that were sent by this incarnation of
	// the entry or whose owner is unknown.
	Runs []task.Attempt `cbor:"4,keyasint,omitempty"`
}

// Target describes the target that an agent serves.
type Target struct {
	ID string `cbor:"1,keyasint"`
	// Incarnation changes when a target with the same ID restarts.
	Incarnation int64          `cbor:"2,keyasint"`
	Pool        string         `cbor:"3,keyasint"`
	DataCentre  string         `cbor:"4,keyasint"`
	Capacity    task.Resources `cbor:"5,keyasint"`
	Labels      []string       `cbor:"6,keyasint,omitempty"`
	// Available is false while the target drains, is absent or does not answer.
	Available bool `cbor:"7,keyasint,omitempty"`
	// Slowdown is the ratio of the run times there to those predicted for the average target,
	// in percent; 0 while it is not known.
	Slowdown int `cbor:"8,keyasint,omitempty"`
	// SlowdownRuns is the number of runs from which Slowdown is derived, SlowdownAge the time
	// since the latest of them.
	SlowdownRuns int           `cbor:"9,keyasint,omitempty"`
	SlowdownAge  time.Duration `cbor:"10,keyasint,omitempty"`
}

// Room is the free capacity of a target and its health.
type Room struct {
	Free task.Resources `cbor:"1,keyasint"`
	// Probation is set while tasks at the target fail, run slowly or hang.
	Probation bool `cbor:"2,keyasint,omitempty"`
	// Probe is set while the receiving entry may send one task to a target on probation.
	Probe bool `cbor:"3,keyasint,omitempty"`
	// Demand is what the waiting tasks of other entries need of the target, by priority.
	Demand task.Demand `cbor:"4,keyasint,omitempty"`
	// Shared is set while runs that are not isolated are on the target, Isolated while
	// isolated ones are.
	Shared   bool `cbor:"5,keyasint,omitempty"`
	Isolated bool `cbor:"6,keyasint,omitempty"`
	// ExclusiveJob is the job whose isolated runs keep out all other jobs, empty if there is
	// none, and ExclusiveFor how much longer they do; 0 means until their end.
	ExclusiveJob string        `cbor:"8,keyasint,omitempty"`
	ExclusiveFor time.Duration `cbor:"9,keyasint,omitempty"`
	// Queues are those of which runs are at the target, if the agent measures interference.
	Queues []string `cbor:"10,keyasint,omitempty"`
	// Full is set while the agent accepts no start, whatever it needs.
	Full bool `cbor:"11,keyasint,omitempty"`
}

// Interference has an agent's estimates of the pairs of queues of which one slows down the other at
// its target. It replaces earlier ones.
type Interference struct {
	Pairs []PairEstimate `cbor:"1,keyasint,omitempty"`
}

// PairEstimate is an estimate of how much longer tasks of a queue run beside those of another one.
type PairEstimate struct {
	Queue  string `cbor:"1,keyasint"`
	Beside string `cbor:"2,keyasint"`
	// Effect is the natural logarithm of the slowdown, Error its standard error.
	Effect float64 `cbor:"3,keyasint"`
	Error  float64 `cbor:"4,keyasint"`
}

// Start asks an agent to run one attempt.
type Start struct {
	Attempt task.Attempt   `cbor:"1,keyasint"`
	Spec    string         `cbor:"2,keyasint,omitempty"`
	Need    task.Resources `cbor:"3,keyasint"`
	// Incarnation is that of the target for which the attempt is intended.
	Incarnation int64 `cbor:"4,keyasint"`
	// Expected is the predicted run time on this target while it is healthy.
	Expected time.Duration `cbor:"5,keyasint,omitempty"`
	// Average is the predicted run time on the average target of the pool; 0 while the run times
	// of the queue have not been learned.
	Average time.Duration `cbor:"9,keyasint,omitempty"`
	// WaitFor is how long the agent may hold the start until its target has capacity. If the runs
	// there will not end in time, the agent refuses the start at once.
	WaitFor time.Duration `cbor:"10,keyasint,omitempty"`
	// Queue is the queue of the job, for reports about the run.
	Queue string `cbor:"6,keyasint,omitempty"`
	// Isolated asks for a run apart from those of other jobs: the agent refuses it while
	// others run, and refuses others while it runs.
	Isolated bool `cbor:"7,keyasint,omitempty"`
	// ExclusiveFor is the age up to which an isolated run keeps out isolated runs of other
	// jobs; 0 means until its end.
	ExclusiveFor time.Duration `cbor:"8,keyasint,omitempty"`
}

// Outcome is the state of an attempt, as reported by an agent.
type Outcome int

// The possible outcomes.
const (
	// OutcomeRefused: the attempt has not run and never will.
	OutcomeRefused Outcome = iota + 1
	OutcomeStarted
	OutcomeDone
	// OutcomeFailed: the task ended with an error of its own or of the target.
	OutcomeFailed
	// OutcomeStopped: ended by a stop order.
	OutcomeStopped
	// OutcomeLost: the attempt may have run, and certainly runs no longer.
	OutcomeLost
)

var outcomeNames = map[Outcome]string{
	OutcomeRefused: "refused",
	OutcomeStarted: "started",
	OutcomeDone:    "done",
	OutcomeFailed:  "failed",
	OutcomeStopped: "stopped",
	OutcomeLost:    "lost",
}

// String returns the name used in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Refusal is the reason of an agent or target for not running an attempt.
type Refusal string

// The reasons for a refusal.
const (
	RefusalNone Refusal = ""
	// RefusalNoCapacity: the target does not have enough free capacity.
	RefusalNoCapacity Refusal = "room"
	// RefusalUnavailable: the target drains, is absent, does not answer or is about to end its runs.
	RefusalUnavailable Refusal = "unavailable"
	// RefusalDataCentreOut: the data centre is out of service.
	RefusalDataCentreOut Refusal = "data_centre_out"
	// RefusalStaleRun: the target has already seen this or a higher run number.
	RefusalStaleRun Refusal = "stale_run"
	// RefusalUnhealthy: the target reports that it is overloaded or unhealthy.
	RefusalUnhealthy Refusal = "unhealthy"
	// RefusalInvalid: the target rejects the task as invalid.
	RefusalInvalid Refusal = "invalid"
	// RefusalUnanswered: the start order was not answered and has been fenced.
	RefusalUnanswered Refusal = "unanswered"
	// RefusalStopped: the attempt was stopped before it started.
	RefusalStopped Refusal = "stopped"
	// RefusalCancelled: the job of the attempt was cancelled.
	RefusalCancelled Refusal = "cancelled"
	// RefusalIsolation: the attempt or a run at the target must be kept apart from others.
	RefusalIsolation Refusal = "isolation"
)

// Result reports the outcome of an attempt to the entry that sent it.
type Result struct {
	// Number increases with each result of an agent.
	Number  uint64       `cbor:"1,keyasint"`
	Attempt task.Attempt `cbor:"2,keyasint"`
	Outcome Outcome      `cbor:"3,keyasint"`
	Refusal Refusal      `cbor:"4,keyasint,omitempty"`
}

// Progress reports an attempt that advances slowly or not at all.
type Progress struct {
	Attempt task.Attempt `cbor:"1,keyasint"`
	Percent int          `cbor:"2,keyasint"`
	// Pace is the speed in percent of the expected speed.
	Pace int `cbor:"3,keyasint,omitempty"`
}

// Policy is the part of the operators' configuration that agents enforce.
type Policy struct {
	// Revision orders policies; the highest one applies.
	Revision uint64 `cbor:"1,keyasint"`
	// ConfigVersion is the version of the configuration known at Revision.
	ConfigVersion uint64 `cbor:"2,keyasint"`
	// Out lists the data centres that are out of service.
	Out []string `cbor:"3,keyasint,omitempty"`
}

// Claims lists the attempts of an agent's Hello that the entry has sent.
type Claims struct {
	Attempts []Claim `cbor:"1,keyasint,omitempty"`
}

// Claim is an attempt that the entry has sent, with the resources that it needs.
type Claim struct {
	Attempt task.Attempt   `cbor:"1,keyasint"`
	Need    task.Resources `cbor:"2,keyasint"`
}

// Intervals and limits of links. An agent measures leases on its own clock, from the
// latest Sent that the entry has echoed.
const (
	// OwnerLease is how long an agent runs the attempts of an entry that sends no new echo.
	OwnerLease = 500 * time.Millisecond
	// MaxStartWait bounds how long an agent holds a start.
	MaxStartWait = 200 * time.Millisecond
	// MaxOrderDelay is how long after it was sent a start order without an answer may be
	// executed.
	MaxOrderDelay = 15 * time.Second
	// BrokenLinkLease is the shorter lease once the link is broken: a live entry accepts
	// the agent's next connection within a few round trips.
	BrokenLinkLease = 150 * time.Millisecond
	// BusyHeartbeat is the heartbeat interval of an agent to an entry that has attempts
	// at its target; SlowHeartbeat applies while one of them advances slowly.
	BusyHeartbeat = 100 * time.Millisecond
	SlowHeartbeat = 40 * time.Millisecond
	// EchoInterval is the shortest time between frames of an entry that only carry an
	// echo. Several of them fit into OwnerLease.
	EchoInterval = 60 * time.Millisecond
	// IdleHeartbeat is the heartbeat interval while the entry has no attempts there.
	IdleHeartbeat = 250 * time.Millisecond
	// FreshPolicyAge is the age of a policy below which an entry follows the store without a
	// fault: its watches last one second.
	FreshPolicyAge = 1500 * time.Millisecond
	// SilenceLimit is the time without a received frame after which a link fails.
	SilenceLimit = 1000 * time.Millisecond
	// SuspectAfter is the time without a frame from the agent after which an entry sends
	// no new work to its target.
	SuspectAfter = 350 * time.Millisecond
	// DialTimeout bounds connecting to a slow machine. TCP retransmits a lost SYN only
	// after one second, so most tries use the shorter QuickDialTimeout.
	DialTimeout      = 120 * time.Millisecond
	QuickDialTimeout = 40 * time.Millisecond
	// HelloTimeout bounds the wait for the first frame of a link.
	HelloTimeout = time.Second
	// WriteTimeout bounds a write to a peer that does not read.
	WriteTimeout = time.Second
	// MaxFrameBytes limits the size of a frame. It leaves room for several hundred starts
	// of 4 KB.
	MaxFrameBytes = 8 << 20
	// MaxSpecBytes limits the spec of a start, so that a start fits into a frame.
	MaxSpecBytes = MaxFrameBytes / 2
	// MaxFirstFrameBytes limits the first frame, which arrives before its sender is known: a hello
	// with the runs at a target and the results that an entry has not acknowledged.
	MaxFirstFrameBytes = 1280 << 10
)
