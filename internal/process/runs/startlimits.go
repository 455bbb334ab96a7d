package runs

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

const (
	// maxRuns bounds the runs at a target, since tasks may need none of its capacity. Their list must
	// fit into the first frame of a link.
	maxRuns = 4096
	// maxPendingBytes bounds the starts that are held or not answered by the target, of all entries
	// together; pendingStartBytes is what one counts beside its spec, with its goroutine and request.
	maxPendingBytes   = 4 << 20
	pendingStartBytes = 8 << 10
	// roomRefusalPause is how long no start is sent to a target that has refused one of the same size
	// or a smaller one although it should fit. Its announcements say what has changed.
	roomRefusalPause = 20 * time.Millisecond
)

func pendingBytes(s *peer.Start) int { return pendingStartBytes + len(s.Spec) }

// isFullLocked reports whether no start is accepted, whatever it needs.
func (m *Manager) isFullLocked() bool {
	pending := m.pendingBytes
	for i := range m.held {
		pending += pendingBytes(&m.held[i].start)
	}
	return len(m.runs)+len(m.held) >= maxRuns || pending >= maxPendingBytes
}

// executeStart sends the start orders of a run that is pending.
func (m *Manager) executeStart(t *targetIncarnation, r *run, s peer.Start) {
	m.start(t, r, s)
	m.mu.Lock()
	defer m.mu.Unlock()
	wasFull := m.isFullLocked()
	m.pendingBytes -= pendingBytes(&s)
	if wasFull {
		m.markFreeCapacityDirtyLocked()
	}
}

// roomRefusal is the latest start that a target has refused for want of room although it should fit by
// its capacity and the runs there.
type roomRefusal struct {
	need  task.Resources
	until time.Duration
}

func (r *roomRefusal) record(now time.Duration, need task.Resources) {
	if !r.inForce(now) || !covers(need, r.need) {
		r.need = need
	}
	r.until = now + roomRefusalPause
}

func (r *roomRefusal) inForce(now time.Duration) bool { return now < r.until }

// refuses reports whether a start of a size would be refused as well.
func (r *roomRefusal) refuses(now time.Duration, need task.Resources) bool {
	return r.inForce(now) && covers(need, r.need)
}

// covers reports whether a needs at least as much as b of each resource.
func covers(a, b task.Resources) bool {
	return a.CPU >= b.CPU && a.MemoryMB >= b.MemoryMB && a.Accelerators >= b.Accelerators
}

// limit applies the refusal to the room of the target for entries.
func (r *roomRefusal) limit(now time.Duration, room *peer.Room) {
	if !r.inForce(now) {
		return
	}
	room.Full = room.Full || r.need.CPU == 0
	room.Free.CPU = min(room.Free.CPU, r.need.CPU-1)
}

// recordRoomRefusal records that the target has refused a start for want of room.
func (m *Manager) recordRoomRefusal(t *targetIncarnation, need task.Resources) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if need.FitsIn(m.freeLocked().Add(need)) {
		m.opts.Counters.Counter("starts_refused_despite_room").Inc(1)
		t.roomRefusal.record(m.clock(), need)
		m.markFreeCapacityDirtyLocked()
	}
}

// endRoomRefusalLocked tells the entries that a refusal for want of room has passed.
func (m *Manager) endRoomRefusalLocked(now time.Duration) {
	if t := m.target; t != nil && t.roomRefusal.until != 0 && !t.roomRefusal.inForce(now) {
		t.roomRefusal = roomRefusal{}
		m.markFreeCapacityDirtyLocked()
	}
}
