// Package attempts keeps an agent's record of each attempt, so that none starts
// twice, none starts after it was cancelled, and no result is lost with a link.
package attempts

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Key identifies an attempt.
type Key struct {
	Incarnation uint64
	Sequence    uint64
	Task        uint32
	Attempt     uint32
}

// KeyOf returns the key of an attempt ID.
func KeyOf(id *peerv1.AttemptID) Key {
	return Key{
		Incarnation: id.GetIncarnation(),
		Sequence:    id.GetSequence(),
		Task:        id.GetTask(),
		Attempt:     id.GetAttempt(),
	}
}

type record struct {
	phase   peerv1.AttemptPhase
	expires time.Time
	cancel  func()
	result  *peerv1.Result
}

// tombstoneLifetime is how long a tombstone for an unknown attempt is kept. It
// outlives any frame still on its way.
const tombstoneLifetime = time.Minute

// MaxResultBytes bounds the results kept by a table. The oldest are dropped
// first; their attempts stay known.
const MaxResultBytes = 16 << 20

// fence names the entry that may start attempts of a lost incarnation.
type fence struct {
	adopter    uint64
	generation uint32
}

// Table holds the attempts of one agent incarnation. It is safe for concurrent
// use.
type Table struct {
	slots    int
	maxBytes int

	mu      sync.Mutex
	records map[Key]*record
	fences  map[uint64]fence // by the lost incarnation
	busy    int
	// kept lists the attempts with a result, oldest first.
	kept      []Key
	keptBytes int
}

// New returns an empty table for a target with a number of slots.
func New(slots int) *Table {
	return &Table{
		slots:    slots,
		maxBytes: MaxResultBytes,
		records:  make(map[Key]*record),
		fences:   make(map[uint64]fence),
	}
}

// Begin takes a slot for an attempt. gate is called under the table's lock, in
// the instant of starting; cancel stops the running attempt. The error is
// NotRun.
func (t *Table) Begin(s *peerv1.Start, gate func() *verdict.Error, cancel func()) *verdict.Error {
	key := KeyOf(s.GetId())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isFenced(s) {
		return verdict.NotRunError(apiv1.Reason_REASON_FENCED, "incarnation is fenced")
	}
	if _, known := t.records[key]; known {
		return verdict.NotRunError(apiv1.Reason_REASON_TOMBSTONED, "attempt is known")
	}
	if err := gate(); err != nil {
		return err
	}
	if t.busy >= t.slots {
		return verdict.NotRunError(apiv1.Reason_REASON_TARGET_FULL, "all %d slots are busy", t.slots)
	}
	t.busy++
	t.records[key] = &record{
		phase:   peerv1.AttemptPhase_ATTEMPT_PHASE_RUNNING,
		expires: time.Now().Add(time.Duration(s.GetExpiresMs()) * time.Millisecond),
		cancel:  cancel,
	}
	return nil
}

// isFenced reports whether a start comes from a lost entry, or from one that is
// neither the home nor its present adopter.
func (t *Table) isFenced(s *peerv1.Start) bool {
	if _, lost := t.fences[s.GetSender()]; lost {
		return true
	}
	home := s.GetId().GetIncarnation()
	if f, adopted := t.fences[home]; adopted {
		return s.GetSender() != f.adopter
	}
	return s.GetSender() != home
}

// Finish records the result of a running attempt and frees its slot.
func (t *Table) Finish(r *peerv1.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec, ok := t.records[KeyOf(r.GetId())]
	if !ok || rec.phase != peerv1.AttemptPhase_ATTEMPT_PHASE_RUNNING {
		return
	}
	t.busy--
	rec.phase = peerv1.AttemptPhase_ATTEMPT_PHASE_DONE
	rec.result = r
	rec.cancel = nil
	t.keep(KeyOf(r.GetId()), r)
}

// keep bounds the results kept; the caller holds t.mu.
func (t *Table) keep(key Key, r *peerv1.Result) {
	t.kept = append(t.kept, key)
	t.keptBytes += proto.Size(r)
	for t.keptBytes > t.maxBytes {
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	rec := t.records[t.kept[0]]
	t.kept = t.kept[1:]
	t.keptBytes -= proto.Size(rec.result)
	rec.result = nil
}

// Stop sets a tombstone for each attempt that has not started and, with
// cancel, stops those that run. It returns the state of each, and the results
// of those that are done.
func (t *Table) Stop(ids []*peerv1.AttemptID, cancel bool) ([]*peerv1.AttemptState, []*peerv1.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]*peerv1.AttemptState, 0, len(ids))
	var results []*peerv1.Result
	for _, id := range ids {
		rec := t.stopOne(KeyOf(id))
		states = append(states, &peerv1.AttemptState{Id: id, Phase: rec.phase})
		if rec.result != nil {
			results = append(results, rec.result)
		}
		if cancel && rec.cancel != nil {
			rec.cancel()
		}
	}
	return states, results
}

func (t *Table) stopOne(key Key) *record {
	rec, ok := t.records[key]
	if !ok {
		rec = &record{
			phase:   peerv1.AttemptPhase_ATTEMPT_PHASE_TOMBSTONE,
			expires: time.Now().Add(tombstoneLifetime),
		}
		t.records[key] = rec
	}
	return rec
}

// Fence forbids further starts of a lost incarnation by any entry but its
// adopter, and returns what is kept of it. It reports false when an adoption of
// a higher generation is known.
func (t *Table) Fence(f *peerv1.Fence) (kept []*peerv1.KeptAttempt, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := f.GetIncarnation()
	if known := t.fences[lost]; known.generation > f.GetGeneration() {
		return nil, false
	}
	t.fences[lost] = fence{adopter: f.GetAdopter(), generation: f.GetGeneration()}
	for key, rec := range t.records {
		if key.Incarnation == lost {
			kept = append(kept, rec.kept(key))
		}
	}
	return kept, true
}

func (r *record) kept(key Key) *peerv1.KeptAttempt {
	id := &peerv1.AttemptID{
		Incarnation: key.Incarnation,
		Sequence:    key.Sequence,
		Task:        key.Task,
		Attempt:     key.Attempt,
	}
	return &peerv1.KeptAttempt{
		State:  &peerv1.AttemptState{Id: id, Phase: r.phase},
		Result: r.result,
	}
}

// Owner returns the entry that answers for a home's attempts: its adopter if it
// was lost, else the home.
func (t *Table) Owner(home uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f, adopted := t.fences[home]; adopted {
		return f.adopter
	}
	return home
}

// Expire forgets the attempts whose tickets have expired and that do not run.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, rec := range t.records {
		if now.After(rec.expires) && rec.phase != peerv1.AttemptPhase_ATTEMPT_PHASE_RUNNING {
			t.forget(key, rec)
		}
	}
	t.kept = slices.DeleteFunc(t.kept, func(key Key) bool { return t.records[key] == nil })
}

func (t *Table) forget(key Key, rec *record) {
	if rec.result != nil {
		t.keptBytes -= proto.Size(rec.result)
	}
	delete(t.records, key)
}

// Busy returns the number of running attempts.
func (t *Table) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy
}

// Free returns the number of free slots.
func (t *Table) Free() int { return t.slots - t.Busy() }
