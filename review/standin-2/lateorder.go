package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/platform/standin"
)

const (
	lateJobs = 30
	// shortJobs are those of the usual short kind of request that come meanwhile.
	shortJobs = 200
	shortRun  = 60 * time.Millisecond
	// maxLateShare is the largest share of late orders that the days of the small sites have.
	maxLateShare = 0.065
	// longRun is the run time of the tasks, as the slowest kind of request of the small sites
	// has it at most.
	longRun = 3600 * time.Millisecond
	// holdBackTime is how long one runner leaves orders without an answer.
	holdBackTime = 600 * time.Millisecond
	// powerLossAt, since the first submission, is when the zone loses power, darkTime for how long.
	powerLossAt = time.Second
	darkTime    = time.Second
	// agentDelay is how much later than their runners the processes of the zone are back.
	agentDelay = 700 * time.Millisecond
	// overlapMargin allows for the resolution of the runners' clocks.
	overlapMargin = 5 * time.Millisecond
)

// lateAfterPowerLoss has one runner carry out start orders late, without an answer, and its zone
// lose power meanwhile. The clients are in the other zones.
func lateAfterPowerLoss(f *fleet, trouble bool) ([]string, error) {
	slow := f.runners[0]
	if trouble {
		f.add("runner %s leaves the start orders of %d tasks without an answer and carries them out 2 to 3 s later", slow.id, maxHeldTasks)
		slow.setHoldsBack(true)
	}
	var clients sync.WaitGroup
	begun := time.Now()
	for i := range lateJobs + shortJobs {
		run := longRun
		if i >= lateJobs {
			run = shortRun
		}
		clients.Go(func() { f.submit(newJob(1, run), 1+i%(zones-1), jobDeadline) })
		time.Sleep(2 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Until(begun.Add(holdBackTime)))
		slow.setHoldsBack(false)
		held, all := f.startOrders()
		f.add("runner %s answers again; %d of %d start orders were held back", slow.id, held, all)
		if float64(held) > maxLateShare*float64(all) {
			return nil, errors.New("too large a share of the orders was held back")
		}
		time.Sleep(time.Until(begun.Add(powerLossAt)))
		if err := f.loseZone(0); err != nil {
			return nil, err
		}
	}
	clients.Wait()
	return f.overlaps(), nil
}

// startOrders returns the number of start orders held back and of all that reached the runners.
func (f *fleet) startOrders() (held, all int) {
	for _, r := range f.runners {
		r.mu.Lock()
		held, all = held+r.heldBack, all+r.starts
		r.mu.Unlock()
	}
	return held, all
}

// loseZone takes the power from all machines of a zone for a time.
func (f *fleet) loseZone(z int) error {
	processes := []*process{f.entries[z]}
	var runners []*runner
	for i := z; i < len(f.agents); i += zones {
		processes = append(processes, f.agents[i])
		runners = append(runners, f.runners[i])
	}
	f.add("%s loses power", zone(z))
	for _, r := range runners {
		r.losePower()
	}
	killAll(processes)
	time.Sleep(darkTime)
	for _, r := range runners {
		r.regainPower()
	}
	f.add("runners of %s are back", zone(z))
	time.Sleep(agentDelay)
	f.add("processes of %s are back", zone(z))
	return startAll(processes)
}

// overlaps returns the pairs of runs of one task that ran at the same time.
func (f *fleet) overlaps() []string {
	var broken []string
	byTask := make(map[string][]standin.Run)
	for _, r := range f.ledger.Runs() {
		for _, o := range byTask[r.Task] {
			if o.Ended.IsZero() || r.Started.Before(o.Ended.Add(-overlapMargin)) {
				broken = append(broken, fmt.Sprintf("TWICE: task %s run %d at %s from %s to %s, and run %d at %s from %s to %s",
					r.Task, o.Number, o.Target, f.at(o.Started), f.at(o.Ended), r.Number, r.Target, f.at(r.Started), f.at(r.Ended)))
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	return broken
}
