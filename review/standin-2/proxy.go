package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards the connections of the agents to one entry. While it is cut, it refuses them.
type proxy struct {
	address, to string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newProxy(address, to string) (*proxy, error) {
	p := &proxy{address: address, to: to, conns: make(map[net.Conn]bool)}
	return p, p.heal()
}

// heal accepts connections again.
func (p *proxy) heal() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		agent, err := l.Accept()
		if err != nil {
			return
		}
		entry, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = agent.Close()
			continue
		}
		p.mu.Lock()
		p.conns[agent], p.conns[entry] = true, true
		p.mu.Unlock()
		go p.forward(agent, entry)
		go p.forward(entry, agent)
	}
}

// forward copies one direction; when it ends, both connections end.
func (p *proxy) forward(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = from.Close()
	_ = to.Close()
	p.mu.Lock()
	delete(p.conns, from)
	p.mu.Unlock()
}

// cut resets all connections and refuses others.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}
