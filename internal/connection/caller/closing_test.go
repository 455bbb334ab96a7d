package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestConnectionsToCloseForNewOnes guards against a crowd that keeps callers out: silent connections and
// those that send a byte now and then go first, then idle ones, then those that have been busy for longest.
func TestConnectionsToCloseForNewOnes(t *testing.T) {
	begun := time.Now()
	at := func(s int) time.Time { return begun.Add(time.Duration(s) * time.Second) }
	served := func(activeAt int) *inbound { return &inbound{served: true, activeAt: at(activeAt)} }
	unserved := func(openedAt int) *inbound { return &inbound{openedAt: at(openedAt), activeAt: at(openedAt)} }
	busy := func(startedAt int) *inbound { return &inbound{running: true, startedAt: at(startedAt)} }
	waiting := &inbound{server: &Server{}, queue: []*message{{}}, waiting: true, openedAt: at(0), startedAt: at(1)}
	old, fresh := unserved(1), unserved(9)
	idle, oldestIdle, longest := served(5), served(3), busy(2)
	for _, c := range []struct {
		name  string
		limit int
		conns []*inbound
		want  *inbound
	}{
		{"many without a request", 8, []*inbound{oldestIdle, idle, fresh, old, unserved(8)}, old},
		{"few without a request", 8, []*inbound{oldestIdle, idle, fresh, busy(0)}, oldestIdle},
		{"only one without a request", 8, []*inbound{fresh, longest}, fresh},
		{"one waits for memory", 4, []*inbound{waiting, idle, longest}, idle},
		{"all busy, one of them waiting", 2, []*inbound{waiting, longest}, waiting},
		{"all busy below the limit", 4, []*inbound{busy(7), longest}, nil},
		{"all busy at the limit", 2, []*inbound{busy(7), longest}, longest},
	} {
		in := NewIntake(IntakeOptions{Connections: c.limit})
		opened := unserved(10)
		in.conns[opened] = struct{}{}
		for _, conn := range c.conns {
			conn.closing = false
			in.conns[conn] = struct{}{}
		}
		var a actions
		in.closeOneLocked(opened, &a)
		var got *inbound
		if len(a.closures) > 0 {
			got = a.closures[0].c
		}
		if got != c.want {
			t.Errorf("%s: closed %+v, expected %+v", c.name, got, c.want)
		}
	}
}

// TestConnectionsGetInBesideBusyOnes guards against a limit of the engine that refuses new connections
// before the intake can close another one for them.
func TestConnectionsGetInBesideBusyOnes(t *testing.T) {
	const limit = 40
	intake := NewIntake(IntakeOptions{Connections: limit})
	var busy atomic.Int64
	address := listen(t, Options{Intake: intake, NoLimits: true, MaxConnections: limit, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			busy.Add(1)
			<-r.Context().Done()
			busy.Add(-1)
		}
	})})
	for range limit {
		send(t, openConn(t, address), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(10 * time.Millisecond) // the request runs then, or another one has been closed for it
	}
	await(t, "a caller is answered", func() bool {
		conn := openConn(t, address)
		_, err := io.WriteString(conn, get)
		return err == nil && answer(conn) == http.StatusOK
	})
}
