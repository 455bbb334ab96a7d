package model

import (
	"sync/atomic"
	"time"

	scheduling "github.com/rosemarybay/rosemarybay/internal/process/scheduler"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

// call simulates a caller. It submits a job to an entry, and to the next one after resendDelay if
// its connection was reset, or after callerRetry if the entry is dead or the job did not finish.
// Each third caller also does so after requestTimeout without an answer.
func (sim *simulation) call(id string, tasks, first int) {
	deadline := time.Now().Add(callerTimeout)
	patience := callerTimeout
	if first%3 == 0 {
		patience = requestTimeout
	}
	for try := first; time.Now().Before(deadline); try++ {
		r := &request{
			sim: sim, entry: sim.entries[try%len(sim.entries)], queue: sim.queues[first%queues], id: id, tasks: tasks,
			timeout: min(patience, time.Until(deadline)), left: make(chan struct{}),
		}
		switch r.send() {
		case answered:
			return
		case connectionReset:
			time.Sleep(resendDelay)
		default:
			time.Sleep(callerRetry)
		}
	}
}

// ending is how a request has ended for its caller.
type ending int

const (
	// failed: without a final answer, or with that of a job that did not finish.
	failed ending = iota
	answered
	// connectionReset: the caller repeats its request after resendDelay.
	connectionReset
)

const (
	// resendDelay is how long a caller whose connection is reset takes until its request is at
	// another entry.
	resendDelay = 2 * time.Millisecond
	// resetDetection is how long an entry takes to notice that a caller's connection was reset.
	resetDetection = 10 * time.Millisecond
)

// request is one request of a caller, sent to one entry.
type request struct {
	sim   *simulation
	entry *entry
	queue *policy.Queue
	id    string
	tasks int
	// timeout is how long the caller waits. The entry counts it from when it reads the request.
	timeout time.Duration
	// left is closed once the caller no longer waits.
	left chan struct{}
	// wasReset is set before left is closed if the connection was reset.
	wasReset atomic.Bool
}

// send sends the request and waits.
func (r *request) send() ending {
	number, alive, _ := r.entry.state()
	if !alive {
		return failed
	}
	r.entry.mu.Lock()
	died, reset, scheduler, same := r.entry.died, r.entry.callerReset, r.entry.scheduler, r.entry.number == number
	r.entry.mu.Unlock()
	if !same {
		return failed
	}
	defer close(r.left)
	answers := make(chan scheduling.Answer, 1)
	go r.read(number, scheduler, answers)
	select {
	case a := <-answers:
		if a.State != unfinished {
			return answered
		}
		return failed
	case <-reset:
		r.wasReset.Store(true)
		return connectionReset
	case <-died:
		return failed
	case <-time.After(r.timeout):
		return failed
	}
}

// read submits the request once the entry is not paused, also if the caller has left meanwhile,
// and withdraws it when the entry notices that the caller has left.
func (r *request) read(number int, s *scheduling.Scheduler, answers chan<- scheduling.Answer) {
	_, _, pauseLeft := r.entry.state()
	if !r.entry.waitRunnable(number) {
		return
	}
	if pauseLeft > 0 {
		time.Sleep(r.sim.checker.runTime(task.Key{Job: r.id}) % maxBacklogTime)
	}
	r.sim.checker.submitted(r.id)
	now := time.Now()
	answer, cancel := s.Submit(&task.Job{
		ID:       r.id,
		Queue:    r.queue.Name,
		Steps:    []task.Step{{Count: r.tasks, Need: task.Resources{CPU: 1000}, Estimate: 300 * time.Millisecond}},
		Arrived:  now,
		Deadline: now.Add(r.timeout),
	}, r.queue, r.isConnected)
	select {
	case a := <-answer:
		r.sim.checker.answered(r.id, a)
		answers <- a
	case <-r.left:
		if r.wasReset.Load() {
			time.Sleep(resetDetection)
		} else {
			time.Sleep(disconnectInterval)
		}
		if r.entry.waitRunnable(number) {
			cancel()
		}
	}
}

// isConnected reports whether the caller still waits.
func (r *request) isConnected() bool {
	select {
	case <-r.left:
		return false
	default:
		return true
	}
}
