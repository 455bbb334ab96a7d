package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// stopTimeout is how long a process may take for a graceful stop before it is killed.
const stopTimeout = 6 * time.Second

// node is an entry or agent that runs as a process of its own.
type node struct {
	name         string
	settingsPath string
	logPath      string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when process has ended
}

// newNode writes the settings of a node to dir, without starting it.
func newNode(dir string, s *settings.Settings) (*node, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	n := &node{
		name:         s.Name,
		settingsPath: filepath.Join(dir, s.Name+".json"),
		logPath:      filepath.Join(dir, s.Name+".log"),
	}
	return n, os.WriteFile(n.settingsPath, b, 0o600)
}

// isRunning reports whether the process was started and has not ended. The caller
// holds n.mu.
func (n *node) isRunning() bool {
	if n.process == nil {
		return false
	}
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// start runs the node as a process of the current executable, unless it is running
// already: when two faults that end the same node overlap, each starts it again.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isRunning() {
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(n.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	process := exec.Command(self, fleet.NodeCommand, "-settings", n.settingsPath)
	process.Stdout, process.Stderr = out, out
	// Kills the node when the soak process dies for whatever reason.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	n.process, n.ended = process, ended
	return nil
}

// signal sends a signal to the current process and returns a channel that is closed
// when the process has ended.
func (n *node) signal(s syscall.Signal) (ended <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(s) // an error means that the process has already ended
	return n.ended
}

// kill sends SIGKILL and waits until the process has ended.
func (n *node) kill() { <-n.signal(syscall.SIGKILL) }

// stop sends SIGTERM and kills the process if it is still running after stopTimeout.
func (n *node) stop() {
	ended := n.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		n.kill()
	}
}
