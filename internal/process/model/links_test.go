package model

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
	scheduling "github.com/rosemarybay/rosemarybay/internal/process/scheduler"
)

// linkDelay is how long data takes from one end of a link to the other.
const linkDelay = time.Millisecond

func linkKey(a, e string) string { return a + "/" + e }

func (sim *simulation) cut(a *agent, e *entry, d time.Duration) {
	sim.cuts.Store(linkKey(a.name, e.name), time.Now().Add(d))
}

func (sim *simulation) cutRemaining(a *agent, e *entry) time.Duration {
	until, ok := sim.cuts.Load(linkKey(a.name, e.name))
	if !ok {
		return 0
	}
	return time.Until(until.(time.Time))
}

// dial connects the agent to an entry, and reconnects whenever the link has ended and
// both processes run.
func (a *agent) dial(e *entry) {
	for !a.sim.finished.Load() {
		agentNumber, agentAlive, agentPause := a.state()
		entryNumber, entryAlive, entryPause := e.state()
		if agentAlive && entryAlive && agentPause <= 0 && entryPause <= 0 && a.sim.cutRemaining(a, e) <= 0 && a.manager.IsReady() {
			a.link(e, agentNumber, entryNumber)
		}
		time.Sleep(redialInterval)
	}
}

// link serves one link until it breaks or one of the processes ends.
func (a *agent) link(e *entry, agentNumber, entryNumber int) {
	ours, relayA := net.Pipe()
	relayB, theirs := net.Pipe()
	closeAll := func(conns ...net.Conn) {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	defer closeAll(ours, relayA, relayB, theirs)
	a.mu.Lock()
	agentDied, manager, sameAgent := a.died, a.manager, a.number == agentNumber
	a.mu.Unlock()
	e.mu.Lock()
	entryDied, reset, scheduler, sameEntry := e.died, e.linkReset, e.scheduler, e.number == entryNumber
	e.mu.Unlock()
	if !sameAgent || !sameEntry {
		return
	}
	broken := make(chan struct{})
	defer close(broken)
	go func() {
		select {
		case <-agentDied:
			closeAll(ours)
		case <-entryDied:
			closeAll(theirs)
		case <-reset:
			closeAll(ours, relayA, relayB, theirs)
		case <-broken:
		}
	}()
	go a.relay(e, &a.process, &e.process, relayA, relayB)
	go a.relay(e, &e.process, &a.process, relayB, relayA)
	go e.serve(scheduler, theirs, entryNumber)
	a.serve(manager, e, ours, agentNumber)
}

// transmission is data on its way in one direction of a link.
type transmission struct {
	data   []byte
	sentAt time.Time
}

// maxInTransit bounds the transmissions that wait in the buffers of a connection.
const maxInTransit = 1 << 12

// relay copies one direction of a link. What the sender has written before it is killed reaches
// the receiver. While the link is cut or the receiver is paused, data waits in buffers, as it was
// when it was sent; a paused sender sends nothing.
func (a *agent) relay(e *entry, sender, receiver *process, from, to net.Conn) {
	inTransit := make(chan transmission, maxInTransit)
	go func() {
		defer close(inTransit)
		for {
			a.sim.waitPaused(sender)
			buffer := make([]byte, 64<<10)
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			inTransit <- transmission{data: buffer[:n], sentAt: time.Now()}
		}
	}()
	var failed error
	for sent := range inTransit {
		time.Sleep(time.Until(sent.sentAt.Add(linkDelay)))
		for wait := a.sim.cutRemaining(a, e); wait > 0 && !a.sim.finished.Load(); wait = a.sim.cutRemaining(a, e) {
			time.Sleep(min(wait, 50*time.Millisecond))
		}
		a.sim.waitPaused(receiver)
		if failed == nil {
			_, failed = to.Write(sent.data)
		}
	}
	_ = to.Close()
}

// waitPaused waits while a process is paused.
func (sim *simulation) waitPaused(p *process) {
	for {
		_, _, left := p.state()
		if left <= 0 || sim.finished.Load() {
			return
		}
		time.Sleep(min(left, 50*time.Millisecond))
	}
}

// serve runs the agent's side of a link.
func (a *agent) serve(manager *runs.Manager, e *entry, c net.Conn, number int) {
	var incarnation atomic.Uint64
	link := peer.NewLink(c, func(f *peer.Frame) {
		if id := incarnation.Load(); id != 0 {
			manager.Stamp(id, f)
		}
	})
	defer link.Close()
	f, err := link.Receive()
	if err != nil || f.Hello == nil || !a.waitRunnable(number) {
		return
	}
	id := f.Hello.Incarnation
	incarnation.Store(id)
	manager.Connect(f.Hello, e.name, link)
	for err == nil && a.waitRunnable(number) {
		manager.Receive(id, link, f)
		f, err = link.Receive()
	}
	if err == nil {
		err = io.EOF
	}
	manager.Disconnect(id, link, err)
}

// serve runs the entry's side of a link.
func (e *entry) serve(s *scheduling.Scheduler, c net.Conn, number int) {
	var name atomic.Pointer[string]
	link := peer.NewLink(c, func(f *peer.Frame) {
		if n := name.Load(); n != nil {
			s.Stamp(*n, f)
		}
	})
	defer link.Close()
	link.Send(peer.Frame{Hello: &peer.Hello{Name: e.name, Incarnation: uint64(number)<<32 | uint64(len(e.name))<<8 | uint64(e.name[len(e.name)-1])}})
	f, err := link.Receive()
	if err != nil || f.Hello == nil || !e.waitRunnable(number) {
		return
	}
	agent := f.Hello.Name
	s.Connect(f.Hello, link)
	name.Store(&agent)
	for err == nil && e.waitRunnable(number) {
		s.Receive(agent, link, f)
		f, err = link.Receive()
	}
	if err == nil {
		err = io.EOF
	}
	s.Disconnect(agent, link, err)
}
