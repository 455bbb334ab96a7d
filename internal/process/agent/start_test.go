package agent

import (
	"testing"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

// A start frame that is delivered again, while its task runs or after its end, must not be
// answered as if the task had not run.
func TestRepeatedStartGetsTheResultOfTheFirst(t *testing.T) {
	x := newFixture(t, 0)
	entry := x.entries[0]
	waitUntil(t, "link", entry.isLinked)
	waitUntil(t, "permit", func() bool { return x.agent.permit.isValid(time.Now()) })
	entry.send(t, &peerv1.Frame{Body: &peerv1.Frame_ConfigUpdate{ConfigUpdate: &peerv1.ConfigUpdate{
		Revision: 1,
		Snapshot: true,
		Objects:  []*apiv1.Object{{Kind: apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, Name: "desk", Revision: 1}},
	}}})
	start := &peerv1.Frame{Body: &peerv1.Frame_Start{Start: &peerv1.Start{
		Id:         &peerv1.AttemptID{Incarnation: entry.member.GetIncarnation(), Sequence: 1},
		Department: "desk",
		Owner:      "owner",
		Task:       &apiv1.Task{},
		Sender:     entry.member.GetIncarnation(),
		ExpiresMs:  uint32(testTimeout.Milliseconds()),
		DeadlineMs: uint32(testTimeout.Milliseconds()),
	}}}
	entry.send(t, start)
	entry.send(t, start)
	refused := x.agent.counters.Counter("refused_tombstoned")
	waitUntil(t, "refusal of the repeat", func() bool { return refused.Count() == 1 })
	x.target <- struct{}{}
	waitUntil(t, "result", func() bool { return entry.withLock(func() bool { return len(entry.results) > 0 }) })
	entry.send(t, start)
	waitUntil(t, "result of the repeat after the end", func() bool { return entry.withLock(func() bool { return len(entry.results) == 2 }) })
	for _, r := range entry.results {
		if r.GetFailure() != nil {
			t.Errorf("result %v, want that of the task", r)
		}
	}
}
