package agent

import (
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// maxFenceAckBytes bounds the attempts in one part of a FenceAck.
const maxFenceAckBytes = 1 << 20

// fence obeys an adoption and offers what is kept of the lost incarnation to
// its adopter.
func (s *session) fence(f *peerv1.Fence) {
	kept, ok := s.agent.attempts.Fence(f)
	if !ok {
		s.acknowledgeFence(&peerv1.FenceAck{Superseded: true, Complete: true}, f)
		return
	}
	s.agent.counters.Counter("fences_obeyed").Inc(1)
	part, size := &peerv1.FenceAck{}, 0
	for _, k := range kept {
		if size += proto.Size(k); size > maxFenceAckBytes {
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
