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

func TestFreshnessCountsFromTheRequest(t *testing.T) {
	begun := time.Now()
	f := newFreshness(testPeriod, begun)
	if f.remaining(begun) != 0 {
		t.Error("fresh without any contact")
	}
	f.noteStore(begun)
	if got := f.remaining(begun.Add(time.Second)); got != 2*time.Second {
		t.Errorf("after 1 s: %v", got)
	}
	if f.remaining(begun.Add(testPeriod)) != 0 {
		t.Error("fresh after a whole period")
	}
	f.noteMajority(begun.Add(testPeriod))
	if got := f.remaining(begun.Add(testPeriod)); got != testPeriod {
		t.Errorf("after contact with a majority: %v", got)
	}
	f.noteMajority(begun.Add(storeOutageLimit))
	if f.remaining(begun.Add(storeOutageLimit)) != 0 {
		t.Error("a majority keeps the entry fresh beyond the limit of an outage")
	}
}

func TestJudgeInForce(t *testing.T) {
	held := func(ms ...int) []contact {
		var contacts []contact
		for i, v := range ms {
			c := contact{entry: &peerv1.RosterEntry{Name: testNames[i]}, revision: &peerv1.Revision{}}
			if v >= 0 {
				u := uint32(v)
				c.revision.HeldMs = &u
			}
			contacts = append(contacts, c)
		}
		return contacts
	}
	for _, test := range []struct {
		name      string
		contacts  []contact
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
		names := testNames[:len(test.contacts)]
		got := judgeInForce(test.contacts, [][]string{names}, testPeriod)
		if got.GetInForce() != test.inForce || len(got.GetPendingEntries()) != test.pending || got.GetRemainingMs() != test.remaining {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}

// A part cut off with an older roster counts its majority there, so growth of
// the roster alone does not put a change in force.
func TestEachPastRosterNeedsItsMajority(t *testing.T) {
	now := time.Now()
	h := newVoterHistory(testPeriod)
	entries := make(map[string]*peerv1.RosterEntry)
	for _, name := range testNames[:3] {
		entries[name] = &peerv1.RosterEntry{Name: name}
	}
	h.record(entries, now)
	held := uint32(testPeriod.Milliseconds())
	contacts := []contact{{entry: entries["e2"], revision: &peerv1.Revision{HeldMs: &held}}}
	for _, name := range []string{"e3", "e4", "e5"} {
		entries[name] = &peerv1.RosterEntry{Name: name}
		contacts = append(contacts, contact{entry: entries[name], revision: &peerv1.Revision{HeldMs: &held}})
		h.record(entries, now)
	}
	if judgeInForce(contacts, h.all(now), testPeriod).GetInForce() {
		t.Error("in force without a majority of the first roster")
	}
	started := newVoterHistory(testPeriod)
	started.learn(h.proto(now), now)
	started.record(entries, now)
	if judgeInForce(contacts, started.all(now), testPeriod).GetInForce() {
		t.Error("an entry that has just started does not know the first roster")
	}
	delete(entries, "e0")
	delete(entries, "e1")
	h.stop("e0", now)
	h.stop("e1", now)
	h.record(entries, now)
	if judgeInForce(contacts, h.all(now), testPeriod).GetInForce() {
		t.Error("in force while an answer of a stopped entry may still count")
	}
	if !judgeInForce(contacts, h.all(now.Add(testPeriod)), testPeriod).GetInForce() {
		t.Error("entries that stopped as planned still count")
	}
}

// model is a fleet in which time goes on by ticks: the store, entries with
// their freshness and view, and agents that count their permits from when they
// asked. Messages take a random time and may be lost.
type model struct {
	t       *rapid.T
	now     time.Time
	store   []*apiv1.Object // by revision - 1
	stored  []time.Time     // when each was stored
	entries []*modelEntry
	agents  []*modelAgent
	// inForceAt is when a coordinator reported each revision in force.
	inForceAt map[uint64]time.Time
}

type modelEntry struct {
	view       *config.View
	fresh      *freshness
	heldSince  map[uint64]time.Time
	pausedTill time.Time
	cutStore   bool
	cutPeers   bool
}

type modelAgent struct {
	view  *config.View
	until time.Time
	cut   bool
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
	m.accept(false)
	return m
}

func (m *model) newEntry() *modelEntry {
	return &modelEntry{view: config.NewView(), fresh: newFreshness(testPeriod, m.now), heldSince: make(map[uint64]time.Time)}
}

// accept stores a change of the data centre.
func (m *model) accept(out bool) {
	revision := uint64(len(m.store) + 1)
	m.store = append(m.store, &apiv1.Object{Kind: apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, Name: "nbo1", Revision: revision, Out: out})
	m.stored = append(m.stored, m.now)
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

// latency draws how long ago an answered request was sent.
func (m *model) latency() time.Duration {
	return time.Duration(rapid.IntRange(0, 25).Draw(m.t, "latency")) * modelTick
}

func (m *model) isPaused(e *modelEntry) bool { return m.now.Before(e.pausedTill) }

// storeContact answers a request sent before now with what the store held at
// some time since then.
func (m *model) storeContact(e *modelEntry) {
	if e.cutStore || m.isPaused(e) {
		return
	}
	sent := m.now.Add(-m.latency())
	oldest := 0
	for i, at := range m.stored {
		if !at.After(sent) {
			oldest = i
		}
	}
	last := m.store[rapid.IntRange(oldest, len(m.store)-1).Draw(m.t, "answered")]
	m.apply(e, &peerv1.ConfigUpdate{FromRevision: e.view.Load().Revision(), Revision: last.GetRevision(), Objects: []*apiv1.Object{last}})
	e.fresh.noteStore(sent)
}

// peerContact is one round among the entries, which answer with what they knew
// when the request was sent.
func (m *model) peerContact(e *modelEntry) {
	if e.cutPeers || m.isPaused(e) {
		return
	}
	sent := m.now.Add(-min(m.latency(), contactTimeout))
	answered := 1
	for _, other := range m.entries {
		if other == e || other.cutPeers || m.isPaused(other) {
			continue
		}
		answered++
		if known := other.knownAt(sent); known > 0 {
			o := m.store[known-1]
			m.apply(e, &peerv1.ConfigUpdate{FromRevision: e.view.Load().Revision(), Revision: known, Objects: []*apiv1.Object{o}})
		}
	}
	if isMajority(answered, len(m.entries)) {
		e.fresh.noteMajority(sent)
	}
}

// knownAt returns the highest revision known at a time.
func (e *modelEntry) knownAt(at time.Time) uint64 {
	var known uint64
	for revision, since := range e.heldSince {
		if !since.After(at) {
			known = max(known, revision)
		}
	}
	return known
}

// restart replaces an entry by a new incarnation that lists the store.
func (m *model) restart(i int) {
	if m.entries[i].cutStore {
		return
	}
	m.entries[i] = m.newEntry()
	last := m.store[len(m.store)-1]
	m.apply(m.entries[i], &peerv1.ConfigUpdate{Revision: last.GetRevision(), Objects: []*apiv1.Object{last}})
	m.entries[i].fresh.noteStore(m.now)
}

// permit is a heartbeat of an agent, sent a while ago and answered now.
func (m *model) permit(a *modelAgent, e *modelEntry) {
	if a.cut || m.isPaused(e) {
		return
	}
	remaining := e.fresh.remaining(m.now)
	if rapid.Bool().Draw(m.t, "update lost") && a.view.Load().Revision() < e.view.Load().Revision() {
		return
	}
	a.view.Apply(e.view.Load().Since(a.view.Load().Revision()))
	if until := m.now.Add(remaining - m.latency()); until.After(a.until) {
		a.until = until
	}
}

// askInForce is what a coordinator among the entries would report.
func (m *model) askInForce(revision uint64) {
	contacts := make([]contact, 0, len(m.entries))
	for i, e := range m.entries {
		c := contact{entry: &peerv1.RosterEntry{Name: testNames[i]}}
		since, ok := e.heldSince[revision]
		if ok && !m.isPaused(e) && !e.cutPeers {
			ms := uint32(m.now.Sub(since).Milliseconds())
			c.revision = &peerv1.Revision{HeldMs: &ms}
		}
		contacts = append(contacts, c)
	}
	if _, known := m.inForceAt[revision]; !known && judgeInForce(contacts, [][]string{testNames}, testPeriod).GetInForce() {
		m.inForceAt[revision] = m.now
	}
}

// check fails when an agent could start a task although a later take-out is in
// force and no return has been accepted since.
func (m *model) check() {
	for _, a := range m.agents {
		snapshot := a.view.Load()
		if !m.now.Before(a.until) || snapshot.IsOut(apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, "nbo1") {
			continue
		}
		for revision := range m.inForceAt {
			if revision > snapshot.Revision() {
				m.t.Fatalf("an agent at revision %d may start, but %d is in force", snapshot.Revision(), revision)
			}
		}
	}
}

// fault draws one change, pause, cut, heal or restart, or none.
func (m *model) fault() {
	index := rapid.IntRange(0, modelEntries-1).Draw(m.t, "entry")
	e := m.entries[index]
	a := m.agents[rapid.IntRange(0, len(m.agents)-1).Draw(m.t, "agent")]
	switch rapid.IntRange(0, 19).Draw(m.t, "fault") {
	case 0:
		m.accept(rapid.Bool().Draw(m.t, "out"))
	case 1:
		e.pausedTill = m.now.Add(m.latency())
	case 2:
		e.cutStore = !e.cutStore
	case 3:
		e.cutPeers = !e.cutPeers
	case 4:
		a.cut = !a.cut
	case 5:
		m.restart(index)
	}
}

// step draws a fault, then some of the calls that the nodes make all the time.
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
			m.permit(a, m.entries[rapid.IntRange(0, modelEntries-1).Draw(m.t, "by")])
		}
	}
	m.askInForce(uint64(len(m.store)))
	m.check()
	m.now = m.now.Add(modelTick)
	m.check()
}

// With random changes, pauses, cuts, delays and lost updates the revision of no
// node falls, and nothing starts against a revision that was reported in force.
func TestNoStartAfterInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			m.step()
		}
	})
}

// An entry that was paused for less than a period asks the store at once, since
// a whole watch would let its freshness lapse.
func TestWatchAfterPauseDoesNotWait(t *testing.T) {
	now := time.Now()
	f := newFreshness(testPeriod, now)
	f.noteStore(now)
	if wait := f.watchWait(now.Add(testPeriod / watchesPerPeriod)); wait == 0 {
		t.Error("no wait in the ordinary round of watches")
	}
	if wait := f.watchWait(now.Add(2 * testPeriod / 3)); wait != 0 {
		t.Errorf("wait of %v after a pause of two thirds of a period", wait)
	}
}
