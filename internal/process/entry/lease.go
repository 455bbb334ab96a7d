package entry

import (
	"context"
	"errors"
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
	// renewalsPerLease is the number of renewals in one lease TTL.
	renewalsPerLease = 3
	// tickInterval is the time between ticks, by which a pause of the process is detected.
	tickInterval = 50 * time.Millisecond
	// leaveTimeout bounds the mark of a stopping entry, and the removal of its registration.
	leaveTimeout = time.Second
	// pauseDivisor divides the lease TTL; a longer gap between ticks counts as a pause.
	pauseDivisor = 2
)

// lease is the entry's local view of its registration lease. The TTL counts from when
// the last successful renewal was sent. Expiry alone does not lose the lease, since a
// store outage must not stop the entry: the lease is lost if it expired and the process
// was paused, or if the store reports it lapsed.
type lease struct {
	ttl time.Duration

	mu        sync.Mutex
	id        uint64
	key       string
	version   uint64 // store revision of the key
	renewedAt time.Time
	lastTick  time.Time
	lost      bool
}

func newLease(ttl time.Duration) *lease {
	now := time.Now()
	return &lease{ttl: ttl, renewedAt: now, lastTick: now}
}

// isHeld reports whether the entry may still act under the lease at the time now.
func (l *lease) isHeld(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	paused := now.Sub(l.lastTick) > l.ttl/pauseDivisor
	if paused && now.Sub(l.renewedAt) > l.ttl {
		l.lost = true
	}
	return !l.lost
}

// tick records that the process is running. It reports whether the lease is held.
func (l *lease) tick(now time.Time) bool {
	held := l.isHeld(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastTick = now
	return held
}

// recordRenewal records a successful renewal. Renewals may be answered out of order.
func (l *lease) recordRenewal(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent.After(l.renewedAt) {
		l.renewedAt = sent
	}
}

func (l *lease) markLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}

// currentID returns the ID of the lease; 0 if there is none.
func (l *lease) currentID() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

func (l *lease) setID(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = id
}

func entryKey(incarnation uint64) string {
	return fmt.Sprintf("%s%016x", entriesPrefix, incarnation)
}

func (e *Entry) encodeRosterEntry(draining bool) ([]byte, error) {
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

// register adds the entry to the roster under a lease and starts renewing the lease. After an
// error it is repeated under the same lease: a write without an answer may be executed until
// the lease ends.
func (e *Entry) register(ctx context.Context) error {
	sent := time.Now()
	id, err := e.ensureLease(ctx)
	if err != nil {
		return err
	}
	data, err := e.encodeRosterEntry(false)
	if err != nil {
		return err
	}
	writer := store.Writer{Store: e.store, Key: entryKey(e.incarnation)}
	if err := writer.Write(ctx, data, id); err != nil {
		return err
	}
	e.lease.mu.Lock()
	e.lease.key, e.lease.version = writer.Key, writer.Revision
	e.lease.renewedAt = sent
	e.lease.mu.Unlock()
	go e.renewLeaseLoop(ctx, id)
	return nil
}

// ensureLease renews the lease of an earlier try to register, or obtains one if there is none.
func (e *Entry) ensureLease(ctx context.Context) (uint64, error) {
	if id := e.lease.currentID(); id != 0 {
		err := e.store.RenewLease(ctx, id)
		if !errors.Is(err, store.ErrLeaseLapsed) {
			return id, err
		}
	}
	id, err := e.store.GrantLease(ctx, e.lease.ttl)
	e.lease.setID(id)
	return id, err
}

// renewal is the outcome of one renewal of the lease.
type renewal struct {
	sent time.Time
	err  error
}

// renewLeaseLoop renews the lease until it ends. It does not wait for the answer of a renewal
// before it sends the next one, since that answer may take longer than the lease, and soon
// repeats one that failed, unless the next one is due before.
func (e *Entry) renewLeaseLoop(ctx context.Context, id uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	interval := e.lease.ttl / renewalsPerLease
	timer := time.NewTimer(interval)
	defer timer.Stop()
	next := time.Now().Add(interval)
	answered := make(chan renewal)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(interval)
			next = time.Now().Add(interval)
			go e.renewLease(ctx, id, answered)
		case r := <-answered:
			if !e.handleRenewal(id, r) {
				return
			}
			repeat := time.Now().Add(storeBackoff)
			if r.err != nil && repeat.Before(next) {
				timer.Reset(storeBackoff)
				next = repeat
			}
		}
	}
}

// renewLease renews the lease once. Its answer is of no use later than the lease lasts.
func (e *Entry) renewLease(ctx context.Context, id uint64, answered chan<- renewal) {
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, e.lease.ttl)
	defer cancel()
	err := e.store.RenewLease(callCtx, id)
	select {
	case answered <- renewal{sent, err}:
	case <-ctx.Done():
	}
}

// handleRenewal records the outcome of a renewal. It returns false if the lease has ended.
func (e *Entry) handleRenewal(id uint64, r renewal) bool {
	switch {
	case e.lease.currentID() != id:
		return false // revoked at a planned stop
	case eris.Is(r.err, store.ErrLeaseLapsed):
		e.retire("lease lapsed")
		return false
	case r.err == nil:
		e.lease.recordRenewal(r.sent)
	}
	e.recordStoreResult(r.err)
	return true
}

// watchForPauses retires the incarnation when its lease was lost by a pause of the process.
func (e *Entry) watchForPauses(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !e.lease.tick(time.Now()) {
			e.retire("paused for longer than the lease")
			return
		}
	}
}

// retire ends this incarnation: it no longer acts under its lease, and its jobs in
// progress end with a MayHaveRun error.
func (e *Entry) retire(cause string) {
	e.lease.markLost()
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

// announceDraining marks the entry as draining in the roster. The mark is repeated until it is
// answered, at most for leaveTimeout: without it, others take the end of the entry for a loss.
func (e *Entry) announceDraining(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	data, err := e.encodeRosterEntry(true)
	if err != nil {
		return
	}
	e.lease.mu.Lock()
	id := e.lease.id
	writer := store.Writer{Store: e.store, Key: e.lease.key, Revision: e.lease.version}
	e.lease.mu.Unlock()
	if writer.Key == "" {
		return // not registered yet
	}
	e.retry(ctx, func(ctx context.Context) error { return writer.Write(ctx, data, id) })
}

// unregister removes a stopping entry from the roster by revoking its lease, under which no
// earlier write can be executed then.
func (e *Entry) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if id := e.lease.currentID(); id != 0 {
		e.lease.setID(0)
		e.retry(ctx, func(ctx context.Context) error { return e.store.RevokeLease(ctx, id) })
	}
}
