package entry

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// adoption is a lost or stopped incarnation that this entry answers for.
type adoption struct {
	incarnation uint64
	generation  uint32
	table       *jobs.Table
	records     *jobs.Records
	until       time.Time // all its tickets have expired by then
	stop        chan struct{}

	mu      sync.Mutex
	waiting map[string]struct{} // agents whose word is awaited
	ready   chan struct{}       // closed when the table may be used
}

func (a *adoption) fence(adopter uint64) *peerv1.Frame {
	return &peerv1.Frame{Body: &peerv1.Frame_Fence{Fence: &peerv1.Fence{
		Incarnation: a.incarnation,
		Adopter:     adopter,
		Generation:  a.generation,
	}}}
}

// await adds an agent whose word is needed before the table is used.
func (a *adoption) await(agent string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting[agent] = struct{}{}
}

// heard notes that an agent has given its word, or cannot.
func (a *adoption) heard(agent string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.waiting[agent]; !ok {
		return
	}
	delete(a.waiting, agent)
	if len(a.waiting) == 0 {
		a.open()
	}
}

// open lets the table be used; the caller holds a.mu.
func (a *adoption) open() {
	select {
	case <-a.ready:
	default:
		close(a.ready)
	}
}

// openAfter lets the table be used when no agent is awaited, and in any case
// after a time.
func (a *adoption) openAfter(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == 0 {
		a.open()
		return
	}
	time.AfterFunc(d, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.open()
	})
}

// adoptions holds the adoptions of this entry, and what it knows of others'. It
// is safe for concurrent use.
type adoptions struct {
	// adopting is held while the store is asked, so that one caller at a time does.
	adopting sync.Mutex

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

func (s *adoptions) hold(a *adoption) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[a.incarnation] = a
}

// drop ends an adoption that another entry has taken over or whose tickets have
// all expired.
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

// abandon drops all adoptions.
func (s *adoptions) abandon(reason verdict.Reason, message string) {
	for _, a := range s.all() {
		s.drop(a.incarnation, reason, message)
	}
}

// running returns the number of adopted jobs without an answer.
func (s *adoptions) running() int {
	n := 0
	for _, a := range s.all() {
		n += a.table.Running()
	}
	return n
}

// learn takes a value of the store.
func (s *adoptions) learn(v store.Value) {
	m := &peerv1.Adoption{}
	if v.Deleted || proto.Unmarshal(v.Data, m) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.known[m.GetIncarnation()]; known.GetGeneration() < m.GetGeneration() {
		s.known[m.GetIncarnation()] = m
	}
}

// adopter returns the incarnation that answers for a lost one, as far as known.
func (s *adoptions) adopter(incarnation uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[incarnation].GetAdopter()
}
