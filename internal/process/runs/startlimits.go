package runs

import "github.com/rosemarybay/rosemarybay/internal/connection/peer"

const (
	// maxRuns bounds the runs at a target, since tasks may need none of its capacity. Their list must
	// fit into the first frame of a link.
	maxRuns = 4096
	// maxPendingBytes bounds the starts that are held or not answered by the target, of all entries
	// together; pendingStartBytes is what one counts beside its spec, with its goroutine and request.
	maxPendingBytes   = 4 << 20
	pendingStartBytes = 8 << 10
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
