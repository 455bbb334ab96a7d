// Package peer carries frames between an agent and an entry over TCP.
//
// A frame is a CBOR map behind a length of four bytes. Each side sends frames
// when it has something to say, and a heartbeat when it has not; a link on
// which nothing arrives is taken for dead by its reader's deadline, since a
// connection may go silent without a reset.
package peer

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// Frame is one message. Any of its parts may be absent.
type Frame struct {
	Hello  *Hello  `cbor:"1,keyasint,omitempty"`
	Target *Target `cbor:"2,keyasint,omitempty"`
	// Room is the agent's present room; set on each frame of an agent that has
	// a target.
	Room    *Room          `cbor:"3,keyasint,omitempty"`
	Starts  []Start        `cbor:"4,keyasint,omitempty"`
	Stops   []task.Attempt `cbor:"5,keyasint,omitempty"`
	Results []Result       `cbor:"6,keyasint,omitempty"`
	Policy  *Policy        `cbor:"7,keyasint,omitempty"`
	// Claims are the attempts that the entry knows of those in a Hello.
	Claims *Claims `cbor:"8,keyasint,omitempty"`
	// Sent is the sender's clock, returned by the other side as Echo.
	Sent int64 `cbor:"9,keyasint,omitempty"`
	// Echo is the latest Sent that had arrived when this frame was sent.
	Echo int64 `cbor:"10,keyasint,omitempty"`
	// Taken is the highest Result.Number that the entry has taken.
	Taken uint64 `cbor:"11,keyasint,omitempty"`
	// Accepted counts the Starts of this link that the agent has looked at.
	Accepted uint64     `cbor:"12,keyasint,omitempty"`
	Progress []Progress `cbor:"13,keyasint,omitempty"`
	// CancelJobs names jobs that callers cancelled at an entry that does not
	// hold them. An agent passes them on to its other entries.
	CancelJobs []string `cbor:"14,keyasint,omitempty"`
	// Follow asks an entry for all entries, unless it knows as many at the same
	// revision, and for each change of them from then on.
	Follow *Follow `cbor:"15,keyasint,omitempty"`
	// Entries answers Follow.
	Entries *Entries `cbor:"16,keyasint,omitempty"`
}

// Follow says what an agent knows of the entries.
type Follow struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	Count    int    `cbor:"2,keyasint,omitempty"`
}

// Entry is one entry as agents reach it.
type Entry struct {
	Name        string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint"`
}

// Entries says which entries there are, or what has changed.
type Entries struct {
	// Revision is that of the latest change known of any of them; a lower one is older.
	Revision uint64 `cbor:"1,keyasint"`
	// Whole is set where Present is all there are, and not only changes.
	Whole   bool     `cbor:"2,keyasint,omitempty"`
	Present []Entry  `cbor:"3,keyasint,omitempty"`
	Gone    []string `cbor:"4,keyasint,omitempty"`
}

// Hello opens a link.
type Hello struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint,omitempty"`
	// Runs are the attempts at the agent's target that belong to this entry
	// incarnation or to none that is known.
	Runs []task.Attempt `cbor:"4,keyasint,omitempty"`
}

// Target describes the target beside an agent.
type Target struct {
	ID string `cbor:"1,keyasint"`
	// Incarnation tells the lifetimes of a target with one ID apart.
	Incarnation int64          `cbor:"2,keyasint"`
	Pool        string         `cbor:"3,keyasint"`
	DataCentre  string         `cbor:"4,keyasint"`
	Capacity    task.Resources `cbor:"5,keyasint"`
	Labels      []string       `cbor:"6,keyasint,omitempty"`
	// Available is false while the target drains, is gone or does not answer.
	Available bool `cbor:"7,keyasint,omitempty"`
}

// Room is what is free at a target.
type Room struct {
	Free task.Resources `cbor:"1,keyasint"`
	// Probation is set while the target fails, slows down or hangs what it runs.
	Probation bool `cbor:"2,keyasint,omitempty"`
	// Probe is set while a target on probation should be given one task.
	Probe bool `cbor:"3,keyasint,omitempty"`
}

// Start asks an agent to run one attempt.
type Start struct {
	Attempt task.Attempt   `cbor:"1,keyasint"`
	Spec    string         `cbor:"2,keyasint,omitempty"`
	Need    task.Resources `cbor:"3,keyasint"`
	// Incarnation is the lifetime of the target that is meant.
	Incarnation int64 `cbor:"4,keyasint"`
	// Expected is the predicted run time on a sound target.
	Expected time.Duration `cbor:"5,keyasint,omitempty"`
}

// Outcome says what became of an attempt.
type Outcome int

// The outcomes. A refused attempt has not run and never will.
const (
	OutcomeRefused Outcome = iota + 1
	OutcomeStarted
	OutcomeDone
	// OutcomeFailed: the task ended with a fault of its own or of its target.
	OutcomeFailed
	// OutcomeStopped: ended by an order.
	OutcomeStopped
	// OutcomeLost: it may have run, and surely runs no longer.
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

// String returns the outcome as it is logged.
func (o Outcome) String() string { return outcomeNames[o] }

// Refusal is an agent's or target's reason not to run an attempt.
type Refusal string

// The refusals.
const (
	RefusalNone Refusal = ""
	// RefusalRoom: the target has no room for it now.
	RefusalRoom Refusal = "room"
	// RefusalUnavailable: the target drains, is gone or does not answer.
	RefusalUnavailable Refusal = "unavailable"
	// RefusalOut: the data centre is out of service.
	RefusalOut Refusal = "data_centre_out"
	// RefusalStaleRun: a run with this or a higher number has been there.
	RefusalStaleRun Refusal = "stale_run"
	// RefusalUnhealthy: the target says that it is overloaded or ill.
	RefusalUnhealthy Refusal = "unhealthy"
	// RefusalInvalid: the target does not take such a task.
	RefusalInvalid Refusal = "invalid"
	// RefusalUnanswered: the order was not answered, and is fenced.
	RefusalUnanswered Refusal = "unanswered"
	// RefusalStopped: it was stopped before its start.
	RefusalStopped Refusal = "stopped"
)

// Result reports an attempt to the entry that sent it.
type Result struct {
	// Number counts the results of an agent upwards.
	Number  uint64       `cbor:"1,keyasint"`
	Attempt task.Attempt `cbor:"2,keyasint"`
	Outcome Outcome      `cbor:"3,keyasint"`
	Refusal Refusal      `cbor:"4,keyasint,omitempty"`
}

// Progress is how far an attempt has come that advances slowly or not at all.
type Progress struct {
	Attempt task.Attempt `cbor:"1,keyasint"`
	Percent int          `cbor:"2,keyasint"`
	// Pace is the speed in percent of the expected one.
	Pace int `cbor:"3,keyasint,omitempty"`
}

// Policy is what an agent must know of the operators' wishes.
type Policy struct {
	// Revision orders policies: a higher one replaces a lower one.
	Revision uint64 `cbor:"1,keyasint"`
	// ConfigVersion is the version of the configuration known at Revision.
	ConfigVersion uint64 `cbor:"2,keyasint"`
	// Out lists the data centres that are out of service.
	Out []string `cbor:"3,keyasint,omitempty"`
}

// Claims answers a Hello.
type Claims struct {
	Attempts []Claim `cbor:"1,keyasint,omitempty"`
}

// Claim is an attempt that the entry has sent, and what it takes.
type Claim struct {
	Attempt task.Attempt   `cbor:"1,keyasint"`
	Need    task.Resources `cbor:"2,keyasint"`
}

// Intervals and limits of links. Leases are counted on the agent's clock, from
// a time of its own that the entry echoes.
const (
	// OwnerLease is how long an agent runs the attempts of an entry that it
	// does not hear.
	OwnerLease = 500 * time.Millisecond
	// BrokenLinkLease is the same once the link has been broken: an entry that
	// lives takes the agent's next call within a few round trips.
	BrokenLinkLease = 150 * time.Millisecond
	// BusyHeartbeat is the interval of an agent's frames to an entry that has
	// attempts there, SlowHeartbeat that while one of them advances slowly.
	BusyHeartbeat = 100 * time.Millisecond
	SlowHeartbeat = 40 * time.Millisecond
	// EchoInterval is the shortest time between frames of an entry that only
	// echo; several fit into the lease.
	EchoInterval = 60 * time.Millisecond
	// IdleHeartbeat is the same without attempts.
	IdleHeartbeat = 250 * time.Millisecond
	// SilenceLimit is how long a link may bring nothing before it is closed.
	SilenceLimit = 1000 * time.Millisecond
	// SuspectAfter is the silence after which a target gets no new work.
	SuspectAfter = 350 * time.Millisecond
	// DialTimeout bounds the opening of a link to a slow machine. A packet lost to
	// one that was away is sent again only after a second, so most tries are given
	// up after QuickDialTimeout.
	DialTimeout      = 120 * time.Millisecond
	QuickDialTimeout = 40 * time.Millisecond
	// HelloTimeout bounds the wait for the first frame.
	HelloTimeout = time.Second
	// WriteTimeout bounds the wait for a peer that does not read.
	WriteTimeout = time.Second
	// MaxFrameBytes bounds a frame: some hundred starts of 4 KB.
	MaxFrameBytes = 8 << 20
)
