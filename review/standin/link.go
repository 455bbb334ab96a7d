package main

import (
	"net"
	"sync"
	"time"
)

// linkProxy forwards the links of agents to one entry. While it is cut, no byte passes in
// either direction, and new connections are accepted but lead nowhere.
type linkProxy struct {
	entry string

	mu sync.Mutex
	// cut is closed at the end of the present cut; nil if there is none.
	cut chan struct{}
}

func newLinkProxy(address, entry string) (*linkProxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &linkProxy{entry: entry}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *linkProxy) serve(agent net.Conn) {
	defer func() { _ = agent.Close() }()
	p.wait()
	entry, err := net.DialTimeout("tcp", p.entry, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = entry.Close() }()
	ended := make(chan struct{}, 2)
	go p.forward(agent, entry, ended)
	go p.forward(entry, agent, ended)
	<-ended
}

// forward copies bytes until a connection ends. Bytes that are held up by a cut are lost with
// a connection that ends meanwhile.
func (p *linkProxy) forward(to, from net.Conn, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait returns once there is no cut.
func (p *linkProxy) wait() {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut != nil {
		<-cut
	}
}

// cutFor begins a cut that ends after a time.
func (p *linkProxy) cutFor(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cut := make(chan struct{})
	p.cut = cut
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cut = nil
		close(cut)
	})
}
