package server

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
)

// fakeHolder holds the policy of an agent whose entries last confirmed it at confirmedAt.
type fakeHolder struct {
	confirmedAt time.Time
	links       int
	out         []string
}

func (h *fakeHolder) PolicyAge() time.Duration { return time.Since(h.confirmedAt) }

func (h *fakeHolder) Links() int { return h.links }

func (h *fakeHolder) ApplyStoredPolicy(_ uint64, out []string, sent time.Time) {
	h.out, h.confirmedAt = out, sent
}

func newPolicyReader(f *fakeStore, h *fakeHolder) *policyReader {
	invalid := eventlog.NewInvalidValues(zerolog.Nop(), metrics.New().Counter("stored_values_invalid"))
	return &policyReader{store: f, log: zerolog.Nop(), invalid: invalid, holder: h}
}

// evacuationLimit is the time after which no task may start in a data centre that was taken out
// of service.
const evacuationLimit = 5 * time.Second

// The store turns all entries away and serves the agents, while a data centre is taken out of
// service: without a read of their own the agents start tasks there.
func TestAgentLearnsOutagesWhileStoreTurnsEntriesAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h := newFakeStore(), &fakeHolder{confirmedAt: time.Now(), links: 3}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go newPolicyReader(f, h).run(ctx)
		for range 3 {
			f.set(func() { f.put("op/evacuate/z1", "{}") })
			time.Sleep(evacuationLimit)
			synctest.Wait()
			if !slices.Contains(h.out, "z1") {
				t.Fatalf("%v out of service %v later", h.out, evacuationLimit)
			}
			f.set(func() { f.revision++; delete(f.values, "op/evacuate/z1") })
			time.Sleep(evacuationLimit)
			synctest.Wait()
			if len(h.out) > 0 {
				t.Fatalf("%v out of service %v after it was taken back", h.out, evacuationLimit)
			}
		}
	})
}

// An agent makes no call of the store while an entry follows it, or none is linked.
func TestAgentLeavesStoreAloneWithoutNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fresh := newFakeStore(), &fakeHolder{confirmedAt: time.Now(), links: 1}
		unlinked := &fakeHolder{}
		for range 100 {
			fresh.confirmedAt = time.Now().Add(-maxPolicyAge / 2)
			newPolicyReader(f, fresh).check(context.Background())
			newPolicyReader(f, unlinked).check(context.Background())
		}
		if f.calls > 0 {
			t.Errorf("%d calls", f.calls)
		}
	})
}

// A store that is down is not called more often than one that answers.
func TestFailedReadOfOutagesIsRepeatedSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h := newFakeStore(), &fakeHolder{links: 1}
		f.down = true
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go newPolicyReader(f, h).run(ctx)
		time.Sleep(time.Minute)
		synctest.Wait()
		if most := int(time.Minute / (policyRetryInterval / 2)); f.calls > most || f.calls == 0 {
			t.Errorf("%d calls in a minute, at most %d expected", f.calls, most)
		}
	})
}

// The age of what an entry knows grows while the store turns it away, and with it that of the
// agents.
func TestAgeOfConfigurationGrowsWhileStoreIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.put(keyConfig, configAt("1"))
		watcher := startConfigWatcher(t, f)
		time.Sleep(10 * time.Second)
		if age := watcher.age(); age > configWatchTimeout {
			t.Errorf("age %v while the store answers", age)
		}
		f.set(func() { f.down = true })
		time.Sleep(10 * time.Second)
		if age := watcher.age(); age < 9*time.Second {
			t.Errorf("age %v, 10 s after the store was lost", age)
		}
		f.set(func() { f.down = false })
		time.Sleep(time.Second)
		if age := watcher.age(); age > configWatchTimeout {
			t.Errorf("age %v after the store was reached again", age)
		}
	})
}

// A watch that the store cuts says nothing about the time after it was sent: its answer may have
// waited to be read.
func TestCutWatchConfirmsOnlyItsBeginning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct{ answeredAfter, want time.Duration }{
			{configWatchTimeout / 2, 0}, {configWatchTimeout, configWatchTimeout}, {5 * configWatchTimeout, configWatchTimeout},
		} {
			sent := time.Now()
			time.Sleep(c.answeredAfter)
			if got := unchangedUntil(sent).Sub(sent); got != c.want {
				t.Errorf("read after %v: unchanged for %v, want %v", c.answeredAfter, got, c.want)
			}
		}
	})
}
