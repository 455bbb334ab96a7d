package loadreplay

import (
	"testing"
	"time"
)

// Four of eleven targets lose most of their capacity for six seconds, and do not guard what is
// left. It must not be exceeded, the other targets must go on, and the capacity must be used
// again once it has grown.
func TestCapacityThatShrinksIsNotExceededAndIsUsedAgain(t *testing.T) {
	calm := desks("", 0, 0, 1)
	calm.killers = nil
	shrunk := calm
	shrunk.shrinks = &shrinks{targets: 4, capacity: 4000, from: 4 * time.Second, to: 10 * time.Second}
	got, without := replay(t, shrunk), replay(t, calm)
	t.Logf("with: %v; without: %v", got.byKind, without.byKind)
	if got.overCapacity > 0 {
		t.Errorf("%d starts over a capacity that had shrunk", got.overCapacity)
	}
	// The load is two thirds of the capacity, of which a third is gone for six of sixteen seconds.
	const allowedLoss = 0.1
	for kind, tally := range got.byKind {
		if tally.servedShare() < without.byKind[kind].servedShare()-allowedLoss {
			t.Errorf("%s: %.3f served, %.3f without", kind, tally.servedShare(), without.byKind[kind].servedShare())
		}
	}
}
