package entry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

const testPeriod = 3 * time.Second

var testNames = []string{"e0", "e1", "e2", "e3", "e4"}

func TestFreshnessCountsFromRequestTime(t *testing.T) {
	start := time.Now()
	f := newFreshness(testPeriod, start)
	if f.remaining(start) != 0 {
		t.Error("fresh without any contact")
	}
	f.recordStore(start)
	if got := f.remaining(start.Add(time.Second)); got != 2*time.Second {
		t.Errorf("after 1 s: %v", got)
	}
	if f.remaining(start.Add(testPeriod)) != 0 {
		t.Error("fresh after a whole period")
	}
	f.recordMajority(start.Add(testPeriod))
	if got := f.remaining(start.Add(testPeriod)); got != testPeriod {
		t.Errorf("after contact with a majority: %v", got)
	}
	f.recordMajority(start.Add(storeOutageLimit))
	if f.remaining(start.Add(storeOutageLimit)) != 0 {
		t.Error("a majority keeps the entry fresh beyond the limit of an outage")
	}
}

func TestInForceNeedsMajorityForOnePeriod(t *testing.T) {
	held := func(ms ...int) []entryReply {
		var replies []entryReply
		for i, v := range ms {
			c := entryReply{entry: &peerv1.RosterEntry{Name: testNames[i]}, revision: &peerv1.Revision{}}
			if v >= 0 {
				u := uint32(v)
				c.revision.HeldMs = &u
			}
			replies = append(replies, c)
		}
		return replies
	}
	for _, test := range []struct {
		name      string
		replies   []entryReply
		inForce   bool
		pending   int
		remaining uint32
	}{
		{"no entry", held(), false, 0, 0},
		{"half is no majority", held(9000, 9000, -1, -1), false, 2, 0},
		{"majority since 1 s", held(9000, 1000, 1000, -1), false, 1, 2000},
		{"majority long enough", held(3000, 3000, 3000, -1), true, 1, 0},
		{"the last one is late", held(9000, 9000, 9000, 5), true, 0, 0},
	} {
		names := testNames[:len(test.replies)]
		got := evaluateInForce(test.replies, [][]string{names}, testPeriod)
		if got.GetInForce() != test.inForce || len(got.GetPendingEntries()) != test.pending || got.GetRemainingMs() != test.remaining {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}

// A partition with an older roster counts majorities of that roster. A change must not be
// in force just because a majority of a roster that has grown since holds it.
func TestInForceNeedsMajorityOfEachPastRoster(t *testing.T) {
	now := time.Now()
	h := newVoterHistory(testPeriod)
	entries := make(map[string]*peerv1.RosterEntry)
	for _, name := range testNames[:3] {
		entries[name] = &peerv1.RosterEntry{Name: name}
	}
	h.record(entries, now)
	held := uint32(testPeriod.Milliseconds())
	replies := []entryReply{{entry: entries["e2"], revision: &peerv1.Revision{HeldMs: &held}}}
	for _, name := range []string{"e3", "e4", "e5"} {
		entries[name] = &peerv1.RosterEntry{Name: name}
		replies = append(replies, entryReply{entry: entries[name], revision: &peerv1.Revision{HeldMs: &held}})
		h.record(entries, now)
	}
	if evaluateInForce(replies, h.requiredSets(now), testPeriod).GetInForce() {
		t.Error("in force without a majority of the first roster")
	}
	started := newVoterHistory(testPeriod)
	started.merge(h.proto(now), now)
	started.record(entries, now)
	if evaluateInForce(replies, started.requiredSets(now), testPeriod).GetInForce() {
		t.Error("an entry that has just started does not know the first roster")
	}
	delete(entries, "e0")
	delete(entries, "e1")
	h.recordStop("e0", now)
	h.recordStop("e1", now)
	h.record(entries, now)
	if evaluateInForce(replies, h.requiredSets(now), testPeriod).GetInForce() {
		t.Error("in force while an answer of a stopped entry may still count")
	}
	if !evaluateInForce(replies, h.requiredSets(now.Add(testPeriod)), testPeriod).GetInForce() {
		t.Error("entries that stopped as planned still count")
	}
}

// model simulates a fleet in time steps of modelTick: the store, entries with their
// freshness and configuration, and agents that count their permits from when they sent the
// heartbeat. Messages take a random time and may be lost.
type model struct {
	t        *rapid.T
	now      time.Time
	store    []*apiv1.Object // index is revision - 1
	storedAt []time.Time     // time of each store write
	entries  []*modelEntry
	agents   []*modelAgent
	// inForceAt is when each revision was first reported in force.
	inForceAt map[uint64]time.Time
}

type modelEntry struct {
	view             *config.View
	freshness        *freshness
	heldSince        map[uint64]time.Time
	pausedUntil      time.Time
	storePartitioned bool
	peersPartitioned bool
}

type modelAgent struct {
	view        *config.View
	permitUntil time.Time
	partitioned bool
}

const (
	modelEntries = 5
	modelTick    = 100 * time.Millisecond
)

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Now(), inForceAt: make(map[uint64]time.Time)}
	for range modelEntries {
		m.entries = append(m.entries, m.newEntry())
	}
	for range 3 {
		m.agents = append(m.agents, &modelAgent{view: config.NewView()})
	}
	m.storeChange(false)
	return m
}

func (m *model) newEntry() *modelEntry {
	return &modelEntry{view: config.NewView(), freshness: newFreshness(testPeriod, m.now), heldSince: make(map[uint64]time.Time)}
}

// storeChange stores a change that takes the data centre out of service or returns it.
func (m *model) storeChange(out bool) {
	revision := uint64(len(m.store) + 1)
	m.store = append(m.store, &apiv1.Object{Kind: apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, Name: "nbo1", Revision: revision, Out: out})
	m.storedAt = append(m.storedAt, m.now)
}

func (m *model) apply(e *modelEntry, u *peerv1.ConfigUpdate) {
	before := e.view.Load().Revision()
	e.view.Apply(u)
	after := e.view.Load().Revision()
	if after < before {
		m.t.Fatalf("revision of an entry fell from %d to %d", before, after)
	}
	for r := before + 1; r <= after; r++ {
		e.heldSince[r] = m.now
	}
}

// latency draws how long ago the request of an answer arriving now was sent.
func (m *model) latency() time.Duration {
	return time.Duration(rapid.IntRange(0, 25).Draw(m.t, "latency")) * modelTick
}

func (m *model) isPaused(e *modelEntry) bool { return m.now.Before(e.pausedUntil) }

// storeContact delivers the answer to a store request sent earlier; it holds the state of
// the store at some time since then.
func (m *model) storeContact(e *modelEntry) {
	if e.storePartitioned || m.isPaused(e) {
		return
	}
	sent := m.now.Add(-m.latency())
	oldest := 0
	for i, at := range m.storedAt {
		if !at.After(sent) {
			oldest = i
		}
	}
	last := m.store[rapid.IntRange(oldest, len(m.store)-1).Draw(m.t, "answered")]
	m.apply(e, &peerv1.ConfigUpdate{FromRevision: e.view.Load().Revision(), Revision: last.GetRevision(), Objects: []*apiv1.Object{last}})
	e.freshness.recordStore(sent)
}

// peerContact is one contact round. The other entries answer with the revision that they
// held when the request was sent.
func (m *model) peerContact(e *modelEntry) {
	if e.peersPartitioned || m.isPaused(e) {
		return
	}
	sent := m.now.Add(-min(m.latency(), contactTimeout))
	answered := 1
	for _, other := range m.entries {
		if other == e || other.peersPartitioned || m.isPaused(other) {
			continue
		}
		answered++
		if held := other.heldAt(sent); held > 0 {
			o := m.store[held-1]
			m.apply(e, &peerv1.ConfigUpdate{FromRevision: e.view.Load().Revision(), Revision: held, Objects: []*apiv1.Object{o}})
		}
	}
	if isMajority(answered, len(m.entries)) {
		e.freshness.recordMajority(sent)
	}
}

// heldAt returns the highest revision that the entry held at a time.
func (e *modelEntry) heldAt(at time.Time) uint64 {
	var highest uint64
	for revision, since := range e.heldSince {
		if !since.After(at) {
			highest = max(highest, revision)
		}
	}
	return highest
}

// restart replaces an entry with a new incarnation that has listed the store.
func (m *model) restart(i int) {
	if m.entries[i].storePartitioned {
		return
	}
	m.entries[i] = m.newEntry()
	last := m.store[len(m.store)-1]
	m.apply(m.entries[i], &peerv1.ConfigUpdate{Revision: last.GetRevision(), Objects: []*apiv1.Object{last}})
	m.entries[i].freshness.recordStore(m.now)
}

// heartbeat answers a heartbeat that an agent sent earlier.
func (m *model) heartbeat(a *modelAgent, e *modelEntry) {
	if a.partitioned || m.isPaused(e) {
		return
	}
	remaining := e.freshness.remaining(m.now)
	if rapid.Bool().Draw(m.t, "update lost") && a.view.Load().Revision() < e.view.Load().Revision() {
		return
	}
	a.view.Apply(e.view.Load().Since(a.view.Load().Revision()))
	if until := m.now.Add(remaining - m.latency()); until.After(a.permitUntil) {
		a.permitUntil = until
	}
}

// queryInForce evaluates whether a revision is in force from the replies of all entries.
func (m *model) queryInForce(revision uint64) {
	replies := make([]entryReply, 0, len(m.entries))
	for i, e := range m.entries {
		c := entryReply{entry: &peerv1.RosterEntry{Name: testNames[i]}}
		since, ok := e.heldSince[revision]
		if ok && !m.isPaused(e) && !e.peersPartitioned {
			ms := uint32(m.now.Sub(since).Milliseconds())
			c.revision = &peerv1.Revision{HeldMs: &ms}
		}
		replies = append(replies, c)
	}
	if _, known := m.inForceAt[revision]; !known && evaluateInForce(replies, [][]string{testNames}, testPeriod).GetInForce() {
		m.inForceAt[revision] = m.now
	}
}

// check fails the test if an agent may start a task under a configuration in which the
// data centre is in service, although a later revision is in force.
func (m *model) check() {
	for _, a := range m.agents {
		snapshot := a.view.Load()
		if !m.now.Before(a.permitUntil) || snapshot.IsOut(apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, "nbo1") {
			continue
		}
		for revision := range m.inForceAt {
			if revision > snapshot.Revision() {
				m.t.Fatalf("an agent at revision %d may start, but %d is in force", snapshot.Revision(), revision)
			}
		}
	}
}

// fault draws a change, a pause, a partition or its end, a restart, or nothing.
func (m *model) fault() {
	index := rapid.IntRange(0, modelEntries-1).Draw(m.t, "entry")
	e := m.entries[index]
	a := m.agents[rapid.IntRange(0, len(m.agents)-1).Draw(m.t, "agent")]
	switch rapid.IntRange(0, 19).Draw(m.t, "fault") {
	case 0:
		m.storeChange(rapid.Bool().Draw(m.t, "out"))
	case 1:
		e.pausedUntil = m.now.Add(m.latency())
	case 2:
		e.storePartitioned = !e.storePartitioned
	case 3:
		e.peersPartitioned = !e.peersPartitioned
	case 4:
		a.partitioned = !a.partitioned
	case 5:
		m.restart(index)
	}
}

// step draws a fault, then some of the regular calls of the nodes, and checks.
func (m *model) step() {
	m.fault()
	for _, e := range m.entries {
		switch rapid.IntRange(0, 5).Draw(m.t, "call") {
		case 0:
			m.storeContact(e)
		case 1:
			m.peerContact(e)
		}
	}
	for _, a := range m.agents {
		if rapid.IntRange(0, 2).Draw(m.t, "heartbeat") == 0 {
			m.heartbeat(a, m.entries[rapid.IntRange(0, modelEntries-1).Draw(m.t, "by")])
		}
	}
	m.queryInForce(uint64(len(m.store)))
	m.check()
	m.now = m.now.Add(modelTick)
	m.check()
}

// Under random changes, pauses, partitions, delays and lost updates, the revision of an
// entry must not fall, and no agent may start a task under a configuration older than one
// reported in force.
func TestNoStartAfterInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			m.step()
		}
	})
}

// After a pause shorter than a period the watch call must return at once: its ordinary
// wait would let the freshness of the entry lapse.
func TestWatchAfterPauseDoesNotWait(t *testing.T) {
	now := time.Now()
	f := newFreshness(testPeriod, now)
	f.recordStore(now)
	if wait := f.watchWait(now.Add(testPeriod / watchesPerPeriod)); wait == 0 {
		t.Error("no wait in the ordinary round of watches")
	}
	if wait := f.watchWait(now.Add(2 * testPeriod / 3)); wait != 0 {
		t.Errorf("wait of %v after a pause of two thirds of a period", wait)
	}
}
