package fleet

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// NodeCommand is the subcommand of the bench that runs a node.
const NodeCommand = "node"

const (
	stopGrace = 40 * time.Second
	filePerm  = 0o600
)

// Node is one process of the fleet.
type Node struct {
	Name       string
	DataCentre string
	Role       settings.Role
	// StatusURL serves the node's counters.
	StatusURL string

	spawner  *spawner
	settings string // path
	logs     string // path

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func newNode(s *settings.Settings, dir, statusURL string, sp *spawner) (*Node, error) {
	n := &Node{
		Name:       s.Name,
		DataCentre: s.DataCentre,
		Role:       s.Role,
		StatusURL:  statusURL,
		spawner:    sp,
		settings:   filepath.Join(dir, s.Name+".json"),
		logs:       filepath.Join(dir, s.Name+".log"),
	}
	return n, n.writeSettings(s)
}

// writeSettings sets the settings of the next incarnation.
func (n *Node) writeSettings(s *settings.Settings) error {
	data, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	return eris.Wrap(os.WriteFile(n.settings, data, filePerm), "write settings")
}

// setPeers names the entries that an entry asks when the store is out.
func (n *Node) setPeers(peers []string) error {
	s, err := settings.Load(n.settings)
	if err != nil {
		return err
	}
	s.Entry.Peers = peers
	return n.writeSettings(s)
}

// Start starts the process: a new incarnation of the node.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isRunningLocked() {
		return eris.Errorf("node %s runs already", n.Name)
	}
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find own binary")
	}
	logs, err := os.OpenFile(n.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = logs.Close() }()
	command := exec.Command(self, NodeCommand, "-settings", n.settings)
	command.Stderr = logs
	command.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := n.spawner.start(command); err != nil {
		return eris.Wrapf(err, "start node %s", n.Name)
	}
	exited := make(chan struct{})
	n.command, n.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (n *Node) isRunningLocked() bool {
	if n.exited == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// IsRunning reports whether the process is there.
func (n *Node) IsRunning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isRunningLocked()
}

// PID returns the process ID, or 0.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isRunningLocked() {
		return 0
	}
	return n.command.Process.Pid
}

func (n *Node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isRunningLocked() {
		_ = n.command.Process.Signal(s)
	}
	return n.exited
}

// Kill ends the process at once.
func (n *Node) Kill() {
	<-n.signal(syscall.SIGKILL)
}

// Stop stops the process gracefully and waits for its end. It reports whether
// the process ended in time.
func (n *Node) Stop() bool {
	exited := n.signal(syscall.SIGTERM)
	select {
	case <-exited:
		return true
	case <-time.After(stopGrace):
		n.Kill()
		return false
	}
}

// Pause stops the process from running for a time.
func (n *Node) Pause(d time.Duration) {
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
}

// spawner starts processes from one locked thread: the kernel ends them with
// that thread, so none outlives the bench.
type spawner struct {
	requests chan func()
}

func newSpawner() *spawner {
	s := &spawner{requests: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.requests {
			f()
		}
	}()
	return s
}

func (s *spawner) start(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	result := make(chan error, 1)
	s.requests <- func() { result <- c.Start() }
	return <-result
}
