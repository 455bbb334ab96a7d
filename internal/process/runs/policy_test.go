package runs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// The entry does not know that a data centre was taken out of service: the store turns it away.
func TestStartIsRefusedInDataCentreThatOnlyTheStoreNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.entry.Send(peer.Frame{Policy: &peer.Policy{Revision: 5}})
		time.Sleep(10 * time.Millisecond)
		h.manager.ApplyStoredPolicy(9, []string{"dc1"}, time.Now())
		h.waitFor(func(f *peer.Frame) bool { return f.Policy != nil && f.Policy.Revision == 9 })
		if r := h.waitOutcome(h.start(0, 1, task.Resources{CPU: 1000}), peer.OutcomeRefused); r.Refusal != peer.RefusalDataCentreOut {
			t.Errorf("refused for %q", r.Refusal)
		}
		h.manager.ApplyStoredPolicy(8, nil, time.Now())
		if r := h.waitOutcome(h.start(1, 1, task.Resources{CPU: 1000}), peer.OutcomeRefused); r.Refusal != peer.RefusalDataCentreOut {
			t.Errorf("after an older read: refused for %q", r.Refusal)
		}
	})
}

// Frames of an entry that the store turns away do not confirm the policy.
func TestPolicyAgeIsThatOfTheBestInformedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		time.Sleep(10 * time.Second)
		h.receive(7, peer.Frame{Echo: h.clock()})
		if age := h.manager.PolicyAge(); age > peer.FreshPolicyAge {
			t.Errorf("age %v after a frame of an entry that follows the store", age)
		}
		close(h.entrySilent)
		time.Sleep(time.Second)
		h.receive(7, peer.Frame{Echo: h.clock(), PolicyAge: 4 * time.Second})
		if age, want := h.manager.PolicyAge(), peer.FreshPolicyAge+time.Second; age < want || age > want+100*time.Millisecond {
			t.Errorf("age %v, want %v: an entry with an older policy confirms nothing", age, want)
		}
		h.manager.ApplyStoredPolicy(3, nil, time.Now())
		if age := h.manager.PolicyAge(); age > 0 {
			t.Errorf("age %v after a read of the store", age)
		}
	})
}

// A frame waits to be read while the agent is paused: it says nothing about the time since.
func TestFrameThatWaitedDoesNotConfirmPolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		close(h.entrySilent)
		time.Sleep(time.Second)
		sent := h.clock()
		time.Sleep(4 * time.Second)
		h.receive(7, peer.Frame{Echo: sent})
		if age, want := h.manager.PolicyAge(), 4*time.Second+peer.FreshPolicyAge; age < want {
			t.Errorf("age %v, want %v", age, want)
		}
	})
}

// A new process has not read the store, and no entry has confirmed its policy.
func TestPolicyOfNewProcessIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if age := New(Options{}).PolicyAge(); age < time.Minute {
			t.Errorf("age %v", age)
		}
	})
}
