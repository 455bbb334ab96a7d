package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

const (
	returnTimeout  = time.Second
	returnAttempts = 3
)

// slotBrokers sends requests to the slot brokers of targets, in this entry or in others.
type slotBrokers struct {
	entry *Entry
	// lastReturn is the number of the latest return.
	lastReturn atomic.Uint64
}

// Acquire implements dispatch.SlotBrokers.
func (s *slotBrokers) Acquire(ctx context.Context, broker uint64, req *peerv1.AcquireSlots) (*peerv1.AcquiredSlots, error) {
	e := s.entry
	if broker == e.incarnation {
		return e.broker.Acquire(ctx, req), nil
	}
	reply, err := s.call(ctx, broker, &peerv1.Call{Request: &peerv1.Call_AcquireSlots{AcquireSlots: req}})
	if err != nil {
		return nil, err
	}
	return reply.GetAcquiredSlots(), nil
}

// TryAcquire implements dispatch.SlotBrokers.
func (s *slotBrokers) TryAcquire(broker uint64, req *peerv1.AcquireSlots) *peerv1.AcquiredSlots {
	if broker != s.entry.incarnation {
		return nil
	}
	return s.entry.broker.TryAcquire(req)
}

// Return implements dispatch.SlotBrokers. It repeats a call without an answer under the same
// number, so that the broker executes it once. If the broker cannot be reached, its sweeps
// reclaim the unused slots, and a later Acquire corrects its count of slots in use.
func (s *slotBrokers) Return(broker uint64, m *peerv1.ReturnSlots) {
	if broker == s.entry.incarnation {
		s.entry.broker.Return(m)
		return
	}
	m.Sequence = s.lastReturn.Add(1)
	go func() {
		call := &peerv1.Call{Request: &peerv1.Call_ReturnSlots{ReturnSlots: m}}
		ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
		defer cancel()
		for range returnAttempts {
			if _, err := s.call(ctx, broker, call); err == nil || ctx.Err() != nil {
				return
			}
		}
	}()
}

func (s *slotBrokers) call(ctx context.Context, broker uint64, call *peerv1.Call) (*peerv1.Reply, error) {
	to := s.entry.roster.Load().ByIncarnation(broker)
	if to == nil {
		return nil, eris.New("broker is not in the roster")
	}
	reply, err := s.entry.peers.call(ctx, to, call)
	if err != nil {
		return nil, err
	}
	if f := verdict.FromFailure(reply.GetFailure()); f != nil {
		return nil, f
	}
	return reply, nil
}
