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
	// lightKeepAlive keeps links without heartbeats open, as between entries.
	lightKeepAlive = time.Second
	// dialWorkers is the number of handshakes in progress at once.
	dialWorkers = 16
	// Backoff of refused handshakes, as in agents.
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
	lightSlots  = 8
	lightCPUs   = 30
	lightMemory = 130_000
)

// group is a set of links from the bench to one entry, all from one socket.
type group struct {
	conn      *countingConn
	transport *quic.Transport
	address   string
	stats     *link.Stats
	heartbeat time.Duration
	revision  atomic.Uint64 // of the configuration last received

	mu      sync.Mutex
	configs []*tls.Config
	links   []*link.Link // by the index of their certificate
}

func newGroup(address string, heartbeat time.Duration) (*group, error) {
	conn, err := listenCounting()
	if err != nil {
		return nil, eris.Wrap(err, "listen for light links")
	}
	return &group{
		conn:      conn,
		transport: &quic.Transport{Conn: conn},
		address:   address,
		stats:     link.NewStats(gometrics.NewRegistry()),
		heartbeat: heartbeat,
	}, nil
}

// open opens n links of a role: an agent announces a target and answers its
// tasks at once; an entry announces nothing.
func (g *group) open(ctx context.Context, f *fleet.Fleet, role string, n int) error {
	configs, err := certificates(f, role, n)
	if err != nil {
		return err
	}
	return g.openAll(ctx, role, configs)
}

// openAll opens a link for each certificate.
func (g *group) openAll(ctx context.Context, role string, configs []*tls.Config) error {
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
	err := feed(next, failed, len(configs))
	workers.Wait()
	return err
}

func feed(next chan<- int, failed <-chan error, n int) error {
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

// certificates makes the keys of n nodes before the clock runs.
func certificates(f *fleet.Fleet, role string, n int) ([]*tls.Config, error) {
	configs := make([]*tls.Config, n)
	for i := range configs {
		pair, ca, err := f.Sign(identity.Identity{Name: lightName(role, i), Role: role, DataCentre: dataCentre})
		if err != nil {
			return nil, err
		}
		keys, err := identity.Load(identity.Files{CA: ca, Cert: pair.Cert, Key: pair.Key}, nil)
		if err != nil {
			return nil, err
		}
		configs[i] = keys.Client()
	}
	return configs, nil
}

func lightName(role string, i int) string { return fmt.Sprintf("light-%s-%d", role, i) }

// openOne opens a link. A refused handshake is repeated with the backoff of
// agents.
func (g *group) openOne(ctx context.Context, role string, i int) error {
	backoff := minBackoff
	for {
		l, err := g.greet(ctx, role, i)
		if err == nil {
			g.use(i, l)
			return nil
		}
		if pause(ctx, backoff/2+rand.N(backoff)) != nil {
			return eris.Wrapf(err, "light link %d", i)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// greet dials and exchanges Hello and Welcome.
func (g *group) greet(ctx context.Context, role string, i int) (*link.Link, error) {
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
		return nil, eris.New("welcome frame expected")
	}
	return l, nil
}

func (g *group) use(i int, l *link.Link) {
	g.mu.Lock()
	g.links[i] = l
	g.mu.Unlock()
	go g.receive(l)
	if g.heartbeat > 0 {
		go g.beat(l)
	}
}

func lightTarget(i int) *peerv1.TargetInfo {
	t := fleet.Target{Size: fleet.Size{CPUs: lightCPUs, MemoryMB: lightMemory}}
	return &peerv1.TargetInfo{
		Name:       fmt.Sprintf("light-%d", i),
		DataCentre: dataCentre,
		Rack:       fmt.Sprintf("rack-%d", i/3),
		Slots:      lightSlots,
		Size:       t.Size.Proto(),
	}
}

// receive answers each task at once, as a target would that needs no time.
func (g *group) receive(l *link.Link) {
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
			Load:   &peerv1.Load{Free: lightSlots, ConfigRevision: g.revision.Load()},
		}}})
	}
}

// beat asks for a permit in each interval, at a phase of its own.
func (g *group) beat(l *link.Link) {
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

// alive returns the number of links that are open.
func (g *group) alive() int {
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

func (g *group) close() {
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
