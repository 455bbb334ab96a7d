package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/connection/link"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

const (
	testDataCentre = "nbo1"
	testPermit     = 3 * time.Second
	testTimeout    = 20 * time.Second
	testInterval   = 5 * time.Millisecond
)

// fakeEntry accepts the link of an agent, grants permits and records the frames it receives.
type fakeEntry struct {
	member    *peerv1.RosterEntry
	transport *quic.Transport
	listener  *quic.Listener

	mu         sync.Mutex
	link       *link.Link // to the agent; nil if there is none
	goodbyes   int
	heartbeats int
	results    []*peerv1.Result
}

func newFakeEntry(t *testing.T, ca identity.KeyPair, i int) *fakeEntry {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	name := fmt.Sprintf("entry-%d", i)
	pair, err := identity.NewNodeCertificate(ca, identity.Identity{Name: name, Role: "entry", DataCentre: testDataCentre})
	if err != nil {
		t.Fatal(err)
	}
	keys, err := identity.Load(identity.KeyFiles{CA: ca.Cert, Cert: pair.Cert, Key: pair.Key}, nil)
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeEntry{transport: &quic.Transport{Conn: conn}, member: &peerv1.RosterEntry{
		Name:        name,
		DataCentre:  testDataCentre,
		Incarnation: uint64(i + 1),
		PeerAddress: conn.LocalAddr().String(),
	}}
	e.listener, err = e.transport.Listen(keys.ServerConfig(), link.Config())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.transport.Close(); _ = conn.Close() })
	go e.accept()
	return e
}

func (e *fakeEntry) accept() {
	for {
		conn, err := e.listener.Accept(context.Background())
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *fakeEntry) serve(conn *quic.Conn) {
	l, err := link.Accept(context.Background(), conn, link.NewStats(gometrics.NewRegistry()))
	if err != nil {
		return
	}
	welcome := &peerv1.Welcome{Name: e.member.GetName(), Incarnation: e.member.GetIncarnation()}
	_ = l.Send(&peerv1.Frame{Body: &peerv1.Frame_Welcome{Welcome: welcome}})
	e.setLink(l)
	defer e.setLink(nil)
	for {
		f, err := l.Receive()
		if err != nil {
			return
		}
		e.handle(l, f)
	}
}

func (e *fakeEntry) setLink(l *link.Link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.link = l
}

func (e *fakeEntry) handle(l *link.Link, f *peerv1.Frame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch body := f.GetBody().(type) {
	case *peerv1.Frame_Heartbeat:
		e.heartbeats++
		_ = l.Send(&peerv1.Frame{Body: &peerv1.Frame_Heartbeat{Heartbeat: &peerv1.Heartbeat{
			ReplyTo:  body.Heartbeat.GetSequence(),
			PermitMs: uint32(testPermit.Milliseconds()),
		}}})
	case *peerv1.Frame_Goodbye:
		e.goodbyes++
	case *peerv1.Frame_Result:
		e.results = append(e.results, body.Result)
	}
}

func (e *fakeEntry) send(t *testing.T, f *peerv1.Frame) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link == nil {
		t.Fatalf("%s has no link", e.member.GetName())
	}
	_ = e.link.Send(f)
}

// withLock returns the result of f, which is called with the entry's lock held.
func (e *fakeEntry) withLock(f func() bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return f()
}

func (e *fakeEntry) isLinked() bool { return e.withLock(func() bool { return e.link != nil }) }

// fixture is an agent and three entries, of which the agent's settings name only the first.
type fixture struct {
	agent   *Agent
	entries []*fakeEntry
	target  chan struct{} // each task ends when it receives one value
}

func newFixture(t *testing.T, links int) *fixture {
	t.Helper()
	ca, err := identity.NewCA("test")
	if err != nil {
		t.Fatal(err)
	}
	x := &fixture{target: make(chan struct{})}
	for i := range 3 {
		x.entries = append(x.entries, newFakeEntry(t, ca, i))
	}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-x.target }))
	t.Cleanup(server.Close)
	pair, err := identity.NewNodeCertificate(ca, identity.Identity{Name: "runner-agent", Role: "agent", DataCentre: testDataCentre})
	if err != nil {
		t.Fatal(err)
	}
	x.agent, err = New(&settings.Settings{
		Role:        settings.RoleAgent,
		Name:        "runner-agent",
		DataCentre:  testDataCentre,
		TLS:         settings.TLS{CA: ca.Cert, Cert: pair.Cert, Key: pair.Key},
		StopTimeout: settings.Duration(testTimeout),
		Agent: &settings.Agent{
			Entries:      []string{x.entries[0].member.GetPeerAddress()},
			StatusListen: "127.0.0.1:0",
			Links:        links,
			Target:       settings.Target{Name: "runner", URL: server.URL, Slots: 2, MaxConnections: 2, CPUs: 1, MemoryMB: 1},
		},
	}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { x.agent.Run(stop); close(stopped) }()
	t.Cleanup(func() { close(stop); <-stopped })
	return x
}

// sendRoster sends a roster of members to the agent over its link to the entry via.
func (x *fixture) sendRoster(t *testing.T, via *fakeEntry, revision uint64, members ...*fakeEntry) {
	t.Helper()
	r := roster.New(revision, membersOf(members))
	via.send(t, &peerv1.Frame{Body: &peerv1.Frame_Roster{Roster: r.Proto()}})
}

func membersOf(entries []*fakeEntry) []*peerv1.RosterEntry {
	var list []*peerv1.RosterEntry
	for _, e := range entries {
		list = append(list, e.member)
	}
	return list
}

// byPreference returns the entries in the order in which the agent chooses them.
func (x *fixture) byPreference() []*fakeEntry {
	r := roster.New(1, membersOf(x.entries))
	var ordered []*fakeEntry
	for _, m := range r.Subset("runner-agent", testDataCentre, len(x.entries)) {
		i := slices.IndexFunc(x.entries, func(e *fakeEntry) bool { return e.member == m })
		ordered = append(ordered, x.entries[i])
	}
	return ordered
}

// waitUntil waits until f returns true and fails the test after testTimeout.
func waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(testInterval) {
		if f() {
			return
		}
	}
	t.Fatalf("%s did not happen within %s", what, testTimeout)
}

func TestLinkSurvivesLossOfItsRosterSource(t *testing.T) {
	x := newFixture(t, 0)
	first, second, third := x.entries[0], x.entries[1], x.entries[2]
	waitUntil(t, "first link", first.isLinked)
	x.sendRoster(t, first, 1, first, second)
	waitUntil(t, "second link", second.isLinked)
	x.sendRoster(t, second, 2, first, second, third)
	waitUntil(t, "third link", third.isLinked)
	// The second entry, whose roster introduced the third, leaves the roster.
	x.sendRoster(t, first, 3, first, third)
	waitUntil(t, "end of the second link", func() bool { return !second.isLinked() })
	third.mu.Lock()
	link := third.link
	third.mu.Unlock()
	link.Close()
	waitUntil(t, "new link to the third", func() bool {
		return third.withLock(func() bool { return third.link != nil && third.link != link })
	})
}

func TestSubsetReplacesConfiguredEntries(t *testing.T) {
	x := newFixture(t, 1)
	waitUntil(t, "first link", x.entries[0].isLinked)
	x.sendRoster(t, x.entries[0], 1, x.entries...)
	order := x.byPreference()
	waitUntil(t, "link to the chosen entry only", func() bool {
		return order[0].isLinked() && !order[1].isLinked() && !order[2].isLinked()
	})
	// The chosen entry is lost and the agent links with the next one. Wait for the new roster
	// first: a roster still in transit would be lost with the link.
	x.sendRoster(t, order[0], 2, order[1], order[2])
	waitUntil(t, "the new roster", func() bool { return x.agent.roster.Load().Revision == 2 })
	_ = order[0].transport.Close()
	waitUntil(t, "link to the next entry only", func() bool { return order[1].isLinked() && !order[2].isLinked() })
}

func TestUnchosenLinkIsDrained(t *testing.T) {
	x := newFixture(t, 1)
	waitUntil(t, "first link", x.entries[0].isLinked)
	order := x.byPreference()
	x.sendRoster(t, x.entries[0], 1, order[1], order[2])
	old, chosen := order[1], order[0]
	waitUntil(t, "link to the old entry", old.isLinked)
	waitUntil(t, "permit", func() bool { return x.agent.permit.isValid(time.Now()) })
	id := &peerv1.AttemptID{Incarnation: old.member.GetIncarnation(), Sequence: 1}
	old.send(t, &peerv1.Frame{Body: &peerv1.Frame_ConfigUpdate{ConfigUpdate: &peerv1.ConfigUpdate{
		Revision: 1,
		Snapshot: true,
		Objects:  []*apiv1.Object{{Kind: apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, Name: "desk", Revision: 1}},
	}}})
	old.send(t, &peerv1.Frame{Body: &peerv1.Frame_Start{Start: &peerv1.Start{
		Id:         id,
		Department: "desk",
		Owner:      "owner",
		Task:       &apiv1.Task{},
		Sender:     old.member.GetIncarnation(),
		ExpiresMs:  uint32(testTimeout.Milliseconds()),
		DeadlineMs: uint32(testTimeout.Milliseconds()),
	}}})
	waitUntil(t, "start of the task", func() bool { return x.agent.attempts.Busy() == 1 })
	x.sendRoster(t, old, 2, x.entries...)
	waitUntil(t, "link to the chosen entry", chosen.isLinked)
	waitUntil(t, "goodbye to the old entry", func() bool { return old.withLock(func() bool { return old.goodbyes > 0 }) })
	if !old.isLinked() {
		t.Fatal("the link ended while a task of its entry ran")
	}
	x.target <- struct{}{}
	waitUntil(t, "end of the old link", func() bool { return !old.isLinked() })
	if !old.withLock(func() bool { return len(old.results) == 1 && old.results[0].GetFailure() == nil }) {
		t.Fatalf("the old entry got the results %v", old.results)
	}
}

func TestHeartbeatIntervalFollowsPermitLength(t *testing.T) {
	for permit, want := range map[time.Duration]time.Duration{
		0:                      minInterval,
		time.Second:            time.Second / roundsPerPermit,
		3 * time.Second:        time.Second,
		time.Minute:            link.IdleTimeout / roundsPerIdleTimeout,
		200 * time.Millisecond: minInterval,
	} {
		if got := heartbeatInterval(permit); got != want {
			t.Errorf("interval of a permit of %s is %s, want %s", permit, got, want)
		}
	}
}

func TestNoHeartbeatOnBusyLinkWithFreshPermit(t *testing.T) {
	now := time.Now()
	a := &Agent{}
	a.permit.extend(now, testPermit)
	s := &session{agent: a}
	for _, c := range []struct {
		what        string
		at          time.Duration
		receivedAgo time.Duration
		want        bool
	}{
		{"busy, fresh permit", 500 * time.Millisecond, time.Millisecond, false},
		{"idle, fresh permit", 500 * time.Millisecond, time.Second, true},
		{"busy, permit due", time.Second, time.Millisecond, true},
		{"busy, permit lapsed", 4 * time.Second, time.Millisecond, true},
	} {
		s.receivedAt = now.Add(c.at - c.receivedAgo)
		if got := s.needsHeartbeat(now.Add(c.at)); got != c.want {
			t.Errorf("%s: needs a heartbeat is %t", c.what, got)
		}
	}
}
