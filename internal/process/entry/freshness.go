package entry

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// storeOutageLimit is the longest time without the store for which contact with
// a majority of the entries keeps an entry fresh. Entries whose lease lapsed
// count for a majority for as long.
const storeOutageLimit = time.Hour

// Parts of the freshness period.
const (
	// watchesPerPeriod is the number of watch calls in one period.
	watchesPerPeriod = 3
	// contactsPerPeriod is the number of rounds among the entries in one period
	// while the store does not answer.
	contactsPerPeriod = 6
	// storeSilence is the part of a period without an answer of the store after
	// which the other entries are asked.
	storeSilence = 2
)

const (
	// freshGrace is how long new work waits at an entry that is not fresh.
	freshGrace = time.Second
	freshPoll  = 5 * time.Millisecond
)

// freshness knows until when the configuration of an entry may be taken for the
// present one. Each contact counts from when its request was sent, by the
// monotonic clock, so a pause never lengthens it.
type freshness struct {
	period time.Duration

	mu       sync.Mutex
	store    time.Time // when the last request answered by the store was sent
	majority time.Time // the same for a majority of the entries
	lastOut  time.Time // store, or the start of the process
}

func newFreshness(period time.Duration, now time.Time) *freshness {
	return &freshness{period: period, lastOut: now}
}

// noteStore records that the store answered a request sent at a time, and that
// all it told is applied.
func (f *freshness) noteStore(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sent.After(f.store) {
		f.store = sent
	}
	if sent.After(f.lastOut) {
		f.lastOut = sent
	}
}

// noteMajority records that a majority of the entries answered requests sent
// not before a time, and that none of them knows a newer revision.
func (f *freshness) noteMajority(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sent.After(f.majority) {
		f.majority = sent
	}
}

// remaining returns how long the entry stays fresh from now without further
// contact; 0 when it is not fresh.
func (f *freshness) remaining(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.store
	if f.majority.After(last) && now.Sub(f.lastOut) < storeOutageLimit {
		last = f.majority
	}
	if last.IsZero() {
		return 0
	}
	return max(0, f.period-now.Sub(last))
}

// isStoreSilent reports whether the store has not answered for so long that the
// other entries have to be asked.
func (f *freshness) isStoreSilent(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.IsZero() || now.Sub(f.store) > f.period/storeSilence
}

// watchWait returns the wait of one watch call: none after a pause or an outage,
// when an answer is wanted at once.
func (f *freshness) watchWait(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.store) > f.period/storeSilence {
		return 0
	}
	return f.period / watchesPerPeriod
}

// contactInterval returns the time between rounds among the entries.
func (f *freshness) contactInterval() time.Duration { return f.period / contactsPerPeriod }

// permit returns how long an agent may start tasks on this entry's word. It
// never outlives the entry's own freshness.
func (e *Entry) permit() time.Duration {
	if !e.ready.Load() {
		return 0
	}
	return e.freshness.remaining(time.Now())
}

// isFresh reports whether tasks may be placed.
func (e *Entry) isFresh() bool { return e.permit() > 0 }

// confirm notes a contact, and places the waiting tasks of an entry that is fresh
// again.
func (e *Entry) confirm(note func(*freshness)) {
	wasFresh := e.isFresh()
	note(e.freshness)
	if !wasFresh {
		e.dispatcher.Refresh()
	}
}

// awaitFresh waits a short time while the entry is not fresh, as after a pause of
// its process.
func (e *Entry) awaitFresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, freshGrace)
	defer cancel()
	for !e.isFresh() && ctx.Err() == nil {
		sleep(ctx, freshPoll)
	}
}

// checkDepartment returns why new work of a department is refused, or nil. An
// entry that is not fresh refuses it, so that callers try another one.
func (e *Entry) checkDepartment(department string) *verdict.Error {
	if !e.isFresh() {
		err := verdict.NotRunError(apiv1.Reason_REASON_STALE_PERMIT, "neither the store nor most entries have confirmed the configuration")
		err.RetryAfter = e.freshness.contactInterval()
		return err
	}
	return e.config.Load().CheckDepartment(department)
}
