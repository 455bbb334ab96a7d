package daemon

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/process/agent"
	"github.com/rosemarybay/rosemarybay/internal/process/entry"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	standinstore "github.com/rosemarybay/rosemarybay/internal/standin/store"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

const (
	awaitTimeout  = 20 * time.Second
	awaitInterval = 20 * time.Millisecond
	entryName     = "nbo1-entry-1"
	agentName     = "r1-agent"
)

// fixture runs one entry and one agent in the test process, with stand-ins for the store and
// the target.
type fixture struct {
	t             *testing.T
	ca            identity.KeyPair
	callerPair    identity.KeyPair // certificate of the caller port
	entry         *entry.Entry
	agent         *agent.Agent
	entrySettings settings.Settings
	agentSettings settings.Settings
	http          http.RoundTripper
	ledger        standintarget.Ledger
	target        *standintarget.Target // of the first agent
}

// shortIdle is the time limit for a request to arrive completely. It is short so that tests
// of slow callers do not wait long.
const shortIdle = 2 * time.Second

// startFixture starts an entry, which accepts the tokens "desk", "hall" and "operator", and
// an agent.
func startFixture(t *testing.T) *fixture {
	t.Helper()
	return startFixtureWithIdle(t, shortIdle)
}

// startFixtureWithIdle is startFixture with another time limit for a request to arrive; 0
// selects the default of the settings.
func startFixtureWithIdle(t *testing.T, idle time.Duration) *fixture {
	t.Helper()
	p := &fixture{t: t, ca: mustPair(t, func() (identity.KeyPair, error) { return identity.NewCA("test") })}
	host := netip.AddrFrom4([4]byte{127, 240, byte(rand.N(250)), byte(1 + rand.N(250))}).String()
	store := standinstore.New()
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(func() {
		store.Close()
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	var targetURL string
	p.target, targetURL = p.startTarget("r1")
	p.callerPair = mustPair(t, func() (identity.KeyPair, error) { return identity.NewServerCertificate(p.ca, "entry", []string{host}) })
	p.entrySettings = settings.Settings{
		Role: settings.RoleEntry, Name: entryName, DataCentre: "nbo1", TLS: p.nodeKeys(p.ca, entryName, identity.RoleEntry),
		Entry: &settings.Entry{
			CallerListen: host + ":7001", PeerListen: host + ":7000", StoreURL: storeServer.URL,
			CallerTLS: &settings.CallerTLS{Cert: p.callerPair.Cert, Key: p.callerPair.Key},
			Callers: []settings.Caller{
				{TokenSHA256: hashOf("desk"), Department: "desk"},
				{TokenSHA256: hashOf("hall"), Department: "hall"},
				{TokenSHA256: hashOf("operator"), Operator: true},
			},
			CallerIdle: settings.Duration(idle),
		},
	}
	p.agentSettings = settings.Settings{
		Role: settings.RoleAgent, Name: agentName, DataCentre: "nbo1", TLS: p.nodeKeys(p.ca, agentName, identity.RoleAgent),
		Agent: &settings.Agent{
			Entries: []string{host + ":7000"}, StatusListen: host + ":7002",
			Target: settings.Target{Name: "r1", Rack: "a", URL: targetURL, Slots: 8, CPUs: 30, MemoryMB: 130000},
		},
	}
	p.http = p.transport()
	p.run()
	return p
}

// startTarget starts a stand-in target, which records its starts in the fixture's ledger.
func (p *fixture) startTarget(name string) (*standintarget.Target, string) {
	target := standintarget.New(name, "nbo1", &p.ledger)
	server := httptest.NewServer(target)
	p.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return target, server.URL
}

// run starts both nodes, creates the department "desk" and waits until a job completes. The
// nodes stop at the end of the test.
func (p *fixture) run() {
	p.t.Helper()
	var err error
	if p.entry, err = entry.New(p.parse(p.entrySettings), zerolog.Nop()); err != nil {
		p.t.Fatal(err)
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { p.entry.Run(stop); close(done) }()
	p.t.Cleanup(func() {
		close(stop)
		<-done
	})
	p.runAgent(p.parse(p.agentSettings))
	p.await("the entry is ready", func() bool {
		_, err := p.config("operator").Change(p.t.Context(), connect.NewRequest(&apiv1.ChangeRequest{
			ChangeId: "create", By: "test", Kind: apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, Name: "desk", AnyBase: true,
			Change: &apiv1.ChangeRequest_Create{Create: &apiv1.Create{}},
		}))
		return err == nil
	})
	p.await("a job completes", func() bool { return p.submit(p.t.Context(), "desk") == nil })
}

// runAgent starts an agent and stops it at the end of the test.
func (p *fixture) runAgent(s *settings.Settings) {
	p.t.Helper()
	a, err := agent.New(s, zerolog.Nop())
	if err != nil {
		p.t.Fatal(err)
	}
	p.agent = a
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { a.Run(stop); close(done) }()
	p.t.Cleanup(func() {
		close(stop)
		<-done
	})
}

// freePort returns a loopback port that was free at the time of the call.
func freePort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// parse validates settings and fills in the defaults, as the daemon does.
func (p *fixture) parse(s settings.Settings) *settings.Settings {
	p.t.Helper()
	s.StopTimeout = settings.Duration(3 * time.Second)
	b, err := json.Marshal(s)
	if err != nil {
		p.t.Fatal(err)
	}
	parsed, err := settings.Parse(b)
	if err != nil {
		p.t.Fatal(err)
	}
	return parsed
}

// mustPair returns the result of f and fails the test on an error.
func mustPair(t *testing.T, f func() (identity.KeyPair, error)) identity.KeyPair {
	t.Helper()
	pair, err := f()
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

// nodeKeys generates a node certificate signed by ca, for a node that trusts the fixture's
// authority.
func (p *fixture) nodeKeys(ca identity.KeyPair, name, role string) settings.TLS {
	p.t.Helper()
	id := identity.Identity{Name: name, Role: role, DataCentre: "nbo1"}
	pair := mustPair(p.t, func() (identity.KeyPair, error) { return identity.NewNodeCertificate(ca, id) })
	return settings.TLS{CA: p.ca.Cert, Cert: pair.Cert, Key: pair.Key}
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func hashOf(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

// transport returns an HTTP transport with its own connection pool, which trusts the
// fixture's authority.
func (p *fixture) transport() *http.Transport {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(p.ca.Cert))
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, IdleConnTimeout: time.Second}
	p.t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// tokenTransport is a http.RoundTripper that adds a bearer token to each request.
type tokenTransport struct {
	next  http.RoundTripper
	token string
}

func (w tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+w.token)
	return w.next.RoundTrip(r)
}

func (p *fixture) httpClient(token string) *http.Client {
	return &http.Client{Transport: tokenTransport{next: p.http, token: token}}
}

func (p *fixture) url() string { return "https://" + p.entrySettings.Entry.CallerListen }

func (p *fixture) config(token string) apiv1connect.ConfigServiceClient {
	return apiv1connect.NewConfigServiceClient(p.httpClient(token), p.url())
}

// client returns a client for the department "desk" that uses the given token.
func (p *fixture) client(token string) *client.Client {
	return client.New(client.Config{URL: p.url(), Department: "desk", Owner: "amina", HTTP: p.httpClient(token)})
}

var twoTasks = []*apiv1.Task{
	{Kind: "t", RunMs: 5, Payload: []byte(`{"task":"t-1","run_ms":5}`)},
	{Kind: "t", RunMs: 5, Payload: []byte(`{"task":"t-2","run_ms":5}`)},
}

func (p *fixture) submit(ctx context.Context, token string) error {
	_, err := p.client(token).Submit(ctx, client.Job{Deadline: 10 * time.Second, Tasks: twoTasks})
	return err
}

// counter returns the value of a counter of the entry, or 0 if it is not set.
func (p *fixture) counter(name string) int64 {
	p.t.Helper()
	fleet := apiv1connect.NewFleetServiceClient(p.httpClient("operator"), p.url())
	response, err := fleet.GetCounters(p.t.Context(), connect.NewRequest(&apiv1.GetCountersRequest{}))
	if err != nil {
		p.t.Fatal(err)
	}
	for _, c := range response.Msg.GetCounters() {
		if c.GetName() == name {
			return c.GetValue()
		}
	}
	return 0
}

// agentCounter returns the text of a counter from the agent's metrics, or "" if it is absent.
func (p *fixture) agentCounter(name string) string {
	p.t.Helper()
	response, err := http.Get("http://" + p.agentSettings.Agent.StatusListen + "/metrics")
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	_ = response.Write(&text)
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(line, "rosemarybay_"+name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// await waits until holds returns true and fails the test after awaitTimeout.
func (p *fixture) await(what string, holds func() bool) {
	p.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			p.t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(awaitInterval)
	}
}

// awaitRise runs action and waits until a counter of the entry has risen by at least n.
func (p *fixture) awaitRise(name string, n int64, action func()) {
	p.t.Helper()
	before := p.counter(name)
	action()
	p.await(name+" rises", func() bool { return p.counter(name) >= before+n })
}
