package loadreplay

import (
	"testing"
	"time"
)

// unequalTargets is a fleet of which a third runs its tasks at less than half the speed of the
// others.
func unequalTargets(load float64, seed uint64) setup {
	speeds := make([]float64, 18)
	for i := range speeds {
		speeds[i] = 1.4
		if i%3 == 2 {
			speeds[i] = 0.5
		}
	}
	return setup{
		kinds: sized(desk, 2700, 0.03), entries: 5, linkDelay: time.Millisecond,
		speeds: speeds, load: load, length: 10 * time.Second, seed: seed,
	}
}

// fewLargeSlots is a fleet of many entries whose targets take nine tasks each.
func fewLargeSlots(load float64, seed uint64) setup {
	speeds := make([]float64, 24)
	for i := range speeds {
		speeds[i] = 1
	}
	return setup{
		kinds: sized(desk, 6700, 0), entries: 13, linkDelay: time.Millisecond, targetCPU: 64_000,
		speeds: speeds, load: load, length: 8 * time.Second, seed: seed,
	}
}

// A third of the targets runs tasks at less than half the speed of the others. Long jobs would be late on the slow targets although the fast ones have room.
func TestLongJobsAvoidSlowTargets(t *testing.T) {
	var with, without result
	with.byKind, without.byKind = make(map[string]tally), make(map[string]tally)
	for seed := range uint64(2) {
		c := unequalTargets(0.6, seed+1)
		c.kinds = sized(desk, 2700, 0)
		without.add(replay(t, c))
		c.targetSpeeds = true
		with.add(replay(t, c))
	}
	t.Logf("with speeds: %v; without: %v", with.byKind, without.byKind)
	if a, b := with.byKind["long"].inTimeShare(), without.byKind["long"].inTimeShare(); a < b+0.02 {
		t.Errorf("long jobs: %.3f in time, %.3f without speeds", a, b)
	}
	if a, b := with.total().inTimeShare(), without.total().inTimeShare(); a < b-0.01 {
		t.Errorf("all jobs: %.3f in time, %.3f without speeds", a, b)
	}
}

// Thirteen entries compete, by data that is some ten milliseconds old, for targets that take nine tasks
// each. At an ordinary load few of their starts may find the target full.
func TestFewStartsAreRefusedAtTargetsOfFewSlots(t *testing.T) {
	c := fewLargeSlots(0.65, 1)
	c.startWait = 60 * time.Millisecond
	r := replay(t, c)
	runs := r.sentStarts - r.refusedStarts
	t.Logf("%d starts refused, %d runs, %v", r.refusedStarts, runs, r.byKind)
	if r.refusedStarts*10 > runs {
		t.Errorf("%d starts refused beside %d runs", r.refusedStarts, runs)
	}
	if served := r.total().servedShare(); served < 0.99 {
		t.Errorf("%.3f of the jobs served", served)
	}
}

func TestDemandReport(t *testing.T) {
	if *reportSeeds == 0 {
		return
	}
	for _, base := range []struct {
		name  string
		loads []float64
		setup func(float64, uint64) setup
	}{{"unequal", []float64{0.6, 0.85}, unequalTargets}, {"few", []float64{0.65, 0.85, 1.05}, fewLargeSlots}} {
		for _, load := range base.loads {
			for _, v := range []struct {
				name  string
				apply func(*setup)
			}{
				{"base", func(*setup) {}},
				{"speeds", func(c *setup) { c.targetSpeeds = true }},
				{"late", func(c *setup) { c.lateAnswers = true }},
				{"wait 20", func(c *setup) { c.startWait = 20 * time.Millisecond }},
				{"wait 60", func(c *setup) { c.startWait = 60 * time.Millisecond }},
				{"all", func(c *setup) { c.targetSpeeds, c.lateAnswers, c.startWait = true, true, 40*time.Millisecond }},
			} {
				var sum result
				sum.byKind = make(map[string]tally)
				for n := range uint64(*reportSeeds) {
					c := base.setup(load, *reportFirst+n)
					v.apply(&c)
					sum.add(replay(t, c))
				}
				all := sum.total()
				t.Logf("%-8s load %.2f %-8s short %.3f narrow %.3f long %.3f in time; late %.3f refused %.3f other %.3f; no room %d of %d jobs",
					base.name, load, v.name, sum.byKind["short"].inTimeShare(), sum.byKind["narrow"].inTimeShare(), sum.byKind["long"].inTimeShare(),
					all.lateShare(), float64(all.refused)/float64(all.all()), float64(all.other)/float64(all.all()), sum.refusedStarts, all.all())
			}
		}
	}
}
