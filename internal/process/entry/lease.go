package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
)

const (
	// leaseRenewals is the number of renewals in one lease time.
	leaseRenewals = 3
	// pulseInterval is the time between the marks by which a pause is noticed.
	pulseInterval = 50 * time.Millisecond
	// pauseShare is the share of the lease time that counts as a pause.
	pauseShare = 2
)

// lease is the entry's own view of its registration. Time is counted from when a
// renewal was sent. Without the store the lease cannot be judged by its end
// alone, since an outage must not stop the entry; so it counts as lost after its
// end only when the process was paused, or when the store says so.
type lease struct {
	ttl time.Duration

	mu      sync.Mutex
	id      uint64
	key     string
	version uint64 // store revision of the key
	renewed time.Time
	pulse   time.Time
	lost    bool
}

func newLease(ttl time.Duration) *lease {
	now := time.Now()
	return &lease{ttl: ttl, renewed: now, pulse: now}
}

// isHeld reports whether what the entry holds under the lease may be used at the
// time now.
func (l *lease) isHeld(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	paused := now.Sub(l.pulse) > l.ttl/pauseShare
	if paused && now.Sub(l.renewed) > l.ttl {
		l.lost = true
	}
	return !l.lost
}

// beat marks that the process runs. It reports whether the lease is held.
func (l *lease) beat(now time.Time) bool {
	held := l.isHeld(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pulse = now
	return held
}

func (l *lease) renew(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewed = sent
}

func (l *lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}

func entryKey(incarnation uint64) string {
	return fmt.Sprintf("%s%016x", entriesPrefix, incarnation)
}

func (e *Entry) rosterEntry(draining bool) ([]byte, error) {
	data, err := proto.Marshal(&peerv1.RosterEntry{
		Name:          e.settings.Name,
		DataCentre:    e.settings.DataCentre,
		Incarnation:   e.incarnation,
		PeerAddress:   e.settings.Entry.PeerAdvertise,
		CallerAddress: e.settings.Entry.CallerListen,
		Draining:      draining,
	})
	return data, eris.Wrap(err, "encode roster entry")
}

// register puts the entry into the roster under a lease and keeps the lease.
func (e *Entry) register(ctx context.Context) error {
	sent := time.Now()
	id, err := e.store.GrantLease(ctx, e.lease.ttl)
	if err != nil {
		return err
	}
	data, err := e.rosterEntry(false)
	if err != nil {
		return err
	}
	key := entryKey(e.incarnation)
	result, err := e.store.CompareAndSwap(ctx, store.Change{Key: key, Data: data, LeaseID: id})
	if err != nil {
		return err
	}
	if !result.Swapped {
		return e.reclaim(ctx, result.Present)
	}
	e.lease.mu.Lock()
	e.lease.id, e.lease.key, e.lease.version = id, key, result.Revision
	e.lease.renewed = sent
	e.lease.mu.Unlock()
	go e.keepLease(ctx, id)
	return nil
}

// reclaim removes a registration whose answer was lost, since it hangs on a
// lease that nobody renews.
func (e *Entry) reclaim(ctx context.Context, present *store.Value) error {
	if present != nil {
		_, err := e.store.CompareAndSwap(ctx, store.Change{Key: present.Key, Expected: present.Revision, Delete: true})
		if err != nil {
			return err
		}
	}
	return eris.New("registration is tried again")
}

func (e *Entry) keepLease(ctx context.Context, id uint64) {
	for {
		sleep(ctx, e.lease.ttl/leaseRenewals)
		if ctx.Err() != nil {
			return
		}
		sent := time.Now()
		err := e.store.RenewLease(ctx, id)
		switch {
		case eris.Is(err, store.ErrLeaseLapsed):
			e.retire("lease lapsed")
			return
		case err == nil:
			e.lease.renew(sent)
		}
		e.noteStore(err)
	}
}

// watchPulse notices pauses of the process.
func (e *Entry) watchPulse(ctx context.Context) {
	ticker := time.NewTicker(pulseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !e.lease.beat(time.Now()) {
			e.retire("paused for longer than the lease")
			return
		}
	}
}

// retire ends this incarnation: it stops using what it held under its lease and
// answers its callers that their jobs may have run.
func (e *Entry) retire(cause string) {
	e.lease.lose()
	e.retireOnce.Do(func() {
		e.counters.Counter("incarnations_lost").Inc(1)
		e.log.Warn().Str("cause", cause).Uint64("incarnation", e.incarnation).Msg("incarnation lost")
		close(e.retired)
		const message = "the entry lost its lease; submit the job again"
		if e.ready.Load() {
			e.jobs.Abandon(apiv1.Reason_REASON_HOME_LOST, message)
		}
		e.adoptions.abandon(apiv1.Reason_REASON_HOME_LOST, message)
	})
}

// announceDraining marks the entry in the roster.
func (e *Entry) announceDraining(ctx context.Context) {
	data, err := e.rosterEntry(true)
	if err != nil {
		return
	}
	e.lease.mu.Lock()
	change := store.Change{Key: e.lease.key, Data: data, Expected: e.lease.version, LeaseID: e.lease.id}
	e.lease.mu.Unlock()
	if change.Key == "" {
		return // not registered yet
	}
	_, err = e.store.CompareAndSwap(ctx, change)
	e.noteStore(err)
}

// leave takes a stopping entry out of the roster.
func (e *Entry) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e.lease.mu.Lock()
	id := e.lease.id
	e.lease.mu.Unlock()
	if id != 0 {
		_ = e.store.RevokeLease(ctx, id)
	}
}
