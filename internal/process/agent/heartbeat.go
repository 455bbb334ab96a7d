package agent

import (
	"context"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/link"
)

const (
	// roundsInPermit is the number of rounds of heartbeats in one permit, so that
	// a permit outlives the loss of all but one.
	roundsInPermit = 3
	// roundsInIdle is the same for the time after which an idle link ends.
	roundsInIdle = 2
	// minInterval bounds the rate of heartbeats for short permits.
	minInterval = 100 * time.Millisecond
	// urgentInterval is the time between heartbeats without a permit.
	urgentInterval = 50 * time.Millisecond
)

// heartbeatInterval returns the time between the rounds of an agent with permits
// of a length. It is the same for all links.
func heartbeatInterval(permit time.Duration) time.Duration {
	interval := min(permit/roundsInPermit, link.IdleTimeout/roundsInIdle)
	return max(interval, minInterval)
}

// heartbeat keeps the permit and the link until the link ends.
func (s *session) heartbeat() {
	for {
		now := time.Now()
		if s.needsHeartbeat(now) {
			s.sendHeartbeat(nil)
		}
		interval := urgentInterval
		if s.agent.permit.isValid(now) {
			interval = heartbeatInterval(s.agent.permit.lengthOf())
		}
		select {
		case <-s.link.Done():
			return
		case <-time.After(interval):
		}
	}
}

// needsHeartbeat reports whether the permit is due for renewal or the link has
// been idle for a round. On links with work a round on any of them renews the
// permit of all.
func (s *session) needsHeartbeat(now time.Time) bool {
	length := s.agent.permit.lengthOf()
	interval := heartbeatInterval(length)
	if s.agent.permit.remaining(now) <= length-interval {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.heardAt) >= interval/roundsInIdle
}

func (s *session) heard(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = now
}

// sendHeartbeat opens a round; reply, if not nil, is closed by its answer.
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

// confirm returns when the entry has taken all frames sent before, when the
// link ends, or when ctx ends.
func (s *session) confirm(ctx context.Context) {
	reply := make(chan struct{})
	s.sendHeartbeat(reply)
	select {
	case <-reply:
	case <-s.link.Done():
	case <-ctx.Done():
	}
}

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
