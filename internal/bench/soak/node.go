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

// stopWait is the grace of a planned stop, before the process is killed.
const stopWait = 6 * time.Second

// node is one process of the system.
type node struct {
	name string
	path string // of its settings
	log  string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func newNode(dir string, s *settings.Settings) (*node, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	n := &node{
		name: s.Name,
		path: filepath.Join(dir, s.Name+".json"),
		log:  filepath.Join(dir, s.Name+".log"),
	}
	return n, os.WriteFile(n.path, b, 0o600)
}

// isRunning reports whether the process has not ended; the caller holds n.mu.
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

// start runs the node as a process of this very binary, unless it runs: two faults
// that end one node overlap, and each starts it again.
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
	out, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	process := exec.Command(self, fleet.NodeCommand, "-settings", n.path)
	process.Stdout, process.Stderr = out, out
	// The node ends with the soak, however the soak ends.
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

// signal sends a signal to the present process and returns what is closed at its
// end.
func (n *node) signal(s syscall.Signal) (ended <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(s) // one that has ended needs none
	return n.ended
}

// kill ends the process at once and waits for its end.
func (n *node) kill() { <-n.signal(syscall.SIGKILL) }

// stop ends the process as planned, or kills it after the grace.
func (n *node) stop() {
	ended := n.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(stopWait):
		n.kill()
	}
}
