package slopes

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/connection/link"
)

const (
	// lightKeepAlive is the QUIC keep-alive period of links without heartbeats, as
	// between entries.
	lightKeepAlive = time.Second
	// dialWorkers is the number of concurrent handshakes.
	dialWorkers = 16
	// Backoff after a refused handshake, as in real agents.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// Slots and size of the target that a light agent announces.
	lightTargetSlots    = 8
	lightTargetCPUs     = 30
	lightTargetMemoryMB = 130_000
)

// linkGroup is a set of light links to one entry, all from one UDP socket. Each simulates
// an agent or an entry that has no process of its own: the bench process speaks the peer
// protocol. An agent's link announces a target whose tasks end at once.
type linkGroup struct {
	conn      *countingPacketConn
	transport *quic.Transport
	address   string
	stats     *link.Stats
	heartbeat time.Duration // interval; 0 for QUIC keep-alives instead
	revision  atomic.Uint64 // of the configuration last received

	mu      sync.Mutex
	configs []*tls.Config
	links   []*link.Link // at the index of their TLS configuration
}

func newLinkGroup(address string, heartbeat time.Duration) (*linkGroup, error) {
	conn, err := listenCounting()
	if err != nil {
		return nil, eris.Wrap(err, "open UDP socket for simulated agents and entries")
	}
	return &linkGroup{
		conn:      conn,
		transport: &quic.Transport{Conn: conn},
		address:   address,
		stats:     link.NewStats(gometrics.NewRegistry()),
		heartbeat: heartbeat,
	}, nil
}

// open opens n links of a role. An agent announces a target and answers its tasks at
// once; an entry announces nothing.
func (g *linkGroup) open(ctx context.Context, f *fleet.Fleet, role string, n int) error {
	configs, err := clientConfigs(f, role, n)
	if err != nil {
		return err
	}
	return g.openAll(ctx, role, configs)
}

// openAll opens a link for each TLS configuration, dialWorkers at a time.
func (g *linkGroup) openAll(ctx context.Context, role string, configs []*tls.Config) error {
	g.configs, g.links = configs, make([]*link.Link, len(configs))
	next := make(chan int)
	failed := make(chan error, dialWorkers)
	var workers sync.WaitGroup
	for range dialWorkers {
		workers.Go(func() {
			for i := range next {
				if err := g.openOne(ctx, role, i); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	err := sendIndexes(next, failed, len(configs))
	workers.Wait()
	return err
}

// sendIndexes sends 0 to n-1 to workers and closes next. It stops at the first error
// from failed.
func sendIndexes(next chan<- int, failed <-chan error, n int) error {
	defer close(next)
	for i := range n {
		select {
		case next <- i:
		case err := <-failed:
			return err
		}
	}
	return nil
}

// clientConfigs makes keys and certificates for n nodes. It is separate from dialling
// so that a measurement need not include it.
func clientConfigs(f *fleet.Fleet, role string, n int) ([]*tls.Config, error) {
	configs := make([]*tls.Config, n)
	for i := range configs {
		pair, ca, err := f.IssueCertificate(identity.Identity{Name: lightName(role, i), Role: role, DataCentre: dataCentre})
		if err != nil {
			return nil, err
		}
		keys, err := identity.Load(identity.KeyFiles{CA: ca, Cert: pair.Cert, Key: pair.Key}, nil)
		if err != nil {
			return nil, err
		}
		configs[i] = keys.ClientConfig()
	}
	return configs, nil
}

func lightName(role string, i int) string { return fmt.Sprintf("light-%s-%d", role, i) }

// openOne opens the link at index i. A failed attempt, such as a refused handshake, is
// retried with the backoff of real agents until ctx ends.
func (g *linkGroup) openOne(ctx context.Context, role string, i int) error {
	backoff := minBackoff
	for {
		l, err := g.dialOne(ctx, role, i)
		if err == nil {
			g.startLink(i, l)
			return nil
		}
		if sleep(ctx, backoff/2+rand.N(backoff)) != nil {
			return eris.Wrapf(err, "light link %d", i)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// dialOne makes one attempt to dial and to exchange Hello and Welcome.
func (g *linkGroup) dialOne(ctx context.Context, role string, i int) (*link.Link, error) {
	dialer := &link.Dialer{Transport: g.transport, TLS: g.configs[i], Stats: g.stats}
	if g.heartbeat == 0 {
		dialer.KeepAlive = lightKeepAlive
	}
	l, err := dialer.Dial(ctx, g.address)
	if err != nil {
		return nil, err
	}
	hello := &peerv1.Hello{Name: lightName(role, i), DataCentre: dataCentre, Incarnation: rand.Uint64()}
	if role == "agent" {
		hello.Target = lightTarget(i)
	}
	if err := l.Send(&peerv1.Frame{Body: &peerv1.Frame_Hello{Hello: hello}}); err != nil {
		return nil, err
	}
	f, err := l.Receive()
	if err != nil {
		return nil, err
	}
	if f.GetWelcome() == nil {
		l.Close()
		return nil, eris.New("unexpected frame in place of a welcome")
	}
	return l, nil
}

// startLink records an open link and starts to answer tasks and to send heartbeats.
func (g *linkGroup) startLink(i int, l *link.Link) {
	g.mu.Lock()
	g.links[i] = l
	g.mu.Unlock()
	go g.answerTasks(l)
	if g.heartbeat > 0 {
		go g.sendHeartbeats(l)
	}
}

func lightTarget(i int) *peerv1.TargetInfo {
	t := fleet.Target{Size: fleet.Size{CPUs: lightTargetCPUs, MemoryMB: lightTargetMemoryMB}}
	return &peerv1.TargetInfo{
		Name:       fmt.Sprintf("light-%d", i),
		DataCentre: dataCentre,
		Rack:       fmt.Sprintf("rack-%d", i/3),
		Slots:      lightTargetSlots,
		Size:       t.Size.Proto(),
	}
}

// answerTasks returns the payload of each task as its result without any delay. It also
// records the configuration revision that the entry sends.
func (g *linkGroup) answerTasks(l *link.Link) {
	for {
		f, err := l.Receive()
		if err != nil {
			return
		}
		if u := f.GetConfigUpdate(); u != nil {
			g.revision.Store(u.GetRevision())
		}
		start := f.GetStart()
		if start == nil {
			continue
		}
		_ = l.Send(&peerv1.Frame{Body: &peerv1.Frame_Result{Result: &peerv1.Result{
			Id:     start.GetId(),
			Output: start.GetTask().GetPayload(),
			Load:   &peerv1.Load{Free: lightTargetSlots, ConfigRevision: g.revision.Load()},
		}}})
	}
}

// sendHeartbeats sends a heartbeat, which requests a permit, in each interval until the
// link closes. A random initial delay spreads the heartbeats of the links over the interval.
func (g *linkGroup) sendHeartbeats(l *link.Link) {
	time.Sleep(rand.N(g.heartbeat))
	ticker := time.NewTicker(g.heartbeat)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		_ = l.Send(&peerv1.Frame{Body: &peerv1.Frame_Heartbeat{Heartbeat: &peerv1.Heartbeat{
			Sequence:       sequence,
			ConfigRevision: g.revision.Load(),
		}}})
		select {
		case <-l.Done():
			return
		case <-ticker.C:
		}
	}
}

// openCount returns the number of links that are still open.
func (g *linkGroup) openCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, l := range g.links {
		if l == nil {
			continue
		}
		select {
		case <-l.Done():
		default:
			n++
		}
	}
	return n
}

func (g *linkGroup) close() {
	g.mu.Lock()
	links := g.links
	g.mu.Unlock()
	for _, l := range links {
		if l != nil {
			l.Close()
		}
	}
	_ = g.transport.Close()
	_ = g.conn.Close()
}
