package runs

import (
	"context"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// identity distinguishes the incarnations of all targets that were beside this agent.
type identity struct {
	id          string
	incarnation int64
}

func (a *Announcement) identity() identity { return identity{a.ID, a.Incarnation} }

// targetIncarnation is the state of one incarnation of the target.
type targetIncarnation struct {
	Announcement
	client TargetClient
	ctx    context.Context
	cancel context.CancelFunc
	// resolving is a semaphore, held while the unanswered start of one attempt is resolved.
	resolving chan struct{}
	// resolution is the latest report that resolved unanswered starts.
	resolution resolution
	// token is the fencing token of the next order: the target rejects lower ones than
	// the highest that it has seen.
	token uint64
	// lastSeen is the highest number of an ended run that has been processed.
	lastSeen uint64
	// reported is set once the target has reported its runs.
	reported bool
	// answeredAt is when the latest answer arrived, renewedAt when the latest order or
	// poll was sent that renews the target's lease.
	answeredAt time.Time
	renewedAt  time.Time
	// unansweredToken is the highest token of a start order that the target has not answered.
	unansweredToken uint64
	// unanswered is the number of polls since the latest answer.
	unanswered int
	// strays is when a stop order was last sent to each run that is listed beside another
	// run of its task.
	strays map[task.Attempt]time.Time
	health load.Health
	// roomRefusal is the latest start that it refused for want of room although it should fit.
	roomRefusal roomRefusal
	// speed is how long runs take here, and speedShared what the entries know of it.
	speed       load.RunSpeed
	speedShared sharedSpeed
	// interference is which tasks slow each other down here; interferenceShared is set if the
	// entries have estimates, which were sent at interferenceSharedAt.
	interference         load.InterferenceMeter
	interferenceShared   bool
	interferenceSharedAt time.Duration
	// prober is the incarnation of the entry that may send the next probe, probeOfferedAt
	// when it was chosen.
	prober         uint64
	probeOfferedAt time.Duration
	// loggedUnhealthy is set if the target was unhealthy when its health was last logged.
	loggedUnhealthy bool
	// loggedUnreadable is set once an unreadable row of the target has been logged.
	loggedUnreadable bool
	// unresponsive is set while the target does not answer.
	unresponsive bool
	// unconfirmed is set once another incarnation answers, or none does, until the next report.
	unconfirmed bool
	// replaceable is set once another incarnation has answered, or the lease has expired. The
	// next announcement of another incarnation is then accepted even if its number is lower,
	// because clocks were set back before the target restarted. Silence alone is no reason: a
	// delayed announcement of an earlier incarnation may arrive meanwhile.
	replaceable bool
	// replaced is set once another incarnation has answered.
	replaced bool
	// leaving is set once the target has deregistered.
	leaving bool
	// crashed is set once the target appears to have ended or hung without notice.
	crashed bool
}

// Announce processes an announcement of the target. It returns false if the announcement
// is ignored because it belongs to an earlier incarnation.
func (m *Manager) Announce(a Announcement) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.raiseTokensLocked(a.Token)
	switch t := m.target; {
	case t == nil && a.identity() == m.left:
		return false
	case t == nil, a.Incarnation > t.Incarnation:
		m.replaceTargetLocked(a)
	case t.replaceable && a.identity() != t.identity():
		m.replaceTargetLocked(a)
	case a.identity() != t.identity():
		m.opts.Log.Warn().Str("target", a.ID).Int64("incarnation", a.Incarnation).
			Int64("known", t.Incarnation).Msg("announcement of an earlier incarnation ignored")
		return false
	case a.Sequence < t.Sequence, t.leaving:
		return true
	case !t.reported && a.Address != t.Address:
		m.replaceTargetLocked(a)
	default:
		m.updateTargetLocked(a)
	}
	return true
}

// replaceTargetLocked makes a new incarnation of the target the current one. It has none
// of the runs of the former one, but orders sent to that one may have reached it.
func (m *Manager) replaceTargetLocked(a Announcement) {
	if m.target != nil {
		m.noteCrashLocked(m.target, "a new incarnation announces itself")
		m.endTargetLocked("new lifetime")
		m.expectLateOrdersLocked()
		for _, r := range m.runs {
			m.misdirectedLocked(r)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.target = &targetIncarnation{
		Announcement: a,
		client:       m.opts.Dial(a),
		ctx:          ctx,
		cancel:       cancel,
		token:        m.nextTokenLocked(),
		resolving:    make(chan struct{}, 1),
		strays:       make(map[task.Attempt]time.Time),
		answeredAt:   time.Now(),
		renewedAt:    time.Now(),
	}
	m.opts.Log.Info().Str("target", a.ID).Int64("incarnation", a.Incarnation).Str("address", a.Address).
		Str("pool", a.Pool).Int64("cpu", a.Capacity.CPU).Strs("labels", a.Labels).Bool("draining", a.Draining).
		Uint64("token", m.target.token).Msg("target announced")
	go m.pollTarget(m.target)
	m.notifyAnnouncedLocked()
}

// nextTokenLocked returns the first token for an incarnation: higher than those of this process
// and, by the stored announcement or the clock, of earlier ones, so that the first poll fences all
// orders in transit.
func (m *Manager) nextTokenLocked() uint64 {
	return max(uint64(time.Now().UnixMilli()), m.lastToken+1)
}

// raiseTokensLocked raises the tokens of this process above those of an earlier one, of which
// one was stored; 0 means none.
func (m *Manager) raiseTokensLocked(stored uint64) {
	if stored == 0 {
		return
	}
	m.lastToken = max(m.lastToken, stored+tokenReserve)
	if m.target != nil {
		m.target.token = max(m.target.token, m.lastToken+1)
	}
}

func (m *Manager) notifyAnnouncedLocked() {
	if m.opts.Announced == nil {
		return
	}
	a := m.target.Announcement
	a.Token = m.target.token
	m.opts.Announced(a)
}

func (m *Manager) updateTargetLocked(a Announcement) {
	changed := a.Draining != m.target.Draining || a.Capacity != m.target.Capacity
	m.target.Announcement = a
	if changed {
		m.opts.Log.Info().Str("target", a.ID).Bool("draining", a.Draining).Int64("cpu", a.Capacity.CPU).
			Uint64("sequence", a.Sequence).Msg("target changed")
		m.notifyAnnouncedLocked()
		m.broadcastTargetLocked()
	}
}

// Deregister handles the target's notice that it shuts down; incarnation is 0 if not
// given. The target may end some seconds later: its runs go on until they end, or until its
// lease, which is no longer renewed, has expired.
func (m *Manager) Deregister(id string, incarnation int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.target
	if t == nil || t.ID != id || (incarnation != 0 && incarnation < t.Incarnation) {
		return
	}
	// The Announced callback may store the announcement. It is marked as draining first,
	// so that a later process of the agent does not treat the target as available.
	t.Draining, t.leaving = true, true
	m.left = t.identity()
	m.opts.Log.Info().Str("target", t.ID).Int64("incarnation", t.Incarnation).Int("runs", len(m.runs)).Msg("target leaves")
	m.notifyAnnouncedLocked()
	m.broadcastTargetLocked()
	m.endIfLeftLocked()
}

// endIfLeftLocked ends a target that leaves once it has no runs.
func (m *Manager) endIfLeftLocked() {
	if m.target != nil && m.target.leaving && len(m.runs) == 0 {
		m.endTargetLocked("left")
	}
}

// endTargetLocked ends the current incarnation: no order is sent to it any more, and answers
// that are still to come are ignored.
func (m *Manager) endTargetLocked(reason string) {
	t := m.target
	m.opts.Log.Info().Str("target", t.ID).Int64("incarnation", t.Incarnation).Str("reason", reason).
		Int("runs", len(m.runs)).Msg("target ended")
	t.cancel()
	t.client.Close()
	m.lastToken = max(m.lastToken, t.token)
	m.target = nil
	m.broadcastTargetLocked()
}
