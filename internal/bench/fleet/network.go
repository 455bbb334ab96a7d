package fleet

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// StoreNode is the name of the platform's store in a partition.
const StoreNode = "store"

// network is the simulated network: the addresses and data centres of the nodes, the
// delay between data centres, and the partitions in force.
type network struct {
	// dataCentreDelay is the one-way delay between two data centres.
	dataCentreDelay time.Duration

	mu         sync.RWMutex
	nodes      map[netip.Addr]string
	dataCentre map[string]string
	activeCuts map[*cut]struct{}
}

// cut is a partition in one direction, between sets of node and data centre names.
type cut struct {
	from, to map[string]struct{}
}

func newNetwork(dataCentreDelay time.Duration) *network {
	return &network{
		dataCentreDelay: dataCentreDelay,
		nodes:           make(map[netip.Addr]string),
		dataCentre:      make(map[string]string),
		activeCuts:      make(map[*cut]struct{}),
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

// oneWayDelay returns the one-way delay between two nodes: zero within a data centre.
func (n *network) oneWayDelay(a, b string) time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.dataCentre[a] == n.dataCentre[b] {
		return 0
	}
	return n.dataCentreDelay
}

// isCut reports whether a partition drops the traffic from a to b.
func (n *network) isCut(a, b string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for c := range n.activeCuts {
		if c.contains(c.from, a, n.dataCentre[a]) && c.contains(c.to, b, n.dataCentre[b]) {
			return true
		}
	}
	return false
}

func (c *cut) contains(set map[string]struct{}, node, dataCentre string) bool {
	_, byName := set[node]
	_, byDataCentre := set[dataCentre]
	return byName || byDataCentre
}

// cutOneWay drops the traffic that the nodes in from send to those in to, until heal is
// called.
// Names are those of nodes or data centres, or StoreNode.
func (n *network) cutOneWay(from, to []string) (heal func()) {
	c := &cut{from: newNameSet(from), to: newNameSet(to)}
	n.mu.Lock()
	n.activeCuts[c] = struct{}{}
	n.mu.Unlock()
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.activeCuts, c)
	}
}

func newNameSet(names []string) map[string]struct{} {
	m := make(map[string]struct{}, len(names))
	for _, name := range names {
		m[name] = struct{}{}
	}
	return m
}

// dropCutTraffic wraps the HTTP handler of a node so that requests and responses which a
// partition drops are lost. The caller is identified by its address.
func (n *network) dropCutTraffic(node string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := ""
		if address, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			from = n.nodeAt(address.Addr())
		}
		n.dropCutTrafficFrom(from, node, next).ServeHTTP(w, r)
	})
}

// dropCutTrafficFrom is dropCutTraffic for a server that only the node from calls. A
// dropped request hangs until its caller cancels it.
func (n *network) dropCutTrafficFrom(from, node string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.isCut(from, node) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(&cutWriter{ResponseWriter: w, network: n, from: node, to: from}, r)
	})
}

// cutWriter aborts the response when a partition drops the traffic to the caller.
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
