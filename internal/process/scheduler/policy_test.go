package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

// The store turns the entries and some agents away; one agent has read from it that a data centre
// is out of service.
func TestPolicyOfOneAgentReachesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		tc.scheduler.opts.OnNewerPolicy = func(p *peer.Policy) {
			tc.view.ApplyOutages(&policy.Outages{Revision: p.Revision, Out: p.Out})
		}
		a, b := tc.agentIn("dc1", "a"), tc.agentIn("dc2", "b")
		a.link.Send(peer.Frame{Policy: &peer.Policy{Revision: 5, Out: []string{"dc2"}}})
		time.Sleep(10 * time.Millisecond)
		if !b.isOut("dc2") {
			t.Error("the other agent has not received the policy")
		}
	})
}

// An entry that the store turns away sends the age of its policy to its agents.
func TestFramesCarryTheAgeOfAnOldPolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		for _, c := range []struct{ age, want time.Duration }{{time.Second, 0}, {peer.FreshPolicyAge, 0}, {3 * time.Second, 3 * time.Second}} {
			tc.scheduler.mu.Lock()
			tc.scheduler.opts.PolicyAge = func() time.Duration { return c.age }
			tc.scheduler.mu.Unlock()
			tc.agent("a")
			f := &peer.Frame{}
			tc.scheduler.Stamp("a", f)
			if f.PolicyAge != c.want {
				t.Errorf("age %v of a policy of %v, want %v", f.PolicyAge, c.age, c.want)
			}
		}
	})
}
