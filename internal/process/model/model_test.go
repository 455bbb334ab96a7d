package model

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// schedules is the number of random schedules; more are run by hand.
var schedules = flag.Int("schedules", 60, "random schedules of the model")

// action is what a schedule does to one process, target or link.
type action int

const (
	killAgent action = iota
	killEntry
	pauseAgent
	pauseEntry
	cutLink
	crashTarget
	muteTarget
	loseAnswers
	delayOrders
	actions
)

var actionNames = [actions]string{"kill agent", "kill entry", "pause agent", "pause entry", "cut link", "crash target", "mute target", "lose answers", "delay orders"}

// step is one action of a schedule.
type step struct {
	at     time.Duration
	action action
	agent  int
	entry  int
	length time.Duration
}

func (s step) String() string {
	return fmt.Sprintf("%v %s (agent %d, entry %d) for %v", s.at, actionNames[s.action], s.agent, s.entry, s.length)
}

const (
	agents  = 3
	entries = 2
	// played is how long jobs are sent, settled how long after that nothing moves.
	played  = 4 * time.Second
	settled = 8 * time.Second
	// jobInterval is the time between jobs.
	jobInterval = 70 * time.Millisecond
)

func drawSchedule(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			at:     time.Duration(rapid.IntRange(0, int(played/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
			action: action(rapid.IntRange(0, int(actions)-1).Draw(t, "action")),
			agent:  rapid.IntRange(0, agents-1).Draw(t, "agent"),
			entry:  rapid.IntRange(0, entries-1).Draw(t, "entry"),
			length: time.Duration(rapid.IntRange(20, 2500).Draw(t, "length")) * time.Millisecond,
		}
	}), 0, 8).Draw(t, "schedule")
}

func (w *world) carryOut(s step) {
	a, e := w.agents[s.agent], w.entries[s.entry]
	switch s.action {
	case killAgent:
		a.kill()
		time.Sleep(s.length)
		a.start()
	case killEntry:
		e.kill()
		time.Sleep(s.length)
		e.start()
	case pauseAgent:
		a.pause(s.length)
	case pauseEntry:
		e.pause(s.length)
	case cutLink:
		w.cut(a, e, s.length)
	case crashTarget:
		a.rebirth()
	case muteTarget:
		w.disturb(a, mute, s.length)
	case loseAnswers:
		w.disturb(a, loses, s.length)
	case delayOrders:
		w.disturb(a, late, s.length)
	}
}

func (w *world) disturb(a *agent, f fault, d time.Duration) {
	t := a.target
	t.setFault(f)
	time.Sleep(d)
	t.setFault(sound)
}

// play runs a schedule in virtual time, and returns the rules that were broken and the
// number of jobs that were completed.
func play(t *testing.T, schedule []step) (broken []string, complete int) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(agents, entries)
		time.Sleep(200 * time.Millisecond)
		for _, s := range schedule {
			go func() {
				time.Sleep(s.at)
				w.carryOut(s)
			}()
		}
		for n := range int(played / jobInterval) {
			go w.call(fmt.Sprintf("job-%d", n), 1+n%3, n)
			time.Sleep(jobInterval)
		}
		time.Sleep(settled)
		broken, complete = w.ledger.check(), w.ledger.complete()
		w.over.Store(true)
		for _, a := range w.agents {
			a.kill()
			a.target.crash()
		}
		for _, e := range w.entries {
			e.kill()
		}
		time.Sleep(settled)
	})
	return broken, complete
}

func TestCalmScheduleCompletesAllJobs(t *testing.T) {
	broken, complete := play(t, nil)
	if len(broken) > 0 || complete < int(played/jobInterval)*9/10 {
		t.Errorf("%d jobs complete, broken: %v", complete, broken)
	}
}

// TestRandomSchedules plays random schedules of kills, pauses, cuts, crashes, lost and
// late orders.
func TestRandomSchedules(t *testing.T) {
	if err := flag.Set("rapid.checks", fmt.Sprint(*schedules)); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		if broken, _ := play(t, drawSchedule(rt)); len(broken) > 0 {
			rt.Fatalf("%d rules broken:\n%s", len(broken), broken)
		}
	})
}
