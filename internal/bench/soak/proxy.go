package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is how a proxy passes bytes.
type link int

const (
	linkSound link = iota
	// linkSilent passes nothing either way and resets nothing.
	linkSilent
	// linkDeafEntry passes nothing towards the entry, linkDumbEntry nothing from it.
	linkDeafEntry
	linkDumbEntry
	// linkSlow delays all that passes.
	linkSlow
)

const (
	proxyBuffer = 16 << 10
	proxyPoll   = 5 * time.Millisecond
	proxyDelay  = 40 * time.Millisecond
)

// proxy stands before the port of an entry for agents.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	state link
	conns map[net.Conn]bool
}

func newProxy(listen, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, conns: make(map[net.Conn]bool)}
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
	go p.pass(agent, entry, linkDeafEntry)
	p.pass(entry, agent, linkDumbEntry)
}

// pass copies one direction, which stands still while the link is silent or cut
// that way.
func (p *proxy) pass(from, to net.Conn, cut link) {
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
		for state := p.present(); state == linkSilent || state == cut; state = p.present() {
			time.Sleep(proxyPoll)
		}
		if p.present() == linkSlow {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) present() link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *proxy) set(state link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// resetAll cuts all connections with a reset.
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

// reset ends a connection without a farewell.
func reset(conn io.Closer) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
