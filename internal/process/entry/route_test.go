package entry

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	gometrics "github.com/rcrowley/go-metrics"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/connection/link"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

const (
	testHome        = 7
	testRouteLimit  = 10 * time.Second
	testEntryNumber = 1
)

// fakeHome is the home of a ticket. It closes the link of each call that has no reply left.
type fakeHome struct {
	member   *peerv1.RosterEntry
	listener *quic.Listener

	mu      sync.Mutex
	replies []*peerv1.Reply // a nil reply closes the link without one
	calls   int
}

func newFakeHome(t *testing.T, ca identity.KeyPair, replies []*peerv1.Reply) *fakeHome {
	t.Helper()
	transport := newTestTransport(t)
	h := &fakeHome{replies: replies, member: &peerv1.RosterEntry{
		Name: "home", DataCentre: "nbo1", Incarnation: testHome, PeerAddress: transport.Conn.LocalAddr().String(),
	}}
	var err error
	if h.listener, err = transport.Listen(newTestKeys(t, ca, "home").ServerConfig(), link.Config()); err != nil {
		t.Fatal(err)
	}
	go h.accept()
	return h
}

func newTestTransport(t *testing.T) *quic.Transport {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	transport := &quic.Transport{Conn: conn}
	t.Cleanup(func() { _ = transport.Close(); _ = conn.Close() })
	return transport
}

func newTestKeys(t *testing.T, ca identity.KeyPair, name string) *identity.Keys {
	t.Helper()
	pair, err := identity.NewNodeCertificate(ca, identity.Identity{Name: name, Role: identity.RoleEntry, DataCentre: "nbo1"})
	if err != nil {
		t.Fatal(err)
	}
	keys, err := identity.Load(identity.KeyFiles{CA: ca.Cert, Cert: pair.Cert, Key: pair.Key}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func (h *fakeHome) accept() {
	for {
		conn, err := h.listener.Accept(context.Background())
		if err != nil {
			return
		}
		go h.serve(conn)
	}
}

func (h *fakeHome) serve(conn *quic.Conn) {
	l, err := link.Accept(context.Background(), conn, link.NewStats(gometrics.NewRegistry()))
	if err != nil {
		return
	}
	if _, err := l.Receive(); err != nil {
		return
	}
	_ = l.Send(&peerv1.Frame{Body: &peerv1.Frame_Welcome{Welcome: &peerv1.Welcome{Name: "home", Incarnation: testHome}}})
	l.ServeCalls(func(context.Context, *peerv1.Call) *peerv1.Reply {
		reply := h.nextReply()
		if reply == nil {
			l.Close()
		}
		return reply
	})
}

func (h *fakeHome) callCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls
}

func (h *fakeHome) nextReply() *peerv1.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	if len(h.replies) == 0 {
		return nil
	}
	reply := h.replies[0]
	h.replies = h.replies[1:]
	return reply
}

// newRoutingEntry returns an entry that can pass calls to a home and does nothing else.
func newRoutingEntry(t *testing.T, ca identity.KeyPair, home *peerv1.RosterEntry) *Entry {
	t.Helper()
	counters := metrics.New()
	e := &Entry{
		settings: &settings.Settings{Name: "entry", DataCentre: "nbo1", Entry: &settings.Entry{}}, incarnation: testEntryNumber, counters: counters,
		stats: link.NewStats(counters.Registry()), config: config.NewView(), roster: roster.NewView(), adoptions: newAdoptions(),
		transport: newTestTransport(t), access: &access{keys: newTestKeys(t, ca, "entry")}, lease: newLease(time.Minute),
	}
	e.peers = newPeers(e)
	e.roster.Apply(roster.New(1, []*peerv1.RosterEntry{home}))
	return e
}

// The home may still execute a call whose answer was lost. Its refusal of the repeat, on a new
// link, must not be passed on as a proof that nothing runs.
func TestRefusalOfRepeatedForwardIsNotReportedAsNotRun(t *testing.T) {
	refused := &peerv1.Reply{Failure: verdict.NotRunError(apiv1.Reason_REASON_OVERLOAD, "too many tasks are waiting").Failure()}
	joined := &peerv1.Reply{Response: &peerv1.Reply_Answer{Answer: &apiv1.Answer{
		State:   apiv1.JobState_JOB_STATE_FAILED,
		Failure: verdict.NotRunError(apiv1.Reason_REASON_CANCELLED, "cancelled before its start").Failure(),
	}}}
	ca, err := identity.NewCA("test")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		replies []*peerv1.Reply
		want    verdict.Verdict
	}{
		{"refused", []*peerv1.Reply{refused}, verdict.NotRun},
		{"no answer, then refused", []*peerv1.Reply{nil, refused}, verdict.MayHaveRun},
		{"no answer, then joined", []*peerv1.Reply{nil, joined}, verdict.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			home := newFakeHome(t, ca, c.replies)
			e := newRoutingEntry(t, ca, home.member)
			ctx, cancel := context.WithTimeout(t.Context(), testRouteLimit)
			defer cancel()
			call := &peerv1.Call{Request: &peerv1.Call_Submit{Submit: &apiv1.SubmitRequest{}}}
			answer, refusal := e.route(ctx, ticket.Ticket{ID: ticket.ID{Home: testHome, Sequence: 1}}, call)
			got := answer.GetFailure().GetVerdict()
			if refusal != nil {
				got = refusal.Verdict
			}
			if got != c.want || home.callCount() != len(c.replies) {
				t.Errorf("got %v, %v after %d calls, want %v", answer, refusal, home.callCount(), c.want)
			}
		})
	}
}

// Each error of a call has a class. Only a call that was not sent is certain not to be executed.
func TestOnlyUnsentCallsAreKnownAsNotExecuted(t *testing.T) {
	ca, err := identity.NewCA("test")
	if err != nil {
		t.Fatal(err)
	}
	home := newFakeHome(t, ca, nil)
	gone := newTestTransport(t)
	another := &peerv1.RosterEntry{Name: "home", Incarnation: testHome + 1, PeerAddress: home.member.GetPeerAddress()}
	silent := &peerv1.RosterEntry{Name: "gone", Incarnation: testHome, PeerAddress: gone.Conn.LocalAddr().String()}
	for _, c := range []struct {
		name string
		to   *peerv1.RosterEntry
		want verdict.Proof
	}{
		{"no reply", home.member, verdict.ProvesNothing},
		{"not reached", silent, verdict.ProvesRejected},
		{"another incarnation", another, verdict.ProvesRejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newRoutingEntry(t, ca, c.to)
			ctx, cancel := context.WithTimeout(t.Context(), testRouteLimit)
			defer cancel()
			_, err := e.peers.call(ctx, c.to, &peerv1.Call{Request: &peerv1.Call_Submit{Submit: &apiv1.SubmitRequest{}}})
			if err == nil || proofOfCallError(err) != c.want {
				t.Errorf("%v proves %v, want %v", err, proofOfCallError(err), c.want)
			}
		})
	}
}

// Another entry may have adopted the tickets of an entry that lost its lease, and may have
// started their jobs. Its tables no longer say that a ticket was never submitted.
func TestAdopterWithoutLeaseDoesNotAnswerForTickets(t *testing.T) {
	ca, err := identity.NewCA("test")
	if err != nil {
		t.Fatal(err)
	}
	e := newRoutingEntry(t, ca, &peerv1.RosterEntry{})
	e.jobs = jobs.NewTable(e.incarnation, ticket.Key{1}, time.Minute, nil, e.counters)
	a := e.newAdoption(testHome, jobs.Adopted{Generation: 1, Records: jobs.NewAttemptRecords(testHome), HandedOver: true})
	close(a.ready)
	e.adoptions.add(a)
	tickets := a.table.Issue("desk", "mama", 1)
	call := &peerv1.Call{Request: &peerv1.Call_GetJob{GetJob: &apiv1.GetJobRequest{Ticket: tickets[0], Department: "desk", Owner: "mama"}}}
	if _, err, ok := e.answerLocally(t.Context(), testHome, call); !ok || err.Verdict != verdict.NotRun {
		t.Errorf("with the lease: %v, want not run", err)
	}
	e.lease.markLost()
	if _, err, ok := e.answerLocally(t.Context(), testHome, call); !ok || err.Verdict != verdict.MayHaveRun {
		t.Errorf("without the lease: %v, want may have run", err)
	}
}
