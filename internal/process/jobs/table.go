// Package jobs holds the jobs of one entry incarnation: it issues tickets, joins
// resubmissions to the job of the same ticket and remembers answers until their tickets
// expire.
package jobs

import (
	"hash/fnv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Limits of a submission.
const (
	MaxTasks        = 460
	MaxTicketBatch  = 1000
	MaxPayloadBytes = 64 << 10
	MaxNameBytes    = 256
	MaxDeadline     = 10 * time.Minute
)

// DefaultMemoryBytes is the default memory limit for remembered answers.
const DefaultMemoryBytes = 256 << 20

const expireInterval = time.Second

// Table holds the jobs of one entry incarnation.
type Table struct {
	home       uint64
	key        ticket.Key
	lifetime   time.Duration
	dispatcher Dispatcher
	counters   *metrics.Counters
	memory     *MemoryLimit
	// adopted is set if the table holds the tickets of another incarnation.
	adopted *Adopted

	mu          sync.Mutex
	sequence    uint64
	jobs        map[ticket.ID]*Job
	idsByExpiry map[int64][]ticket.ID // by second of expiry
	running     int
	closed      bool
}

// NewTable returns an empty table. Its tickets are valid for lifetime.
func NewTable(home uint64, key ticket.Key, lifetime time.Duration, d Dispatcher, c *metrics.Counters) *Table {
	return &Table{
		home:        home,
		key:         key,
		lifetime:    lifetime,
		dispatcher:  d,
		counters:    c,
		memory:      NewMemoryLimit(DefaultMemoryBytes),
		jobs:        make(map[ticket.ID]*Job),
		idsByExpiry: make(map[int64][]ticket.ID),
	}
}

// Lifetime returns how long a ticket is valid.
func (t *Table) Lifetime() time.Duration { return t.lifetime }

// Issue returns n signed tickets for one owner.
func (t *Table) Issue(department, owner string, n int) [][]byte {
	t.mu.Lock()
	first := t.sequence + 1
	t.sequence += uint64(n)
	t.mu.Unlock()
	expires := time.Now().Add(t.lifetime)
	tickets := make([][]byte, n)
	for i := range tickets {
		id := ticket.ID{Home: t.home, Sequence: first + uint64(i)}
		tickets[i] = t.key.Encode(ticket.Ticket{ID: id, Expires: expires}, department, owner)
	}
	return tickets
}

// Decode decodes a ticket and verifies it for its owner.
func (t *Table) Decode(b []byte, department, owner string) (ticket.Ticket, *verdict.Error) {
	return t.key.Decode(b, department, owner)
}

// Submit starts the job of a ticket of this home, or returns the job that an earlier
// submission of the ticket started. admit is called only for a ticket that was not
// submitted before. A refused job is removed, so that its ticket can be submitted again; its
// refusal is NotRun only if no earlier submission of the ticket has run.
func (t *Table) Submit(tk ticket.Ticket, r *apiv1.SubmitRequest, admit func() *verdict.Error) (*Job, *verdict.Error) {
	hash := fingerprint(r)
	t.mu.Lock()
	if j, ok := t.jobs[tk.ID]; ok {
		t.mu.Unlock()
		return t.join(j, hash)
	}
	if !time.Now().Before(tk.Expires) {
		t.mu.Unlock()
		return nil, verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_TICKET_EXPIRED, "ticket expired at %s", tk.Expires.UTC().Format(time.RFC3339))
	}
	if err := t.admit(admit); err != nil {
		t.mu.Unlock()
		return nil, t.refusal(err)
	}
	j := newJob(tk.ID, hash, t.dispatcher)
	j.expires = tk.Expires
	t.insert(j)
	t.running++
	t.mu.Unlock()
	if err := j.start(r, t.adopted); err != nil {
		return t.handleRefusal(j, err)
	}
	go t.awaitDone(j)
	return j, nil
}

// admit checks whether a ticket that was not submitted before may start a job. The caller
// holds t.mu.
func (t *Table) admit(admit func() *verdict.Error) *verdict.Error {
	if err := t.checkCapacity(); err != nil {
		return err
	}
	return admit()
}

// checkCapacity checks whether the table may take one more job. The caller holds t.mu.
func (t *Table) checkCapacity() *verdict.Error {
	if t.closed {
		// The entry that takes over the tickets may have started the job.
		return verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_STOPPING, "entry is stopping")
	}
	if t.memory.isFull() {
		return verdict.NotRunError(apiv1.Reason_REASON_OVERLOAD, "remembered answers take up %d bytes", t.memory.Used())
	}
	return nil
}

// refusal returns the error of a submission that starts no job.
func (t *Table) refusal(err *verdict.Error) *verdict.Error {
	if t.knowsAllJobs() {
		return err
	}
	refusal := *err
	refusal.Verdict = verdict.Worst(refusal.Verdict, verdict.MayHaveRun)
	return &refusal
}

// knowsAllJobs reports whether a ticket without a job in the table has started nothing. The
// table of a lost home does not know what its home had started.
func (t *Table) knowsAllJobs() bool { return t.adopted == nil || t.adopted.HandedOver }

// insert adds a job. The caller holds t.mu.
func (t *Table) insert(j *Job) {
	t.jobs[j.id] = j
	second := j.expires.Unix()
	t.idsByExpiry[second] = append(t.idsByExpiry[second], j.id)
}

// handleRefusal removes a refused job that has not run. A job that may have run is kept.
func (t *Table) handleRefusal(j *Job, err *verdict.Error) (*Job, *verdict.Error) {
	if err.Verdict != verdict.NotRun {
		go t.awaitDone(j)
		return j, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.jobs, j.id)
	t.running--
	return nil, err
}

func (t *Table) awaitDone(j *Job) {
	<-j.done
	t.mu.Lock()
	t.running--
	if t.jobs[j.id] == j {
		t.chargeMemory(j)
	}
	t.mu.Unlock()
	if f := j.Answer().GetFailure(); f != nil {
		t.counters.Counter("jobs_failed").Inc(1)
		return
	}
	t.counters.Counter("jobs_complete").Inc(1)
}

// join returns the job of an earlier submission, which must have had the same tasks.
func (t *Table) join(j *Job, fingerprint uint64) (*Job, *verdict.Error) {
	t.counters.Counter("jobs_joined").Inc(1)
	if j.fingerprint != anyFingerprint && j.fingerprint != fingerprint {
		return nil, verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_INVALID_ARGUMENT, "ticket was submitted before with other tasks")
	}
	return j, nil
}

// Get returns the job of a ticket of this home.
func (t *Table) Get(tk ticket.Ticket) (*Job, *verdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(tk)
}

func (t *Table) get(tk ticket.Ticket) (*Job, *verdict.Error) {
	if j, ok := t.jobs[tk.ID]; ok {
		return j, nil
	}
	if !time.Now().Before(tk.Expires) {
		return nil, verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_TICKET_EXPIRED, "ticket has expired")
	}
	if !t.knowsAllJobs() {
		return nil, verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_HOME_LOST, "the home of the ticket is lost; submit the job again for its answer")
	}
	return nil, verdict.NotRunError(apiv1.Reason_REASON_JOB_UNKNOWN, "ticket was never submitted")
}

// Cancel cancels the job of a ticket. A ticket that was not submitted gets a cancelled job, so
// that a submission that arrives later starts nothing.
func (t *Table) Cancel(tk ticket.Ticket) (*Job, *verdict.Error) {
	j, err := t.findOrAddCancelled(tk)
	if err == nil {
		j.Fail(verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_CANCELLED, "cancelled by its caller"))
	}
	return j, err
}

func (t *Table) findOrAddCancelled(tk ticket.Ticket) (*Job, *verdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j, err := t.get(tk)
	if err == nil || err.Reason != apiv1.Reason_REASON_JOB_UNKNOWN {
		return j, err
	}
	if err := t.checkCapacity(); err != nil {
		// A submission without an answer may still arrive.
		err.Verdict = verdict.MayHaveRun
		return nil, err
	}
	j = newCancelledJob(tk.ID)
	j.expires = tk.Expires
	t.insert(j)
	t.chargeMemory(j)
	return j, nil
}

// Close makes the table refuse new jobs. Resubmissions still return the job of their
// ticket.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Abandon closes the table and ends its jobs in progress with a MayHaveRun error, without
// cancelling their tasks at the agents.
func (t *Table) Abandon(reason verdict.Reason, message string) {
	t.mu.Lock()
	t.closed = true
	list := make([]*Job, 0, len(t.jobs))
	for _, j := range t.jobs {
		list = append(list, j)
	}
	t.mu.Unlock()
	for _, j := range list {
		j.abandon(verdict.New(verdict.MayHaveRun, reason, "%s", message))
	}
}

// Running returns the number of jobs without an answer.
func (t *Table) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// anyFingerprint is the fingerprint of a job that was cancelled before its first submission.
const anyFingerprint = 0

// fingerprint returns a hash of the tasks, which a resubmission must repeat. It is the
// same at every entry.
func fingerprint(r *apiv1.SubmitRequest) uint64 {
	h := fnv.New64a()
	var buffer []byte
	for _, task := range r.GetTasks() {
		buffer, _ = proto.MarshalOptions{Deterministic: true}.MarshalAppend(buffer[:0], task)
		buffer = append(buffer, 0)
		_, _ = h.Write(buffer)
	}
	return h.Sum64()
}

// Expire removes the jobs of expired tickets periodically until stop is closed.
func (t *Table) Expire(stop <-chan struct{}) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			t.expire(now.Unix())
		}
	}
}

func (t *Table) expire(now int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for second, ids := range t.idsByExpiry {
		if second >= now {
			continue
		}
		for _, id := range ids {
			t.remove(id)
		}
		delete(t.idsByExpiry, second)
	}
}

// remove removes a job whose ticket has expired. The caller holds t.mu.
func (t *Table) remove(id ticket.ID) {
	j, ok := t.jobs[id]
	if !ok {
		return
	}
	delete(t.jobs, id)
	if j.charged {
		t.memory.add(-j.size())
	}
}

// chargeMemory counts an answer against the memory limit. The caller holds t.mu.
func (t *Table) chargeMemory(j *Job) {
	j.charged = true
	t.memory.add(j.size())
}
