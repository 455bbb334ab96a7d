package agent

import (
	"slices"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

func (a *Agent) load() *peerv1.Load {
	free := a.attempts.Free()
	return &peerv1.Load{
		Free:           uint32(max(0, free)),
		Busy:           a.info.GetSlots() - uint32(max(0, free)),
		ConfigRevision: a.config.Load().Revision(),
	}
}

// addWaiter remembers an entry that was refused for want of a free slot.
func (a *Agent) addWaiter(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Contains(a.waiters, s) {
		a.waiters = append(a.waiters, s)
	}
}

// wakeWaiter tells the entry that has waited longest of a free slot.
func (a *Agent) wakeWaiter() {
	for {
		a.mu.Lock()
		if len(a.waiters) == 0 {
			a.mu.Unlock()
			return
		}
		s := a.waiters[0]
		a.waiters = a.waiters[1:]
		a.mu.Unlock()
		if s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Load{Load: a.load()}}) == nil {
			return
		}
	}
}
