// Package attempts keeps an agent's record of each attempt, so that none starts
// twice, none starts after it was cancelled, and no result is lost with a link.
package attempts

import (
	"sync"
	"time"

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
	sender  uint64
	expires time.Time
	cancel  func()
	result  *peerv1.Result
}

// tombstoneLifetime is how long a tombstone for an unknown attempt is kept. It
// outlives any frame still on its way.
const tombstoneLifetime = time.Minute

// Table holds the attempts of one agent incarnation. It is safe for concurrent
// use.
type Table struct {
	slots int

	mu      sync.Mutex
	records map[Key]*record
	fenced  map[uint64]struct{}
	busy    int
}

// New returns an empty table for a target with a number of slots.
func New(slots int) *Table {
	return &Table{
		slots:   slots,
		records: make(map[Key]*record),
		fenced:  make(map[uint64]struct{}),
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
		sender:  s.GetSender(),
		expires: time.Now().Add(time.Duration(s.GetExpiresMs()) * time.Millisecond),
		cancel:  cancel,
	}
	return nil
}

func (t *Table) isFenced(s *peerv1.Start) bool {
	_, sender := t.fenced[s.GetSender()]
	return sender
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

// Acknowledge forgets the results that their entry has taken; the attempts stay
// known until their tickets expire.
func (t *Table) Acknowledge(ids []*peerv1.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if rec, ok := t.records[KeyOf(id)]; ok && rec.phase == peerv1.AttemptPhase_ATTEMPT_PHASE_DONE {
			rec.result = nil
		}
	}
}

// Fence forbids further starts of an incarnation and returns what is kept of it.
func (t *Table) Fence(incarnation uint64) []*peerv1.KeptAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fenced[incarnation] = struct{}{}
	var kept []*peerv1.KeptAttempt
	for key, rec := range t.records {
		if key.Incarnation != incarnation {
			continue
		}
		kept = append(kept, &peerv1.KeptAttempt{
			State: &peerv1.AttemptState{
				Id: &peerv1.AttemptID{
					Incarnation: key.Incarnation,
					Sequence:    key.Sequence,
					Task:        key.Task,
					Attempt:     key.Attempt,
				},
				Phase: rec.phase,
			},
			Result: rec.result,
		})
	}
	return kept
}

// Expire forgets the attempts whose tickets have expired and that do not run.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, rec := range t.records {
		if now.After(rec.expires) && rec.phase != peerv1.AttemptPhase_ATTEMPT_PHASE_RUNNING {
			delete(t.records, key)
		}
	}
}

// Busy returns the number of running attempts.
func (t *Table) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy
}

// Free returns the number of free slots.
func (t *Table) Free() int { return t.slots - t.Busy() }
