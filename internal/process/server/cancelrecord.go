package server

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/scheduler"
	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
)

const (
	// cancelKeyPrefix is the prefix of the keys of entries with the cancellations that they have
	// acknowledged recently.
	cancelKeyPrefix = "rosemarybay/cancelled/"
	// cancelWriteInterval is the shortest time between two writes of an entry: all cancellations
	// in between share one.
	cancelWriteInterval = 100 * time.Millisecond
	// cancelStoreWait is how long an acknowledgement waits for the store. While the store is away,
	// a cancellation is known to the agents and entries only.
	cancelStoreWait = 500 * time.Millisecond
	// cancelRecordRetention is how long a cancellation stays in the record: a request of the job may
	// arrive again some seconds after its response.
	cancelRecordRetention = 30 * time.Second
	// maxRecordedCancels bounds the cancellations in the record, the newest of which stay;
	// maxUnknownRecorded is the number from which on those of jobs that are not known here are refused.
	maxRecordedCancels = 5000
	maxUnknownRecorded = maxRecordedCancels / 2
	// cancelAgentWait is how long an acknowledgement waits for an agent.
	cancelAgentWait = 3 * time.Second
)

// cancelRecord stores the cancellations that this entry acknowledges, so that they still hold if
// all processes lose power together. It wraps the scheduler as the receiver of cancellations.
type cancelRecord struct {
	*scheduler.Scheduler
	store    store.Store
	log      zerolog.Logger
	counters *metrics.Counters
	invalid  *eventlog.InvalidValues
	writer   store.Writer
	wake     chan struct{}
	// read is closed once the records of all entries have been read.
	read chan struct{}

	mu      sync.Mutex
	recent  []recordedCancel
	waiting []waitingCancel
}

// waitingCancel is an acknowledgement that waits for the store.
type waitingCancel struct {
	stored chan struct{}
	at     time.Time
}

// recordedCancel is a cancelled job, and when it was cancelled.
type recordedCancel struct {
	id string
	at time.Time
}

// storedCancels is the stored value.
type storedCancels struct {
	Jobs []string `json:"jobs"`
}

func newCancelRecord(s *scheduler.Scheduler, kv store.Store, p *Server) *cancelRecord {
	return &cancelRecord{
		Scheduler: s,
		store:     kv,
		log:       p.log,
		counters:  p.counters,
		invalid:   p.invalid,
		writer:    store.Writer{Store: kv, Key: cancelKeyPrefix + p.settings.Name},
		wake:      make(chan struct{}, 1),
		read:      make(chan struct{}),
	}
}

// Cancel cancels a job. recorded is closed once an agent has recorded the cancellation and it is
// stored, or the store has not answered in time. It is nil if the cancellation is refused, as there are
// too many of jobs that are not known here.
func (c *cancelRecord) Cancel(id string) (known bool, recorded <-chan struct{}) {
	if !c.Knows(id) && c.isFull(time.Now()) {
		c.counters.Counter("cancellations_refused").Inc(1)
		return false, nil
	}
	known, byAgent := c.Scheduler.Cancel(id)
	if byAgent == nil {
		return known, nil
	}
	stored := c.add(id, time.Now())
	both := make(chan struct{})
	go func() {
		select {
		case <-stored:
		case <-time.After(cancelStoreWait):
			c.counters.Counter("cancellations_unstored").Inc(1)
			c.log.Warn().Str("job", id).Msg("cancellation not stored in time")
		}
		select {
		case <-byAgent:
			close(both)
		case <-time.After(cancelAgentWait):
		}
	}()
	return known, both
}

// isFull reports whether the record has no place for cancellations of jobs that are not known here.
func (c *cancelRecord) isFull(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireLocked(now)
	return len(c.recent) >= maxUnknownRecorded
}

// expireLocked removes the cancellations that are too old or too many.
func (c *cancelRecord) expireLocked(now time.Time) {
	expired := 0
	for expired < len(c.recent) && now.Sub(c.recent[expired].at) > cancelRecordRetention {
		expired++
	}
	c.recent = c.recent[max(expired, len(c.recent)-maxRecordedCancels):]
}

// add adds a cancellation to the record. The channel returned is closed once it is stored.
func (c *cancelRecord) add(id string, now time.Time) <-chan struct{} {
	stored := make(chan struct{})
	c.mu.Lock()
	if !slices.ContainsFunc(c.recent, func(r recordedCancel) bool { return r.id == id }) {
		c.recent = append(c.recent, recordedCancel{id: id, at: now})
	}
	c.waiting = append(c.waiting, waitingCancel{stored: stored, at: now})
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return stored
}

// run reads the records of all entries, and then writes that of this entry after each cancellation.
func (c *cancelRecord) run(ctx context.Context) {
	c.load(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		if err := c.save(ctx, time.Now()); err != nil {
			c.log.Warn().Err(err).Str("key", c.writer.Key).Msg("cannot store cancellations")
			c.rewake()
		}
		sleep(ctx, cancelWriteInterval)
	}
}

// rewake has the record written again.
func (c *cancelRecord) rewake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// save writes the recent cancellations, and releases those that waited for it.
func (c *cancelRecord) save(ctx context.Context, now time.Time) error {
	c.mu.Lock()
	c.expireLocked(now)
	stored := storedCancels{Jobs: make([]string, 0, len(c.recent))}
	for _, r := range c.recent {
		stored.Jobs = append(stored.Jobs, r.id)
	}
	waiting := c.waiting
	c.waiting = nil
	c.mu.Unlock()
	data, err := json.Marshal(stored)
	if err == nil {
		err = c.writer.Write(ctx, data, 0)
	}
	if err != nil {
		c.mu.Lock()
		// Nobody waits for the earlier ones any more.
		waiting = slices.DeleteFunc(waiting, func(w waitingCancel) bool { return now.Sub(w.at) > cancelStoreWait })
		c.waiting = append(waiting, c.waiting...)
		c.mu.Unlock()
		return err
	}
	for _, w := range waiting {
		close(w.stored)
	}
	return nil
}

// load restores the cancellations that all entries have acknowledged.
func (c *cancelRecord) load(ctx context.Context) {
	if first, err := awaitListing(ctx, c.store, cancelKeyPrefix, c.log); err == nil {
		c.restore(first.listing)
		close(c.read)
	}
}

// isRead reports whether the records of all entries have been read.
func (c *cancelRecord) isRead() bool {
	select {
	case <-c.read:
		return true
	default:
		return false
	}
}

func (c *cancelRecord) restore(listing store.Listing) {
	recordUnreadable(c.invalid, cancelKeyPrefix, listing)
	var jobs []string
	for _, value := range listing.Values {
		if value.Key == c.writer.Key {
			c.writer.Revision = value.Revision
		}
		decoded, err := decodeCancels(value.Data)
		if err != nil {
			c.invalid.Record(value.Key, value.Revision, err)
			continue
		}
		jobs = append(jobs, decoded.Jobs...)
	}
	if len(jobs) == 0 {
		return
	}
	c.RestoreCancelled(jobs)
	c.log.Info().Int("jobs", len(jobs)).Msg("cancellations of earlier processes read")
}

func decodeCancels(data []byte) (storedCancels, error) {
	var stored storedCancels
	if err := json.Unmarshal(data, &stored); err != nil {
		return stored, eris.Wrap(err, "decode stored cancellations")
	}
	for _, id := range stored.Jobs {
		if err := bounds.CheckName("job ID", id); err != nil {
			return stored, err
		}
	}
	return stored, nil
}
