package model

import (
	"time"

	scheduling "github.com/rosemarybay/rosemarybay/internal/process/scheduler"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

// call simulates a caller. It submits a job to an entry, and to the next one after
// callerRetry if the connection breaks or the job did not finish. Each third caller also does so
// after requestTimeout without an answer.
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
		if r.send() {
			return
		}
		time.Sleep(callerRetry)
	}
}

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
}

// send sends the request and waits. It reports whether the caller has a final answer.
func (r *request) send() bool {
	number, alive, _ := r.entry.state()
	if !alive {
		return false
	}
	r.entry.mu.Lock()
	died, scheduler, same := r.entry.died, r.entry.scheduler, r.entry.number == number
	r.entry.mu.Unlock()
	if !same {
		return false
	}
	defer close(r.left)
	answered := make(chan scheduling.Answer, 1)
	go r.read(number, scheduler, answered)
	select {
	case a := <-answered:
		return a.State != unfinished
	case <-died:
		return false
	case <-time.After(r.timeout):
		return false
	}
}

// read submits the request once the entry is not paused, also if the caller has left meanwhile,
// and withdraws it when the entry notices that the caller has left.
func (r *request) read(number int, s *scheduling.Scheduler, answered chan<- scheduling.Answer) {
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
		answered <- a
	case <-r.left:
		time.Sleep(disconnectInterval)
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
