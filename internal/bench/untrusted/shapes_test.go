package untrusted_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/standin/runtarget"
	"github.com/rosemarybay/rosemarybay/platform/standin"
)

// The crowds of this file send what is inside the limits, in shapes that take much more memory
// than bytes. They were fixed, with the bounds, on d08767c.
const (
	crowd              = 240
	largeCrowd         = 2000
	announcementCrowd  = 24
	defaultHeadLimit   = 64 << 10
	announcementLimit  = 4 << 20
	unreadMetrics      = 400
	unreadMetricsPause = 5 * time.Millisecond
	reconnectingLinks  = 300
	jobTasks           = 2000
	// jobsLeft is the number of jobs that a client sends and leaves, each after leaveAfter.
	jobsLeft   = 100
	leaveAfter = 10 * time.Millisecond
	// unansweredFor is how long a target answers no start after the crowd has sent its jobs.
	unansweredFor = 3 * time.Second
)

// shortFields returns an unfinished head of a length with as many fields as fit, all of them of
// different names.
func shortFields(start string, length int) func(net.Conn) error {
	var head strings.Builder
	head.WriteString(start)
	for i := 0; ; i++ {
		field := strconv.FormatInt(int64(i), 36) + ":\r\n"
		if head.Len()+len(field) > length {
			break
		}
		head.WriteString(field)
	}
	return sendAll(head.String())
}

// wholeHeads sends several whole heads of a length with as many fields as fit.
func wholeHeads(start string, length int) func(net.Conn) error {
	return func(conn net.Conn) error {
		for range 8 {
			if err := shortFields(start, length-len("\r\n"))(conn); err != nil {
				return err
			}
			if err := sendAll("\r\n")(conn); err != nil {
				return err
			}
		}
		return nil
	}
}

func sendAll(s string) func(net.Conn) error {
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, s)
		return err
	}
}

// listBody returns a body of a length that is a list of equal items between two texts.
func listBody(before, item, after string, length int) string {
	n := (length - len(before) - len(after) - 1) / (len(item) + 1)
	return before + strings.Repeat(item+",", n) + item + after
}

// sendBody sends a whole request with a body to a path that pathOf returns for the connection.
func sendBody(pathOf func(net.Conn) string, body string) func(net.Conn) error {
	return func(conn net.Conn) error {
		head := requestHead("POST", pathOf(conn), standin.DeadlineHeader+": 4000\r\n",
			"Content-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n")
		_, err := io.WriteString(conn, head+body)
		return err
	}
}

// jobPath returns the path of a job of its own for each connection.
func jobPath(conn net.Conn) string {
	return fmt.Sprintf("%s%016x", prefix, conn.LocalAddr().(*net.TCPAddr).Port)
}

func beatPath(net.Conn) string { return "/v1/instances/t1/heartbeat" }

// oneByteChunks sends an unfinished body in chunks of one byte.
func oneByteChunks(conn net.Conn) error {
	head := requestHead("POST", jobPath(conn), "Transfer-Encoding: chunked\r\n\r\n")
	_, err := io.WriteString(conn, head+strings.Repeat("1\r\nx\r\n", bodyLimit-1))
	return err
}

// readNothing asks for the metrics again and again without reading a response. The requests are
// paced, so that they are not refused as too many at once.
func readNothing(conn net.Conn) error {
	for range unreadMetrics {
		if _, err := io.WriteString(conn, requestHead("GET", "/metrics", "\r\n")); err != nil {
			return err
		}
		time.Sleep(unreadMetricsPause)
	}
	return nil
}

// waitingJob sends a job of many tasks with the longest time for its answer.
func waitingJob(conn net.Conn) error {
	body := standin.JobBody(jobTasks, 8000, 10*time.Millisecond)
	head := requestHead("POST", jobPath(conn), standin.DeadlineHeader+": 3600000\r\n",
		"Content-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n")
	_, err := io.WriteString(conn, head+string(body))
	return err
}

// idleTasks sends a job of tasks that need no capacity of a target and run for a time.
func idleTasks(tasks int, run time.Duration) func(net.Conn) error {
	return func(conn net.Conn) error {
		body := standin.JobBodyStart + fmt.Sprintf(`"spec":"%d","steps":[{"count":%d,"estimate_ms":%d}]}`, run.Milliseconds(), tasks, run.Milliseconds())
		head := requestHead("POST", jobPath(conn), fmt.Sprintf("%s: %d\r\n", standin.DeadlineHeader, 4*run.Milliseconds()),
			"Content-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n")
		_, err := io.WriteString(conn, head+body)
		return err
	}
}

// cancelUnknown cancels as many jobs that do not exist as a connection may send requests ahead of their
// responses.
func cancelUnknown(conn net.Conn) error {
	var requests strings.Builder
	for i := range 99 {
		requests.WriteString(requestHead("DELETE", fmt.Sprintf("%s-%d", jobPath(conn), i), "\r\n"))
	}
	return sendAll(requests.String())(conn)
}

// leftJobs sends jobs of many tasks, one after the other, and closes the connection of each soon after.
func leftJobs(first net.Conn) error {
	_ = first.Close()
	for range jobsLeft {
		conn, err := net.DialTimeout("tcp", entryCaller, sendLimit)
		if err != nil {
			return err
		}
		err = idleTasks(jobTasks, 10*time.Second)(conn)
		time.Sleep(leaveAfter)
		_ = conn.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// longSpecTasks sends a job of tasks that need no capacity of a target and whose spec takes most of the
// body.
func longSpecTasks(tasks int) func(net.Conn) error {
	return func(conn net.Conn) error {
		_, err := conn.Write(longSpecRequest(jobPath(conn), tasks))
		return err
	}
}

func longSpecRequest(path string, tasks int) []byte {
	steps := fmt.Sprintf(`","steps":[{"count":%d,"estimate_ms":50}]}`, tasks)
	start := standin.JobBodyStart + `"spec":"`
	body := start + strings.Repeat("x", bodyLimit-len(start)-len(steps)) + steps
	return []byte(requestHead("POST", path, standin.DeadlineHeader+": 4000\r\n",
		"Content-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n") + body)
}

// longHello sends a first frame inside the limit with very many small items.
func longHello(runs int) func(net.Conn) error {
	body, err := cbor.Marshal(peer.Frame{Hello: &peer.Hello{Name: "x", Runs: make([]task.Attempt, runs)}})
	if err != nil {
		panic(err)
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	return sendAll(string(append(frame, body...)))
}

// smallHello is longHello with items of one byte, which decode to empty values.
func smallHello() func(net.Conn) error {
	const items = 1<<20 + 1<<17
	body := []byte{0xa1, 0x01, 0xa3, 0x01, 0x61, 'x', 0x02, 0x01, 0x04, 0x9a}
	body = binary.BigEndian.AppendUint32(body, items)
	body = append(body, bytes.Repeat([]byte{0xa0}, items)...)
	return sendAll(string(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)))
}

// shape is a crowd of connections, each of which sends the same.
type shape struct {
	name, address string
	connections   int
	send          func(net.Conn) error
}

func shapes() []shape {
	job := requestHead("POST", prefix+"00000000000000f3")
	beat := requestHead("POST", "/v1/instances/t1/heartbeat")
	status := requestHead("GET", "/metrics")
	steps := listBody(standin.JobBodyStart+`"steps":[`, "{}", "]}", bodyLimit)
	dependencies := listBody(standin.JobBodyStart+`"steps":[{"count":1,"after":[`, "0", "]}]}", bodyLimit)
	unknown := listBody(standin.JobBodyStart+`"other":[`, "0", `],"steps":[{"count":1}]}`, bodyLimit)
	nested := strings.Repeat(`{"steps":[`, 4000)
	labels := listBody(`{"labels":[`, `""`, "]}", announcementLimit)
	announced := listBody(`{"service":"pool","address":"`+targetAddress+`","zone":"dc1","state":"ready","sequence":1,"born":1,`+
		`"capacity":{"cpu":8000,"mem_mb":1000,"gpu":0},"labels":[`, `""`, "]}", announcementLimit)
	longState := `{"service":"pool","address":"` + targetAddress + `","zone":"dc1","sequence":1,"born":1,"capacity":{"cpu":8000},"state":"` +
		strings.Repeat("\x7f", announcementLimit-256) + `"}`
	return []shape{
		{"short fields", entryCaller, crowd, shortFields(job, headLimit)},
		{"short fields of one name", entryCaller, crowd, sendAll(job + strings.Repeat("a:\r\n", (headLimit-len(job))/4))},
		{"whole heads of short fields", entryCaller, crowd, wholeHeads(requestHead("GET", prefix), headLimit)},
		{"status: whole heads of short fields", entryMetrics, crowd, wholeHeads(status, defaultHeadLimit)},
		{"agent: whole heads of short fields", agentAnnounce, crowd, wholeHeads(beat, defaultHeadLimit)},
		{"status: short fields", entryReady, crowd, shortFields(status, defaultHeadLimit)},
		{"status: short fields on the metrics", entryMetrics, crowd, shortFields(status, defaultHeadLimit)},
		{"agent: short fields", agentAnnounce, crowd, shortFields(beat, defaultHeadLimit)},
		{"agent: short fields on the metrics", agentMetrics, crowd, shortFields(status, defaultHeadLimit)},
		{"small steps", entryCaller, crowd, sendBody(jobPath, steps)},
		{"small dependencies", entryCaller, crowd, sendBody(jobPath, dependencies)},
		{"small unknown items", entryCaller, crowd, sendBody(jobPath, unknown)},
		{"nested steps", entryCaller, crowd, sendBody(jobPath, nested)},
		{"agent: small labels", agentAnnounce, announcementCrowd, sendBody(beatPath, labels)},
		{"agent: small labels of a whole announcement", agentAnnounce, announcementCrowd, sendBody(beatPath, announced)},
		{"agent: long state", agentAnnounce, announcementCrowd, sendBody(beatPath, longState)},
		{"long numbers", entryCaller, crowd, sendBody(jobPath, `{"steps":[{"count":`+strings.Repeat("1", bodyLimit-32)+"}]}")},
		{"requests behind a long job", entryCaller, crowd, func(conn net.Conn) error {
			if err := idleTasks(1, 5*time.Second)(conn); err != nil {
				return err
			}
			return sendAll(strings.Repeat(requestHead("GET", prefix, "X-Long: "+strings.Repeat("x", 4000)+"\r\n\r\n"), 99))(conn)
		}},
		{"one-byte chunks", entryCaller, crowd, oneByteChunks},
		{"metrics not read", entryMetrics, crowd, readNothing},
		{"agent: metrics not read", agentMetrics, crowd, readNothing},
		{"jobs of many tasks", entryCaller, crowd, waitingJob},
		{"jobs of many tasks without needs", entryCaller, crowd, idleTasks(jobTasks, time.Second)},
		{"cancellations of unknown jobs", entryCaller, crowd, cancelUnknown},
		{"jobs of many tasks that are left", entryCaller, senders, leftJobs},
		{"jobs of many tasks with a long spec", entryCaller, senders, longSpecTasks(jobTasks)},
		{"peer: long hello", entryPeer, crowd, longHello(20_000)},
		{"peer: small items in the hello", entryPeer, crowd, smallHello()},
	}
}

// TestShapesInsideTheLimitsDoNotEndProcesses guards against a bound that counts the bytes that
// arrive and not the memory that they take.
func TestShapesInsideTheLimitsDoNotEndProcesses(t *testing.T) {
	for _, c := range shapes() {
		t.Run(c.name, func(t *testing.T) { attack(t, startProcesses(t), c.address, c.connections, c.send) })
	}
}

// TestUnansweredStartsDoNotEndProcesses guards against an agent that holds all starts that entries send
// while its target answers none of them.
func TestUnansweredStartsDoNotEndProcesses(t *testing.T) {
	p := startProcesses(t)
	descriptors := watchDescriptors(t, p)
	var mix runtarget.Mix
	mix.Chances[runtarget.Start][runtarget.Lost] = 1
	endFault := p.target.Disturb(mix)
	defer openCrowd(t, entryCaller, crowd, idleTasks(jobTasks, time.Second))()
	time.Sleep(unansweredFor)
	endFault()
	await(t, "an ordinary job completes after the crowd", ordinaryJobCompletes)
	most := descriptors()
	p.entry.check(t, most[0])
	p.agent.check(t, most[1])
}

// TestLongSpecOfManyTasksIsServedInCalm guards against starts that are sent together without regard to
// the size of their spec.
func TestLongSpecOfManyTasksIsServedInCalm(t *testing.T) {
	p := startProcesses(t)
	requestNumber++
	if !completes(longSpecRequest(fmt.Sprintf("%s%016x", prefix, requestNumber), 100)) {
		t.Error("a job of many tasks with a long spec is not served")
	}
	p.entry.check(t, p.entry.descriptors())
	p.agent.check(t, p.agent.descriptors())
}

// TestLargeCrowdsDoNotEndProcessesOnTheSmallestMachine guards against bounds that hold for a small
// process only.
func TestLargeCrowdsDoNotEndProcessesOnTheSmallestMachine(t *testing.T) {
	for _, c := range shapes() {
		switch c.name {
		case "short fields", "status: short fields", "agent: short fields", "small steps", "agent: metrics not read", "jobs of many tasks":
			t.Run(c.name, func(t *testing.T) {
				attack(t, startProcessesOf(t, smallestMachine), c.address, largeCrowd, c.send)
			})
		}
	}
}

// TestAgentLinksBesideSilentLinks guards against a bound for unknown links that whoever holds them
// makes the end of all jobs: silent connections that come back when they are closed, while the
// agent is restarted.
func TestAgentLinksBesideSilentLinks(t *testing.T) { agentLinksBeside(t, "") }

// TestAgentLinksBesideSilentLinksOfItsAddress guards against a choice of links that needs an address of
// its own for each agent.
func TestAgentLinksBesideSilentLinksOfItsAddress(t *testing.T) { agentLinksBeside(t, agentIP) }

// agentLinksBeside restarts the agent beside silent links from an address, empty for any.
func agentLinksBeside(t *testing.T, source string) {
	p := startProcesses(t)
	dialer := net.Dialer{Timeout: sendLimit}
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	var stopped atomic.Bool
	var wait sync.WaitGroup
	for range reconnectingLinks {
		wait.Go(func() {
			for !stopped.Load() {
				conn, err := dialer.Dial("tcp", entryPeer)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				for !stopped.Load() {
					_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
					_, err := io.Copy(io.Discard, conn)
					if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
						break
					}
				}
				_ = conn.Close()
			}
		})
	}
	defer wait.Wait()
	defer stopped.Store(true)
	time.Sleep(time.Second)
	descriptors := watchDescriptors(t, p)
	p.restartAgent()
	await(t, "an ordinary job completes beside silent links", ordinaryJobCompletes)
	most := descriptors()
	p.entry.check(t, most[0])
	p.agent.check(t, most[1])
}

// TestFreshCallerOutlivesSlowSenders guards against a choice of connections to close that takes the
// caller who has just connected for idle, beside clients that send a byte now and then.
func TestFreshCallerOutlivesSlowSenders(t *testing.T) {
	p := startProcesses(t)
	var stopped atomic.Bool
	var wait sync.WaitGroup
	sendSlowly := func() {
		conn, err := net.DialTimeout("tcp", entryCaller, sendLimit)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, requestHead("POST", prefix+"00000000000000f4"))
		for err == nil && !stopped.Load() {
			_, err = io.WriteString(conn, "X-A: b\r\n")
			time.Sleep(20 * time.Millisecond)
		}
	}
	for range idleConns {
		wait.Go(sendSlowly)
	}
	defer wait.Wait()
	defer stopped.Store(true)
	time.Sleep(time.Second)
	conn, err := net.DialTimeout("tcp", entryCaller, sendLimit)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(500 * time.Millisecond)
	for range 20 {
		wait.Go(sendSlowly)
	}
	time.Sleep(500 * time.Millisecond)
	requestNumber++
	request := jobRequest(fmt.Sprintf("%016x", requestNumber), 0)
	_, _ = conn.Write(request)
	_ = conn.SetDeadline(time.Now().Add(sendLimit))
	answer := make([]byte, 4096)
	n, err := io.ReadAtLeast(conn, answer, 12)
	if !strings.HasPrefix(string(answer[:n]), "HTTP/1.1 200") {
		t.Errorf("the caller got %q (%v), expected status 200", answer[:n], err)
	}
	p.entry.check(t, p.entry.descriptors())
}

// TestCallersGetInBesideLongJobs guards against connections that are all taken by requests in progress, for
// as long as their senders choose. The targets are full of these jobs, so that the caller asks for the
// number of waiting ones.
func TestCallersGetInBesideLongJobs(t *testing.T) {
	p := startProcesses(t)
	descriptors := watchDescriptors(t, p)
	defer openCrowd(t, entryCaller, idleConns, idleTasks(1, 5*time.Minute))()
	pending := []byte(requestHead("GET", prefix, "\r\n"))
	await(t, "a caller is answered beside long jobs", func() bool { return completes(pending) })
	await(t, "the entry is ready", func() bool { return get("http://"+entryReady+standin.PathReady) == http.StatusOK })
	most := descriptors()
	p.entry.check(t, most[0])
	p.agent.check(t, most[1])
}

// TestUnusualRequestsAreServedInCalm guards against a server that closes the connection of a client
// that keeps to the protocol and the limits.
func TestUnusualRequestsAreServedInCalm(t *testing.T) {
	startProcesses(t)
	body := string(standin.JobBody(1, 100, 10*time.Millisecond))
	length := strconv.Itoa(len(body))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	var oneByte strings.Builder
	for i := range body {
		oneByte.WriteString("1\r\n" + body[i:i+1] + "\r\n")
	}
	manyFields := func() string {
		var fields strings.Builder
		for i := 0; fields.Len() < headLimit-1024; i++ {
			fields.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
		}
		return fields.String()
	}()
	requests := map[string]func(start string) string{
		"white space before a length": func(start string) string {
			return start + "Content-Length:" + strings.Repeat(" ", 4000) + length + "\r\n\r\n" + body
		},
		"white space behind a length": func(start string) string {
			return start + "Content-Length: " + length + strings.Repeat(" ", 4000) + "\r\n\r\n" + body
		},
		"tab before a length":      func(start string) string { return start + "Content-Length:\t" + length + "\r\n\r\n" + body },
		"no space before a length": func(start string) string { return start + "content-length:" + length + "\r\n\r\n" + body },
		"the same length twice": func(start string) string {
			return start + "Content-Length: " + length + "\r\nContent-Length: " + length + "\r\n\r\n" + body
		},
		"empty line before the request": func(start string) string {
			return "\r\n" + start + "Content-Length: " + length + "\r\n\r\n" + body
		},
		"chunks": func(start string) string {
			return start + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"
		},
		"chunks in other case": func(start string) string {
			return start + "transfer-encoding: Chunked\r\n\r\n" + chunk + "0\r\n\r\n"
		},
		"chunks of one byte": func(start string) string {
			return start + "Transfer-Encoding: chunked\r\n\r\n" + oneByte.String() + "0\r\n\r\n"
		},
		"chunk extension": func(start string) string {
			return start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Replace(chunk, "\r\n", ";a=\"b\"\r\n", 1) + "0\r\n\r\n"
		},
		"trailer without announcement": func(start string) string {
			return start + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\nX-Sum: 1\r\n\r\n"
		},
		"announced trailer": func(start string) string {
			return start + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\nX-Sum: 1\r\n\r\n"
		},
		"announced trailer that is not sent": func(start string) string {
			return start + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"
		},
		"many short fields": func(start string) string {
			return start + manyFields + "Content-Length: " + length + "\r\n\r\n" + body
		},
		"close": func(start string) string {
			return start + "Connection: close\r\nContent-Length: " + length + "\r\n\r\n" + body
		},
		"unknown items": func(start string) string {
			long := strings.TrimSuffix(body, "}") + listBody(`,"other":[`, "0", "]}", bodyLimit-len(body)-16)
			return start + "Content-Length: " + strconv.Itoa(len(long)) + "\r\n\r\n" + long
		},
	}
	for name, build := range requests {
		t.Run(name, func(t *testing.T) {
			requestNumber++
			start := requestHead("POST", fmt.Sprintf("%s%016x", prefix, requestNumber), standin.DeadlineHeader+": 4000\r\n")
			if !completes([]byte(build(start))) {
				t.Error("the request is not served")
			}
		})
	}
}
