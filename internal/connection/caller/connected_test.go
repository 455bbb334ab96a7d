package caller

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// acceptedConn is a connection of which the engine has not read the end.
type acceptedConn struct{ *net.TCPConn }

func (acceptedConn) IsClosed() (bool, error) { return false, nil }

// connectedPair returns the context of a request and the client's side of its connection.
func connectedPair(t *testing.T) (context.Context, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), conn.Close() })
	return context.WithValue(context.Background(), connKey{}, acceptedConn{conn.(*net.TCPConn)}), client.(*net.TCPConn)
}

// awaitDisconnect waits until the client of a request no longer counts as connected.
func awaitDisconnect(t *testing.T, ctx context.Context) {
	t.Helper()
	for begun := time.Now(); IsConnected(ctx); time.Sleep(time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the client still counts as connected")
		}
	}
}

// The process was paused, and the engine has not read that the client has closed its connection.
func TestClosedConnectionIsSeenBeforeEngineReadsIt(t *testing.T) {
	ctx, client := connectedPair(t)
	if !IsConnected(ctx) {
		t.Fatal("a connected client counts as disconnected")
	}
	_ = client.Close()
	awaitDisconnect(t, ctx)
}

func TestResetConnectionIsSeenBeforeEngineReadsIt(t *testing.T) {
	ctx, client := connectedPair(t)
	_ = client.SetLinger(0)
	_ = client.Close()
	awaitDisconnect(t, ctx)
}

func TestClientThatSendsFurtherRequestIsConnected(t *testing.T) {
	ctx, client := connectedPair(t)
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		if !IsConnected(ctx) {
			t.Fatal("a client that has sent a further request counts as disconnected")
		}
		time.Sleep(time.Millisecond)
	}
}

// The process was paused, and the client has sent a further request, or the closing alert of TLS,
// before its connection ended.
func TestEndOfConnectionIsSeenBehindUnreadData(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*net.TCPConn)
	}{
		{"reset", func(client *net.TCPConn) { _, _ = client.SetLinger(0), client.Close() }},
		{"closed", func(client *net.TCPConn) { _ = client.Close() }},
		{"half-closed", func(client *net.TCPConn) { _ = client.CloseWrite() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, client := connectedPair(t)
			if _, err := client.Write([]byte("GET / HTTP/1.1\r\n")); err != nil {
				t.Fatal(err)
			}
			c.end(client)
			awaitDisconnect(t, ctx)
		})
	}
}

func TestRequestWhoseContextHasEndedIsDisconnected(t *testing.T) {
	ctx, _ := connectedPair(t)
	ended, cancel := context.WithCancel(ctx)
	cancel()
	if IsConnected(ended) {
		t.Error("a cancelled request counts as connected")
	}
}

// closedConn is a connection that the engine has closed once closed is set.
type closedConn struct {
	acceptedConn
	closed atomic.Bool
}

func (c *closedConn) IsClosed() (bool, error) { return c.closed.Load(), nil }

func (c *closedConn) SetReadDeadline(time.Time) error { return nil }

// noticeLimit is the time within which a closed connection must be noticed.
const noticeLimit = 25 * time.Millisecond

// A caller whose connection is reset sends its job to another entry within some tens of
// milliseconds.
func TestRequestIsCancelledSoonAfterItsConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &disconnectWatcher{}
		for range 3 {
			conn := &closedConn{}
			ctx, cancel := context.WithCancel(context.Background())
			r := &watchedRequest{conn: conn, cancel: cancel}
			d.add(r)
			time.Sleep(time.Second)
			if ctx.Err() != nil {
				t.Fatal("cancelled while the connection was open")
			}
			conn.closed.Store(true)
			time.Sleep(noticeLimit)
			if ctx.Err() == nil {
				t.Error("not cancelled")
			}
			d.remove(r)
			time.Sleep(2 * disconnectPollInterval)
			d.mu.Lock()
			running := d.running
			d.mu.Unlock()
			if running {
				t.Error("the watcher runs without a request")
			}
		}
	})
}

// A system call for one connection must not delay the requests of the others: their starts, and
// the notice that their clients have left.
func TestSlowSystemCallOfOneConnectionDelaysNoOther(t *testing.T) {
	d := &disconnectWatcher{}
	slow := &slowConn{called: make(chan struct{}), release: make(chan struct{})}
	request := &watchedRequest{conn: slow, cancel: func() {}}
	d.add(request)
	read := make(chan struct{})
	go func() {
		defer close(read)
		d.afterRead(slow)
	}()
	<-slow.called
	other := make(chan struct{})
	go func() {
		defer close(other)
		r := &watchedRequest{conn: &closedConn{}, cancel: func() {}}
		d.add(r)
		d.remove(r)
	}()
	select {
	case <-other:
	case <-time.After(10 * time.Second):
		t.Error("a request waits for the system call of another connection")
	}
	close(slow.release)
	<-read
	<-other
	d.remove(request)
}

// slowConn is a connection whose system calls end once release is closed.
type slowConn struct {
	closedConn
	called, release chan struct{}
}

func (c *slowConn) SyscallConn() (syscall.RawConn, error) {
	close(c.called)
	<-c.release
	return nil, syscall.EINVAL
}

// The engine runs the requests of a connection one after the other. The watcher does not rely on
// that: the end of a request must not leave the next one unwatched.
func TestEndOfRequestLeavesNextOneOfItsConnectionWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &disconnectWatcher{}
		conn := &closedConn{}
		older := &watchedRequest{conn: conn, cancel: func() {}}
		ctx, cancel := context.WithCancel(context.Background())
		newer := &watchedRequest{conn: conn, cancel: cancel}
		d.add(older)
		d.add(newer)
		d.remove(older)
		conn.closed.Store(true)
		time.Sleep(noticeLimit)
		if ctx.Err() == nil {
			t.Error("not cancelled")
		}
		d.remove(newer)
		time.Sleep(2 * disconnectPollInterval)
	})
}
