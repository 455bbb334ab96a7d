package caller

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// listen starts a server on a free loopback port.
func listen(t *testing.T, handler http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	s, err := Listen(Options{Address: address, Handler: handler, Idle: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.Close(ctx)
	})
	return address
}

func TestHangupCancelsRequest(t *testing.T) {
	began := make(chan struct{})
	cancelled := make(chan struct{})
	address := listen(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(cancelled)
	}))
	ctx, hangUp := context.WithCancel(context.Background())
	defer hangUp()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	<-began
	hangUp()
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Fatal("request went on after its caller hung up")
	}
}

func TestListenRefusesPortInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if _, err := Listen(Options{Address: l.Addr().String(), Handler: http.NotFoundHandler(), Idle: time.Minute}); err == nil {
		t.Error("no error for a port in use")
	}
}
