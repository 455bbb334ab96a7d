package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/platform/standin"
)

const (
	droppedJobs = 3
	// configBound is the bound config_apply_ms of the small sites, ackBound their ack_ms.
	configBound = 2 * time.Second
	ackBound    = 4 * time.Second
	// stopBound is their stop_ms.
	stopBound = 50 * time.Millisecond
	// longDeadline is how long the clients wait for jobs of four steps of longRun.
	longDeadline = 20 * time.Second
	// cancelInterval is the time between two tries of a client to cancel a job.
	cancelInterval = time.Second
)

// droppedQueue removes the queue of jobs in progress from the desired state, and has the clients
// cancel these jobs once the change is in force.
func droppedQueue(f *fleet, trouble bool) ([]string, error) {
	before, err := os.ReadFile("review/8/before.json")
	if err != nil {
		return nil, err
	}
	after, err := os.ReadFile("review/8/after.json")
	if err != nil {
		return nil, err
	}
	body, err := os.ReadFile("review/8/job.json")
	if err != nil {
		return nil, err
	}
	f.store.Put(standin.KeyConfig, before)
	time.Sleep(configBound + contact)
	var clients sync.WaitGroup
	jobs := make([]*job, droppedJobs)
	cancelled := make([]time.Time, droppedJobs)
	begun := time.Now()
	for i := range jobs {
		jobs[i] = newJob(1, 0)
		jobs[i].body = body
		clients.Go(func() { f.submit(jobs[i], i%zones, longDeadline) })
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.store.Put(standin.KeyConfig, after)
		f.add("the desired state without the queue is acknowledged")
	}
	time.Sleep(configBound + 500*time.Millisecond)
	for i := range jobs {
		cancelled[i] = time.Now()
		clients.Go(func() { f.cancelUntil(jobs[i], i%zones, begun.Add(longDeadline)) })
	}
	clients.Wait()
	return f.goesOnAfterCancel(jobs, cancelled), nil
}

// cancelUntil sends the cancelling of a job again and again, to one entry after the other, until it
// is acknowledged.
func (f *fleet) cancelUntil(j *job, entry int, end time.Time) {
	for j.cancelledAt.IsZero() && time.Now().Before(end) {
		f.cancelOnce(j, entry)
		entry = (entry + 1) % zones
		time.Sleep(cancelInterval)
	}
}

// goesOnAfterCancel returns the tasks that were started, or ran on, too long after their job's
// cancelling was acknowledged, or had waited ackBound for its acknowledgement in steady state.
func (f *fleet) goesOnAfterCancel(jobs []*job, sentAt []time.Time) []string {
	var broken []string
	for i, j := range jobs {
		from := sentAt[i].Add(ackBound)
		if !j.cancelledAt.IsZero() && j.cancelledAt.Before(from) {
			from = j.cancelledAt
		}
		for _, r := range f.ledger.Runs() {
			if r.Job() != j.id {
				continue
			}
			if late := r.Started.Sub(from); late > cancelBound {
				broken = append(broken, fmt.Sprintf("UNASKED: task %s started at %s, %.3f s after its job's cancelling was acknowledged or had waited %v for that",
					r.Task, r.Target, late.Seconds(), ackBound))
			} else if on := r.Ended.Sub(from); on > cancelBound+stopBound {
				broken = append(broken, fmt.Sprintf("UNASKED: task %s ran on at %s until %.3f s after its job's cancelling was acknowledged or had waited %v for that",
					r.Task, r.Target, on.Seconds(), ackBound))
			}
		}
	}
	return broken
}
