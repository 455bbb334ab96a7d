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
	// expires is when the ticket expires. It is set before the job is shared.
	expires time.Time
	// charged is set when the answer counts against the memory limit. It is guarded by
	// the table's lock.
	charged bool

	mu        sync.Mutex
	tasks     []*dispatch.Task
	results   [][]byte
	tasksLeft int // tasks that have not ended
	// failure is the first error. The job has failed once all tasks have ended.
	failure *verdict.Error
	// worstVerdict is the worst verdict of all ended tasks.
	worstVerdict verdict.Verdict
	answer       *apiv1.Answer
	// refusal is set if the job was refused when it started. Such a job is not remembered.
	refusal *verdict.Error
	timer   *time.Timer
	done    chan struct{}
}

func newJob(id ticket.ID, fingerprint uint64, d Dispatcher) *Job {
	return &Job{
		id:           id,
		fingerprint:  fingerprint,
		dispatcher:   d,
		worstVerdict: verdict.NotRun,
		done:         make(chan struct{}),
	}
}

// newCancelledJob returns a job that was cancelled before its first submission.
func newCancelledJob(id ticket.ID) *Job {
	j := newJob(id, anyFingerprint, nil)
	j.failNow(verdict.NotRunError(apiv1.Reason_REASON_CANCELLED, "cancelled before its submission"))
	return j
}

// start submits the tasks of the job, or takes over those of an adopted job. If that is
// refused, the job ends at once.
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
	j.tasksLeft = len(tasks)
	j.timer = time.AfterFunc(time.Until(deadline), func() {
		j.Fail(verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_DEADLINE_EXCEEDED, "deadline of %d ms passed", r.GetDeadlineMs()))
	})
	j.mu.Unlock()
	err := j.dispatchTasks(adopted, tasks)
	switch {
	case err == nil:
	case err.Verdict == verdict.NotRun:
		j.refuse(err)
	default:
		j.failNow(err)
	}
	return err
}

// refuse ends a job of which no task was accepted.
func (j *Job) refuse(err *verdict.Error) {
	j.mu.Lock()
	j.refusal = err
	j.mu.Unlock()
	j.failNow(err)
}

func (j *Job) dispatchTasks(adopted *Adopted, tasks []*dispatch.Task) *verdict.Error {
	if adopted == nil || adopted.HandedOver {
		return j.dispatcher.Submit(tasks)
	}
	return j.resume(adopted, tasks)
}

func (j *Job) failNow(err *verdict.Error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer == nil {
		j.failure = err
		j.worstVerdict = verdict.Worst(j.worstVerdict, err.Verdict)
		j.finish()
	}
}

// abandon ends the job with an error without cancelling its tasks at the agents, because
// another entry may take them over.
func (j *Job) abandon(err *verdict.Error) {
	j.failNow(err)
}

// taskEnded records the outcome of one task. The first failure cancels the
// other tasks.
func (j *Job) taskEnded(index int, o dispatch.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer != nil {
		return
	}
	j.tasksLeft--
	if o.Err == nil {
		j.results[index] = o.Output
		j.worstVerdict = verdict.Ran
	} else {
		j.worstVerdict = verdict.Worst(j.worstVerdict, o.Err.Verdict)
		j.failLocked(o.Err)
	}
	if j.tasksLeft == 0 {
		j.finish()
	}
}

// Fail cancels the tasks of the job, which ends with the error once they have ended. A
// job that has already ended does not change.
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
	// Cancel reports outcomes to taskEnded, which locks j.mu.
	go j.dispatcher.Cancel(j.tasks, err.Reason)
}

// finish builds the answer and releases the tasks. The caller holds j.mu.
func (j *Job) finish() {
	if j.timer != nil {
		j.timer.Stop()
	}
	j.answer = j.buildAnswer()
	j.tasks, j.results = nil, nil
	close(j.done)
}

func (j *Job) buildAnswer() *apiv1.Answer {
	if j.failure != nil {
		failure := j.failure.Failure()
		failure.Verdict = j.worstVerdict
		return &apiv1.Answer{State: apiv1.JobState_JOB_STATE_FAILED, Failure: failure, Home: j.id.Home}
	}
	a := &apiv1.Answer{State: apiv1.JobState_JOB_STATE_COMPLETE, Home: j.id.Home}
	for i, output := range j.results {
		a.Results = append(a.Results, &apiv1.TaskResult{Index: uint32(i), Output: output})
	}
	return a
}

// Wait returns the answer, or the running state when ctx ends first. The error is the refusal
// of a job that is not remembered, so that a later submission may start it.
func (j *Job) Wait(ctx context.Context) (*apiv1.Answer, *verdict.Error) {
	select {
	case <-j.done:
	case <-ctx.Done():
	}
	return j.Result()
}

// Result returns the answer, the running state while there is none, or the refusal.
func (j *Job) Result() (*apiv1.Answer, *verdict.Error) {
	j.mu.Lock()
	refusal := j.refusal
	j.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	return j.Answer(), nil
}

// Answer returns the answer, or the running state while there is none.
func (j *Job) Answer() *apiv1.Answer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.answer != nil {
		return j.answer
	}
	return &apiv1.Answer{State: apiv1.JobState_JOB_STATE_RUNNING, Home: j.id.Home}
}
