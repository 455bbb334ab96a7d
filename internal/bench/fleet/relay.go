package fleet

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxDatagram = 64 << 10
	// relayBacklog bounds the delayed datagrams of a flow in one direction.
	relayBacklog = 4096
)

// relay is a UDP proxy in front of the peer port of one node. It adds the delay between data
// centres and drops the datagrams between partitioned nodes.
type relay struct {
	network     *network
	node        string
	inbound     *net.UDPConn
	local       netip.Addr
	destination netip.AddrPort

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

// flow is the traffic of one remote socket through a relay, with an upstream socket of
// its own so that replies can be told apart.
type flow struct {
	upstream *net.UDPConn
	forward  chan datagram
}

type datagram struct {
	data []byte
	due  time.Time
}

// newRelay listens on a node's advertised address and forwards datagrams to the address
// on which the node listens.
func newRelay(n *network, node string, listen, to netip.AddrPort) (*relay, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	r := &relay{
		network:     n,
		node:        node,
		inbound:     conn,
		local:       listen.Addr(),
		destination: to,
		flows:       make(map[netip.AddrPort]*flow),
	}
	go r.forwardInbound()
	return r, nil
}

func (r *relay) forwardInbound() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.inbound.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		f, err := r.flowFrom(from)
		if err != nil {
			continue
		}
		r.enqueue(f.forward, buffer[:n], r.network.nodeAt(from.Addr()), r.node)
	}
}

// enqueue queues a datagram for delivery after the delay between the two nodes. It drops
// the datagram when a partition separates them or the queue is full.
func (r *relay) enqueue(queue chan datagram, data []byte, from, to string) {
	if r.network.isCut(from, to) {
		return
	}
	d := datagram{data: append([]byte(nil), data...), due: time.Now().Add(r.network.oneWayDelay(from, to))}
	select {
	case queue <- d:
	default:
	}
}

// flowFrom returns the flow of a remote address, and opens it for the first datagram.
func (r *relay) flowFrom(from netip.AddrPort) (*flow, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.flows[from]; ok {
		return f, nil
	}
	local := &net.UDPAddr{IP: r.local.AsSlice()}
	upstream, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(r.destination))
	if err != nil {
		return nil, err
	}
	f := &flow{upstream: upstream, forward: make(chan datagram, relayBacklog)}
	r.flows[from] = f
	backward := make(chan datagram, relayBacklog)
	go deliverWhenDue(f.forward, func(b []byte) { _, _ = upstream.Write(b) })
	go deliverWhenDue(backward, func(b []byte) { _, _ = r.inbound.WriteToUDPAddrPort(b, from) })
	go r.forwardReplies(upstream, backward, from)
	return f, nil
}

// forwardReplies forwards the node's datagrams to the remote socket until the upstream
// socket is closed. Other read errors are ignored: they report a refused datagram, such
// as one to a node that is down.
func (r *relay) forwardReplies(upstream *net.UDPConn, backward chan datagram, from netip.AddrPort) {
	defer close(backward)
	buffer := make([]byte, maxDatagram)
	peer := r.network.nodeAt(from.Addr())
	for {
		n, err := upstream.Read(buffer)
		if err != nil {
			if isClosed(err) {
				return
			}
			continue
		}
		r.enqueue(backward, buffer[:n], r.node, peer)
	}
}

// deliverWhenDue writes each datagram of a queue once its delay has passed.
func deliverWhenDue(queue chan datagram, write func([]byte)) {
	for d := range queue {
		if wait := time.Until(d.due); wait > 0 {
			time.Sleep(wait)
		}
		write(d.data)
	}
}

func (r *relay) close() {
	_ = r.inbound.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.upstream.Close()
	}
}
