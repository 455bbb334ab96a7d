package loadreplay

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// desks is a fleet of eleven targets at two thirds of its capacity, where from the fourth to
// the twelfth second some jobs of one kind crash each target that starts them.
func desks(kind string, share, part float64, seed uint64) setup {
	return setup{
		kinds: desk, entries: 3, linkDelay: time.Millisecond,
		speeds: []float64{0.8, 1, 1.25, 0.8, 1, 1.25, 1, 1, 0.8, 1.25, 1},
		load:   0.66, length: 16 * time.Second, seed: seed,
		killers: &killers{kind: kind, share: share, from: 4 * time.Second, to: 12 * time.Second, part: part},
	}
}

// crashCase is a kind of which a share of the jobs crashes its targets, a part of its run time
// after the start.
type crashCase struct {
	kind        string
	share, part float64
	// silent is set if the target does not answer then, in place of refusing connections.
	silent bool
}

func (c crashCase) String() string {
	if c.silent {
		return fmt.Sprintf("%s-%g-silent", c.kind, c.share)
	}
	return fmt.Sprintf("%s-%g", c.kind, c.share)
}

// setup returns the fleet and load of the case.
func (c crashCase) setup(seed uint64) setup {
	s := desks(c.kind, c.share, c.part, seed)
	s.killers.silent = c.silent
	return s
}

var crashCases = []crashCase{
	{kind: "short", share: 0.1, part: 0.12}, {kind: "short", share: 0.4, part: 0.12}, {kind: "narrow", share: 0.1, part: 0.05},
	{kind: "long", share: 0.1, part: 0.01}, {kind: "long", share: 0.4, part: 0.01}, {kind: "short", share: 0.02, part: 0.5},
	{kind: "long", share: 0.04, part: 0.01},
	{kind: "short", share: 0.1, part: 0.12, silent: true}, {kind: "long", share: 0.4, part: 0.01, silent: true},
}

// Jobs of one queue have a task that crashes its targets. The other queues must be served
// almost as without them, and no task may crash more than three targets.
func TestTasksThatCrashTargetsDoNotTakeTheFleet(t *testing.T) {
	for _, c := range crashCases {
		t.Run(c.String(), func(t *testing.T) {
			with := c.setup(1)
			without := with
			without.killers = nil
			got, calm := replay(t, with), replay(t, without)
			t.Logf("%d crashes, %d runs lost, at most %d by one task; %v", got.crashes, got.lostRuns, got.mostCrashes, got.byKind)
			for kind, tally := range got.byKind {
				const allowedLoss = 0.1
				if kind != c.kind && tally.servedShare() < calm.byKind[kind].servedShare()-allowedLoss {
					t.Errorf("%s: %.3f served, %.3f without killers", kind, tally.servedShare(), calm.byKind[kind].servedShare())
				}
			}
			if got.mostCrashes > 3 {
				t.Errorf("one task crashed %d targets", got.mostCrashes)
			}
		})
	}
}

// TestCrashReport prints what other kinds and the kind of the killers see, over some seeds.
func TestCrashReport(t *testing.T) {
	for _, c := range crashCases {
		if *reportSeeds == 0 {
			return
		}
		t.Run(c.String(), func(t *testing.T) {
			var others []float64
			var own, crashes, lost, most float64
			for n := range uint64(*reportSeeds) {
				r := replay(t, c.setup(*reportFirst+n))
				worst := 1.0
				for _, kind := range slices.Sorted(maps.Keys(r.byKind)) {
					if kind != c.kind {
						worst = min(worst, r.byKind[kind].servedShare())
					}
				}
				others = append(others, worst)
				own += r.byKind[c.kind].servedShare()
				crashes += float64(r.crashes)
				lost += float64(r.lostRuns)
				most = max(most, float64(r.mostCrashes))
			}
			seeds := float64(*reportSeeds)
			t.Logf("other kinds served %.3f; own %.3f, crashes %.1f, runs lost %.0f, at most %.0f by one task", others, own/seeds, crashes/seeds, lost/seeds, most)
		})
	}
}
