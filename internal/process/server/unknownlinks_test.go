package server

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// remoteConn is a connection from an address.
type remoteConn struct {
	net.Conn
	address string
}

func (c remoteConn) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(c.address))
}

// TestSilentLinksKeepNoAgentOut guards against places for unknown links that silent connections hold: the
// source with the most links loses its oldest one at once, and an agent that is known is the last.
func TestSilentLinksKeepNoAgentOut(t *testing.T) {
	u := newUnknownLinks()
	now := time.Now()
	var crowd []*unknownLink
	add := func(address string) (added, excess *unknownLink) {
		now = now.Add(time.Millisecond)
		return u.add(remoteConn{address: address}, now)
	}
	for range maxUnknownLinks {
		l, excess := add("10.0.0.1:1")
		if excess != nil {
			t.Fatal("a link was closed while there were places")
		}
		crowd = append(crowd, l)
	}
	agent, excess := add("10.0.0.2:1")
	if excess != crowd[0] {
		t.Error("the oldest link of the crowd was not closed for an agent")
	}
	for range 3 * maxUnknownLinks {
		if _, excess := add("10.0.0.1:1"); excess == agent {
			t.Fatal("the link of the agent was closed for the crowd")
		}
	}
	if len(u.links) != maxUnknownLinks {
		t.Errorf("%d links, limit %d", len(u.links), maxUnknownLinks)
	}
	u.identified(agent, now)
	agent, _ = add("10.0.0.2:1")
	for i := range 3 * maxUnknownLinks {
		if _, excess := add(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 1).String()); excess == agent {
			t.Fatal("the link of a known agent was closed for one of many sources")
		}
	}
	for l := range u.links {
		u.remove(l)
	}
	if len(u.bySource) != 0 {
		t.Errorf("%d sources without links", len(u.bySource))
	}
}

// TestKnownSourcesAreBounded guards against a list of addresses that grows without end.
func TestKnownSourcesAreBounded(t *testing.T) {
	u := newUnknownLinks()
	now := time.Now()
	for i := range maxKnownSources + 10 {
		l, _ := u.add(remoteConn{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1).String()}, now)
		u.identified(l, now)
	}
	if len(u.agents) != maxKnownSources {
		t.Errorf("%d known addresses, limit %d", len(u.agents), maxKnownSources)
	}
	l, _ := u.add(remoteConn{address: "10.9.9.9:1"}, now)
	u.identified(l, now.Add(2*knownSourceRetention))
	if !u.isAgent(l.source, now.Add(2*knownSourceRetention)) || len(u.agents) != 1 {
		t.Errorf("a new address is not known, or %d old ones are", len(u.agents)-1)
	}
}
