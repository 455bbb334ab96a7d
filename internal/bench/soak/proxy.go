package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkState is how a proxy forwards bytes.
type linkState int

const (
	linkHealthy linkState = iota
	// linkStalled forwards nothing in either direction and keeps connections open.
	linkStalled
	// linkStalledToEntry forwards nothing to the entry, linkStalledFromEntry nothing
	// from it.
	linkStalledToEntry
	linkStalledFromEntry
	// linkSlow delays each read by slowLinkDelay before it is forwarded.
	linkSlow
)

const (
	proxyBuffer       = 16 << 10
	stallPollInterval = 5 * time.Millisecond
	slowLinkDelay     = 40 * time.Millisecond
)

// proxy forwards TCP connections from agents to the peer port of one entry and can
// stall, delay or reset them.
type proxy struct {
	listener net.Listener
	to       string // address of the entry
	faults   *overlay[linkState]

	mu    sync.Mutex
	state linkState
	conns map[net.Conn]bool
}

func newProxy(listen, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, state: linkHealthy, conns: make(map[net.Conn]bool)}
	p.faults = &overlay[linkState]{apply: p.setState}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(agent net.Conn) {
	entry, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		reset(agent)
		return
	}
	p.mu.Lock()
	p.conns[agent], p.conns[entry] = true, true
	p.mu.Unlock()
	go p.forward(agent, entry, linkStalledToEntry)
	p.forward(entry, agent, linkStalledFromEntry)
}

// forward copies one direction, and waits while the link is stalled in both
// directions or in this one. When it ends, it resets both connections.
func (p *proxy) forward(from, to net.Conn, stalled linkState) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
		reset(from)
		reset(to)
	}()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for state := p.currentState(); state == linkStalled || state == stalled; state = p.currentState() {
			time.Sleep(stallPollInterval)
		}
		if p.currentState() == linkSlow {
			time.Sleep(slowLinkDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) currentState() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *proxy) setState(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// resetAll closes all connections with a TCP reset.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

// reset closes a connection; with SO_LINGER 0 TCP sends a reset instead of a FIN.
func reset(conn io.Closer) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
