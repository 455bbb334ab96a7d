// Package attempts holds an agent's records of attempts. The records ensure that no attempt
// starts twice or after it was cancelled, and that no result is lost with a link.
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

// tombstoneLifetime is how long the tombstone of an unknown attempt is kept. It exceeds
// the time for which a frame can be in transit.
const tombstoneLifetime = time.Minute

// recordGrace is how long a record outlasts the end of its attempt and the deadline of its
// job. It exceeds the time for which an entry waits for a lost link before it gives up its
// attempts.
const recordGrace = 10 * time.Second

// MaxResultBytes limits the results kept by a table. The oldest are dropped first; the
// records of their attempts stay.
const MaxResultBytes = 16 << 20

// fence holds the only entry that may start attempts of a lost incarnation.
type fence struct {
	adopter    uint64
	generation uint32
}

// Table holds the attempts of one agent incarnation. It is safe for concurrent use.
type Table struct {
	slots          int
	maxResultBytes int

	mu      sync.Mutex
	records map[Key]*record
	fences  map[uint64]fence // by lost incarnation
	busy    int
	// resultKeys lists the attempts with a result, oldest first.
	resultKeys  []Key
	resultBytes int
}

// New returns an empty table for a target with the given number of slots.
func New(slots int) *Table {
	return &Table{
		slots:          slots,
		maxResultBytes: MaxResultBytes,
		records:        make(map[Key]*record),
		fences:         make(map[uint64]fence),
	}
}

// Begin takes a slot for an attempt. admit is called with the table locked, so that its
// decision holds at the moment of the start; cancel stops the running attempt. The error
// is NotRun, unless the attempt has started before.
func (t *Table) Begin(s *peerv1.Start, admit func() *verdict.Error, cancel func()) *verdict.Error {
	key := KeyOf(s.GetId())
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[key]
	if t.isFenced(s) {
		return verdict.New(known.verdict(), apiv1.Reason_REASON_FENCED, "incarnation is fenced")
	}
	if known != nil {
		return verdict.New(known.verdict(), apiv1.Reason_REASON_TOMBSTONED, "attempt is known")
	}
	if err := admit(); err != nil {
		return err
	}
	if t.busy >= t.slots {
		return verdict.NotRunError(apiv1.Reason_REASON_TARGET_FULL, "all %d slots are busy", t.slots)
	}
	t.busy++
	t.records[key] = &record{
		phase:   peerv1.AttemptPhase_ATTEMPT_PHASE_RUNNING,
		expires: expiryOf(s, time.Now()),
		cancel:  cancel,
	}
	return nil
}

// expiryOf returns until when an entry may ask for the attempt of a start: while its ticket is
// valid or its job is in progress.
func expiryOf(s *peerv1.Start, now time.Time) time.Time {
	ticket := time.Duration(s.GetExpiresMs()) * time.Millisecond
	job := time.Duration(s.GetDeadlineMs())*time.Millisecond + recordGrace
	return now.Add(max(ticket, job))
}

// verdict returns whether the attempt of a record, which is nil for an unknown attempt, has
// run.
func (r *record) verdict() verdict.Verdict {
	if r == nil || r.phase == peerv1.AttemptPhase_ATTEMPT_PHASE_TOMBSTONE {
		return verdict.NotRun
	}
	return verdict.Ran
}

// isFenced reports whether a start comes from a lost entry, or from an entry that is
// neither the home of the attempt nor its latest adopter.
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
	if earliest := time.Now().Add(recordGrace); earliest.After(rec.expires) {
		rec.expires = earliest
	}
	t.storeResult(KeyOf(r.GetId()), r)
}

// storeResult counts a result and drops the oldest ones beyond the limit. The caller
// holds t.mu.
func (t *Table) storeResult(key Key, r *peerv1.Result) {
	t.resultKeys = append(t.resultKeys, key)
	t.resultBytes += proto.Size(r)
	for t.resultBytes > t.maxResultBytes {
		t.dropOldestResult()
	}
}

func (t *Table) dropOldestResult() {
	rec := t.records[t.resultKeys[0]]
	t.resultKeys = t.resultKeys[1:]
	t.resultBytes -= proto.Size(rec.result)
	rec.result = nil
}

// Stop adds a tombstone for each attempt that has not started and, if cancel is set,
// stops the running ones. It returns the state of each attempt, and the kept results of
// those that are done.
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

// Fence refuses further starts of a lost incarnation by any entry but its adopter, and
// returns the kept attempts of the incarnation. It returns false if an adoption of a
// higher generation is known.
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
			kept = append(kept, rec.toKeptAttempt(key))
		}
	}
	return kept, true
}

func (r *record) toKeptAttempt(key Key) *peerv1.KeptAttempt {
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

// ResponsibleEntry returns the entry responsible for the attempts of a home: its adopter if
// it was lost, otherwise the home.
func (t *Table) ResponsibleEntry(home uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f, adopted := t.fences[home]; adopted {
		return f.adopter
	}
	return home
}

// Expire removes the records of attempts that are not running and that no entry asks for any
// more.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, rec := range t.records {
		if now.After(rec.expires) && rec.phase != peerv1.AttemptPhase_ATTEMPT_PHASE_RUNNING {
			t.remove(key, rec)
		}
	}
	t.resultKeys = slices.DeleteFunc(t.resultKeys, func(key Key) bool { return t.records[key] == nil })
}

func (t *Table) remove(key Key, rec *record) {
	if rec.result != nil {
		t.resultBytes -= proto.Size(rec.result)
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
