package fleet

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxDatagram  = 64 << 10
	relayBacklog = 4096
)

// relay passes the datagrams of one node's peer port. It adds the distance
// between data centres and drops what a partition cuts.
type relay struct {
	network *network
	node    string
	inbound *net.UDPConn
	local   netip.Addr
	to      netip.AddrPort

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

// flow is the traffic of one remote socket through a relay.
type flow struct {
	upstream *net.UDPConn
	forward  chan datagram
}

type datagram struct {
	data []byte
	due  time.Time
}

// newRelay listens on a node's advertised address and passes datagrams to its
// real one.
func newRelay(n *network, node string, listen, to netip.AddrPort) (*relay, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	r := &relay{
		network: n,
		node:    node,
		inbound: conn,
		local:   listen.Addr(),
		to:      to,
		flows:   make(map[netip.AddrPort]*flow),
	}
	go r.run()
	return r, nil
}

func (r *relay) run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.inbound.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		f, err := r.flow(from)
		if err != nil {
			continue
		}
		r.pass(f.forward, buffer[:n], r.network.nodeAt(from.Addr()), r.node)
	}
}

// pass queues a datagram with its delay, unless the way is cut or full.
func (r *relay) pass(queue chan datagram, data []byte, from, to string) {
	if r.network.isCut(from, to) {
		return
	}
	d := datagram{data: append([]byte(nil), data...), due: time.Now().Add(r.network.distance(from, to))}
	select {
	case queue <- d:
	default:
	}
}

func (r *relay) flow(from netip.AddrPort) (*flow, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.flows[from]; ok {
		return f, nil
	}
	local := &net.UDPAddr{IP: r.local.AsSlice()}
	upstream, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(r.to))
	if err != nil {
		return nil, err
	}
	f := &flow{upstream: upstream, forward: make(chan datagram, relayBacklog)}
	r.flows[from] = f
	backward := make(chan datagram, relayBacklog)
	go deliver(f.forward, func(b []byte) { _, _ = upstream.Write(b) })
	go deliver(backward, func(b []byte) { _, _ = r.inbound.WriteToUDPAddrPort(b, from) })
	go r.read(upstream, backward, from)
	return f, nil
}

// read passes the node's answers back until the upstream socket is closed. A
// refused datagram, such as one to a node that is down, is no end.
func (r *relay) read(upstream *net.UDPConn, backward chan datagram, from netip.AddrPort) {
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
		r.pass(backward, buffer[:n], r.node, peer)
	}
}

func deliver(queue chan datagram, write func([]byte)) {
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
