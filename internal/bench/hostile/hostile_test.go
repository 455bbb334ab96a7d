// Package hostile_test sends malformed and unauthorized input to the ports of a fleet that
// runs jobs.
package hostile_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/quic-go/quic-go"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/connection/caller"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/connection/link"
	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

const (
	seed          = 8
	inputsPerPort = 10000
	senders       = 16 // concurrent senders for each port
	callers       = 8
	tasksPerJob   = 4
	taskRunTime   = 50 * time.Millisecond
	baselineTime  = 4 * time.Second
	// attackDuration is the time over which the inputs to a port are spread.
	attackDuration   = 8 * time.Second
	maxNodeMemoryKiB = 256 << 10
	// maxSlowdown bounds the ratio of the median response time under attack to that of the
	// baseline. It is loose so that the test does not fail on a busy machine; the log has
	// the measured quantiles.
	maxSlowdown = 3.0
)

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == fleet.NodeCommand {
		os.Exit(daemon.Main(os.Args[2:], os.Stderr))
	}
	os.Exit(m.Run())
}

func startFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	spec := fleet.Spec{EntriesPerDataCentre: 1, DataCentres: []string{"nbo1", "nbo2"}, Direct: true}
	for _, name := range []string{"r1", "r2", "r3", "r4"} {
		spec.Targets = append(spec.Targets, fleet.Target{
			Name: name, DataCentre: "nbo1", Rack: name, Slots: 16, Size: fleet.Size{CPUs: 30, MemoryMB: 130000},
		})
	}
	spec.Departments = []fleet.Department{{Name: "desk"}}
	f, err := fleet.Start(ctx, spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// runJobs submits jobs through the first entry until ctx ends, one at a time for each
// caller, and returns the response times in microseconds.
func runJobs(ctx context.Context, t *testing.T, f *fleet.Fleet) *hdrhistogram.Histogram {
	var mu sync.Mutex
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var wait sync.WaitGroup
	for number := range callers {
		wait.Go(func() {
			c := f.Client("desk", fmt.Sprintf("caller-%d", number), f.Entries[0])
			for ctx.Err() == nil {
				began := time.Now()
				answer, err := c.Submit(context.WithoutCancel(ctx), job())
				mu.Lock()
				_ = times.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
				if err != nil || len(answer.GetResults()) != tasksPerJob {
					t.Errorf("job failed: %v", err)
				}
			}
		})
	}
	wait.Wait()
	return times
}

func job() client.Job {
	j := client.Job{Deadline: 10 * time.Second}
	for i := range tasksPerJob {
		payload, _ := json.Marshal(standintarget.Payload{Task: fmt.Sprint("t-", i), RunMS: int(taskRunTime.Milliseconds())})
		j.Tasks = append(j.Tasks, &apiv1.Task{Kind: "t", RunMs: uint32(taskRunTime.Milliseconds()), Payload: payload})
	}
	return j
}

// sendInputs calls send for inputsPerPort inputs from concurrent senders, spread evenly
// over attackDuration. Each sender has a random sequence of its own.
func sendInputs(send func(random *rand.Rand, number int)) {
	var wait sync.WaitGroup
	for sender := range senders {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(sender)))
			began := time.Now()
			for number := sender; number < inputsPerPort; number += senders {
				time.Sleep(time.Until(began.Add(attackDuration * time.Duration(number) / inputsPerPort)))
				send(random, number)
			}
		})
	}
	wait.Wait()
}

func randomBytes(random *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

// sendTCP returns a function that sends, in turn: random bytes, a partial request on a
// connection that stays open, a Content-Length above the limit, and a random body that is
// no valid message.
func sendTCP(address string, open *sync.Map) func(*rand.Rand, int) {
	return func(random *rand.Rand, number int) {
		conn, err := net.DialTimeout("tcp", address, 5*time.Second)
		if err != nil {
			return
		}
		const kinds = 4
		switch number % kinds {
		case 0:
			_, _ = conn.Write(randomBytes(random, 1+random.IntN(2000)))
		case 1:
			_, _ = conn.Write([]byte("POST /rosemarybay.v1.JobService/Submit HTTP/1.1\r\nContent-Le"))
			open.Store(number, conn)
			return
		case 2:
			_, _ = fmt.Fprintf(conn, "POST /rosemarybay.v1.JobService/Submit HTTP/1.1\r\nContent-Length: %d\r\n\r\nabc", 2*caller.MaxBodyBytes)
		case 3:
			body := randomBytes(random, 1+random.IntN(2000))
			_, _ = fmt.Fprintf(conn, "POST /rosemarybay.v1.JobService/Submit HTTP/1.1\r\nHost: x\r\nContent-Type: application/proto\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = conn.Read(make([]byte, 1))
		}
		_ = conn.Close()
	}
}

// sendUDP returns a function that sends random datagrams and, for one input in
// handshakeEvery, starts a QUIC handshake with a certificate of an untrusted authority.
func sendUDP(t *testing.T, address string) func(*rand.Rand, int) {
	ca, err := identity.NewCA("foreign")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := identity.NewNodeCertificate(ca, identity.Identity{Name: "x", Role: identity.RoleAgent, DataCentre: "nbo1"})
	if err != nil {
		t.Fatal(err)
	}
	keys, err := identity.Load(identity.KeyFiles{CA: ca.Cert, Cert: pair.Cert, Key: pair.Key}, nil)
	if err != nil {
		t.Fatal(err)
	}
	config := keys.ClientConfig()
	config.VerifyConnection = func(tls.ConnectionState) error { return nil }
	const handshakeEvery = 100
	return func(random *rand.Rand, number int) {
		if number%handshakeEvery == 0 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if conn, err := quic.DialAddr(ctx, address, config, link.Config()); err == nil {
				_, _ = conn.AcceptStream(ctx)
			}
			return
		}
		conn, err := net.Dial("udp", address)
		if err != nil {
			return
		}
		_, _ = conn.Write(randomBytes(random, 1+random.IntN(1400)))
		_ = conn.Close()
	}
}

// Guards against hostile input that ends or blocks a node, makes its memory grow, or fails
// or slows down the jobs of other callers. The counters of the entry must show the input,
// so that the test can't pass without an attack.
func TestHostileInputDoesNotDisturbJobs(t *testing.T) {
	f := startFleet(t)
	t.Cleanup(func() {
		if t.Failed() {
			printLeaseEvents(t, f)
		}
	})
	baselineCtx, stopBaseline := context.WithTimeout(t.Context(), baselineTime)
	baseline := runJobs(baselineCtx, t, f)
	stopBaseline()

	entry, agent := host(f.Entries[0].StatusURL), host(f.Agents[0].StatusURL)
	peer := strings.TrimSuffix(entry, "7001") + "7000"
	var open sync.Map
	ctx, stop := context.WithCancel(t.Context())
	began := time.Now()
	go func() {
		defer stop()
		var wait sync.WaitGroup
		wait.Go(func() { sendInputs(sendTCP(entry, &open)) })
		wait.Go(func() { sendInputs(sendTCP(agent, &open)) })
		wait.Go(func() { sendInputs(sendUDP(t, peer)) })
		wait.Wait()
	}()
	during := runJobs(ctx, t, f)
	t.Logf("%d inputs on each of 3 ports in %s", inputsPerPort, time.Since(began).Round(time.Millisecond))

	logResponseTimes(t, "quiet", baseline)
	logResponseTimes(t, "under attack", during)
	if slowdown := float64(during.ValueAtQuantile(50)) / float64(baseline.ValueAtQuantile(50)); slowdown > maxSlowdown {
		t.Errorf("median response time under attack is %.2f times the baseline", slowdown)
	}
	checkNodesRunWithinMemory(t, f)
	checkEntryCountedAttack(t, f)
	open.Range(func(_, conn any) bool { return conn.(net.Conn).Close() == nil })
}

// printLeaseEvents prints the log lines of the entries on lost leases and on the store.
func printLeaseEvents(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, n := range f.Entries {
		b, err := os.ReadFile(n.LogPath())
		if err != nil {
			t.Error(err)
		}
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, `"message":"incarnation lost"`) || strings.Contains(line, `"message":"store"`) {
				t.Log(line)
			}
		}
	}
}

func host(url string) string { return strings.TrimPrefix(url, "http://") }

// logResponseTimes logs quantiles of the ratio of response time to task run time.
func logResponseTimes(t *testing.T, phase string, h *hdrhistogram.Histogram) {
	t.Helper()
	ideal := float64(taskRunTime.Microseconds())
	t.Logf("%s: %d jobs, response over run time p50 %.3f p90 %.3f p99 %.3f", phase, h.TotalCount(),
		float64(h.ValueAtQuantile(50))/ideal, float64(h.ValueAtQuantile(90))/ideal, float64(h.ValueAtQuantile(99))/ideal)
}

// checkNodesRunWithinMemory checks that all processes still run and that the peak resident
// memory of each is within maxNodeMemoryKiB.
func checkNodesRunWithinMemory(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, n := range f.Nodes() {
		if !n.IsRunning() {
			t.Errorf("%s is not running", n.Name)
			continue
		}
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(b)) {
			var peak int
			if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &peak); err != nil {
				continue
			}
			t.Logf("%s: peak memory %d MB", n.Name, peak>>10)
			if peak > maxNodeMemoryKiB {
				t.Errorf("%s: peak memory %d KiB, the limit is %d", n.Name, peak, maxNodeMemoryKiB)
			}
		}
	}
}

// checkEntryCountedAttack checks that the first entry is ready and that its counters show
// the attack.
func checkEntryCountedAttack(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	response, err := http.Get(f.Entries[0].StatusURL + "/ready")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("entry is not ready: %v", err)
	}
	values, err := f.Scrape(f.Entries[0])
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"caller_connections_cut_malformed", "refused_invalid_argument", "handshakes_refused"} {
		t.Logf("%s %d", name, values[name])
		if values[name] == 0 {
			t.Errorf("%s is 0", name)
		}
	}
}
