package slopes

import (
	"net"
	"sync/atomic"
)

// headerBytes is what IPv4 and UDP add to each datagram.
const headerBytes = 20 + 8

// countingConn is a UDP socket that counts its datagrams. It hides the batched
// calls of the socket from quic-go, so each datagram is one call.
type countingConn struct {
	net.PacketConn
	datagrams, bytes atomic.Int64 // both directions, headers included
}

func listenCounting() (*countingConn, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBuffer)
	return &countingConn{PacketConn: conn}, nil
}

// socketBuffer holds the bursts of a thousand links.
const socketBuffer = 4 << 20

// ReadFrom implements net.PacketConn.
func (c *countingConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(b)
	if err == nil {
		c.count(n)
	}
	return n, from, err
}

// WriteTo implements net.PacketConn.
func (c *countingConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(b, to)
	if err == nil {
		c.count(n)
	}
	return n, err
}

func (c *countingConn) count(n int) {
	c.datagrams.Add(1)
	c.bytes.Add(int64(n + headerBytes))
}
