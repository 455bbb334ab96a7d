package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts a killed process again.
const restartDelay = 500 * time.Millisecond

// playFrozenEntry freezes one entry after the other while clients send it jobs. They wait until
// their deadline, and send the jobs again to the next entry.
func playFrozenEntry(f *fleet, trouble bool) ([]string, error) {
	const (
		rounds   = 6
		firstJob = 0xf000
		// pause is the time between two rounds, in which all machines are left alone.
		pause = 3 * time.Second
	)
	for round := range rounds {
		first := round % len(f.entries)
		entries := slices.Concat(f.entries[first:], f.entries[:first])
		if err := f.freezeRound(entries, firstJob+round*0x100, trouble); err != nil {
			return nil, err
		}
		if found := f.record.overlaps(); len(found) > 0 {
			return found, nil
		}
		time.Sleep(pause)
	}
	return nil, nil
}

// freezeRound freezes the first of the entries while clients send it jobs.
func (f *fleet) freezeRound(entries []*node, firstJob int, trouble bool) error {
	const (
		jobs, tasks = 10, 2
		runTime     = 1200 * time.Millisecond
		deadline    = 1500 * time.Millisecond
		// sendInterval is the time between two jobs.
		sendInterval = 50 * time.Millisecond
		// frozenFor is the length of the freeze, 4.0 s at most in the days of the site.
		frozenFor = 3500 * time.Millisecond
	)
	c := newClient(f.record)
	var clients sync.WaitGroup
	if trouble {
		entries[0].signal(syscall.SIGSTOP)
		f.record.addf("%s is frozen for %v", entries[0].name, frozenFor)
		time.AfterFunc(frozenFor, func() {
			f.record.addf("%s wakes", entries[0].name)
			entries[0].signal(syscall.SIGCONT)
		})
	}
	time.Sleep(100 * time.Millisecond)
	for i := range jobs {
		clients.Go(func() {
			c.submit(entries, fmt.Sprintf("%016x", firstJob+i), jobBody(1, tasks, taskCPU, runTime), deadline)
		})
		time.Sleep(sendInterval)
	}
	clients.Wait()
	if n := len(f.record.runsOf(fmt.Sprintf("%016x", firstJob))); n < tasks {
		return fmt.Errorf("the first job has %d runs", n)
	}
	return nil
}

// playAdoptedRuns kills an entry and an agent at the same moment, and the agent again after its
// restart.
func playAdoptedRuns(f *fleet, trouble bool) ([]string, error) {
	const (
		jobs, tasks = 6, 4
		firstJob    = 0xa000
		runTime     = 3 * time.Second
		deadline    = 12 * time.Second
		// secondKill is the time from the agent's restart to its second kill.
		secondKill = 350 * time.Millisecond
	)
	c := newClient(f.record)
	var clients sync.WaitGroup
	for i := range jobs {
		clients.Go(func() {
			c.submit(f.entries, fmt.Sprintf("%016x", firstJob+i), jobBody(1, tasks, taskCPU, runTime), deadline)
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		entry, agent := f.entries[0], f.agents[0]
		if err := killAndRestart(f.record, entry, agent); err != nil {
			return nil, err
		}
		time.Sleep(secondKill)
		if err := killAndRestart(f.record, agent); err != nil {
			return nil, err
		}
	}
	clients.Wait()
	if n := len(f.record.runsOf(fmt.Sprintf("%016x", firstJob))); n < tasks {
		return nil, fmt.Errorf("the first job has %d runs", n)
	}
	return f.record.overlaps(), nil
}

// killAndRestart kills processes at the same moment and starts them again after restartDelay.
func killAndRestart(r *record, nodes ...*node) error {
	killAll(r, nodes)
	time.Sleep(restartDelay)
	for _, n := range nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

const (
	// cancelLimit is the time after which no task of a cancelled job may start, cancel_ms of the
	// pages.
	cancelLimit = 3 * time.Second
	// contactTime is the time without disruption after which a machine is in touch, contact_ms of
	// the pages.
	contactTime = 3 * time.Second
)

// startsAfter returns the starts of a job later than cancelLimit after its cancelling was
// acknowledged, and later than the time from which all machines are in touch.
func startsAfter(r *record, job string, acknowledged, inTouch time.Duration) []string {
	var found []string
	for _, n := range r.runsOf(job) {
		if n.started > acknowledged+cancelLimit && n.started > inTouch {
			found = append(found, fmt.Sprintf("task %s (run %d) started on %s %.3f s after the cancelling of its job was acknowledged",
				n.task, n.number, n.target, (n.started-acknowledged).Seconds()))
		}
	}
	return found
}

// playCancelAtCutEntry cancels a job at an entry that is cut off from all agents, on a channel that
// was open before.
func playCancelAtCutEntry(f *fleet, trouble bool) ([]string, error) {
	const (
		job      = "00000000000000b1"
		steps    = 8
		runTime  = 1200 * time.Millisecond
		deadline = 30 * time.Second
		cutTime  = 3 * time.Second
	)
	c := newClient(f.record)
	c.request(http.MethodGet, f.entries[1], "", "", 2*time.Second)
	if trouble {
		f.record.addf("entry-2 is cut off from all agents for %v", cutTime)
		f.links[1].cutFor(cutTime)
	}
	inTouch := f.record.now() + cutTime + contactTime
	time.Sleep(1500 * time.Millisecond)
	var posted sync.WaitGroup
	posted.Go(func() {
		c.request(http.MethodPost, f.entries[0], job, jobBody(steps, 2, taskCPU, runTime), deadline)
	})
	time.Sleep(400 * time.Millisecond)
	status, _ := c.request(http.MethodDelete, f.entries[1], job, "", 2*time.Second)
	acknowledged := f.record.now()
	posted.Wait()
	if len(f.record.runsOf(job)) == 0 {
		return nil, fmt.Errorf("the job has not run")
	}
	if status != http.StatusOK && status != http.StatusGone {
		return nil, nil // not acknowledged
	}
	return startsAfter(f.record, job, acknowledged, inTouch), nil
}

// playDuplicateAfterCancel lets the request of a cancelled job arrive again, seconds after its
// response, at another entry.
func playDuplicateAfterCancel(f *fleet, trouble bool) ([]string, error) {
	const (
		job      = "00000000000000c1"
		runTime  = 3 * time.Second
		deadline = 12 * time.Second
	)
	c := newClient(f.record)
	body := jobBody(1, 4, taskCPU, runTime)
	var posted sync.WaitGroup
	posted.Go(func() { c.request(http.MethodPost, f.entries[0], job, body, deadline) })
	time.Sleep(400 * time.Millisecond)
	status, _ := c.request(http.MethodDelete, f.entries[0], job, "", 2*time.Second)
	acknowledged := f.record.now()
	posted.Wait()
	if status != http.StatusOK && status != http.StatusGone {
		return nil, fmt.Errorf("the cancelling was answered with %d", status)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		c.request(http.MethodPost, f.entries[1], job, body, deadline)
	}
	return startsAfter(f.record, job, acknowledged, 0), nil
}

// playEvacuation takes a data centre out of service while the store turns all entries away.
func playEvacuation(f *fleet, trouble bool) ([]string, error) {
	const (
		jobs     = 12
		runTime  = 300 * time.Millisecond
		deadline = 5 * time.Second
		zone     = "zone-2"
		// limit is the time after which no task may start there, evacuate_ms of the pages.
		limit = 5 * time.Second
		// evacuated is how long the data centre is out of service, fault how long the store
		// turns the entries away.
		evacuated = 8 * time.Second
		fault     = 9 * time.Second
	)
	if trouble {
		f.turnEntriesAway(fault)
		time.Sleep(500 * time.Millisecond)
	}
	f.store.Put(wire.EvacuatePrefix+zone, []byte("{}"))
	from := f.record.now()
	f.record.addf("the operator takes %s out of service; the store acknowledges it", zone)
	time.Sleep(limit + 200*time.Millisecond)
	c := newClient(f.record)
	var clients sync.WaitGroup
	for i := range jobs {
		clients.Go(func() {
			c.submit(f.entries[i%len(f.entries):], fmt.Sprintf("%016x", 0xe000+i), jobBody(1, 4, taskCPU, runTime), deadline)
		})
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(time.Until(f.record.epoch.Add(from + evacuated)))
	f.store.Delete(wire.EvacuatePrefix + zone)
	to := f.record.now()
	f.record.addf("the operator takes %s back", zone)
	clients.Wait()
	inZone := make(map[string]bool)
	for _, t := range f.targets {
		inZone[t.id] = t.zone == zone
	}
	var found []string
	started := 0
	for i := range jobs {
		for _, n := range f.record.runsOf(fmt.Sprintf("%016x", 0xe000+i)) {
			started++
			if inZone[n.target] && n.started > from+limit && n.started < to {
				found = append(found, fmt.Sprintf("task %s (run %d) started on %s in %s, %.3f s after its evacuation was acknowledged",
					n.task, n.number, n.target, zone, (n.started-from).Seconds()))
			}
		}
	}
	if started == 0 {
		return nil, fmt.Errorf("no task has run")
	}
	return found, nil
}

// playLateOrder lets one start order without an answer be carried out by the next incarnation of a
// target that has crashed, while the agent beside it is down.
func playLateOrder(f *fleet, trouble bool) ([]string, error) {
	const (
		jobs, tasks = 16, 3
		firstJob    = 0xd000
		runTime     = 3500 * time.Millisecond
		deadline    = 14 * time.Second
		// firstJobs are sent at once, the others one after each interval. The target crashes after
		// the last one and stays dark for a time; the agent is killed shortly before its end.
		firstJobs = 4
		interval  = 100 * time.Millisecond
		dark      = 2500 * time.Millisecond
		lead      = 300 * time.Millisecond
		// afterRestart is the time from the target's restart to the execution of the late order.
		afterRestart = 150 * time.Millisecond
	)
	c := newClient(f.record)
	t := f.targets[0]
	if trouble {
		t.mu.Lock()
		t.lateAt = time.Now().Add((jobs-firstJobs)*interval + dark + afterRestart)
		t.mu.Unlock()
	}
	var clients sync.WaitGroup
	for i := range jobs {
		clients.Go(func() {
			c.submit(f.entries[i%len(f.entries):], fmt.Sprintf("%016x", firstJob+i), jobBody(1, tasks, taskCPU, runTime), deadline)
		})
		if i >= firstJobs {
			time.Sleep(interval)
		}
	}
	if trouble {
		t.crash(dark)
		time.Sleep(dark - lead)
		if err := killAndRestart(f.record, f.agents[0]); err != nil {
			return nil, err
		}
	}
	clients.Wait()
	if n := len(f.record.runsOf(fmt.Sprintf("%016x", firstJob))); n < tasks {
		return nil, fmt.Errorf("the first job has %d runs", n)
	}
	return f.record.overlaps(), nil
}
