package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarybay/rosemarybay/platform/standin"
)

const (
	callerPort, readyPort, peerPort            = 8161, 8167, 7720
	announcePort, targetPort, storePort        = 8166, 8165, 8169
	metricsPort                                = 9464
	memoryMB                                   = 284
	dataCentres                                = 3
	startTimeout                               = 15 * time.Second
	daemon                                     = "target/rosemarybayd"
	entryHost, agentHost, proxyHost, storeHost = 1, 31, 61, 91
	subnetTries                                = 50
	stopTimeout                                = "6s"
	targetLease                                = "1000ms"
	hostsOfKind                                = 30
)

// fleet is a small deployment: a store, entries, and agents beside targets, each with an
// address of its own on the loopback network.
type fleet struct {
	record  *record
	dir     string
	subnet  string
	store   *standin.Store
	entries []*node
	agents  []*node
	targets []*target
	// links are the proxies in front of the ports at which agents connect to the entries.
	links []*linkProxy
	done  chan struct{}
}

// newFleet starts a deployment and waits until each entry is ready.
func newFleet(r *record, s scenario) (*fleet, error) {
	f := &fleet{record: r, store: standin.NewStore(), done: make(chan struct{})}
	var err error
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return f, err
	}
	if err := f.chooseSubnet(); err != nil {
		return f, err
	}
	go f.store.Run(f.done)
	f.store.Put(wire.ConfigKey, fmt.Appendf(nil, wire.Config, s.timeoutMS))
	for i := range s.entries {
		if err := f.addEntry(i); err != nil {
			return f, err
		}
	}
	for i := range s.agents {
		if err := f.addAgent(i); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

// chooseSubnet serves the store in a subnet of the loopback network where its port is free.
func (f *fleet) chooseSubnet() error {
	var err error
	for range subnetTries {
		f.subnet = fmt.Sprintf("127.%d.%d", 40+rand.IntN(80), 1+rand.IntN(250))
		if err = f.listen(f.address(storeHost, storePort), f.store); err == nil {
			return nil
		}
	}
	return err
}

func (f *fleet) ip(host int) string { return fmt.Sprintf("%s.%d", f.subnet, host) }

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s:%d", f.ip(host), port) }

func (f *fleet) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return nil
}

// settings returns the settings of a process, with the fields of the template of the deploy
// file.
func (f *fleet) settings(role, name string, i, host int) map[string]any {
	return map[string]any{
		"role": role, "name": name, "data_centre": zone(i), "log_level": "info", "stop_timeout": stopTimeout,
		"node": map[string]any{
			"ip": f.ip(host), "metrics_port": metricsPort, "peer_port": peerPort,
			"store": f.address(storeHost, storePort), "target_lease": targetLease, "memory_mb": memoryMB,
			"seeds": strings.Join([]string{f.address(entryHost, announcePort)}, ","),
		},
	}
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%dataCentres+1) }

func (f *fleet) addEntry(i int) error {
	host := entryHost + i
	s := f.settings("entry", fmt.Sprintf("entry-%d", i+1), i, host)
	section := s["node"].(map[string]any)
	section["caller_listen"] = f.address(host, callerPort)
	section["ready_listen"] = f.address(host, readyPort)
	section["peer_advertise"] = f.address(proxyHost+i, peerPort)
	link, err := newLinkProxy(f.address(proxyHost+i, peerPort), f.address(host, peerPort))
	if err != nil {
		return err
	}
	f.links = append(f.links, link)
	n, err := f.newNode(s)
	if err != nil {
		return err
	}
	n.callers, n.ready = f.address(host, callerPort), f.address(host, readyPort)
	f.entries = append(f.entries, n)
	return n.start()
}

func (f *fleet) addAgent(i int) error {
	host := agentHost + i
	s := f.settings("agent", fmt.Sprintf("agent-%d", i+1), i, host)
	s["node"].(map[string]any)["announce_listen"] = f.address(host, announcePort)
	t := newTarget(fmt.Sprintf("target-%d", i+1), zone(i), f.address(host, targetPort), f.address(host, announcePort), f.record)
	if err := f.listen(t.address, t); err != nil {
		return err
	}
	n, err := f.newNode(s)
	if err != nil {
		return err
	}
	f.targets, f.agents = append(f.targets, t), append(f.agents, n)
	if err := n.start(); err != nil {
		return err
	}
	go t.serve(f.done)
	return nil
}

// awaitReady waits until each entry is ready and has had the time to link with all agents.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, n := range f.entries {
		for !isReady(n.ready) {
			if time.Now().After(deadline) {
				return errors.New("an entry did not become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

func isReady(address string) bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + address + wire.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// turnEntriesAway lets the store leave the calls of all entries without a response for a time.
// It serves the agents and the operator meanwhile.
func (f *fleet) turnEntriesAway(d time.Duration) {
	var ips []string
	for i := range f.entries {
		ips = append(ips, f.ip(entryHost+i))
	}
	f.store.SetFault(standin.StoreSilent, ips...)
	f.record.addf("the store does not answer the entries for %v", d)
	time.AfterFunc(d, func() {
		f.store.SetFault(standin.StoreHealthy)
		f.record.addf("the store answers the entries again")
	})
}

// close ends all processes. With keepLogs their logs stay in the temporary folder.
func (f *fleet) close() {
	for _, nodes := range [][]*node{f.entries, f.agents} {
		for _, n := range nodes {
			n.kill()
		}
	}
	close(f.done)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("logs in", f.dir)
}

// node is an entry or agent that runs as a process of its own.
type node struct {
	name, settingsPath, logPath string
	callers, ready              string
	record                      *record

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func (f *fleet) newNode(s map[string]any) (*node, error) {
	name := s["name"].(string)
	n := &node{
		name:         name,
		settingsPath: filepath.Join(f.dir, name+".json"),
		logPath:      filepath.Join(f.dir, name+".log"),
		record:       f.record,
	}
	content, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settingsPath, content, 0o600)
}

// start runs the daemon as the deploy file does: without arguments, with the path of the
// settings in the environment.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	output, err := os.OpenFile(n.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	process := exec.Command(daemon)
	process.Env = append(os.Environ(), "ROSEMARYBAY_SETTINGS="+n.settingsPath)
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	n.process, n.ended = process, ended
	n.record.addf("%s started", n.name)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// kill sends SIGKILL and waits until the process has ended.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	if n.ended != nil {
		<-n.ended
	}
}

// killAll kills several processes at the same moment.
func killAll(r *record, nodes []*node) {
	for _, n := range nodes {
		n.signal(syscall.SIGKILL)
		r.addf("%s killed", n.name)
	}
	for _, n := range nodes {
		n.kill()
	}
}
