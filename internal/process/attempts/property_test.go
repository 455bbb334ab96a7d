package attempts

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// model tracks the expected state, independently of the table.
type model struct {
	started  map[Key]bool
	stopped  map[Key]bool
	finished map[Key]bool
	adopter  map[uint64]uint64
	highest  map[uint64]uint32
}

const home = 1

func drawID(t *rapid.T) *peerv1.AttemptID {
	return &peerv1.AttemptID{
		Incarnation: home,
		Sequence:    rapid.Uint64Range(1, 3).Draw(t, "sequence"),
		Task:        rapid.Uint32Range(0, 1).Draw(t, "task"),
		Attempt:     rapid.Uint32Range(1, 3).Draw(t, "attempt"),
	}
}

// In any order of starts, cancels, results and fences: no attempt starts twice or after
// its tombstone, only the latest adopter starts any after a fence, no result is lost, and
// the number of busy slots equals that of running attempts.
func TestTableInvariantsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		table := New(slots)
		m := &model{
			started:  make(map[Key]bool),
			stopped:  make(map[Key]bool),
			finished: make(map[Key]bool),
			adopter:  map[uint64]uint64{home: home},
			highest:  make(map[uint64]uint32),
		}
		t.Repeat(map[string]func(*rapid.T){
			"start":  func(t *rapid.T) { m.start(t, table) },
			"cancel": func(t *rapid.T) { m.cancel(t, table) },
			"finish": func(t *rapid.T) { m.finish(t, table) },
			"fence":  func(t *rapid.T) { m.fence(t, table) },
			"":       func(t *rapid.T) { m.check(t, table, slots) },
		})
	})
}

func (m *model) start(t *rapid.T, table *Table) {
	id := drawID(t)
	sender := rapid.Uint64Range(1, 3).Draw(t, "sender")
	err := table.Begin(&peerv1.Start{Id: id, Sender: sender, ExpiresMs: 60_000}, admitAll, func() {})
	key := KeyOf(id)
	if err != nil {
		want := verdict.NotRun
		if m.started[key] {
			want = verdict.Ran
		}
		if err.Verdict != want {
			t.Fatalf("refusal %v, want the verdict %v", err, want)
		}
		return
	}
	if m.started[key] || m.stopped[key] {
		t.Fatalf("attempt %v started again or after its tombstone", key)
	}
	if m.adopter[home] != sender {
		t.Fatalf("attempt %v started for %d, the responsible entry is %d", key, sender, m.adopter[home])
	}
	m.started[key] = true
}

func (m *model) cancel(t *rapid.T, table *Table) {
	id := drawID(t)
	states, _ := table.Stop([]*peerv1.AttemptID{id}, rapid.Bool().Draw(t, "cancel"))
	key := KeyOf(id)
	isTombstone := states[0].GetPhase() == peerv1.AttemptPhase_ATTEMPT_PHASE_TOMBSTONE
	if isTombstone == m.started[key] {
		t.Fatalf("attempt %v is in phase %v, started is %v", key, states[0].GetPhase(), m.started[key])
	}
	m.stopped[key] = m.stopped[key] || isTombstone
}

func (m *model) finish(t *rapid.T, table *Table) {
	id := drawID(t)
	table.Finish(&peerv1.Result{Id: id, Output: []byte("done")})
	if m.started[KeyOf(id)] {
		m.finished[KeyOf(id)] = true
	}
}

func (m *model) fence(t *rapid.T, table *Table) {
	f := &peerv1.Fence{
		Incarnation: home,
		Generation:  rapid.Uint32Range(1, 4).Draw(t, "generation"),
	}
	// Each generation has exactly one adopter.
	f.Adopter = uint64(2 + f.Generation%2)
	kept, ok := table.Fence(f)
	if want := f.GetGeneration() >= m.highest[home]; ok != want {
		t.Fatalf("fence of generation %d was accepted: %v, want %v", f.GetGeneration(), ok, want)
	}
	if !ok {
		return
	}
	m.highest[home], m.adopter[home] = f.GetGeneration(), f.GetAdopter()
	returned := make(map[Key]*peerv1.KeptAttempt)
	for _, k := range kept {
		returned[KeyOf(k.GetState().GetId())] = k
	}
	for key := range m.started {
		if k := returned[key]; k == nil || (k.GetResult() != nil) != m.finished[key] {
			t.Fatalf("attempt %v: returned %v, finished is %v", key, k, m.finished[key])
		}
	}
}

func (m *model) check(t *rapid.T, table *Table, slots int) {
	if busy := len(m.started) - len(m.finished); table.Busy() != busy || busy > slots {
		t.Fatalf("%d slots of %d are busy, want %d", table.Busy(), slots, busy)
	}
	if got := table.ResponsibleEntry(home); got != m.adopter[home] {
		t.Fatalf("responsible entry is %d, want %d", got, m.adopter[home])
	}
}

// TestMain sets the default seed of the property tests. The command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
