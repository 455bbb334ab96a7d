package entry

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// adoption is a lost or stopped incarnation for whose tickets this entry is now
// responsible.
type adoption struct {
	incarnation uint64
	generation  uint32
	table       *jobs.Table
	records     *jobs.AttemptRecords
	expires     time.Time // when the last of its tickets has expired
	stop        chan struct{}

	mu            sync.Mutex
	pendingAgents map[string]struct{} // agents that have not acknowledged the fence
	ready         chan struct{}       // closed when the table may be used
}

func (a *adoption) fence(adopter uint64) *peerv1.Frame {
	return &peerv1.Frame{Body: &peerv1.Frame_Fence{Fence: &peerv1.Fence{
		Incarnation: a.incarnation,
		Adopter:     adopter,
		Generation:  a.generation,
	}}}
}

// waitForAgent adds an agent that must acknowledge the fence before the table is used.
func (a *adoption) waitForAgent(agent string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingAgents[agent] = struct{}{}
}

// agentDone records that an agent has acknowledged the fence, or no longer can.
func (a *adoption) agentDone(agent string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.pendingAgents[agent]; !ok {
		return
	}
	delete(a.pendingAgents, agent)
	if len(a.pendingAgents) == 0 {
		a.markReady()
	}
}

// markReady allows use of the table. The caller holds a.mu.
func (a *adoption) markReady() {
	select {
	case <-a.ready:
	default:
		close(a.ready)
	}
}

// markReadyAfter allows use of the table at once if no agent is pending, and otherwise
// after d at the latest.
func (a *adoption) markReadyAfter(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pendingAgents) == 0 {
		a.markReady()
		return
	}
	time.AfterFunc(d, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.markReady()
	})
}

// adoptions holds the adoptions of this entry, and the known adoptions by any entry. It is
// safe for concurrent use.
type adoptions struct {
	// claimMu is held during a claim, so that one goroutine at a time makes one.
	claimMu sync.Mutex

	mu    sync.Mutex
	held  map[uint64]*adoption
	known map[uint64]*peerv1.Adoption
}

func newAdoptions() *adoptions {
	return &adoptions{
		held:  make(map[uint64]*adoption),
		known: make(map[uint64]*peerv1.Adoption),
	}
}

func (s *adoptions) get(incarnation uint64) *adoption {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[incarnation]
}

func (s *adoptions) add(a *adoption) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[a.incarnation] = a
}

// drop ends an adoption and abandons its jobs with the given reason, for example when
// another entry has taken it over or all its tickets have expired.
func (s *adoptions) drop(incarnation uint64, reason verdict.Reason, message string) {
	s.mu.Lock()
	a := s.held[incarnation]
	delete(s.held, incarnation)
	s.mu.Unlock()
	if a != nil {
		close(a.stop)
		a.table.Abandon(reason, message)
	}
}

func (s *adoptions) all() []*adoption {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*adoption, 0, len(s.held))
	for _, a := range s.held {
		list = append(list, a)
	}
	return list
}

// abandon drops all adoptions with the given reason.
func (s *adoptions) abandon(reason verdict.Reason, message string) {
	for _, a := range s.all() {
		s.drop(a.incarnation, reason, message)
	}
}

// runningJobs returns the number of adopted jobs that have no answer yet.
func (s *adoptions) runningJobs() int {
	n := 0
	for _, a := range s.all() {
		n += a.table.Running()
	}
	return n
}

// decodeAdoption decodes a stored adoption, which must be that of the incarnation in its key.
func decodeAdoption(v store.Value) (*peerv1.Adoption, error) {
	m := &peerv1.Adoption{}
	if err := proto.Unmarshal(v.Data, m); err != nil {
		return nil, eris.Wrap(err, "decode adoption")
	}
	if adoptedKey(m.GetIncarnation()) != v.Key || m.GetAdopter() == 0 {
		return nil, eris.Errorf("adoption of %016x by %016x has another key", m.GetIncarnation(), m.GetAdopter())
	}
	return m, nil
}

// applyStored applies an adoption read from the store if its generation is newer.
func (s *adoptions) applyStored(v store.Value) {
	m, err := decodeAdoption(v)
	if v.Deleted || err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.known[m.GetIncarnation()]; known.GetGeneration() < m.GetGeneration() {
		s.known[m.GetIncarnation()] = m
	}
}

// latest returns the known adoption of an incarnation, or an empty one.
func (s *adoptions) latest(incarnation uint64) *peerv1.Adoption {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.known[incarnation]; known != nil {
		return known
	}
	return &peerv1.Adoption{}
}

// adopter returns the known adopter of an incarnation, or 0.
func (s *adoptions) adopter(incarnation uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[incarnation].GetAdopter()
}
