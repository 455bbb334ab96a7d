package server

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/guard"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// An entry that does not answer for a minute is dialled often in the first second, as it
// may restart, and about twice a second later.
func TestRedialBackoffSlowsDownForUnreachableEntry(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	var r redialBackoff
	first, later := 0, 0
	for now := start; now.Sub(start) < time.Minute; {
		delay := r.next(now, random.Float64())
		now = now.Add(delay)
		switch {
		case now.Sub(start) <= time.Second:
			first++
			if delay > 2*maxEarlyRedialDelay {
				t.Errorf("a delay of %v in the first second", delay)
			}
		case now.Sub(start) > 5*time.Second:
			later++
		}
	}
	if first < 20 || first > 50 {
		t.Errorf("%d dials in the first second", first)
	}
	if perSecond := float64(later) / 55; perSecond > 3 {
		t.Errorf("%.1f dials a second later", perSecond)
	}
	r.reset()
	if delay := r.next(start, 0); delay > minRedialDelay {
		t.Errorf("a delay of %v after an answer", delay)
	}
}

// An entry that ends each link soon after it was established must not be dialled without a delay.
func TestEntryThatEndsEachLinkIsDialledWithDelay(t *testing.T) {
	var r redialBackoff
	for range 3 {
		r.linkEnded(steadyLinkTime - 1)
		if delay := r.next(time.Now(), 0); delay < minRedialDelay/2 {
			t.Errorf("a delay of %v", delay)
		}
	}
}

// The connections of an entry to its caller and to its agents are reset at the same moment. The
// caller sends its job to another entry within milliseconds, and the runs of the first one go on
// until an agent has linked again and received the stop.
func TestResetLinkIsDialledAgainAtOnce(t *testing.T) {
	entry := listenAsEntry(t)
	a := newLinkTestAgent(t)
	go a.maintainLink(t.Context(), &dialer{address: entry.Addr().String(), restarted: make(chan struct{})})
	shortest := time.Hour
	var resetAt time.Time
	for i := range 12 {
		conn, err := entry.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if i > 0 {
			shortest = min(shortest, time.Since(resetAt))
		}
		link := peer.NewLink(conn, nil)
		link.Send(peer.Frame{Hello: &peer.Hello{Name: "e", Incarnation: 1}})
		if f, err := link.Receive(); err != nil || f.Hello == nil {
			t.Fatalf("frame %+v, %v", f, err)
		}
		time.Sleep(steadyLinkTime)
		_ = conn.(*net.TCPConn).SetLinger(0)
		resetAt = time.Now()
		link.Close()
	}
	if shortest >= minRedialDelay/2 {
		t.Errorf("dialled %v after a reset, at best", shortest)
	}
}

func listenAsEntry(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// newLinkTestAgent returns an agent whose target has no runs.
func newLinkTestAgent(t *testing.T) *agent {
	t.Helper()
	a := &agent{
		Server: &Server{node: &settings.Node{IP: "127.0.0.1"}, guard: guard.Guard{Log: zerolog.Nop(), Counters: metrics.New()}},
		links:  newLinks("a", "dc1", zerolog.Nop()),
		runs: runs.New(runs.Options{
			Log: zerolog.Nop(), Counters: metrics.New(),
			Dial: func(runs.Announcement) runs.TargetClient { return fakeTargetClient{} },
		}),
	}
	go a.runs.Run(t.Context().Done())
	a.runs.Announce(runs.Announcement{ID: "t", Incarnation: 1, Sequence: 1, Address: "10.0.0.1:80", Pool: "p", DataCentre: "dc1"})
	eventually(t, "the report of the target", a.runs.IsReady)
	return a
}
