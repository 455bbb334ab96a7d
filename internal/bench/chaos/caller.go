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

// Parameters of the jobs and of the callers that submit them.
const (
	maxTasks = 4
	minRun   = 20 * time.Millisecond
	maxRun   = 80 * time.Millisecond
	// One job in longJobOneIn has tasks that run longer by longFactor.
	longJobOneIn = 20
	longFactor   = 12
	jobDeadline  = 10 * time.Second
	// callerTimeout bounds the time in which a caller submits its job, resubmissions
	// included.
	callerTimeout = 12 * time.Second
	// requestTimeout bounds one submission.
	requestTimeout = 6 * time.Second
	// resubmitInterval is the time before a caller repeats a submission or a ticket request.
	resubmitInterval = 200 * time.Millisecond
	// One caller in submitOnceOneIn does not resubmit its job.
	submitOnceOneIn = 5
)

// homePrefixBytes is the length of the ticket prefix that names the home, the incarnation
// that issued the ticket: one byte of version and eight of incarnation.
const homePrefixBytes = 1 + 8

// job is one job and the replies that its caller received.
type job struct {
	number     int
	owner      int
	repeatable bool
	submitOnce bool
	request    client.Job
	random     *rand.Rand

	// issuerEntry is the index of the entry that issued the ticket.
	issuerEntry int
	// homeFirstUsed is when the first ticket of the same home was used.
	homeFirstUsed time.Time
	firstSubmit   time.Time
	firstReply    time.Time
	replies       []reply
}

// reply is the outcome of one submission. Its error is what the entry answered to this one, so
// that each verdict of an entry is checked.
type reply struct {
	sentAt     time.Time
	receivedAt time.Time
	answer     *apiv1.Answer
	err        *verdict.Error
}

func newJob(number int, random *rand.Rand) *job {
	j := &job{
		number:     number,
		owner:      random.IntN(owners),
		repeatable: random.IntN(2) == 0,
		submitOnce: random.IntN(submitOnceOneIn) == 0,
		random:     rand.New(rand.NewPCG(random.Uint64(), 0)),
		request:    client.Job{Label: fmt.Sprintf("job-%d", number), Deadline: jobDeadline},
	}
	factor := time.Duration(1)
	if random.IntN(longJobOneIn) == 0 {
		factor = longFactor
	}
	for i := range 1 + random.IntN(maxTasks) {
		run := factor * randomDuration(random, minRun, maxRun)
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

// call submits a job through a random entry, and resubmits it through random entries
// while its outcome is unknown.
func (r *run) call(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	ticket := r.fetchTicket(ctx, j)
	if ticket == nil {
		return
	}
	j.firstSubmit = time.Now()
	j.homeFirstUsed = r.homeFirstUse(ticket, j.firstSubmit)
	for {
		last := r.submit(ctx, j, ticket)
		if j.submitOnce || !shouldResubmit(last) || !sleep(ctx, resubmitInterval) {
			return
		}
	}
}

// fetchTicket requests a ticket from random entries until one issues it, or returns nil
// when ctx ends.
func (r *run) fetchTicket(ctx context.Context, j *job) []byte {
	for {
		j.issuerEntry = j.random.IntN(len(r.fleet.Entries))
		requestCtx, cancel := context.WithTimeout(ctx, time.Second)
		ticket, err := r.clients[j.owner][j.issuerEntry].Ticket(requestCtx)
		cancel()
		if err == nil {
			return ticket
		}
		if !sleep(ctx, resubmitInterval) {
			return nil
		}
	}
}

// homeFirstUse returns when a ticket of the same home was first used, which is now when
// there was none.
func (r *run) homeFirstUse(ticket []byte, now time.Time) time.Time {
	home := string(ticket[:homePrefixBytes])
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.homeFirstUses[home]; !ok {
		r.homeFirstUses[home] = now
	}
	return r.homeFirstUses[home]
}

// submit submits a job through a random entry and records the reply. A ticket whose home
// is lost is discarded.
func (r *run) submit(ctx context.Context, j *job, ticket []byte) reply {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	via := j.random.IntN(len(r.fleet.Entries))
	next := reply{sentAt: time.Now()}
	answer, err := r.clients[j.owner][via].Resubmit(ctx, ticket, j.request)
	next.answer, next.err, next.receivedAt = answer, verdict.FromError(err).LastTry(), time.Now()
	if len(j.replies) == 0 {
		j.firstReply = next.receivedAt
	}
	j.replies = append(j.replies, next)
	if next.err != nil && next.err.Reason == apiv1.Reason_REASON_HOME_LOST {
		r.clients[j.owner][j.issuerEntry].Discard(ticket)
	}
	return next
}

// shouldResubmit reports whether another submission may return the answer of the job.
func shouldResubmit(last reply) bool {
	if last.err == nil {
		return last.answer.GetState() == apiv1.JobState_JOB_STATE_RUNNING
	}
	switch last.err.Reason {
	case apiv1.Reason_REASON_OUTCOME_UNKNOWN, apiv1.Reason_REASON_STORE_UNAVAILABLE, apiv1.Reason_REASON_STOPPING:
		return true
	case apiv1.Reason_REASON_HOME_LOST:
		// With an answer the outcome is final; a refusal without one is not.
		return last.answer == nil
	default:
		return false
	}
}

// isComplete reports whether a reply was the complete answer of the job.
func (j *job) isComplete() bool {
	for _, r := range j.replies {
		if r.err == nil && r.answer.GetState() == apiv1.JobState_JOB_STATE_COMPLETE {
			return true
		}
	}
	return false
}
