package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rosemarybay/rosemarybay/platform/standin"
)

const (
	zones           = 3
	runnerCPU       = 8000
	service, prefix = "desk", "/jobs/"
	host            = "desk.example"

	callerPort, readyPort, controlPort, peerPort, metricsPort = 8161, 8167, 8166, 7720, 9464
	storePort, appPort                                        = 8169, 8165
	startTimeout                                              = 20 * time.Second

	// contact is the bound contact_ms of the small sites.
	contact = 3 * time.Second
	// grownContact is that of the grown site with 12 frontend machines.
	grownContact = 4 * time.Second
)

// layout is the number of machines of a deployment.
type layout struct{ frontends, sides int }

// The layouts: one like the small sites, and one with as many frontend machines as a grown one.
var (
	small = layout{frontends: 3, sides: 9}
	grown = layout{frontends: 12, sides: 24}
)

// Second byte of the addresses of each kind of machine.
const (
	storeNet = 70 + iota
	frontendNet
	sideNet
	proxyNet
)

// fleet is a deployment: frontend machines and side machines with their runners in three zones,
// and the platform's store.
type fleet struct {
	*record
	dir     string
	subnet  int
	store   *standin.Store
	ledger  *standin.Ledger
	entries []*process
	agents  []*process
	runners []*runner
	// proxy is between the agents and the first entry.
	proxy *proxy
	done  chan struct{}
}

func (f *fleet) ip(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", kind, f.subnet, i+1) }

func (f *fleet) address(kind, i, port int) string { return fmt.Sprintf("%s:%d", f.ip(kind, i), port) }

func zone(i int) string { return fmt.Sprintf("zone-%d", i%zones+1) }

// newFleet starts a deployment and waits until it takes jobs and all machines are in touch.
func newFleet(r *record, of layout) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, store: standin.NewStore(), ledger: &standin.Ledger{}, done: make(chan struct{})}
	if err := f.listenStore(); err != nil {
		return f, err
	}
	go f.store.Run(f.done)
	f.store.Put(standin.KeyConfig, standin.Configuration(1, host, prefix, service))
	for i := range of.frontends {
		if err := f.startEntry(i); err != nil {
			return f, err
		}
	}
	for i := range of.sides {
		if err := f.startAgent(i); err != nil {
			return f, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return f, err
	}
	time.Sleep(grownContact)
	f.add("ready, all machines in touch")
	return f, nil
}

// listenStore serves the store in the first subnet whose address is free.
func (f *fleet) listenStore() error {
	for f.subnet = 1; f.subnet < 250; f.subnet++ {
		if l, err := net.Listen("tcp", f.address(storeNet, 0, storePort)); err == nil {
			go func() { _ = http.Serve(l, f.store) }()
			return nil
		}
	}
	return errors.New("no address is free for the store")
}

// settings are the settings of one process, as the template of the deploy file gives them.
func (f *fleet) settings(role, name, ip string, i, memoryMB int, node map[string]any) map[string]any {
	common := map[string]any{
		"ip": ip, "metrics_port": metricsPort, "peer_port": peerPort, "store": f.address(storeNet, 0, storePort),
		"seeds":        f.address(frontendNet, 0, controlPort) + "," + f.address(frontendNet, 1, controlPort) + "," + f.address(frontendNet, 2, controlPort),
		"target_lease": "1000ms", "caller_retry": "1300ms", "memory_mb": memoryMB,
	}
	for k, v := range node {
		common[k] = v
	}
	return map[string]any{"role": role, "name": name, "data_centre": zone(i), "log_level": "info", "stop_timeout": "6s", "node": common}
}

func (f *fleet) startEntry(i int) error {
	ip, name := f.ip(frontendNet, i), fmt.Sprintf("frontend-%d", i+1)
	node := map[string]any{
		"caller_listen": f.address(frontendNet, i, callerPort), "ready_listen": f.address(frontendNet, i, readyPort),
	}
	if i == 0 {
		var err error
		if f.proxy, err = newProxy(f.address(proxyNet, i, peerPort), f.address(frontendNet, i, peerPort)); err != nil {
			return err
		}
		node["peer_advertise"] = f.proxy.address
	}
	p, err := newProcess(f.dir, name, f.settings("entry", name, ip, i, 284, node))
	if err != nil {
		return err
	}
	f.entries = append(f.entries, p)
	return p.start()
}

func (f *fleet) startAgent(i int) error {
	ip, name := f.ip(sideNet, i), fmt.Sprintf("side-%d", i+1)
	p, err := newProcess(f.dir, name, f.settings("agent", name, ip, i, 152, map[string]any{
		"announce_listen": f.address(sideNet, i, controlPort),
	}))
	if err != nil {
		return err
	}
	r, err := newRunner(f, i)
	if err != nil {
		return err
	}
	f.agents, f.runners = append(f.agents, p), append(f.runners, r)
	return p.start()
}

// awaitReady waits until the platform would send requests to each entry.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for i := range f.entries {
		for !f.isReady(i) {
			if time.Now().After(deadline) {
				return errors.New("an entry did not become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) isReady(i int) bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + f.address(frontendNet, i, readyPort) + standin.PathReady)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes and removes the folder of their settings and logs.
func (f *fleet) close() {
	killAll(append(append([]*process{}, f.entries...), f.agents...))
	close(f.done)
	_ = os.RemoveAll(f.dir)
}

// recordRuns writes all runs to the record.
func (f *fleet) recordRuns() {
	for _, r := range f.ledger.Runs() {
		ended := "still runs"
		if !r.Ended.IsZero() {
			ended = "until " + f.at(r.Ended) + " " + r.Ending
		}
		f.add("run %s number %d at %s (%s) from %s %s", r.Task, r.Number, r.Target, r.Zone, f.at(r.Started), ended)
	}
}
