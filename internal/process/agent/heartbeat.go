package agent

import (
	"context"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/link"
)

const (
	// roundsPerPermit is the number of heartbeat rounds in the length of a permit. The permit
	// stays valid if all but one of them are lost.
	roundsPerPermit = 3
	// roundsPerIdleTimeout is the number of heartbeat rounds in the idle timeout of a link.
	roundsPerIdleTimeout = 2
	// minInterval is the shortest heartbeat interval while a permit is valid.
	minInterval = 100 * time.Millisecond
	// intervalWithoutPermit is the heartbeat interval while the agent has no valid permit.
	intervalWithoutPermit = 50 * time.Millisecond
)

// heartbeatInterval returns the heartbeat interval for permits of the given length. It is the
// same on all links of an agent.
func heartbeatInterval(permitLength time.Duration) time.Duration {
	interval := min(permitLength/roundsPerPermit, link.IdleTimeout/roundsPerIdleTimeout)
	return max(interval, minInterval)
}

// sendHeartbeats sends heartbeats that renew the permit and keep the link open, until the link
// ends.
func (s *session) sendHeartbeats() {
	for {
		now := time.Now()
		if s.needsHeartbeat(now) {
			s.sendHeartbeat(nil)
		}
		interval := intervalWithoutPermit
		if s.agent.permit.isValid(now) {
			interval = heartbeatInterval(s.agent.permit.lastLength())
		}
		select {
		case <-s.link.Done():
			return
		case <-time.After(interval):
		}
	}
}

// needsHeartbeat reports whether the permit is due for renewal or the link has been idle too
// long. The permit is shared by all links: a heartbeat on any of them renews it, so other
// links with traffic need none.
func (s *session) needsHeartbeat(now time.Time) bool {
	length := s.agent.permit.lastLength()
	interval := heartbeatInterval(length)
	if s.agent.permit.remaining(now) <= length-interval {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.receivedAt) >= interval/roundsPerIdleTimeout
}

// recordReceived records that a frame arrived at the time now.
func (s *session) recordReceived(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedAt = now
}

// sendHeartbeat sends a heartbeat; reply, if not nil, is closed when its reply arrives.
func (s *session) sendHeartbeat(reply chan struct{}) {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.sentAt[sequence] = time.Now()
	if reply != nil {
		s.replies[sequence] = reply
	}
	s.mu.Unlock()
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Heartbeat{Heartbeat: &peerv1.Heartbeat{
		Sequence:       sequence,
		ConfigRevision: s.agent.config.Load().Revision(),
	}}})
}

// waitForReply sends a heartbeat and waits for its reply, the end of the link or the end of
// ctx. The reply proves that the entry has received all frames sent before.
func (s *session) waitForReply(ctx context.Context) {
	reply := make(chan struct{})
	s.sendHeartbeat(reply)
	select {
	case <-reply:
	case <-s.link.Done():
	case <-ctx.Done():
	}
}

// handleHeartbeat extends the permit, unless the entry has a newer configuration than the
// agent. The permit counts from when the agent sent the heartbeat that is answered.
func (s *session) handleHeartbeat(h *peerv1.Heartbeat) {
	s.mu.Lock()
	sentAt, ok := s.sentAt[h.GetReplyTo()]
	delete(s.sentAt, h.GetReplyTo())
	reply := s.replies[h.GetReplyTo()]
	delete(s.replies, h.GetReplyTo())
	s.mu.Unlock()
	if !ok {
		return
	}
	if reply != nil {
		close(reply)
	}
	if s.agent.config.Load().Revision() < h.GetConfigRevision() {
		return
	}
	s.agent.permit.extend(sentAt, time.Duration(h.GetPermitMs())*time.Millisecond)
}
