package entry

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// storeOutageLimit is the longest store outage during which replies from a majority of the
// entries keep an entry fresh. Entries whose lease lapsed stay voters for as long.
const storeOutageLimit = time.Hour

// Divisors of the freshness period.
const (
	// watchesPerPeriod is the number of watch calls in one period.
	watchesPerPeriod = 3
	// contactRoundsPerPeriod is the number of contact rounds in one period while the
	// store does not answer.
	contactRoundsPerPeriod = 6
	// storeTimeoutDivisor divides the period; after that time without an answer of the
	// store, the other entries are polled.
	storeTimeoutDivisor = 2
)

const (
	// freshWaitLimit is how long new work waits for an entry to become fresh.
	freshWaitLimit    = time.Second
	freshPollInterval = 5 * time.Millisecond
)

// freshness tracks until when an entry may treat its configuration as current. Each
// contact, with the store or a majority of the entries, counts from when its request was
// sent, by the monotonic clock, so a pause of the process never extends it.
type freshness struct {
	period time.Duration

	mu                  sync.Mutex
	lastStoreContact    time.Time // send time of the latest request that the store answered
	lastMajorityContact time.Time // the same for a majority of the entries
	outageSince         time.Time // lastStoreContact; before the first, the start of the incarnation
}

func newFreshness(period time.Duration, now time.Time) *freshness {
	return &freshness{period: period, outageSince: now}
}

// recordStore records that the store answered a request sent at the given time, and that
// its answer has been applied.
func (f *freshness) recordStore(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sent.After(f.lastStoreContact) {
		f.lastStoreContact = sent
	}
	if sent.After(f.outageSince) {
		f.outageSince = sent
	}
}

// recordMajority records that a majority of the entries answered requests sent at the given
// time or later, and that none of them has a newer revision.
func (f *freshness) recordMajority(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sent.After(f.lastMajorityContact) {
		f.lastMajorityContact = sent
	}
}

// remaining returns how long the entry stays fresh without further contact; 0 if it is
// not fresh.
func (f *freshness) remaining(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.lastStoreContact
	if f.lastMajorityContact.After(last) && now.Sub(f.outageSince) < storeOutageLimit {
		last = f.lastMajorityContact
	}
	if last.IsZero() {
		return 0
	}
	return max(0, f.period-now.Sub(last))
}

// isStoreUnresponsive reports whether the store has not answered for so long that the
// other entries must be polled.
func (f *freshness) isStoreUnresponsive(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastStoreContact.IsZero() || now.Sub(f.lastStoreContact) > f.period/storeTimeoutDivisor
}

// watchWait returns how long one watch call may wait for a change: 0 after a pause or an
// outage, when the entry needs an answer at once.
func (f *freshness) watchWait(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastStoreContact) > f.period/storeTimeoutDivisor {
		return 0
	}
	return f.period / watchesPerPeriod
}

// contactInterval returns the time between contact rounds.
func (f *freshness) contactInterval() time.Duration { return f.period / contactRoundsPerPeriod }

// permitDuration returns for how long this entry permits an agent to start tasks. It never
// exceeds the entry's own remaining freshness.
func (e *Entry) permitDuration() time.Duration {
	if !e.ready.Load() {
		return 0
	}
	return e.freshness.remaining(time.Now())
}

// isFresh reports whether tasks may be placed.
func (e *Entry) isFresh() bool { return e.permitDuration() > 0 }

// recordContact records a contact through the given function. If the entry was not fresh,
// it has the dispatcher place the waiting tasks.
func (e *Entry) recordContact(record func(*freshness)) {
	wasFresh := e.isFresh()
	record(e.freshness)
	if !wasFresh {
		e.dispatcher.Refresh()
	}
}

// awaitFresh waits up to freshWaitLimit for the entry to be fresh, for example after a
// pause of the process.
func (e *Entry) awaitFresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, freshWaitLimit)
	defer cancel()
	for !e.isFresh() && ctx.Err() == nil {
		sleep(ctx, freshPollInterval)
	}
}

// checkDepartment returns why new work of a department is refused, or nil. An entry that
// is not fresh refuses it, so that callers try another entry.
func (e *Entry) checkDepartment(department string) *verdict.Error {
	if !e.isFresh() {
		err := verdict.NotRunError(apiv1.Reason_REASON_STALE_PERMIT, "neither the store nor most entries have confirmed the configuration")
		err.RetryAfter = e.freshness.contactInterval()
		return err
	}
	return e.config.Load().CheckDepartment(department)
}
