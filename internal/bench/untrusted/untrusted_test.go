// Package untrusted_test starts an entry and an agent as processes, and sends what clients send
// that nobody controls: bodies and heads over the limit, unfinished requests, and connections
// that are of no use. The processes must stay within their memory and descriptors, and must
// answer an ordinary request afterwards.
package untrusted_test

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The crowd, and the bounds that it must not exceed. memoryMB is both the setting of each process
// and the bound of its resident memory; the smallest machines have more.
const (
	senders        = 48
	bytesPerSender = 6 << 20
	bodiesAtOnce   = 400
	bodyLimit      = 256 << 10
	headLimit      = 16 << 10
	idleConns      = 600
	unreadRequests = 60_000
	memoryMB       = 64
	maxDescriptors = 400
)

// The addresses of the processes.
const (
	entryIP, agentIP, standinIP = "127.41.0.1", "127.41.1.1", "127.41.2.1"
	entryCaller                 = entryIP + ":18161"
	entryReady                  = entryIP + ":18167"
	entryPeer                   = entryIP + ":17720"
	entryMetrics                = entryIP + ":19464"
	agentAnnounce               = agentIP + ":18166"
	agentMetrics                = agentIP + ":19464"
	storeAddress                = standinIP + ":18169"
	targetAddress               = standinIP + ":18165"
)

const (
	host, prefix, service = "desk.example", "/jobs/", "pool"
	// settleLimit bounds the wait for a state that must come about; a run usually takes seconds.
	settleLimit = 60 * time.Second
	// sendLimit ends a sender whose connection is neither read nor closed.
	sendLimit = 10 * time.Second
)

// repeat writes a prefix, and then a piece again and again until bytesPerSender were sent.
func repeat(start, piece string) func(net.Conn) error {
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, start); err != nil {
			return err
		}
		block := []byte(strings.Repeat(piece, max(1, 32<<10/len(piece))))
		for sent := 0; sent < bytesPerSender; sent += len(block) {
			if _, err := conn.Write(block); err != nil {
				return err
			}
		}
		return nil
	}
}

// slowly writes a prefix and then a byte now and then.
func slowly(start, piece string) func(net.Conn) error {
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, start); err != nil {
			return err
		}
		for range 50 {
			if _, err := io.WriteString(conn, piece); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}
}

func requestHead(method, path string, more ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(more, "")
}

// TestCrowdsDoNotEndProcesses guards against the end of a process that buffers what its clients
// send: each crowd sends more than the memory of the process.
func TestCrowdsDoNotEndProcesses(t *testing.T) {
	job := prefix + "00000000000000f1"
	announced := "Content-Length: " + strconv.Itoa(30<<20) + "\r\n\r\n"
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	chunk := "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"
	beat := "/v1/instances/t1/heartbeat"
	for _, c := range []struct {
		name, address string
		connections   int
		send          func(net.Conn) error
	}{
		{"announced body", entryCaller, senders, repeat(requestHead("POST", job, announced), "x")},
		{"body in chunks", entryCaller, senders, repeat(requestHead("POST", job, chunked), chunk)},
		{"body in one chunk", entryCaller, senders, repeat(requestHead("POST", job, chunked)+"1E00000\r\n", "x")},
		{"body of no queue", entryCaller, senders, repeat(requestHead("POST", "/none", announced), "x")},
		{"long head", entryCaller, senders, repeat(requestHead("POST", job, "X-Long: "), "x")},
		{"head without end", entryCaller, senders, repeat(requestHead("POST", job), "X-More: abcdefgh\r\n")},
		{"path without end", entryCaller, senders, repeat("GET /", "x")},
		{"empty lines", entryCaller, senders, repeat("", "\r\n")},
		{"spaces before the path", entryCaller, senders, repeat("GET ", " ")},
		{"trailer without end", entryCaller, senders, repeat(requestHead("POST", job, "Trailer: X-End\r\n", chunked)+"0\r\n", "x")},
		{"slow announced body", entryCaller, senders, slowly(requestHead("POST", job, announced), "x")},
		{"slow head", entryCaller, senders, slowly(requestHead("POST", job), "X-A: b\r\n")},
		{"slow empty lines", entryCaller, senders, slowly("", "\r\n")},
		{"bodies inside the limit", entryCaller, bodiesAtOnce, func(conn net.Conn) error {
			request := jobRequest("00000000000000f2", bodyLimit)
			_, err := conn.Write(request[:len(request)-1])
			return err
		}},
		{"whole bodies inside the limit", entryCaller, bodiesAtOnce, func(conn net.Conn) error {
			_, err := conn.Write(jobRequest(fmt.Sprintf("%016x", conn.LocalAddr().(*net.TCPAddr).Port), bodyLimit))
			return err
		}},
		{"responses not read", entryCaller, senders, func(conn net.Conn) error {
			request := []byte(strings.Repeat(requestHead("GET", prefix, "\r\n"), 100))
			for range unreadRequests / 100 {
				if _, err := conn.Write(request); err != nil {
					return err
				}
			}
			return nil
		}},
		{"idle connections", entryCaller, idleConns, func(net.Conn) error { return nil }},
		{"status: announced body", entryReady, senders, repeat(requestHead("POST", "/", announced), "x")},
		{"status: head without end", entryMetrics, senders, repeat(requestHead("GET", "/metrics"), "X-More: abcdefgh\r\n")},
		{"status: idle connections", entryReady, idleConns, func(net.Conn) error { return nil }},
		{"agent: announced body", agentAnnounce, senders, repeat(requestHead("POST", beat, announced), "x")},
		{"agent: body in chunks", agentAnnounce, senders, repeat(requestHead("POST", beat, chunked), chunk)},
		{"agent: head without end", agentAnnounce, senders, repeat(requestHead("POST", beat), "X-More: abcdefgh\r\n")},
		{"agent: metrics head", agentMetrics, senders, repeat(requestHead("GET", "/metrics"), "X-More: abcdefgh\r\n")},
		{"agent: idle connections", agentMetrics, idleConns, func(net.Conn) error { return nil }},
		{"peer: long frame", entryPeer, senders, repeat("\x00\x7f\xff\xff", "x")},
		{"peer: idle connections", entryPeer, idleConns, func(net.Conn) error { return nil }},
	} {
		t.Run(c.name, func(t *testing.T) { attack(t, startProcesses(t), c.address, c.connections, c.send) })
	}
}

// TestLargestRequestIsServedInCalm guards against a limit that a client inside the limits meets.
func TestLargestRequestIsServedInCalm(t *testing.T) {
	p := startProcesses(t)
	for _, length := range []int{1 << 10, bodyLimit / 2, bodyLimit} {
		requestNumber++
		if !completes(jobRequest(fmt.Sprintf("%016x", requestNumber), length)) {
			t.Errorf("a body of %d bytes is not served", length)
		}
	}
	head := fmt.Sprintf("X-Long: %s\r\n", strings.Repeat("x", headLimit-1024))
	if !completes([]byte(requestHead("GET", prefix, head, "\r\n"))) {
		t.Error("a head inside the limit is not served")
	}
	p.entry.check(t, p.entry.descriptors())
}
