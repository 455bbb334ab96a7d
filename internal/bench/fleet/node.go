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

// NodeCommand is the subcommand with which the bench binary runs a node.
const NodeCommand = "node"

const (
	// stopTimeout bounds a graceful stop; the process is killed after it.
	stopTimeout = 40 * time.Second
	filePerm    = 0o600
)

// Node is an entry or agent of the fleet, which runs as a process and can be restarted.
type Node struct {
	Name       string
	DataCentre string
	Role       settings.Role
	// StatusURL is the base URL of the node's readiness and metrics endpoints. An entry
	// serves its API at the same URL.
	StatusURL string

	spawner      *spawner
	settingsPath string
	logPath      string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func newNode(s *settings.Settings, dir, statusURL string, sp *spawner) (*Node, error) {
	n := &Node{
		Name:         s.Name,
		DataCentre:   s.DataCentre,
		Role:         s.Role,
		StatusURL:    statusURL,
		spawner:      sp,
		settingsPath: filepath.Join(dir, s.Name+".json"),
		logPath:      filepath.Join(dir, s.Name+".log"),
	}
	return n, n.writeSettings(s)
}

// writeSettings writes the settings file, which the next incarnation reads.
func (n *Node) writeSettings(s *settings.Settings) error {
	data, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	return eris.Wrap(os.WriteFile(n.settingsPath, data, filePerm), "write settings")
}

// setPeers sets the other entries, which an entry queries when the store is unavailable.
func (n *Node) setPeers(peers []string) error {
	s, err := settings.Load(n.settingsPath)
	if err != nil {
		return err
	}
	s.Entry.Peers = peers
	return n.writeSettings(s)
}

// Start starts a process, which is a new incarnation of the node. It fails when one is
// running.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isRunningLocked() {
		return eris.Errorf("node %s is already running", n.Name)
	}
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find the bench executable")
	}
	logs, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm)
	if err != nil {
		return eris.Wrap(err, "open node log")
	}
	defer func() { _ = logs.Close() }()
	command := exec.Command(self, NodeCommand, "-settings", n.settingsPath)
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

// IsRunning reports whether the node's process is running.
func (n *Node) IsRunning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isRunningLocked()
}

// LogPath returns the path of the log of the node's processes.
func (n *Node) LogPath() string { return n.logPath }

// PID returns the process ID, or 0 when the node is not running.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isRunningLocked() {
		return 0
	}
	return n.command.Process.Pid
}

// signal sends a signal to the process when it runs, and returns the channel that is
// closed when it exits.
func (n *Node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isRunningLocked() {
		_ = n.command.Process.Signal(s)
	}
	return n.exited
}

// Kill sends SIGKILL and waits until the process has exited.
func (n *Node) Kill() {
	<-n.signal(syscall.SIGKILL)
}

// Stop sends SIGTERM and waits until the process has exited. After stopTimeout it kills
// the process and returns false.
func (n *Node) Stop() bool {
	exited := n.signal(syscall.SIGTERM)
	select {
	case <-exited:
		return true
	case <-time.After(stopTimeout):
		n.Kill()
		return false
	}
}

// Pause suspends the process for d with SIGSTOP and SIGCONT.
func (n *Node) Pause(d time.Duration) {
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
}

// spawner starts all processes from one locked OS thread. Their parent-death signal is
// sent when that thread ends, so no process outlives the bench.
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
	// A process group of its own keeps a terminal's Ctrl-C from reaching the node.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	result := make(chan error, 1)
	s.requests <- func() { result <- c.Start() }
	return <-result
}
