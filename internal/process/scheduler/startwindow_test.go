package scheduler

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

// unansweredStarts returns the starts that an agent has received once no further one arrives.
func (a *fakeAgent) unansweredStarts() []peer.Start {
	var starts []peer.Start
	for {
		select {
		case s := <-a.starts:
			starts = append(starts, s)
		case <-time.After(50 * time.Millisecond):
			return starts
		}
	}
}

// bytesOf returns what starts count together.
func bytesOf(starts []peer.Start) int {
	n := 0
	for _, s := range starts {
		n += startBytes + len(s.Spec)
	}
	return n
}

// A job of many tasks that need little must not reach its target all at once: each start takes memory
// at the agent until the target has answered it.
func TestUnansweredStartsOfTargetAreBounded(t *testing.T) {
	for _, c := range []struct {
		name        string
		spec, tasks int
	}{{"short spec", 0, 700}, {"long spec", 40 << 10, 20}, {"spec over the bound", 400 << 10, 4}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t)
				a := tc.agent("a1")
				j := tc.job("j", c.tasks, 0)
				j.Spec = strings.Repeat("x", c.spec)
				answered, _ := tc.submit(j)
				sent := 0
				for sent < c.tasks {
					starts := a.unansweredStarts()
					if n := len(starts); n == 0 || (n > 1 && bytesOf(starts) > startWindowBytes) {
						t.Fatalf("%d starts of %d bytes are sent at once", n, bytesOf(starts))
					}
					sent += len(starts)
					for _, s := range starts {
						a.done(s)
					}
				}
				if answer := await(t, answered); answer.State != StateComplete {
					t.Errorf("answered %v", answer)
				}
			})
		})
	}
}

// Starts that were sent on an earlier link must not keep out those of the next one.
func TestStartsOfEarlierLinkDoNotFillTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a1")
		j := tc.job("j", 2, 0)
		j.Spec = strings.Repeat("x", startWindowBytes)
		tc.submit(j)
		first := a.unansweredStarts()
		if len(first) != 1 {
			t.Fatalf("%d starts are sent at once", len(first))
		}
		a.relink(first[0].Attempt)
		if second := a.unansweredStarts(); len(second) != 1 {
			t.Errorf("%d starts are sent on the new link", len(second))
		}
	})
}
