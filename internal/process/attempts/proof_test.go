package attempts

import (
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

const testSlots = 2

func fillSlots(table *Table) {
	for attempt := range uint32(testSlots) {
		_ = table.Begin(start(attempt+2), admitAll, func() {})
	}
}

func stopFirst(table *Table) { table.Stop([]*peerv1.AttemptID{start(1).GetId()}, false) }

func beginFirst(table *Table) { _ = table.Begin(start(1), admitAll, func() {}) }

func finishFirst(table *Table) {
	beginFirst(table)
	table.Finish(&peerv1.Result{Id: start(1).GetId()})
}

func fenceHome(table *Table) { table.Fence(&peerv1.Fence{Incarnation: 1, Adopter: 2, Generation: 1}) }

// A refusal of a start that the agent received before says nothing about the first one: only
// a tombstone proves that the attempt never runs.
func TestRefusedRepeatOfAStartIsNotReportedAsNotRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(*Table)
		reason apiv1.Reason
		want   verdict.Verdict
	}{
		{"full", fillSlots, apiv1.Reason_REASON_TARGET_FULL, verdict.NotRun},
		{"stopped", stopFirst, apiv1.Reason_REASON_TOMBSTONED, verdict.NotRun},
		{"running", beginFirst, apiv1.Reason_REASON_TOMBSTONED, verdict.Ran},
		{"done", finishFirst, apiv1.Reason_REASON_TOMBSTONED, verdict.Ran},
		{"fenced", fenceHome, apiv1.Reason_REASON_FENCED, verdict.NotRun},
		{"running, fenced", func(table *Table) { beginFirst(table); fenceHome(table) }, apiv1.Reason_REASON_FENCED, verdict.Ran},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New(testSlots)
			c.before(table)
			err := table.Begin(start(1), admitAll, func() {})
			if err == nil || err.Verdict != c.want || err.Reason != c.reason {
				t.Errorf("got %v, want %v with the verdict %v", err, c.reason, c.want)
			}
		})
	}
}

// An entry asks for an attempt until the deadline of its job, which may be after the ticket
// has expired. A forgotten attempt would be taken for one that never started.
func TestAttemptIsNotForgottenBeforeItsDeadline(t *testing.T) {
	const (
		ticketLeft = 10 * time.Millisecond
		jobLeft    = 10 * time.Second
	)
	s := start(1)
	s.ExpiresMs, s.DeadlineMs = uint32(ticketLeft.Milliseconds()), uint32(jobLeft.Milliseconds())
	for _, asked := range []time.Duration{ticketLeft, jobLeft} {
		table := New(testSlots)
		if err := table.Begin(s, admitAll, func() {}); err != nil {
			t.Fatal(err)
		}
		table.Finish(&peerv1.Result{Id: s.GetId()})
		table.Expire(time.Now().Add(asked + time.Second))
		states, results := table.Stop([]*peerv1.AttemptID{s.GetId()}, false)
		if states[0].GetPhase() != peerv1.AttemptPhase_ATTEMPT_PHASE_DONE || len(results) != 1 {
			t.Errorf("%v after its start the attempt is %v with %d results, want done with its result", asked, states[0].GetPhase(), len(results))
		}
	}
}

// An adopter waits for an attempt beyond the deadline that its start named.
func TestEndedAttemptIsKeptForALostLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// lostLink exceeds the idle timeout of a link and the entry's wait for a new one.
		const lostLink = 5 * time.Second
		table := New(testSlots)
		s := start(1)
		s.ExpiresMs, s.DeadlineMs = 10, 10
		if err := table.Begin(s, admitAll, func() {}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		table.Finish(&peerv1.Result{Id: s.GetId()})
		time.Sleep(lostLink)
		table.Expire(time.Now())
		if states, _ := table.Stop([]*peerv1.AttemptID{s.GetId()}, false); states[0].GetPhase() != peerv1.AttemptPhase_ATTEMPT_PHASE_DONE {
			t.Errorf("the attempt is %v, want done", states[0].GetPhase())
		}
	})
}
