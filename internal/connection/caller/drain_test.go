package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// An entry stops while it answers: the whole answer must leave before its process
// ends, and the connection ends after it.
func TestDrainLetsTheAnswerLeave(t *testing.T) {
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
		Idle:           time.Minute,
		MaxConnections: 10,
		Bare:           true,
		Closing:        func() bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + address + "/")
		if err != nil {
			answered <- err.Error()
			return
		}
		body, _ := io.ReadAll(response.Body)
		answered <- string(body)
	}()
	for s.Requests() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if !s.Drain(ctx) {
		t.Error("drain ended with requests in progress")
	}
	s.Close(ctx)
	if got := <-answered; got != "whole" {
		t.Errorf("answer %q", got)
	}
}
