package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	cancelledJobs = 12
	// cancelBound is the bound cancel_ms of the small sites.
	cancelBound = 3 * time.Second
	// repeatAfter is how long after its 2xx response a submission arrives once more.
	repeatAfter = 6 * time.Second
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	jobDeadline  = 10 * time.Second
)

// cancelledThenKilled cancels jobs, kills all processes of the system at one moment, and repeats
// the submissions some seconds after their 2xx response.
func cancelledThenKilled(f *fleet, trouble bool) ([]string, error) {
	jobs := make([]*job, cancelledJobs)
	var clients sync.WaitGroup
	for i := range jobs {
		jobs[i] = newJob(2, 1500*time.Millisecond)
		clients.Go(func() { f.submit(jobs[i], i%zones, jobDeadline) })
		clients.Go(func() {
			time.Sleep(300 * time.Millisecond)
			f.cancel(jobs[i], i%zones)
		})
	}
	clients.Wait()
	for _, j := range jobs {
		if j.cancelledAt.IsZero() || j.status != 200 {
			return nil, errors.New("a job was not cancelled in calm times")
		}
	}
	time.Sleep(500 * time.Millisecond)
	var restartedAt time.Time
	if trouble {
		all := append(append([]*process{}, f.entries...), f.agents...)
		f.add("all processes of the system are killed")
		killAll(all)
		time.Sleep(restartDelay)
		if err := startAll(all); err != nil {
			return nil, err
		}
		restartedAt = time.Now()
		f.add("all processes of the system are started again")
	}
	for i, j := range jobs {
		clients.Go(func() {
			time.Sleep(time.Until(j.answeredAt.Add(repeatAfter)))
			f.submit(j, (i+1)%zones, jobDeadline)
		})
	}
	clients.Wait()
	return f.startedAfterCancel(jobs, restartedAt), nil
}

// startedAfterCancel returns the tasks that machines in touch started later than cancelBound
// after the acknowledgement of their job's cancelling.
func (f *fleet) startedAfterCancel(jobs []*job, restartedAt time.Time) []string {
	var broken []string
	for _, j := range jobs {
		for _, r := range f.ledger.Runs() {
			late := r.Started.Sub(j.cancelledAt)
			if r.Job() == j.id && late > cancelBound && r.Started.Sub(restartedAt) > contact {
				broken = append(broken, fmt.Sprintf("UNASKED: task %s started at %s, %.3f s after its job's cancelling was acknowledged",
					r.Task, r.Target, late.Seconds()))
			}
		}
	}
	return broken
}
