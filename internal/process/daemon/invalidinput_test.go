package daemon

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/quic-go/quic-go"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/connection/caller"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/connection/link"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Each invalid request is refused with the expected reason and counted, and the next job
// completes.
func TestInvalidRequestsAreRefused(t *testing.T) {
	p := startFixture(t)
	ticket, err := p.client("desk").Ticket(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	job := func(deadline time.Duration, tasks []*apiv1.Task) func(context.Context, *client.Client) error {
		return func(ctx context.Context, c *client.Client) error {
			_, err := c.Resubmit(ctx, ticket, client.Job{Deadline: deadline, Tasks: tasks})
			return err
		}
	}
	newTicket := func(ctx context.Context, c *client.Client) error {
		_, err := c.Ticket(ctx)
		return err
	}
	change := func(ctx context.Context, _ *client.Client) error {
		_, err := p.config("desk").Change(ctx, connect.NewRequest(&apiv1.ChangeRequest{ChangeId: "c", By: "x"}))
		return err
	}
	cancel := func(ctx context.Context, c *client.Client) error {
		_, err := c.Cancel(ctx, ticket)
		return err
	}
	otherDepartment := client.Config{URL: p.url(), Department: "nobody", Owner: "x", HTTP: p.httpClient("desk")}
	for _, c := range []struct {
		name   string
		client *client.Client
		call   func(context.Context, *client.Client) error
		want   verdict.Reason
	}{
		{"no tasks", p.client("desk"), job(time.Second, nil), apiv1.Reason_REASON_INVALID_ARGUMENT},
		{"deadline 0", p.client("desk"), job(0, twoTasks), apiv1.Reason_REASON_INVALID_ARGUMENT},
		{"ticket for another department", client.New(otherDepartment), newTicket, apiv1.Reason_REASON_PERMISSION_DENIED},
		{"no token", p.client(""), newTicket, apiv1.Reason_REASON_UNAUTHENTICATED},
		{"other department submits", p.client("hall"), job(time.Second, twoTasks), apiv1.Reason_REASON_PERMISSION_DENIED},
		{"other department cancels", p.client("hall"), cancel, apiv1.Reason_REASON_PERMISSION_DENIED},
		{"caller operates", nil, change, apiv1.Reason_REASON_PERMISSION_DENIED},
	} {
		t.Run(c.name, func(t *testing.T) {
			p.awaitRise("refused_"+verdict.ReasonName(c.want), 1, func() {
				e := verdict.FromError(c.call(t.Context(), c.client))
				if e == nil || e.Reason != c.want {
					t.Errorf("error %v, want %s", e, verdict.ReasonName(c.want))
				}
			})
		})
	}
	if err := p.submit(t.Context(), "desk"); err != nil {
		t.Errorf("job after the invalid requests: %v", err)
	}
}

// A body that is too large or cannot be decoded is refused as may_have_run with the reason
// invalid_argument. The default idle time is used, since on a busy machine the largest body
// takes longer to arrive than shortIdle.
func TestInvalidBodiesAreRefused(t *testing.T) {
	p := startFixtureWithIdle(t, 0)
	for name, body := range map[string][]byte{
		"oversized": make([]byte, caller.MaxBodyBytes+1),
		"random":    {0xff, 0xfe, 0x01},
		"truncated": {0x0a, 0x7f, 0x01},
	} {
		t.Run(name, func(t *testing.T) {
			p.awaitRise("refused_invalid_argument", 1, func() {
				response, err := p.httpClient("desk").Post(p.url()+apiv1connect.JobServiceSubmitProcedure, "application/proto", bytes.NewReader(body))
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = response.Body.Close() }()
				text, _ := io.ReadAll(response.Body)
				if response.StatusCode == http.StatusOK || !bytes.Contains(text, []byte("may_have_run: invalid_argument")) {
					t.Errorf("status %d, answer %s", response.StatusCode, text)
				}
			})
		})
	}
}

// Only operators may read the metrics.
func TestMetricsRequireOperatorToken(t *testing.T) {
	p := startFixture(t)
	for token, want := range map[string]int{"": http.StatusUnauthorized, "desk": http.StatusForbidden, "operator": http.StatusOK} {
		response, err := p.httpClient(token).Get(p.url() + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("token %q: status %d, want %d", token, response.StatusCode, want)
		}
	}
}

// dialPeer opens a connection to the peer port and returns an error if the entry refuses it.
func (p *fixture) dialPeer(config *tls.Config) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(p.t.Context(), 5*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, p.entrySettings.Entry.PeerListen, config, link.Config())
	if err != nil {
		return nil, err
	}
	// The server verifies the client's certificate only after the client's handshake has
	// ended, so wait up to one second for it to close the connection.
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	_ = stream.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = stream.Write([]byte{0})
	_, err = stream.Read(make([]byte, 1))
	if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() && conn.Context().Err() == nil {
		err = nil
	}
	return conn, err
}

func (p *fixture) keys(ca identity.KeyPair, name, role string) *identity.Keys {
	p.t.Helper()
	keys, err := identity.Load(p.nodeKeys(ca, name, role).Files(), nil)
	if err != nil {
		p.t.Fatal(err)
	}
	return keys
}

func TestInvalidPeerCertificatesAreRefused(t *testing.T) {
	p := startFixture(t)
	other := mustPair(t, func() (identity.KeyPair, error) { return identity.NewCA("other") })
	for name, config := range map[string]*tls.Config{
		"wrong authority": p.keys(other, "x", identity.RoleAgent).ClientConfig(),
		"no certificate":  {InsecureSkipVerify: true, NextProtos: []string{identity.Protocol}},
		"no role":         p.keys(p.ca, "x", "boss").ClientConfig(),
	} {
		t.Run(name, func(t *testing.T) {
			p.awaitRise("handshakes_refused", 1, func() {
				if _, err := p.dialPeer(config); err == nil {
					t.Error("connection was accepted")
				}
			})
		})
	}
	if err := p.submit(t.Context(), "desk"); err != nil {
		t.Errorf("job after the refused peers: %v", err)
	}
}

// An agent's certificate does not allow a link under another agent's name or calls that only
// entries may send. Malformed frames close the link.
func TestInvalidFramesCloseTheLink(t *testing.T) {
	p := startFixture(t)
	hello := &peerv1.Frame{Body: &peerv1.Frame_Hello{Hello: &peerv1.Hello{
		Name: agentName, DataCentre: "nbo1", Target: &peerv1.TargetInfo{Name: "r9", DataCentre: "nbo1", Slots: 1},
	}}}
	call := &peerv1.Frame{Body: &peerv1.Frame_Call{Call: &peerv1.Call{}}}
	whole := link.AppendFrame(nil, hello)
	for name, c := range map[string]struct {
		bytes   []byte
		counter string
	}{
		"another agent's name":     {whole, "links_refused"},
		"a call in place of hello": {link.AppendFrame(nil, call), "links_refused"},
		"truncated":                {whole[:len(whole)-1], "link_frames_malformed"},
		"random":                   {[]byte{5, 0xff, 0xff, 0xff, 0xff, 0xff}, "link_frames_malformed"},
		"oversized":                {[]byte{0xff, 0xff, 0xff, 0xff, 0x7f}, "link_frames_malformed"},
	} {
		t.Run(name, func(t *testing.T) {
			p.awaitRise(c.counter, 1, func() {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				conn, err := quic.DialAddr(ctx, p.entrySettings.Entry.PeerListen, p.keys(p.ca, "stranger", identity.RoleAgent).ClientConfig(), link.Config())
				if err != nil {
					t.Fatal(err)
				}
				stream, err := conn.OpenStreamSync(ctx)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = stream.Write(c.bytes)
				_ = stream.Close()
				select {
				case <-conn.Context().Done():
				case <-time.After(5 * time.Second):
					t.Error("the link stayed open")
				}
			})
		})
	}
	if err := p.submit(t.Context(), "desk"); err != nil {
		t.Errorf("job after the invalid frames: %v", err)
	}
}

// An agent refuses to link with another agent that listens at an entry's address.
func TestAgentRefusesAgentAsEntry(t *testing.T) {
	p := startFixture(t)
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	transport := &quic.Transport{Conn: conn}
	defer func() { _ = transport.Close() }()
	listener, err := transport.Listen(p.keys(p.ca, "false-entry", identity.RoleAgent).ServerConfig(), link.Config())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	s := p.agentSettings
	s.Name = "r2-agent"
	s.TLS = p.nodeKeys(p.ca, s.Name, identity.RoleAgent)
	section := *s.Agent
	section.StatusListen = "127.0.0.1:" + freePort(t)
	section.Entries = []string{conn.LocalAddr().String()}
	s.Agent = &section
	misdirected := &fixture{t: t, agentSettings: s}
	misdirected.runAgent(p.parse(s))
	misdirected.await("the refusal is counted", func() bool {
		count := misdirected.agentCounter("handshakes_refused")
		return count != "" && count != "0"
	})
}

// Random bytes on each port and half-open TLS connections do not disturb jobs. The caller
// connections that sent them are closed and counted.
func TestRandomBytesDoNotDisturbJobs(t *testing.T) {
	p := startFixture(t)
	random := rand.NewChaCha8([32]byte{8})
	const rounds = 100
	p.awaitRise("caller_connections_cut_malformed", rounds/2, func() {
		for range rounds {
			for address, network := range map[string]string{
				p.entrySettings.Entry.CallerListen: "tcp",
				p.entrySettings.Entry.PeerListen:   "udp",
				p.agentSettings.Agent.StatusListen: "tcp",
			} {
				conn, err := net.Dial(network, address)
				if err != nil {
					t.Fatal(err)
				}
				garbage := make([]byte, 1+random.Uint64()%1200)
				_, _ = random.Read(garbage)
				_, _ = conn.Write(garbage)
				defer func() { _ = conn.Close() }()
			}
		}
		if err := p.submit(t.Context(), "desk"); err != nil {
			t.Errorf("job among the random bytes: %v", err)
		}
	})
	p.awaitRise("caller_connections_cut_slow", 2, func() {
		for _, part := range []string{"", "\x16\x03\x01\x02\x00"} { // nothing, or the start of a TLS record
			conn, err := net.Dial("tcp", p.entrySettings.Entry.CallerListen)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write([]byte(part))
			defer func() { _ = conn.Close() }()
		}
		p.await("a half-open connection is cut", func() bool { return p.counter("caller_connections_cut_slow") > 0 })
	})
}

// An invalid submission is answered not_run if its ticket is new, and may_have_run if a job
// with the ticket may already have run.
func TestInvalidResubmissionMayHaveRun(t *testing.T) {
	p := startFixture(t)
	c := p.client("desk")
	ticket, err := c.Ticket(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	submitInvalid := func() *verdict.Error {
		_, err := c.Resubmit(t.Context(), ticket, client.Job{Deadline: time.Second})
		return verdict.FromError(err)
	}
	if e := submitInvalid(); e == nil || e.Verdict != verdict.NotRun {
		t.Errorf("before the job ran: %v, want not_run", e)
	}
	if _, err := c.Resubmit(t.Context(), ticket, client.Job{Deadline: 5 * time.Second, Tasks: twoTasks}); err != nil {
		t.Fatal(err)
	}
	if e := submitInvalid(); e == nil || e.Verdict != verdict.MayHaveRun {
		t.Errorf("after the job ran: %v, want may_have_run", e)
	}
}
