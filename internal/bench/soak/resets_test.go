package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/platform/standin"
)

const (
	resetRounds, jobsPerReset = 6, 12
	// maxRunAfterReset is how long a run may go on after the connection of its caller was
	// reset: 10 ms until the entry has noticed, and 50 ms until the target has stopped the run.
	maxRunAfterReset = 60 * time.Millisecond
)

// A caller whose connection is reset sends its job to another entry at once, so that the runs of
// the first one must end soon, also if the links to its agents are reset at the same moment. One
// run in ten may take longer: on a busy machine some process is late.
func TestRunsEndSoonAfterConnectionsAreReset(t *testing.T) {
	for _, c := range []struct {
		name  string
		links bool
	}{{"callers", false}, {"callers and agents", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSoak(t.Context(), Options{Seed: 1, Entries: 2, Agents: 4, Dir: t.TempDir()}, os.Stderr)
			defer s.close()
			if err := s.start(); err != nil {
				t.Fatal(err)
			}
			front, err := newProxy(s.address(callerProxyNet, 0, callerPort), s.address(entryNet, 0, callerPort))
			if err != nil {
				t.Fatal(err)
			}
			defer front.close()
			var after []time.Duration
			for round := range resetRounds {
				after = append(after, s.runTimesAfterReset(front, c.links, round)...)
			}
			slices.Sort(after)
			at := func(share float64) time.Duration { return after[int(share*float64(len(after)-1))] }
			t.Logf("%d runs ended after resets: p50 %v, p90 %v, longest %v", len(after), at(0.5), at(0.9), at(1))
			if len(after) < resetRounds*jobsPerReset/2 || at(0.9) > maxRunAfterReset {
				t.Errorf("%d runs, one in ten ended more than %v after a reset, limit %v", len(after), at(0.9), maxRunAfterReset)
			}
		})
	}
}

// callerProxyNet is the second byte of the addresses at which callers reach an entry by a proxy.
const callerProxyNet = 34

// runTimesAfterReset submits jobs to the first entry over a proxy, resets the connections of their
// callers, and those of its agents if links is set, and returns how long each run went on after it.
// A caller whose connection the proxy had not passed on yet is answered: its runs do not count.
func (s *soak) runTimesAfterReset(front *proxy, links bool, round int) []time.Duration {
	const spread = 60 * time.Millisecond
	body := standin.JobBody(2, 1000, 600*time.Millisecond)
	c := newCallers(nil)
	var callers sync.WaitGroup
	var answered sync.Map // by job
	for n := range jobsPerReset {
		delay := rand.N(spread - 10*time.Millisecond)
		callers.Go(func() {
			time.Sleep(delay)
			id := fmt.Sprintf("%08x%08x", round, n)
			if status, _ := c.post(s.ctx, front.listener.Addr().String(), id, body, jobTimeout, jobTimeout); status != 0 {
				answered.Store(id, true)
			}
		})
	}
	time.Sleep(spread)
	resetAt := time.Now()
	front.resetAll()
	if links {
		s.proxies[0].resetAll()
	}
	callers.Wait()
	time.Sleep(targetLease)
	var after []time.Duration
	for _, r := range s.ledger.Runs() {
		_, wasAnswered := answered.Load(r.Job())
		if d := r.Ended.Sub(resetAt); !wasAnswered && d > 0 && d < targetLease {
			after = append(after, d)
		}
	}
	return after
}
