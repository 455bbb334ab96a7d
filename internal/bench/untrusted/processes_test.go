package untrusted_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/platform/standin"
)

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == fleet.NodeCommand {
		os.Exit(daemon.Main(os.Args[2:], os.Stderr))
	}
	os.Exit(m.Run())
}

// size is what a machine gives to a process: the settings of the process, and the bounds of what it
// may use.
type size struct{ memoryMB, descriptors int }

var (
	// small is below all machines, so that small crowds reach the bounds.
	small = size{memoryMB, maxDescriptors}
	// smallestMachine is the smallest one on which the product runs.
	smallestMachine = size{144, 3075}
)

// process is an entry or an agent.
type process struct {
	name  string
	size  size
	cmd   *exec.Cmd
	ended chan struct{}
}

func startProcess(t *testing.T, dir string, s *settings.Settings, z size) *process {
	t.Helper()
	b, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, s.Name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, s.Name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: s.Name, size: z, cmd: exec.Command(self, fleet.NodeCommand, "-settings", path), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	return p
}

// check reports a process that has ended or has exceeded its bounds.
func (p *process) check(t *testing.T, descriptors int) {
	t.Helper()
	select {
	case <-p.ended:
		t.Errorf("%s ended: %v", p.name, p.cmd.ProcessState)
		return
	default:
	}
	peak := p.peakMemoryMB(t)
	t.Logf("%s: peak %d MB, most descriptors %d", p.name, peak, descriptors)
	if peak > p.size.memoryMB {
		t.Errorf("%s used %d MB, limit %d", p.name, peak, p.size.memoryMB)
	}
	if descriptors > p.size.descriptors {
		t.Errorf("%s had %d descriptors open, limit %d", p.name, descriptors, p.size.descriptors)
	}
}

// peakMemoryMB returns the highest resident memory since the start of the process.
func (p *process) peakMemoryMB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			return kb >> 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

func (p *process) descriptors() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(files)
}

// processes are an entry, an agent and the stand-ins around them.
type processes struct {
	entry, agent *process
	target       *standin.Target
	// restartAgent kills the agent and starts it again.
	restartAgent func()
}

func startProcesses(t *testing.T) *processes {
	t.Helper()
	return startProcessesOf(t, small)
}

func startProcessesOf(t *testing.T, z size) *processes {
	t.Helper()
	dir := t.TempDir()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	store := standin.NewStore()
	serve(t, storeAddress, store)
	go store.Run(done)
	store.Put(standin.KeyConfig, configuration())
	target := standin.NewTarget(standin.TargetOptions{
		ID: "t1", Zone: "dc1", Service: service, Address: targetAddress, CPU: 8000, Ledger: &standin.Ledger{}, Agent: agentAnnounce,
	})
	serve(t, targetAddress, target)
	entry := nodeSettings(settings.RoleEntry, entryIP, z)
	entry.Node.CallerListen, entry.Node.ReadyListen = entryCaller, entryReady
	agent := nodeSettings(settings.RoleAgent, agentIP, z)
	agent.Node.AnnounceListen = agentAnnounce
	p := &processes{entry: startProcess(t, dir, entry, z), agent: startProcess(t, dir, agent, z), target: target}
	p.restartAgent = func() {
		_ = p.agent.cmd.Process.Kill()
		<-p.agent.ended
		p.agent = startProcess(t, dir, agent, z)
	}
	go target.Run(done)
	awaitReady(t)
	return p
}

// configuration returns that of the stand-in, with a limit for the heads of requests.
func configuration() []byte {
	return bytes.Replace(standin.Configuration(1, host, prefix, service), []byte(`"limits":{`),
		fmt.Appendf(nil, `"limits":{"max_header_bytes":%d,`, headLimit), 1)
}

func nodeSettings(role settings.Role, ip string, z size) *settings.Settings {
	return &settings.Settings{
		Role: role, Name: string(role) + "-1", DataCentre: "dc1", LogLevel: "info", StopTimeout: settings.Duration(3 * time.Second),
		Node: &settings.Node{
			IP: ip, MetricsPort: 19464, PeerPort: 17720, Store: storeAddress, TargetLease: settings.Duration(time.Second),
			MemoryMB: z.memoryMB, MaxDescriptors: z.descriptors,
		},
	}
}

func serve(t *testing.T, address string, handler http.Handler) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

func awaitReady(t *testing.T) {
	t.Helper()
	await(t, "the entry is ready", func() bool { return get("http://"+entryReady+standin.PathReady) == http.StatusOK })
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Since(begun) > settleLimit {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func get(url string) int {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// jobRequest returns a POST request for a job whose body has a length, as sent on the wire.
func jobRequest(id string, length int) []byte {
	body := standin.JobBody(1, 100, 10*time.Millisecond)
	if padding := length - len(body); padding > 0 {
		body = append(body, bytes.Repeat([]byte(" "), padding)...)
	}
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: 4000\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		prefix, id, host, standin.DeadlineHeader, len(body))
	return append([]byte(head), body...)
}

// completes reports whether a job request on a connection of its own completes the job.
func completes(request []byte) bool {
	conn, err := net.DialTimeout("tcp", entryCaller, 5*time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write(request); err != nil {
		return false
	}
	answer := make([]byte, 4096)
	n, _ := io.ReadAtLeast(conn, answer, 40)
	return strings.HasPrefix(string(answer[:n]), "HTTP/1.1 200")
}

// requestNumber makes the IDs of jobs distinct.
var requestNumber int

func ordinaryJobCompletes() bool {
	requestNumber++
	return completes(jobRequest(fmt.Sprintf("%016x", requestNumber), 0))
}

// attack runs a crowd of connections to an address, each of which calls send, and keeps them
// open until the ordinary requests after it have been answered.
func attack(t *testing.T, p *processes, address string, connections int, send func(net.Conn) error) {
	t.Helper()
	descriptors := watchDescriptors(t, p)
	defer openCrowd(t, address, connections, send)()
	await(t, "an ordinary job completes beside the crowd", ordinaryJobCompletes)
	await(t, "the metrics of the entry are served", func() bool { return get("http://"+entryMetrics+"/metrics") == http.StatusOK })
	await(t, "the metrics of the agent are served", func() bool { return get("http://"+agentMetrics+"/metrics") == http.StatusOK })
	most := descriptors()
	p.entry.check(t, most[0])
	p.agent.check(t, most[1])
}

// openCrowd opens connections to an address, each of which calls send. It returns once all have sent,
// and leaves the connections open until the function returned is called.
func openCrowd(t *testing.T, address string, connections int, send func(net.Conn) error) (closeAll func()) {
	t.Helper()
	var mu sync.Mutex
	var open []net.Conn
	var wait sync.WaitGroup
	for range connections {
		wait.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendLimit)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(sendLimit))
			_ = send(conn) // the server may close the connection at any time
		})
	}
	wait.Wait()
	return func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}
}

// watchDescriptors samples the descriptors of both processes. The function returned ends that
// and returns the highest numbers seen.
func watchDescriptors(t *testing.T, p *processes) func() [2]int {
	t.Helper()
	stop, stopped := make(chan struct{}), make(chan struct{})
	var most [2]int
	go func() {
		defer close(stopped)
		for {
			most[0], most[1] = max(most[0], p.entry.descriptors()), max(most[1], p.agent.descriptors())
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() [2]int {
		close(stop)
		<-stopped
		return most
	}
}
