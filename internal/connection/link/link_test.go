package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	gometrics "github.com/rcrowley/go-metrics"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
)

// transport returns a QUIC transport on a free loopback port.
func transport(t testing.TB) *quic.Transport {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	tr := &quic.Transport{Conn: conn}
	t.Cleanup(func() { _ = tr.Close() })
	return tr
}

func nodeKeys(t testing.TB, ca identity.KeyPair, role string) *identity.Keys {
	t.Helper()
	p, err := identity.NewNodeCertificate(ca, identity.Identity{Name: "n", Role: role, DataCentre: "nbo1"})
	if err != nil {
		t.Fatal(err)
	}
	keys, err := identity.Load(identity.KeyFiles{CA: ca.Cert, Cert: p.Cert, Key: p.Key}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// linkPair returns both ends of a link between an agent and an entry.
func linkPair(t testing.TB) (agent, entry *Link) {
	t.Helper()
	ca, err := identity.NewCA("test")
	if err != nil {
		t.Fatal(err)
	}
	listening := transport(t)
	listener, err := listening.Listen(nodeKeys(t, ca, "entry").ServerConfig(), Config())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	accepted := make(chan *Link, 1)
	go func() {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return
		}
		if l, err := Accept(ctx, conn, NewStats(gometrics.NewRegistry())); err == nil {
			accepted <- l
		}
	}()
	dialer := &Dialer{Transport: transport(t), TLS: nodeKeys(t, ca, "agent").ClientConfig(), Stats: NewStats(gometrics.NewRegistry())}
	agent, err = dialer.Dial(ctx, listening.Conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	send(t, agent, 1)
	select {
	case entry = <-accepted:
	case <-ctx.Done():
		t.Fatal("link was not accepted")
	}
	receive(t, entry, 1)
	return agent, entry
}

func heartbeat(sequence uint64) *peerv1.Frame {
	return &peerv1.Frame{Body: &peerv1.Frame_Heartbeat{Heartbeat: &peerv1.Heartbeat{Sequence: sequence}}}
}

func send(t testing.TB, l *Link, sequence uint64) {
	t.Helper()
	if err := l.Send(heartbeat(sequence)); err != nil {
		t.Fatal(err)
	}
}

func receive(t testing.TB, l *Link, sequence uint64) {
	t.Helper()
	f, err := l.Receive()
	if err != nil {
		t.Fatal(err)
	}
	if got := f.GetHeartbeat().GetSequence(); got != sequence {
		t.Fatalf("got frame %d, want %d", got, sequence)
	}
}

func TestFramesArriveInOrder(t *testing.T) {
	agent, entry := linkPair(t)
	const frames = 1000
	for i := range uint64(frames) {
		send(t, agent, i+2)
	}
	for i := range uint64(frames) {
		receive(t, entry, i+2)
	}
	if entry.Remote().Role != "agent" || agent.Remote().Role != "entry" {
		t.Errorf("remote roles are %q and %q", entry.Remote().Role, agent.Remote().Role)
	}
}

// Flush returned while the writer was still blocked on a batch that it had taken from the
// queue, so that the last frames were lost when the link was closed after it.
func TestFlushWaitsForTheBatchBeingWritten(t *testing.T) {
	agent, entry := linkPair(t)
	state := func() (queued int, writing bool) {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		return len(agent.queue), agent.writing
	}
	// The writer is blocked once a batch stays unwritten; a moment of writing is not enough.
	isBlocked := func() bool {
		for range 50 {
			if queued, writing := state(); queued > 0 || !writing {
				return false
			}
			time.Sleep(time.Millisecond)
		}
		return true
	}
	var sent uint64 = 1
	for !isBlocked() {
		if queued, _ := state(); queued > 0 {
			time.Sleep(time.Millisecond) // the writer is about to take the batch
			continue
		}
		sent++
		send(t, agent, sent)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	agent.Flush(ctx)
	if queued, writing := state(); ctx.Err() == nil && (queued > 0 || writing) {
		t.Errorf("flush returned with %d frames in the queue, writing %v", queued, writing)
	}
	for i := uint64(2); i <= sent; i++ {
		receive(t, entry, i)
	}
	agent.Flush(t.Context())
}

// A peer that keeps the connection open and sends nothing must not hold up its caller.
func TestReceiveWithinEndsWithItsContext(t *testing.T) {
	agent, entry := linkPair(t)
	keepAlive := time.NewTicker(IdleTimeout / 10)
	defer keepAlive.Stop()
	go func() {
		for range keepAlive.C {
			if agent.Send(heartbeat(9)) != nil {
				return
			}
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := agent.ReceiveWithin(ctx); err == nil {
		t.Error("a frame was received")
	}
	<-agent.Done()
	entry.Close()
}

func TestSendAfterCloseIsRefused(t *testing.T) {
	agent, _ := linkPair(t)
	agent.Close()
	if err := agent.Send(heartbeat(2)); err == nil {
		t.Error("a frame was accepted after the link was closed")
	}
}

func TestCallReturnsItsReply(t *testing.T) {
	agent, entry := linkPair(t)
	go entry.ServeCalls(func(_ context.Context, c *peerv1.Call) *peerv1.Reply {
		revision := &peerv1.Revision{ConfigRevision: c.GetGetConfig().GetFromRevision()}
		return &peerv1.Reply{Response: &peerv1.Reply_Revision{Revision: revision}}
	})
	for i := range uint64(10) {
		call := &peerv1.Call{Request: &peerv1.Call_GetConfig{GetConfig: &peerv1.GetConfig{FromRevision: i}}}
		reply, err := agent.Call(context.Background(), call)
		if err != nil {
			t.Fatal(err)
		}
		if got := reply.GetRevision().GetConfigRevision(); got != i {
			t.Errorf("call %d got the reply of %d", i, got)
		}
	}
}

func BenchmarkRoundTrip(b *testing.B) {
	agent, entry := linkPair(b)
	go func() {
		for {
			f, err := entry.Receive()
			if err != nil || entry.Send(f) != nil {
				return
			}
		}
	}()
	for i := range uint64(b.N) {
		send(b, agent, i+2)
		receive(b, agent, i+2)
	}
}

// Guards against calls that leave their stream open: the peer's stream limit would then
// end all calls of a link after maxStreamsPerPeer of them.
func TestCallsReleaseTheirStreams(t *testing.T) {
	agent, entry := linkPair(t)
	go entry.ServeCalls(func(context.Context, *peerv1.Call) *peerv1.Reply { return &peerv1.Reply{} })
	for i := range 3 * maxStreamsPerPeer {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := agent.Call(ctx, &peerv1.Call{Request: &peerv1.Call_GetRevision{GetRevision: &peerv1.GetRevision{}}})
		cancel()
		if err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
	}
}
