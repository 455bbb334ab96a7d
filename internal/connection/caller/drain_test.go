package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a truncated response when an entry stops while it responds: Drain must
// wait until the whole response is written, and the connection closes after it.
func TestDrainWaitsForCompleteResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	s, err := Listen(Options{
		Address: address,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(150 * time.Millisecond)
			_, _ = w.Write([]byte("whole"))
		}),
		IdleTimeout:    time.Minute,
		MaxConnections: 10,
		NoLimits:       true,
		IsStopping:     func() bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + address + "/")
		if err != nil {
			received <- err.Error()
			return
		}
		body, _ := io.ReadAll(response.Body)
		received <- string(body)
	}()
	for s.OpenRequests() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if !s.Drain(ctx) {
		t.Error("drain ended with requests in progress")
	}
	s.Close(ctx)
	if got := <-received; got != "whole" {
		t.Errorf("response body %q", got)
	}
}

// TestConnectionsAreClosedWhileStopping guards against connections that stay open on a server that stops:
// their next requests would be lost.
func TestConnectionsAreClosedWhileStopping(t *testing.T) {
	address := listen(t, Options{NoLimits: true, Handler: http.NotFoundHandler(), IsStopping: func() bool { return true }})
	conn := openConn(t, address)
	send(t, conn, get)
	if b, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 404") {
		t.Errorf("the connection ended with %q (%v), expected one response and its end", b, err)
	}
}

// TestDrainWaitsForRequestsWithoutMemory guards against requests that are lost by a stop while they wait
// for memory.
func TestDrainWaitsForRequestsWithoutMemory(t *testing.T) {
	s := &Server{}
	c := &inbound{server: s, usage: usage{}}
	in := NewIntake(IntakeOptions{Bytes: 1 << 20})
	in.conns[c] = struct{}{}
	in.used, in.large = 1<<20, 1
	in.received(c, []*message{{weight: 1 << 19}}, 0, nil)
	if n := s.OpenRequests(); n != 1 {
		t.Errorf("%d open requests, expected 1", n)
	}
	in.closed(c)
	if n := s.OpenRequests(); n != 0 {
		t.Errorf("%d open requests after the connection has ended, expected 0", n)
	}
}
