package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// Shape of the jobs.
const (
	maxTasks = 4
	minRun   = 20 * time.Millisecond
	maxRun   = 80 * time.Millisecond
	// longShare is one job in so many whose tasks run longer by longFactor.
	longShare   = 20
	longFactor  = 12
	jobDeadline = 10 * time.Second
	// patience is how long a caller goes on submitting its job.
	patience = 12 * time.Second
	// callTimeout is how long a caller waits for one answer.
	callTimeout = 6 * time.Second
	// askAgain is the time between the submissions of a job.
	askAgain = 200 * time.Millisecond
	// onceShare is one caller in so many that does not submit again.
	onceShare = 5
)

// homeEnd is the size of a ticket's version and home in bytes.
const homeEnd = 1 + 8

// job is one job and what its caller saw.
type job struct {
	number     int
	owner      int
	repeatable bool
	once       bool
	request    client.Job
	random     *rand.Rand

	issuer  int       // entry that issued the ticket
	fetched time.Time // of the first ticket of the same home
	began   time.Time
	first   time.Time // of the first answer
	replies []reply
}

type reply struct {
	sent   time.Time
	at     time.Time
	answer *apiv1.Answer
	err    *verdict.Error
}

func newJob(number int, random *rand.Rand) *job {
	j := &job{
		number:     number,
		owner:      random.IntN(owners),
		repeatable: random.IntN(2) == 0,
		once:       random.IntN(onceShare) == 0,
		random:     rand.New(rand.NewPCG(random.Uint64(), 0)),
		request:    client.Job{Label: fmt.Sprintf("job-%d", number), Deadline: jobDeadline},
	}
	factor := time.Duration(1)
	if random.IntN(longShare) == 0 {
		factor = longFactor
	}
	for i := range 1 + random.IntN(maxTasks) {
		run := factor * between(random, minRun, maxRun)
		payload, _ := json.Marshal(standintarget.Payload{Task: j.taskName(i), RunMS: int(run.Milliseconds())})
		j.request.Tasks = append(j.request.Tasks, &apiv1.Task{
			Kind:       "chaos",
			Size:       &apiv1.Size{Cpus: 1, MemoryMb: 512},
			RunMs:      uint32(run.Milliseconds()),
			Payload:    payload,
			Repeatable: j.repeatable,
		})
	}
	return j
}

func (j *job) taskName(task int) string { return fmt.Sprintf("%d/%d", j.number, task) }

// call submits a job, and submits it again through entries at random while its
// outcome is unknown.
func (r *run) call(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	ticket := r.ticket(ctx, j)
	if ticket == nil {
		return
	}
	j.began = time.Now()
	j.fetched = r.firstSeen(ticket, j.began)
	for {
		last := r.submit(ctx, j, ticket)
		if j.once || !isOpen(last) || !sleep(ctx, askAgain) {
			return
		}
	}
}

// ticket asks entries at random until one issues a ticket.
func (r *run) ticket(ctx context.Context, j *job) []byte {
	for {
		j.issuer = j.random.IntN(len(r.fleet.Entries))
		asking, cancel := context.WithTimeout(ctx, time.Second)
		ticket, err := r.clients[j.owner][j.issuer].Ticket(asking)
		cancel()
		if err == nil {
			return ticket
		}
		if !sleep(ctx, askAgain) {
			return nil
		}
	}
}

// firstSeen returns when a ticket of the same home was first used.
func (r *run) firstSeen(ticket []byte, now time.Time) time.Time {
	home := string(ticket[:homeEnd])
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.homes[home]; !ok {
		r.homes[home] = now
	}
	return r.homes[home]
}

func (r *run) submit(ctx context.Context, j *job, ticket []byte) reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	via := j.random.IntN(len(r.fleet.Entries))
	next := reply{sent: time.Now()}
	answer, err := r.clients[j.owner][via].Resubmit(ctx, ticket, j.request)
	next.answer, next.err, next.at = answer, verdict.FromError(err), time.Now()
	if len(j.replies) == 0 {
		j.first = next.at
	}
	j.replies = append(j.replies, next)
	if next.err != nil && next.err.Reason == apiv1.Reason_REASON_HOME_LOST {
		r.clients[j.owner][j.issuer].Discard(ticket)
	}
	return next
}

// isOpen reports whether another submission may bring the answer.
func isOpen(last reply) bool {
	if last.err == nil {
		return last.answer.GetState() == apiv1.JobState_JOB_STATE_RUNNING
	}
	switch last.err.Reason {
	case apiv1.Reason_REASON_OUTCOME_UNKNOWN, apiv1.Reason_REASON_STORE_UNAVAILABLE, apiv1.Reason_REASON_STOPPING:
		return true
	case apiv1.Reason_REASON_HOME_LOST:
		// An answer is final; a refusal is not.
		return last.answer == nil
	default:
		return false
	}
}

func (j *job) isComplete() bool {
	for _, r := range j.replies {
		if r.err == nil && r.answer.GetState() == apiv1.JobState_JOB_STATE_COMPLETE {
			return true
		}
	}
	return false
}
