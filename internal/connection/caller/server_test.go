package caller

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
)

// listen starts a server on a free loopback port.
func listen(t *testing.T, o Options) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.Address = l.Addr().String()
	_ = l.Close()
	if o.IdleTimeout == 0 {
		o.IdleTimeout = time.Minute
	}
	s, err := Listen(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.Close(ctx)
	})
	return o.Address
}

// httpsKeys returns keys for a server on loopback and a client that trusts them.
func httpsKeys(t *testing.T) (*Keys, *http.Client) {
	t.Helper()
	ca, err := identity.NewCA("test")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := identity.NewServerCertificate(ca, "entry", []string{"127.0.0.1"})
	if err != nil {
		t.Fatal(err)
	}
	keys, err := LoadKeys(pair.Cert, pair.Key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(ca.Cert))
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}
	t.Cleanup(transport.CloseIdleConnections)
	return keys, &http.Client{Transport: transport}
}

func TestDisconnectCancelsRequest(t *testing.T) {
	t.Run("http", func(t *testing.T) { testDisconnect(t, "http://", nil, &http.Client{Transport: &http.Transport{}}) })
	t.Run("https", func(t *testing.T) {
		keys, client := httpsKeys(t)
		testDisconnect(t, "https://", keys, client)
	})
}

func testDisconnect(t *testing.T, scheme string, keys *Keys, client *http.Client) {
	started := make(chan struct{})
	cancelled := make(chan struct{})
	address := listen(t, Options{Keys: keys, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})})
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	select {
	case <-started:
	case <-time.After(10 * time.Second):
		t.Fatal("request did not reach the handler")
	}
	disconnect()
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Fatal("request was not cancelled after its caller disconnected")
	}
}

// A caller whose connection is reset sends its job to another entry within milliseconds. The
// request is cancelled when the engine has read the reset, not only by the next poll.
func TestResetConnectionCancelsRequestWithoutPoll(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	s, err := Listen(Options{Address: "127.0.0.1:0", IdleTimeout: time.Minute, MaxConnections: 10, NoLimits: true,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(cancelled)
		})})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close(t.Context())
	s.disconnects.running = true // no poll begins
	client, err := net.Dial("tcp", s.engine.Addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-started
	_ = client.(*net.TCPConn).SetLinger(0)
	_ = client.Close()
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Error("request was not cancelled")
	}
}

func TestListenRefusesPortInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if _, err := Listen(Options{Address: l.Addr().String(), Handler: http.NotFoundHandler(), IdleTimeout: time.Minute}); err == nil {
		t.Error("no error for a port in use")
	}
}

func TestKeysReloadForLaterConnections(t *testing.T) {
	keys, client := httpsKeys(t)
	address := listen(t, Options{Keys: keys, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	get := func(client *http.Client) error {
		response, err := client.Get("https://" + address)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body) // so that the connection is reused
			_ = response.Body.Close()
		}
		return err
	}
	if err := get(client); err != nil {
		t.Fatal(err)
	}
	otherKeys, otherClient := httpsKeys(t)
	keys.pair.Store(otherKeys.pair.Load())
	if err := get(otherClient); err != nil {
		t.Errorf("new connection after the reload: %v", err)
	}
	if err := get(client); err != nil {
		t.Errorf("open connection after the reload: %v", err)
	}
}
