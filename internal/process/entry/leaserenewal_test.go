package entry

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/standin/faultstore"
)

const (
	testLeaseTTL = 4 * time.Second
	// stalledCall is how long a call without an answer takes, if its context does not end first.
	stalledCall = 5 * time.Second
	// slowCall is less than what is left of the lease when it is renewed.
	slowCall = testLeaseTTL / 2
	// lateFailure is shortly before the renewal after the failed one is due.
	lateFailure = testLeaseTTL/renewalsPerLease - 10*time.Millisecond
	// testRoundTrip is how long an answered renewal takes.
	testRoundTrip = 20 * time.Millisecond
)

// leaseStore expires a lease as a store does, and stalls or fails chosen renewals.
type leaseStore struct {
	*faultstore.Store

	mu        sync.Mutex
	faults    []renewalFault // of the next renewals
	sent      []time.Time    // of all renewals
	expiresAt time.Time
}

type renewalFault int

const (
	renewed    renewalFault = iota
	stalled                 // neither executed nor answered
	failed                  // answered with an error at once
	slow                    // executed after slowCall, if its context has not ended by then
	failedLate              // answered with an error after lateFailure
)

func (s *leaseStore) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	s.extend()
	return s.Store.GrantLease(ctx, ttl)
}

func (s *leaseStore) RenewLease(ctx context.Context, id uint64) error {
	duration := testRoundTrip
	switch s.nextFault() {
	case stalled:
		sleep(ctx, stalledCall)
		return faultstore.ErrNoAnswer
	case failed:
		return faultstore.ErrNoAnswer
	case slow:
		duration = slowCall
	case failedLate:
		sleep(ctx, lateFailure)
		return faultstore.ErrNoAnswer
	}
	sleep(ctx, duration)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if s.isExpired() {
		return store.ErrLeaseLapsed
	}
	s.extend()
	return s.Store.RenewLease(ctx, id)
}

func (s *leaseStore) nextFault() renewalFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, time.Now())
	if len(s.faults) == 0 {
		return renewed
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

func (s *leaseStore) sentTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sent)
}

func (s *leaseStore) extend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiresAt = time.Now().Add(testLeaseTTL)
}

func (s *leaseStore) isExpired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().After(s.expiresAt)
}

// A call to the store may wait for its answer for longer than the lease lasts: a single stalled
// renewal lost the lease, and with it all jobs in progress. So did renewals that fail at once,
// since the next one was not sent until a third of the lease later.
func TestLeaseOutlastsStalledOrFailedRenewals(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults []renewalFault
	}{
		{"one stalls", []renewalFault{stalled}},
		{"one stalls after one is answered", []renewalFault{renewed, stalled}},
		{"one stalls, one fails", []renewalFault{stalled, failed}},
		{"three fail", []renewalFault{failed, failed, failed}},
		{"each is slow", slices.Repeat([]renewalFault{slow}, 100)},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f, e := newFaultyEntry(7)
				e.lease = newLease(testLeaseTTL)
				s := &leaseStore{Store: f, faults: test.faults}
				e.store = s
				if err := e.register(ctx); err != nil {
					t.Fatal(err)
				}
				for end := time.Now().Add(4 * testLeaseTTL); time.Now().Before(end); sleep(ctx, tickInterval) {
					if s.isExpired() {
						t.Fatal("the lease has expired in the store")
					}
					if !e.lease.tick(time.Now()) {
						t.Fatal("the entry has lost its lease")
					}
				}
			})
		})
	}
}

// A renewal that fails is repeated soon. If its answer comes when the next renewal is due anyway,
// it must not put that one off.
func TestLateFailureDoesNotPutOffNextRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, e := newFaultyEntry(7)
		e.lease = newLease(testLeaseTTL)
		interval := testLeaseTTL / renewalsPerLease
		s := &leaseStore{Store: f, faults: []renewalFault{failedLate}}
		e.store = s
		if err := e.register(ctx); err != nil {
			t.Fatal(err)
		}
		sleep(ctx, 3*testLeaseTTL)
		sent := append(s.sentTimes(), time.Now())
		for i, next := range sent[1:] {
			if gap := next.Sub(sent[i]); gap > interval {
				t.Errorf("no renewal was sent for %v, interval %v", gap, interval)
			}
		}
	})
}
