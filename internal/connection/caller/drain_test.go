package caller

import (
	"context"
	"io"
	"net"
	"net/http"
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
