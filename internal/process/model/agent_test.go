package model

import (
	"fmt"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// agent is a simulated agent and its target.
type agent struct {
	process
	sim     *simulation
	name    string
	manager *runs.Manager
	target  *target
	// restarting serialises the restarts of the target, and guards id, incarnation and
	// clockBack.
	restarting  sync.Mutex
	id          string
	incarnation int64
	// clockBack is how far the clock of the day has been set back for processes that start from
	// now on.
	clockBack time.Duration
}

// restartTarget crashes the target and starts its next incarnation under a new ID.
func (a *agent) restartTarget() {
	a.restarting.Lock()
	defer a.restarting.Unlock()
	a.target.crash(false)
	a.id = fmt.Sprintf("%s.%d", a.name, a.incarnation+1)
	a.bootTargetLocked()
}

// restartTargetAsBefore crashes the target and starts its next incarnation under the same ID
// after a while, in which it does not answer.
func (a *agent) restartTargetAsBefore(after time.Duration) {
	crashed := a.target.present()
	a.target.crash(false)
	time.Sleep(after)
	a.restarting.Lock()
	defer a.restarting.Unlock()
	if !a.sim.finished.Load() && a.incarnation == crashed {
		a.bootTargetLocked()
	}
}

// bootTargetLocked starts the next incarnation of the target and announces it to the agent.
func (a *agent) bootTargetLocked() {
	a.incarnation++
	a.target.boot(a.id, a.incarnation)
	if _, alive, _ := a.state(); alive {
		a.announceLocked()
	}
}

// restartTime is how long a target that a task has crashed takes to come back.
const restartTime = 700 * time.Millisecond

// crashTarget crashes the target because of a task, if that still runs, and restarts it later.
func (a *agent) crashTarget(killer task.Attempt, incarnation int64) {
	if a.target.present() != incarnation || !a.target.IsRunning(killer) {
		return
	}
	a.target.crash(true)
	time.Sleep(restartTime)
	if !a.sim.finished.Load() && a.target.present() == incarnation {
		a.restartTarget()
	}
}

func (a *agent) announce() {
	a.restarting.Lock()
	defer a.restarting.Unlock()
	a.announceLocked()
}

func (a *agent) announceLocked() {
	a.manager.Announce(runs.Announcement{
		ID:          a.id,
		Incarnation: a.incarnation,
		Sequence:    1,
		Pool:        "p",
		DataCentre:  "dc",
		Capacity:    task.Resources{CPU: targetCPU},
	})
}

// setClockBack sets the clock of the day back for processes that start from now on. Their tokens
// are lower.
func (a *agent) setClockBack(by time.Duration) {
	a.restarting.Lock()
	defer a.restarting.Unlock()
	a.clockBack += by
}

func (a *agent) clockSetBack() time.Duration {
	a.restarting.Lock()
	defer a.restarting.Unlock()
	return a.clockBack
}

func (a *agent) start() {
	number, clockBack := a.next(), a.clockSetBack()
	manager := runs.New(runs.Options{
		Name:        a.name,
		Incarnation: a.sim.incarnations.Add(1),
		DataCentre:  "dc",
		Log:         a.sim.checker.log.logger(a.name),
		Counters:    metrics.New(),
		TargetLease: targetLease,
		CallerRetry: callerRetry,
		Dial: func(to runs.Announcement) runs.TargetClient {
			return &conn{target: a.target, agent: a, process: number, id: to.ID, incarnation: to.Incarnation, clockBack: clockBack}
		},
	})
	a.begin(number, func() { a.manager = manager })
	a.announce()
	go func() {
		for a.waitRunnable(number) && !a.sim.finished.Load() {
			manager.Sweep()
			time.Sleep(sweepInterval)
		}
		// Ends the process's calls to its target.
		done := make(chan struct{})
		close(done)
		manager.Run(done)
	}()
}
