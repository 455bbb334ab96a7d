package untrusted_test

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	standinstore "github.com/rosemarybay/rosemarybay/internal/standin/store"
)

// The process of the product's own entry, whose port for callers uses TLS and tokens, and the
// bounds of its memory and descriptors. They were fixed on d08767c.
const (
	productIP             = "127.41.3.1"
	productStatusIP       = "127.41.4.1"
	productCaller         = productIP + ":7001"
	productStatus         = productStatusIP + ":7002"
	productToken          = "operator"
	productMemoryMB       = 256
	productMaxDescriptors = 1000
)

var productSize = size{productMemoryMB, productMaxDescriptors}

// startProduct starts an entry and an agent that do not use the users' platform.
func startProduct(t *testing.T) (entry, agent *process) {
	t.Helper()
	return startProductOf(t, 0)
}

// startProductOf starts them with a setting for the memory of the entry, 0 for none.
func startProductOf(t *testing.T, memoryMB int) (entry, agent *process) {
	t.Helper()
	dir := t.TempDir()
	store := standinstore.New()
	t.Cleanup(store.Close)
	serve(t, standinIP+":7300", store.Handler())
	ca := must(t)(identity.NewCA("test"))
	server := must(t)(identity.NewServerCertificate(ca, "entry", []string{productIP}))
	keys := func(name, role string) settings.TLS {
		pair := must(t)(identity.NewNodeCertificate(ca, identity.Identity{Name: name, Role: role, DataCentre: "dc1"}))
		return settings.TLS{CA: ca.Cert, Cert: pair.Cert, Key: pair.Key}
	}
	hash := sha256.Sum256([]byte(productToken))
	e := &settings.Settings{
		Role: settings.RoleEntry, Name: "entry-1", DataCentre: "dc1", TLS: keys("entry-1", identity.RoleEntry),
		Entry: &settings.Entry{
			MemoryMB:     memoryMB,
			CallerListen: productCaller, PeerListen: productIP + ":7000", StoreURL: "http://" + standinIP + ":7300",
			CallerTLS: &settings.CallerTLS{Cert: server.Cert, Key: server.Key},
			Callers:   []settings.Caller{{TokenSHA256: hex.EncodeToString(hash[:]), Operator: true}},
		},
	}
	a := &settings.Settings{
		Role: settings.RoleAgent, Name: "agent-1", DataCentre: "dc1", TLS: keys("agent-1", identity.RoleAgent),
		Agent: &settings.Agent{
			Entries: []string{productIP + ":7000"}, StatusListen: productStatus,
			Target: settings.Target{Name: "r1", URL: "http://" + standinIP + ":7200", Slots: 8, CPUs: 8, MemoryMB: 1000},
		},
	}
	entry, agent = startProcess(t, dir, e, productSize), startProcess(t, dir, a, productSize)
	await(t, "the entry is ready", func() bool { return productAnswers("/ready") })
	await(t, "the agent serves its counters", func() bool { return get("http://"+productStatus+"/metrics") == http.StatusOK })
	return entry, agent
}

func must(t *testing.T) func(identity.KeyPair, error) identity.KeyPair {
	return func(pair identity.KeyPair, err error) identity.KeyPair {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return pair
	}
}

func productTLS() *tls.Config { return &tls.Config{InsecureSkipVerify: true} }

// productAnswers reports whether a request of an operator is answered with 200.
func productAnswers(path string) bool {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: productTLS()}}
	r, err := http.NewRequest(http.MethodGet, "https://"+productCaller+path, nil)
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+productToken)
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// secured runs send over TLS.
func secured(send func(net.Conn) error) func(net.Conn) error {
	return func(conn net.Conn) error {
		c := tls.Client(conn, productTLS())
		if err := c.Handshake(); err != nil {
			return err
		}
		return send(c)
	}
}

// unfinishedHandshake sends a record of the first message of a handshake that announces the longest
// one, and fills all but its last bytes.
func unfinishedHandshake(conn net.Conn) error {
	const record, message = 16 << 10, 64<<10 - 1
	head := []byte{1, byte(message >> 16), byte(message >> 8 & 0xff), byte(message & 0xff)}
	sent := append(head, make([]byte, message-100)...)
	for len(sent) > 0 {
		n := min(record, len(sent))
		if _, err := conn.Write(append([]byte{22, 3, 1, byte(n >> 8), byte(n)}, sent[:n]...)); err != nil {
			return err
		}
		sent = sent[n:]
	}
	return nil
}

// TestCrowdsDoNotEndTheProductsProcesses guards against a port that takes any request into memory
// before it has read the token of its sender.
func TestCrowdsDoNotEndTheProductsProcesses(t *testing.T) {
	const method = "/rosemarybay.v1.JobService/Submit"
	post := "POST " + method + " HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n"
	announced := post + "Content-Length: " + strconv.Itoa(30<<20) + "\r\n\r\n"
	chunked := post + "Transfer-Encoding: chunked\r\n\r\n"
	wrongToken := post + "Authorization: Bearer none\r\nContent-Length: " + strconv.Itoa(30<<20) + "\r\n\r\n"
	status := "GET /metrics HTTP/1.1\r\nHost: agent\r\n"
	for _, c := range []shape{
		{"announced body", productCaller, senders, secured(repeat(announced, "x"))},
		{"announced body with a wrong token", productCaller, senders, secured(repeat(wrongToken, "x"))},
		{"body in one chunk", productCaller, senders, secured(repeat(chunked+"1E00000\r\n", "x"))},
		{"head without end", productCaller, senders, secured(repeat(post, "X-More: abcdefgh\r\n"))},
		{"long head", productCaller, senders, secured(repeat(post+"X-Long: ", "x"))},
		{"empty lines", productCaller, senders, secured(repeat("", "\r\n"))},
		{"short fields", productCaller, crowd, secured(shortFields(post, defaultHeadLimit))},
		{"unfinished handshakes", productCaller, crowd, unfinishedHandshake},
		{"no handshake", productCaller, idleConns, func(net.Conn) error { return nil }},
		{"idle connections", productCaller, idleConns, secured(func(net.Conn) error { return nil })},
		{"agent: head without end", productStatus, senders, repeat(status, "X-More: abcdefgh\r\n")},
		{"agent: short fields", productStatus, crowd, shortFields(status, defaultHeadLimit)},
		{"agent: idle connections", productStatus, largeCrowd, func(net.Conn) error { return nil }},
		{"agent: short fields of a large crowd", productStatus, largeCrowd, shortFields(status, 8<<10)},
		{"agent: announced body", productStatus, senders, repeat("POST /metrics HTTP/1.1\r\nHost: agent\r\nContent-Length: 31457280\r\n\r\n", "x")},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry, agent := startProduct(t)
			p := &processes{entry: entry, agent: agent}
			descriptors := watchDescriptors(t, p)
			closeAll := openCrowd(t, c.address, c.connections, c.send)
			defer closeAll()
			await(t, "the entry is ready beside the crowd", func() bool { return productAnswers("/ready") })
			await(t, "an operator is answered beside the crowd", func() bool { return productAnswers("/metrics") })
			await(t, "the agent serves its counters", func() bool { return get("http://"+productStatus+"/metrics") == http.StatusOK })
			most := descriptors()
			entry.check(t, most[0])
			agent.check(t, most[1])
		})
	}
}

// TestLargeRequestsOfOperatorsAreServedInCalm guards against limits for clients without a token that
// those with one meet.
func TestLargeRequestsOfOperatorsAreServedInCalm(t *testing.T) {
	startProduct(t)
	for _, length := range []int{1 << 10, 1 << 20, 8 << 20} {
		body := `{"filler":"` + strings.Repeat("x", length) + `"}`
		operatorIsServed(t, length, "Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	}
}

// TestLongChunkedRequestOfOperatorIsServedInCalm guards against a budget that one of the largest requests
// exceeds while its buffer grows, where its length is not announced.
func TestLongChunkedRequestOfOperatorIsServedInCalm(t *testing.T) {
	startProductOf(t, productMemoryMB)
	const length = 39 << 20
	body := `{"filler":"` + strings.Repeat("x", length) + `"}`
	operatorIsServed(t, length, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body))
}

// operatorIsServed sends a request with the token of an operator, whose head ends with rest.
func operatorIsServed(t *testing.T, length int, rest string) {
	t.Helper()
	conn, err := tls.Dial("tcp", productCaller, productTLS())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	head := "POST /rosemarybay.v1.FleetService/GetCounters HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\nAuthorization: Bearer " +
		productToken + "\r\n"
	_ = conn.SetDeadline(time.Now().Add(sendLimit))
	_, _ = io.WriteString(conn, head+rest)
	answer := make([]byte, 12)
	n, err := io.ReadFull(conn, answer)
	if got := string(answer[:n]); got != "HTTP/1.1 200" {
		t.Errorf("a body of %d bytes: %q (%v), expected status 200", length, got, err)
	}
}
