package jobs

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/dispatch"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Dispatcher runs the tasks of jobs.
type Dispatcher interface {
	Submit([]*dispatch.Task) *verdict.Error
	Cancel([]*dispatch.Task, verdict.Reason)
	Resume(tasks []*dispatch.Task, kept []dispatch.AdoptedAttempt, generation uint32)
	HandleResult(target string, r *peerv1.Result)
}

// Job is one submission and its answer.
type Job struct {
	id          ticket.ID
	fingerprint uint64
	dispatcher  Dispatcher
	// expires is when the ticket does; set before the job is shared.
	expires time.Time
	// counted is set when the answer counts against the memory; guarded by the
	// table's lock.
	counted bool

	mu        sync.Mutex
	tasks     []*dispatch.Task
	results   [][]byte
	remaining int
	// failure is the first error; the job has failed once all tasks have ended.
	failure *verdict.Error
	// strongest is the strongest verdict of all ended tasks.
	strongest verdict.Verdict
	answer    *apiv1.Answer
	timer     *time.Timer
	done      chan struct{}
}

func newJob(id ticket.ID, fingerprint uint64, d Dispatcher) *Job {
	return &Job{
		id:          id,
		fingerprint: fingerprint,
		dispatcher:  d,
		strongest:   verdict.NotRun,
		done:        make(chan struct{}),
	}
}

// start submits the job's tasks, or takes over those of an adopted job. A refusal
// ends the job at once.
func (j *Job) start(r *apiv1.SubmitRequest, adopted *Adopted) *verdict.Error {
	deadline := time.Now().Add(time.Duration(r.GetDeadlineMs()) * time.Millisecond)
	tasks := make([]*dispatch.Task, len(r.GetTasks()))
	for i, spec := range r.GetTasks() {
		tasks[i] = &dispatch.Task{
			ID:         j.id,
			Index:      uint32(i),
			JobTasks:   uint32(len(tasks)),
			Department: r.GetDepartment(),
			Owner:      r.GetOwner(),
			Spec:       spec,
			Deadline:   deadline,
			Expires:    j.expires,
			Done:       func(o dispatch.Outcome) { j.taskEnded(i, o) },
		}
	}
	j.mu.Lock()
	if j.answer != nil { // abandoned before its start
		j.mu.Unlock()
		return nil
	}
	j.tasks = tasks
	j.results = make([][]byte, len(tasks))
	j.remaining = len(tasks)
	j.timer = time.AfterFunc(time.Until(deadline), func() {
		j.Fail(verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_DEADLINE_EXCEEDED, "deadline of %d ms passed", r.GetDeadlineMs()))
	})
	j.mu.Unlock()
	err := j.begin(adopted, tasks)
	if err != nil {
		j.refuse(err)
	}
	return err
}

func (j *Job) begin(adopted *Adopted, tasks []*dispatch.Task) *verdict.Error {
	if adopted == nil || adopted.HandedOver {
		return j.dispatcher.Submit(tasks)
	}
	return j.resume(adopted, tasks)
}

func (j *Job) refuse(err *verdict.Error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer == nil {
		j.failure = err
		j.strongest = verdict.Worst(j.strongest, err.Verdict)
		j.end()
	}
}

// abandon ends the job with an error without a word to the agents, since another
// entry may take its tasks over.
func (j *Job) abandon(err *verdict.Error) {
	j.refuse(err)
}

// taskEnded records the outcome of one task. The first failure cancels the
// other tasks.
func (j *Job) taskEnded(index int, o dispatch.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer != nil {
		return
	}
	j.remaining--
	if o.Err == nil {
		j.results[index] = o.Output
		j.strongest = verdict.Ran
	} else {
		j.strongest = verdict.Worst(j.strongest, o.Err.Verdict)
		j.failLocked(o.Err)
	}
	if j.remaining == 0 {
		j.end()
	}
}

// Fail ends the job with an error once its tasks have been cancelled. A job
// that has ended is not changed.
func (j *Job) Fail(err *verdict.Error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer == nil {
		j.failLocked(err)
	}
}

func (j *Job) failLocked(err *verdict.Error) {
	if j.failure != nil {
		return
	}
	j.failure = err
	// Cancel reports outcomes through taskEnded, which needs j.mu.
	go j.dispatcher.Cancel(j.tasks, err.Reason)
}

// end composes the answer; the caller holds j.mu.
func (j *Job) end() {
	if j.timer != nil {
		j.timer.Stop()
	}
	j.answer = j.compose()
	j.tasks, j.results = nil, nil
	close(j.done)
}

func (j *Job) compose() *apiv1.Answer {
	if j.failure != nil {
		failure := j.failure.Failure()
		failure.Verdict = j.strongest
		return &apiv1.Answer{State: apiv1.JobState_JOB_STATE_FAILED, Failure: failure, Home: j.id.Home}
	}
	a := &apiv1.Answer{State: apiv1.JobState_JOB_STATE_COMPLETE, Home: j.id.Home}
	for i, output := range j.results {
		a.Results = append(a.Results, &apiv1.TaskResult{Index: uint32(i), Output: output})
	}
	return a
}

// Wait returns the answer, or the running state when ctx ends first.
func (j *Job) Wait(ctx context.Context) *apiv1.Answer {
	select {
	case <-j.done:
	case <-ctx.Done():
	}
	return j.Answer()
}

// Answer returns the answer, or the running state.
func (j *Job) Answer() *apiv1.Answer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer != nil {
		return j.answer
	}
	return &apiv1.Answer{State: apiv1.JobState_JOB_STATE_RUNNING, Home: j.id.Home}
}
