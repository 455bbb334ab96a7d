package runs

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// owner is one incarnation of an entry, as the sender of runs.
type owner struct {
	name        string
	incarnation uint64
	address     string
	link        *peer.Link
	// lastEcho is the latest time of this process's clock that the entry has echoed, or that
	// of its latest link: the entry was alive after it.
	lastEcho time.Duration
	// linkLostAt is when the link broke; zero while there is one.
	linkLostAt time.Time
	// results are those that the entry has not acknowledged.
	results []peer.Result
	// accepted is the number of starts processed on the current link.
	accepted uint64
	// lastSent is when the latest frame was sent.
	lastSent time.Time
	// runCount is the number of its runs at the target.
	runCount int
	// freeCapacityDirty is set if the free capacity has changed since the latest frame.
	freeCapacityDirty bool
	// echo is the latest Sent received from the entry.
	echo int64
	// demand is what the entry's waiting tasks need of the target, received at demandAt.
	demand   task.Demand
	demandAt time.Duration
	// retiring is set while the entry must send no new work, retired once it has no runs
	// and no unacknowledged results left here.
	retiring, retired bool
}

// IsReady reports whether the target has reported its runs.
func (m *Manager) IsReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.target != nil && m.target.reported
}

// Links returns the number of connected entries.
func (m *Manager) Links() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, o := range m.owners {
		if o.link != nil {
			n++
		}
	}
	return n
}

// IsLinked reports whether the entry at an address is connected.
func (m *Manager) IsLinked(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.owners {
		if o.link != nil && o.address == address {
			return true
		}
	}
	return false
}

// Connect attaches a link to the entry that its Hello identifies, and sends the entry the
// state of the target, its runs there and its unacknowledged results.
func (m *Manager) Connect(hello *peer.Hello, address string, link *peer.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.owners[hello.Incarnation]
	if o == nil {
		o = &owner{name: hello.Name, incarnation: hello.Incarnation, results: m.earlierResultsLocked()}
		m.owners[hello.Incarnation] = o
	}
	// The entry takes an attempt that is not listed for lost.
	m.refuseHeldOfLocked(hello.Incarnation)
	o.address, o.link, o.linkLostAt, o.accepted = address, link, time.Time{}, 0
	o.retiring, o.retired = false, false
	// The machine may have been suspended since the link was opened.
	o.lastEcho = max(o.lastEcho, m.uptime.At(link.OpenedAt()))
	m.opts.Log.Info().Str("entry", o.name).Uint64("incarnation", o.incarnation).
		Int("runs", o.runCount).Int("results", len(o.results)).Msg("entry linked")
	link.Send(peer.Frame{
		Hello:   &peer.Hello{Name: m.opts.Name, Incarnation: m.opts.Incarnation, DataCentre: m.opts.DataCentre, Runs: m.runsForLocked(o)},
		Target:  m.descriptionLocked(o),
		Results: append([]peer.Result(nil), o.results...),
		Policy:  m.policyLocked(),
		Crashes: m.crashes.Reports(m.clock()),
		// The entry may not have been linked when they were cancelled.
		CancelJobs: m.cancelledForHelloLocked(),
		LateOrders: m.lateOrdersLocked(o),
		// After the reports, so that they end what these bring about.
		Released: m.crashes.Releases(m.clock()),
	})
}

func (m *Manager) policyLocked() *peer.Policy {
	if m.policy.Revision == 0 {
		return nil
	}
	p := m.policy
	return &p
}

// runsForLocked returns the attempts of o and those without a known owner.
func (m *Manager) runsForLocked(o *owner) []task.Attempt {
	var attempts []task.Attempt
	for _, r := range m.runs {
		if r.owner == o.incarnation || r.owner == 0 {
			attempts = append(attempts, r.attempt)
		}
	}
	return attempts
}

// Disconnect detaches a link that has broken.
func (m *Manager) Disconnect(incarnation uint64, link *peer.Link, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.owners[incarnation]
	if o == nil || o.link != link {
		return
	}
	o.link, o.linkLostAt = nil, time.Now()
	m.refuseHeldOfLocked(incarnation)
	m.opts.Log.Info().Err(err).Str("entry", o.name).Uint64("incarnation", incarnation).
		Int("runs", o.runCount).Msg("entry lost")
}

// Stamp sets the fields of a frame to an entry that must be current when it is encoded.
func (m *Manager) Stamp(incarnation uint64, f *peer.Frame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.Sent = int64(m.clock())
	o := m.owners[incarnation]
	if o == nil {
		return
	}
	o.lastSent = time.Now()
	o.freeCapacityDirty = false
	f.Room = m.roomLocked(o)
	f.Accepted = o.accepted
	f.Echo = o.echo
}

// Receive processes a frame that an entry has sent on a link. A frame from a link that the
// entry has replaced is dropped: the entry resolves the starts in it when it links again.
func (m *Manager) Receive(incarnation uint64, link *peer.Link, f *peer.Frame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.owners[incarnation]
	if o == nil || o.link != link {
		m.opts.Counters.Counter("frames_from_replaced_links").Inc(1)
		return
	}
	m.recordEchoLocked(o, time.Duration(f.Echo))
	o.echo = f.Sent
	o.acknowledge(f.AckedResults)
	m.updateDemandLocked(o, f.Demand)
	if f.Policy != nil {
		m.applyPolicyLocked(f.Policy, o.name)
	}
	m.recordPolicyAgeLocked(f)
	if f.Claims != nil {
		m.claimLocked(o, f.Claims)
	}
	for _, r := range f.Crashes {
		m.shareCrashLocked(r, incarnation)
	}
	m.forwardReleasesLocked(o, f.Released)
	for _, s := range f.Starts {
		o.accepted++
		m.startLocked(o, s)
	}
	for _, a := range f.Stops {
		m.stopLocked(a, "ordered by its entry")
	}
	m.cancelJobsLocked(o, f.CancelJobs)
}

// recordEchoLocked renews the lease of an entry by a time of this process's clock that the entry
// has echoed. A time that has not come yet is that of another process.
func (m *Manager) recordEchoLocked(o *owner, echo time.Duration) {
	if echo > m.clock() {
		m.opts.Counters.Counter("echoes_ahead_of_clock").Inc(1)
		return
	}
	o.lastEcho = max(o.lastEcho, echo)
}

// entryHeardLocked adds to a log line how long ago an entry is known to have been alive, unless no
// entry of that incarnation is known.
func (m *Manager) entryHeardLocked(incarnation uint64) func(*zerolog.Event) {
	return func(e *zerolog.Event) {
		if o := m.owners[incarnation]; o != nil {
			e.Dur("entry_heard", m.clock()-o.lastEcho)
		}
	}
}

// acknowledge drops the results up to a number.
func (o *owner) acknowledge(number uint64) {
	n := 0
	for n < len(o.results) && o.results[n].Number <= number {
		n++
	}
	o.results = o.results[n:]
}

// claimLocked assigns runs without a known owner to the first entry that claims them. The
// others get the outcome as well.
func (m *Manager) claimLocked(o *owner, c *peer.Claims) {
	for _, claim := range c.Attempts {
		a := claim.Attempt
		r := m.runs[a.Key]
		if r == nil || r.attempt != a || r.owner == o.incarnation {
			continue
		}
		if r.owner != 0 {
			r.otherClaimants = append(r.otherClaimants, o.incarnation)
			continue
		}
		r.owner, r.need = o.incarnation, claim.Need
		o.runCount++
		m.opts.Log.Info().Str("job", a.Key.Job).Stringer("task", a.Key).Uint64("run", a.Run).
			Str("entry", o.name).Msg("run claimed")
	}
	m.markFreeCapacityDirtyLocked()
}
