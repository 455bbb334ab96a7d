package loadreplay

import (
	"testing"
	"time"
)

// loosely is a fleet with room to keep two kinds of tasks apart.
func loosely(seed uint64) setup {
	speeds := make([]float64, 16)
	for i := range speeds {
		speeds[i] = 1
	}
	return setup{
		kinds: sized(desk, 3100, 0.03), entries: 3, linkDelay: time.Millisecond, speeds: speeds, load: 0.3,
		length: 25 * time.Second, seed: seed, slowedTogether: [2]string{"short", "narrow"}, interference: true,
	}
}

// Two kinds of tasks take twice as long on one target. They must be kept apart, and be served better
// than without the feature.
func TestTasksThatSlowEachOtherDownAreKeptApart(t *testing.T) {
	c := loosely(1)
	c.kinds = sized(desk, 3100, 0)
	c.slowedBy, c.slowedUntil = 2, time.Hour
	with := replay(t, c)
	c.interference = false
	without := replay(t, c)
	t.Logf("with: %v; without: %v; pairs learned %d", with.byKind, without.byKind, with.learned)
	if with.learned == 0 {
		t.Fatal("no pair was learned")
	}
	for kind, gain := range map[string]float64{"short": 0, "narrow": 0.05, "long": -0.02} {
		if a, b := with.byKind[kind].inTimeShare(), without.byKind[kind].inTimeShare(); a < b+gain {
			t.Errorf("%s: %.3f in time, %.3f without keeping apart", kind, a, b)
		}
	}
}

// Nothing slows anything down: long tasks, unequal targets and bursts must not be taken for it, since
// placement would change for no reason.
func TestNoPairIsLearnedWithoutInterference(t *testing.T) {
	for seed := range uint64(3) {
		c := loosely(seed + 1)
		c.length = 15 * time.Second
		for i := range c.speeds {
			c.speeds[i] = []float64{0.7, 1, 1.3}[i%3]
		}
		if r := replay(t, c); r.learned != 0 {
			t.Errorf("seed %d: %d pairs learned", c.seed, r.learned)
		}
	}
}

// The effect ends: the pair must be forgotten.
func TestPairIsForgottenOnceItsEffectEnds(t *testing.T) {
	c := loosely(1)
	c.slowedBy, c.slowedUntil, c.length = 2, 15*time.Second, 60*time.Second
	r := replay(t, c)
	t.Logf("learned %d, forgotten %d", r.learned, r.forgotten)
	if r.learned == 0 || r.forgotten < r.learned {
		t.Errorf("%d pairs learned, %d forgotten", r.learned, r.forgotten)
	}
}
