package fleet

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// StoreNode names the platform's store in partitions.
const StoreNode = "store"

// network knows who is where, how far apart, and what is cut.
type network struct {
	apart time.Duration

	mu         sync.RWMutex
	nodes      map[netip.Addr]string
	dataCentre map[string]string
	cuts       map[*cut]struct{}
}

type cut struct {
	from, to map[string]struct{}
}

func newNetwork(apart time.Duration) *network {
	return &network{
		apart:      apart,
		nodes:      make(map[netip.Addr]string),
		dataCentre: make(map[string]string),
		cuts:       make(map[*cut]struct{}),
	}
}

func (n *network) add(node, dataCentre string, address netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
	n.dataCentre[node] = dataCentre
}

func (n *network) nodeAt(address netip.Addr) string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.nodes[address.Unmap()]
}

// distance returns the one-way delay between two nodes.
func (n *network) distance(a, b string) time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.dataCentre[a] == n.dataCentre[b] {
		return 0
	}
	return n.apart
}

// isCut reports whether what a sends does not reach b.
func (n *network) isCut(a, b string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for c := range n.cuts {
		if c.has(c.from, a, n.dataCentre[a]) && c.has(c.to, b, n.dataCentre[b]) {
			return true
		}
	}
	return false
}

func (c *cut) has(set map[string]struct{}, node, dataCentre string) bool {
	_, byName := set[node]
	_, byDataCentre := set[dataCentre]
	return byName || byDataCentre
}

// cutOneWay drops what the nodes of from send to those of to, until heal is
// called. Names are nodes, data centres or StoreNode.
func (n *network) cutOneWay(from, to []string) (heal func()) {
	c := &cut{from: set(from), to: set(to)}
	n.mu.Lock()
	n.cuts[c] = struct{}{}
	n.mu.Unlock()
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.cuts, c)
	}
}

func set(names []string) map[string]struct{} {
	m := make(map[string]struct{}, len(names))
	for _, name := range names {
		m[name] = struct{}{}
	}
	return m
}

// guard drops the requests and answers of an HTTP server that a partition cuts.
func (n *network) guard(node string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := ""
		if address, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			from = n.nodeAt(address.Addr())
		}
		n.guardFrom(from, node, next).ServeHTTP(w, r)
	})
}

// guardFrom is guard for a server that only one node calls.
func (n *network) guardFrom(from, node string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.isCut(from, node) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(&cutWriter{ResponseWriter: w, network: n, from: node, to: from}, r)
	})
}

// cutWriter loses the answer when the way back is cut.
type cutWriter struct {
	http.ResponseWriter
	network  *network
	from, to string
}

func (w *cutWriter) Write(b []byte) (int, error) {
	if w.network.isCut(w.from, w.to) {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(b)
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
