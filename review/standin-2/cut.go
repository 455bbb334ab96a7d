package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

const (
	// jobsPerEntry is the number of jobs in progress at each entry but the one that is cut off.
	jobsPerEntry = 16
	// cutTime is how long one frontend machine is cut off from the side machines.
	cutTime = 5 * time.Second
	// cancelWave is the time in which the clients cancel their jobs.
	cancelWave = 150 * time.Millisecond
	// grownCancelBound is the bound cancel_ms of the grown site.
	grownCancelBound = 4 * time.Second
)

// cancelledAfterCut cuts one entry off from the agents, and has the clients cancel the jobs of the
// other entries there as soon as the cut has healed.
func cancelledAfterCut(f *fleet, trouble bool) ([]string, error) {
	body, err := os.ReadFile("review/9/job.json")
	if err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	var jobs []*job
	for i := 1; i < len(f.entries); i++ {
		for range jobsPerEntry {
			j := newJob(1, 0)
			j.body = body
			jobs = append(jobs, j)
			clients.Go(func() { f.submit(j, i, longDeadline) })
		}
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.add("%s is cut off from all side machines", f.entries[0].name)
		f.proxy.cut()
	}
	time.Sleep(cutTime)
	if trouble {
		if err := f.proxy.heal(); err != nil {
			return nil, err
		}
		f.add("the cut of %s has healed", f.entries[0].name)
	}
	for _, j := range jobs {
		clients.Go(func() {
			time.Sleep(rand.N(cancelWave))
			f.cancelAnywhere(j)
		})
	}
	clients.Wait()
	return f.goesOnAfterAck(jobs), nil
}

// cancelAnywhere sends the cancelling of a job to one entry after the other, the first one first,
// until it is acknowledged.
func (f *fleet) cancelAnywhere(j *job) {
	for entry := range f.entries {
		if f.cancelOnce(j, entry) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// goesOnAfterAck returns the tasks that were started, or ran on, too long after the
// acknowledgement of their job's cancelling. By then the cut has healed for over grownContact.
func (f *fleet) goesOnAfterAck(jobs []*job) []string {
	var broken []string
	for _, j := range jobs {
		for _, r := range f.ledger.Runs() {
			if r.Job() != j.id || j.cancelledAt.IsZero() {
				continue
			}
			if late := r.Started.Sub(j.cancelledAt); late > grownCancelBound {
				broken = append(broken, fmt.Sprintf("UNASKED: task %s started at %s, %.3f s after its job's cancelling was acknowledged",
					r.Task, r.Target, late.Seconds()))
			} else if on := r.Ended.Sub(j.cancelledAt); on > grownCancelBound+stopBound {
				broken = append(broken, fmt.Sprintf("UNASKED: task %s ran on at %s until %.3f s after its job's cancelling was acknowledged",
					r.Task, r.Target, on.Seconds()))
			}
		}
	}
	return broken
}
