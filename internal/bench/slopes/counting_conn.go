package slopes

import (
	"net"
	"sync/atomic"
)

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 20 + 8

// countingPacketConn is a UDP socket that counts its datagrams and their bytes. It hides
// the socket's batched system calls from quic-go, so that each call is one datagram.
type countingPacketConn struct {
	net.PacketConn
	datagrams, bytes atomic.Int64 // both directions; bytes include headers
}

// listenCounting opens a countingPacketConn on a free loopback port.
func listenCounting() (*countingPacketConn, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBuffer)
	return &countingPacketConn{PacketConn: conn}, nil
}

// socketBuffer is the receive buffer in bytes, large enough for bursts of 1000 links.
const socketBuffer = 4 << 20

// ReadFrom implements net.PacketConn.
func (c *countingPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(b)
	if err == nil {
		c.count(n)
	}
	return n, from, err
}

// WriteTo implements net.PacketConn.
func (c *countingPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(b, to)
	if err == nil {
		c.count(n)
	}
	return n, err
}

func (c *countingPacketConn) count(n int) {
	c.datagrams.Add(1)
	c.bytes.Add(int64(n + headerBytes))
}
