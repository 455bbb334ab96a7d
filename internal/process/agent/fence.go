package agent

import (
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// maxFenceAckPartBytes limits the encoded attempts in one FenceAck. A longer answer is sent as
// several, the last of which is marked complete.
const maxFenceAckPartBytes = 1 << 20

// handleFence handles the adoption of a lost entry incarnation by another entry: it blocks
// further starts of the lost incarnation's attempts, except by the adopter, and sends the
// kept attempts to the adopter. A fence older than a known adoption is answered as superseded.
func (s *session) handleFence(f *peerv1.Fence) {
	kept, ok := s.agent.attempts.Fence(f)
	if !ok {
		s.acknowledgeFence(&peerv1.FenceAck{Superseded: true, Complete: true}, f)
		return
	}
	s.agent.counters.Counter("fences_obeyed").Inc(1)
	part, size := &peerv1.FenceAck{}, 0
	for _, k := range kept {
		if size += proto.Size(k); size > maxFenceAckPartBytes {
			s.acknowledgeFence(part, f)
			part, size = &peerv1.FenceAck{}, proto.Size(k)
		}
		part.Kept = append(part.Kept, k)
	}
	part.Complete = true
	s.acknowledgeFence(part, f)
}

func (s *session) acknowledgeFence(ack *peerv1.FenceAck, f *peerv1.Fence) {
	ack.Incarnation, ack.Generation = f.GetIncarnation(), f.GetGeneration()
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_FenceAck{FenceAck: ack}})
}
