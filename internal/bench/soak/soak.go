// Package soak runs entries and agents as separate processes on loopback, with
// stand-ins for the users' platform, and injects faults from outside: signals,
// links that are cut, silenced, delayed or reset by a proxy, a store and targets
// that misbehave. It checks the promises from what callers and targets see. All
// that is random comes from the seed.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/platform/standin"
)

// Options select a run.
type Options struct {
	Seed    uint64
	For     time.Duration
	Entries int
	Agents  int
	// Rate is the number of jobs a second.
	Rate float64
	// Dir keeps settings and logs; "" for a directory that is removed after a
	// run without findings.
	Dir string
}

const (
	callerPort, readyPort, peerPort     = 18161, 18167, 17720
	announcePort, targetPort, storePort = 18166, 18165, 18169
	metricsPort                         = 19464
	targetLease                         = time.Second
	memoryMB                            = 256
	service                             = "pool"
	targetCPU                           = 8000
	startWait                           = 10 * time.Second
	faultPause                          = 700 * time.Millisecond // mean between faults
	faultLength                         = 2 * time.Second        // at most
	settleTime                          = 5 * time.Second
	probeJobs, probeGoal                = 40, 36
	zones                               = 3
)

// soak is one run.
type soak struct {
	options Options
	random  *rand.Rand
	out     io.Writer
	dir     string
	ctx     context.Context
	done    chan struct{}
	servers []*http.Server
	subnet  int

	store   *standin.Store
	ledger  *standin.Ledger
	targets []*standin.Target
	entries []*node
	agents  []*node
	proxies []*proxy
	callers *callers
	ips     []string // of all nodes
	version uint64

	mu     sync.Mutex
	outs   []out
	faults map[string]int
	wait   sync.WaitGroup
}

// Run plays one seed and returns the findings.
func Run(ctx context.Context, o Options, log io.Writer) ([]string, error) {
	s := &soak{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		out:     log,
		dir:     o.Dir,
		ctx:     ctx,
		done:    make(chan struct{}),
		store:   standin.NewStore(),
		ledger:  &standin.Ledger{},
		faults:  make(map[string]int),
		version: 1,
	}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	found := s.play()
	s.report(found)
	if len(found) == 0 && o.Dir == "" {
		_ = os.RemoveAll(s.dir)
	}
	return found, ctx.Err()
}

func zone(i int) string { return fmt.Sprintf("dc%d", i%zones+1) }

// ip returns the address of a node; each soak of a machine has a third byte of its own.
func (s *soak) ip(kind byte, i int) string { return fmt.Sprintf("127.%d.%d.%d", kind, s.subnet, i+1) }

func (s *soak) address(kind byte, i, port int) string {
	return fmt.Sprintf("%s:%d", s.ip(kind, i), port)
}

// listenStore serves the store in the first subnet in which no other soak runs.
func (s *soak) listenStore() error {
	for {
		err := s.listen(s.address(storeNet, 0, storePort), s.store)
		if err == nil || s.subnet == maxSubnet {
			return err
		}
		s.subnet++
	}
}

// Second bytes of the addresses of each kind of node.
const (
	storeNet, entryNet, proxyNet, agentNet = 30, 31, 32, 33
	// maxSubnet bounds the soaks that run at once.
	maxSubnet = 20
)

func (s *soak) start() error {
	if s.dir == "" {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return err
		}
		s.dir = dir
	}
	if err := s.listenStore(); err != nil {
		return err
	}
	go s.store.Run(s.done)
	s.store.Put(standin.KeyConfig, standin.Configuration(s.version, host, prefix, service))
	for i := range s.options.Entries {
		if err := s.startEntry(i); err != nil {
			return err
		}
	}
	for i := range s.options.Agents {
		if err := s.startAgent(i); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

func (s *soak) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *soak) settings(role settings.Role, i int, ip string) *settings.Settings {
	return &settings.Settings{
		Role:        role,
		Name:        fmt.Sprintf("%s-%d", role, i+1),
		DataCentre:  zone(i),
		LogLevel:    "info",
		StopTimeout: settings.Duration(stopWait),
		Node: &settings.Node{
			IP:          ip,
			MetricsPort: metricsPort,
			PeerPort:    peerPort,
			Store:       s.address(storeNet, 0, storePort),
			TargetLease: settings.Duration(targetLease),
			MemoryMB:    memoryMB,
		},
	}
}

func (s *soak) startEntry(i int) error {
	ip := s.ip(entryNet, i)
	config := s.settings(settings.RoleEntry, i, ip)
	config.Node.CallerListen = s.address(entryNet, i, callerPort)
	config.Node.ReadyListen = s.address(entryNet, i, readyPort)
	config.Node.PeerAdvertise = s.address(proxyNet, i, peerPort)
	p, err := newProxy(config.Node.PeerAdvertise, s.address(entryNet, i, peerPort))
	if err != nil {
		return err
	}
	s.proxies = append(s.proxies, p)
	s.ips = append(s.ips, ip)
	n, err := newNode(s.dir, config)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, n)
	return n.start()
}

func (s *soak) startAgent(i int) error {
	ip := s.ip(agentNet, i)
	config := s.settings(settings.RoleAgent, i, ip)
	config.Node.AnnounceListen = s.address(agentNet, i, announcePort)
	t := &standin.Target{
		ID:      fmt.Sprintf("t%d", i+1),
		Zone:    zone(i),
		Service: service,
		Address: s.address(agentNet, i, targetPort),
		CPU:     targetCPU,
		Ledger:  s.ledger,
		Agent:   config.Node.AnnounceListen,
	}
	t.Reset()
	if err := s.listen(t.Address, t); err != nil {
		return err
	}
	go t.Run(s.done)
	s.targets = append(s.targets, t)
	s.ips = append(s.ips, ip)
	n, err := newNode(s.dir, config)
	if err != nil {
		return err
	}
	s.agents = append(s.agents, n)
	return n.start()
}

// awaitReady waits until each entry is ready for callers.
func (s *soak) awaitReady() error {
	deadline := time.Now().Add(startWait)
	for i := range s.entries {
		for !isReady(s.address(entryNet, i, readyPort)) {
			if time.Now().After(deadline) {
				return errors.New("the fleet is not ready in time")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(address string) bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + address + standin.PathReady)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// play submits jobs while faults come and go, and then checks what was seen.
func (s *soak) play() []string {
	var addresses []string
	for i := range s.entries {
		addresses = append(addresses, s.address(entryNet, i, callerPort))
	}
	s.callers = newCallers(addresses)
	end := time.Now().Add(s.options.For)
	jobs := rand.New(rand.NewPCG(s.options.Seed, 1))
	s.wait.Go(func() { s.injectUntil(end) })
	for time.Now().Before(end) && s.ctx.Err() == nil {
		s.callers.submit(s.ctx, jobs)
		time.Sleep(time.Duration(jobs.ExpFloat64() / s.options.Rate * float64(time.Second)))
	}
	s.wait.Wait()
	s.callers.wait.Wait()
	found := s.probe(jobs)
	return append(found, violations(s.callers.calls, s.ledger.Runs(), s.outs)...)
}

// probe submits jobs once all faults are over: nearly all must be complete.
func (s *soak) probe(random *rand.Rand) []string {
	time.Sleep(settleTime)
	var probes []*call
	for range probeJobs {
		probes = append(probes, s.callers.submit(s.ctx, random))
		time.Sleep(20 * time.Millisecond)
	}
	s.callers.wait.Wait()
	complete := 0
	for _, c := range probes {
		if c.state == "complete" {
			complete++
		}
	}
	if complete < probeGoal && s.ctx.Err() == nil {
		return []string{fmt.Sprintf("%d of %d jobs complete %v after the last fault", complete, probeJobs, settleTime)}
	}
	return nil
}

func (s *soak) report(found []string) {
	complete, refused := 0, 0
	for _, c := range s.callers.calls {
		switch {
		case c.state == "complete":
			complete++
		case c.isRefused():
			refused++
		}
	}
	_, _ = fmt.Fprintf(s.out, "seed %d: %d jobs, %d complete, %d refused, %d runs, faults %v, findings %d\n",
		s.options.Seed, len(s.callers.calls), complete, refused, len(s.ledger.Runs()), s.faults, len(found))
	for _, f := range found {
		_, _ = fmt.Fprintf(s.out, "  %s\n", f)
	}
	if len(found) > 0 {
		_, _ = fmt.Fprintf(s.out, "  logs in %s\n", s.dir)
	}
}

func (s *soak) close() {
	for _, n := range slices.Concat(s.entries, s.agents) {
		if n.process != nil {
			n.kill()
		}
	}
	close(s.done)
	for _, p := range s.proxies {
		p.close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
