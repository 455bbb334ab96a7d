package model

import (
	"strings"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/standin/runtarget"
)

const (
	// restartShare is the part of a step's duration for which a target is down that restarts
	// under its ID.
	restartShare = 4
	// clockBackFactor is how much farther than a step's duration the clock is set back.
	clockBackFactor = 12
	// The bounds of the pauses of an agent that is paused again and again, and of the time
	// between them.
	minPause, maxPause = 60 * time.Millisecond, 460 * time.Millisecond
	minGap, maxGap     = 10 * time.Millisecond, 130 * time.Millisecond
)

func (sim *simulation) apply(s step) {
	a, e := sim.agents[s.agent], sim.entries[s.entry]
	switch s.action {
	case killAgent:
		a.kill()
		time.Sleep(s.duration)
		a.start()
	case killEntry:
		e.kill()
		time.Sleep(s.duration)
		e.start()
	case pauseAgent:
		a.pause(s.duration)
	case pauseEntry:
		e.pause(s.duration)
	case cutLink:
		sim.cut(a, e, s.duration)
	case crashTarget:
		a.restartTarget()
	case muteTarget:
		sim.disturb(a, s, runtarget.Chances{runtarget.Lost: 1})
	case loseAnswers:
		sim.disturb(a, s, runtarget.Chances{runtarget.ResetExecuted: 1})
	case delayOrders:
		sim.disturb(a, s, runtarget.Chances{runtarget.ResetLate: 1})
	default:
		sim.applyFaultyAnswers(s)
	}
}

// applyFaultyAnswers applies an action that only drawFaulty draws.
func (sim *simulation) applyFaultyAnswers(s step) {
	a, share := sim.agents[s.agent], float64(s.percent)/100
	switch s.action {
	case muteCalls:
		sim.disturb(a, s, runtarget.Chances{runtarget.Silent: share})
	case dropCalls:
		sim.disturb(a, s, runtarget.Chances{runtarget.Lost: share})
	case delayCalls:
		sim.disturb(a, s, runtarget.Chances{runtarget.Late: share})
	case resetCalls:
		sim.disturb(a, s, runtarget.Chances{runtarget.Reset: share / 2, runtarget.ResetExecuted: share / 2})
	case busyCalls:
		sim.disturb(a, s, runtarget.Chances{runtarget.Busy: share})
	case mixFaults:
		sim.disturb(a, s, mixed(share))
	case restartTarget:
		a.restartTargetAsBefore(s.duration / restartShare)
	case setClockBack:
		a.setClockBack(s.duration * clockBackFactor)
	default:
		sim.applyChained(s)
	}
}

// applyChained applies an action that only the schedules of chained faults draw.
func (sim *simulation) applyChained(s step) {
	a, e := sim.agents[s.agent], sim.entries[s.entry]
	switch s.action {
	case pauseAgentAgain:
		sim.pauseAgain(a, s)
	case rejectStops:
		sim.disturb(a, s, runtarget.Chances{runtarget.Busy: 1})
	case resetLinks:
		e.reset(false, true)
	case resetCallers:
		e.reset(true, false)
	case resetCallersAndLinks:
		e.reset(true, true)
	}
}

// pauseAgain pauses an agent again and again for the duration of a step.
func (sim *simulation) pauseAgain(a *agent, s step) {
	pause := minPause + time.Duration(s.seed)%(maxPause-minPause)
	gap := minGap + time.Duration(s.seed)%(maxGap-minGap)
	for end := time.Now().Add(s.duration); time.Now().Before(end); {
		a.pause(pause)
		time.Sleep(pause + gap)
	}
}

// mixed returns chances in which every fault has the same part of a share.
func mixed(share float64) runtarget.Chances {
	var c runtarget.Chances
	for f := runtarget.Silent; f <= runtarget.Busy; f++ {
		c[f] = share / float64(runtarget.Busy)
	}
	return c
}

// disturb puts faults of the calls of a target in force for the duration of a step.
func (sim *simulation) disturb(a *agent, s step, c runtarget.Chances) {
	mix := runtarget.Mix{MaxDelay: maxCallDelay, Seed: s.seed}
	if s.action < actions {
		mix.MaxDelay = maxOrderDelay
	}
	for _, k := range []runtarget.Kind{runtarget.Start, runtarget.Stop, runtarget.Poll} {
		if s.calls.has(k) {
			mix.Chances[k] = c
		}
	}
	end := a.target.Disturb(mix)
	time.Sleep(s.duration)
	end()
}

// kindSet is a set of kinds of calls.
type kindSet int

const (
	allKinds  kindSet = 1<<runtarget.Start | 1<<runtarget.Stop | 1<<runtarget.Poll
	stopCalls kindSet = 1 << runtarget.Stop
)

func (s kindSet) has(k runtarget.Kind) bool { return s&(1<<k) != 0 }

func (s kindSet) String() string {
	var names []string
	for k, name := range []string{"starts", "stops", "polls"} {
		if s.has(runtarget.Kind(k)) {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}
