package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// daemon is the program that the deploy file starts for both roles.
const daemon = "target/rosemarybayd"

// settingsVariable names the settings file to the daemon.
const settingsVariable = "ROSEMARYBAY_SETTINGS"

// process is one process of the system under test.
type process struct {
	name, settings, log string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// newProcess writes the settings of a process to a folder, without starting it.
func newProcess(dir, name string, settings map[string]any) (*process, error) {
	b, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, settings: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log")}
	return p, os.WriteFile(p.settings, b, 0o600)
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(daemon)
	c.Env = append(os.Environ(), settingsVariable+"="+p.settings)
	c.Stdout, c.Stderr = log, log
	// The process ends with this one, however that ends.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	p.command, p.ended = c, ended
	return nil
}

// kill sends SIGKILL and returns a channel that is closed once the process has ended.
func (p *process) kill() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	_ = p.command.Process.Signal(syscall.SIGKILL)
	return p.ended
}

// killAll kills processes at the same moment and waits until they have ended.
func killAll(processes []*process) {
	var ended []<-chan struct{}
	for _, p := range processes {
		ended = append(ended, p.kill())
	}
	for _, e := range ended {
		<-e
	}
}

func startAll(processes []*process) error {
	for _, p := range processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}
