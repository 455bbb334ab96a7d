package runs

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/recent"
	"github.com/rosemarybay/rosemarybay/internal/process/uptime"
	"github.com/rosemarybay/rosemarybay/internal/request/crash"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Options configures the management of the runs at one target.
type Options struct {
	// Name, Incarnation and DataCentre identify this agent.
	Name        string
	Incarnation uint64
	DataCentre  string
	Log         zerolog.Logger
	Counters    *metrics.Counters
	// Dial returns a client for the announced target.
	Dial func(Announcement) TargetClient
	// Announced is called when the target is new or its state has changed. It must not
	// block. Optional.
	Announced func(Announcement)
	// TargetLease is how long the target continues its runs without a renewal.
	TargetLease time.Duration
	// CallerRetry is how long after its entry has failed a caller turns to another one.
	CallerRetry time.Duration
	// Crashed is called with the reports of this target's recent crashes when one is added. It
	// must not block. Optional.
	Crashed func([]crash.Report)
	// SinceBoot returns a time that also counts while the machine is suspended. Optional.
	SinceBoot uptime.Source
	// Interference is set if the agent measures which tasks slow each other down.
	Interference bool
	// Retired is called once a retiring entry has no runs and results left here.
	// Optional.
	Retired func(address string)
}

// Manager tracks and controls the runs at one target. It is safe for concurrent use.
type Manager struct {
	opts   Options
	uptime *uptime.Clock

	mu     sync.Mutex
	target *targetIncarnation
	policy peer.Policy
	// policyConfirmedAt is the latest time at which the policy was that of the store, as
	// returned by Manager.clock.
	policyConfirmedAt time.Duration
	owners            map[uint64]*owner
	runs              map[task.Key]*run
	// pendingBytes counts the starts that the target has not answered; see maxPendingBytes.
	pendingBytes int
	// held are the starts that wait for capacity, in the order of their arrival.
	held []heldStart
	// crashes holds the crashes of this target and those reported by other agents.
	crashes crash.Log
	// cancelled holds the jobs that were cancelled recently.
	cancelled *recent.IDs
	// present measures which queues have runs at the target.
	present presence
	// starts measures how often jobs of each queue begin here.
	starts load.StartRates
	// resultsSent is the number of the latest result.
	resultsSent uint64
	// left identifies the latest target that has deregistered: a delayed announcement must not
	// bring it back.
	left identity
	// lastToken is the highest token of former incarnations.
	lastToken uint64
	// latestUnansweredAt is when the latest start order without an answer was sent. lateOrderSentAt
	// is the same of those after which the target, or its next incarnation, was known to be up: such
	// an order may well be executed late.
	latestUnansweredAt, lateOrderSentAt time.Time
	// earlierEnds holds the results of runs of an earlier process of this agent that had ended
	// when the first report arrived, at firstReportAt.
	earlierEnds   []peer.Result
	firstReportAt time.Time
	// reported is set once any incarnation of the target has reported its runs. Later
	// incarnations have no runs that an earlier process of this agent has started.
	reported bool
	// stopping is set once the process is shutting down: no run is started any more.
	stopping bool
	// lastSweep is when the latest sweep was, as returned by clock; resumedAt is when the latest
	// pause of this process was detected.
	lastSweep time.Duration
	resumedAt time.Time
}

// phase is the state of a run in the agent.
type phase int

const (
	phaseStarting phase = iota
	phaseRunning
	phaseStopping
	// phaseMisdirected: a start order may have reached, or may yet reach, another incarnation
	// of the target than the one for which it was meant.
	phaseMisdirected
)

// run is one attempt at the target.
type run struct {
	attempt task.Attempt
	// queue is the queue of its job; empty if an earlier process of this agent started it.
	queue string
	// isolated is set if the run is kept apart from those of other jobs, exclusiveFor is the
	// age up to which it keeps out other isolated ones, or 0 for all of its time.
	isolated     bool
	exclusiveFor time.Duration
	// owner is the incarnation of the entry that sent the attempt; 0 if unknown.
	owner uint64
	need  task.Resources
	phase phase
	// orders counts the start orders sent and those without an answer. decidedBy is the answer
	// or event that ended the start, for the log.
	orders    verdict.Tries
	decidedBy string
	// firstUnansweredAt and lastUnansweredAt are when the first and the last start order were
	// sent that the target has not answered.
	firstUnansweredAt, lastUnansweredAt time.Time
	// orderToken is the token of the latest start order.
	orderToken uint64
	// confirmedAt is when an answer of the target last confirmed the run.
	confirmedAt time.Time
	// orderedAt is when the start order was accepted, as returned by Manager.clock.
	orderedAt time.Duration
	// stopRequested is set when the run must be stopped, also if it has not started yet.
	stopRequested bool
	// stopRequestedAt is when that was, as returned by Manager.clock: from then on no caller may
	// wait for the run.
	stopRequestedAt time.Duration
	// otherClaimants are further entries that have sent an attempt of the same number.
	otherClaimants []uint64
	// refusedAtEnd lists the starts of the same task that are refused once the run is over.
	refusedAtEnd []heldRefusal
	// presentBefore is for how long runs of each queue had been at the target when the run began.
	presentBefore map[string]time.Duration
	// expected is the predicted run time here, average that on the average target, and
	// startedAt when the start was confirmed, as returned by Manager.clock.
	expected, average, startedAt time.Duration
	percent                      int
	pace                         load.RunPace
}

// heldRefusal is a start that will be refused.
type heldRefusal struct {
	owner   uint64
	attempt task.Attempt
}

// New returns the run manager of a target that has not been announced yet.
func New(opts Options) *Manager {
	return &Manager{
		opts:   opts,
		uptime: uptime.New(opts.SinceBoot),
		owners: make(map[uint64]*owner),
		runs:   make(map[task.Key]*run),

		policyConfirmedAt: neverConfirmed,
		cancelled:         recent.NewIDs(cancelRetention, maxCancelled),
	}
}

// clock returns the time since the start of the process, including the time in which its machine
// was suspended. Leases are measured with it.
func (m *Manager) clock() time.Duration { return m.uptime.Now() }

// clockAt returns what clock returned at a time since which the machine was not suspended.
func (m *Manager) clockAt(at time.Time) time.Duration { return m.clock() - time.Since(at) }

// availableLocked reports whether the target may be given work.
func (m *Manager) availableLocked() bool {
	t := m.target
	return t != nil && t.reported && !t.Draining && !t.unresponsive && !t.unconfirmed && !t.crashed && !t.leaving && !m.stopping
}

// freeLocked returns the free capacity. Runs that are being stopped still count as used. None is
// free beside a run of which no entry is known: it may need more than it uses, and a start would
// extend its lease.
func (m *Manager) freeLocked() task.Resources {
	if m.target == nil {
		return task.Resources{}
	}
	free := m.target.Capacity
	for _, r := range m.runs {
		if r.owner == 0 {
			return task.Resources{}
		}
		free = free.Sub(r.need)
	}
	return free
}

// roomLocked returns the free capacity and health of the target for an entry.
func (m *Manager) roomLocked(o *owner) *peer.Room {
	room := &peer.Room{Free: m.freeLocked().Sub(m.heldNeedLocked()), Demand: m.demandOfOthersLocked(o)}
	room.Full = m.isFullLocked()
	if m.target != nil {
		m.target.roomRefusal.limit(m.clock(), room)
	}
	m.describeIsolationLocked(room)
	if m.opts.Interference {
		room.Queues = m.present.queues()
	}
	if t := m.target; t != nil && !t.health.Healthy() {
		room.Probation = true
		room.Probe = t.prober == o.incarnation && t.health.MayProbe(m.clock())
	}
	return room
}

// descriptionLocked returns the description of the target for an entry.
func (m *Manager) descriptionLocked(o *owner) *peer.Target {
	if m.target == nil {
		return &peer.Target{}
	}
	a := m.target.Announcement
	return &peer.Target{
		ID:          a.ID,
		Incarnation: a.Incarnation,
		Pool:        a.Pool,
		DataCentre:  a.DataCentre,
		Capacity:    a.Capacity,
		Labels:      a.Labels,
		Available:   m.availableLocked() && !o.retiring,

		Slowdown:     m.target.speedShared.percent,
		SlowdownRuns: m.target.speed.Samples(),
		SlowdownAge:  m.speedAgeLocked(),
	}
}

// broadcastTargetLocked sends the description of the target to all connected entries.
func (m *Manager) broadcastTargetLocked() {
	for _, o := range m.owners {
		if o.link != nil {
			o.link.Send(peer.Frame{Target: m.descriptionLocked(o)})
		}
	}
}

// RecordMalformed records an announcement that cannot be used.
func (m *Manager) RecordMalformed(id string, err error) {
	m.opts.Counters.Counter("announcements_malformed").Inc(1)
	m.opts.Log.Warn().Str("target", eventlog.Text(id)).Str("cause", eventlog.Text(err.Error())).
		Msg("malformed announcement ignored")
}

// Drain prevents further starts, and returns once no run is left or ctx ends.
func (m *Manager) Drain(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	m.broadcastTargetLocked()
	m.mu.Unlock()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		m.mu.Lock()
		left := len(m.runs)
		m.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			m.opts.Log.Warn().Int("runs", left).Msg("process stops with runs in progress; the next process adopts them")
			return
		case <-ticker.C:
		}
	}
}
