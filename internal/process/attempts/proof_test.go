package attempts

import (
	"testing"

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
