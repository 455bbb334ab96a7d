// Package soak is a randomized fault-injection test. It runs entries and agents as
// separate processes on loopback, with stand-ins for the users' store and targets.
// Faults come from outside the processes: signals, links that a proxy stalls, delays
// or resets, and a store and targets that misbehave. The guarantees are checked
// against what callers and targets observe. All random choices derive from the seed.
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

// Options configure a run.
type Options struct {
	Seed uint64
	// Duration is how long jobs are submitted and faults injected.
	Duration time.Duration
	Entries  int
	Agents   int
	// Rate is the mean number of jobs per second.
	Rate float64
	// Dir receives settings and logs. When empty, a temporary directory is used, and
	// removed after a run without findings.
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
	startTimeout                        = 10 * time.Second
	startWait                           = 100 * time.Millisecond
	meanFaultInterval                   = 700 * time.Millisecond // between two faults
	maxFaultDuration                    = 2 * time.Second        // of one fault
	settleTime                          = 5 * time.Second
	probeJobs, minCompleteProbes        = 40, 36
	dataCentreCount                     = 3
)

// soak is the state of one run.
type soak struct {
	options Options
	random  *rand.Rand
	output  io.Writer
	dir     string
	ctx     context.Context
	done    chan struct{}
	servers []*http.Server
	subnet  int // third byte of all addresses

	store   *standin.Store
	ledger  *standin.Ledger
	targets []*standin.Target
	// storeFaults and targetFaults are the faults in force, the latter in the order of targets.
	storeFaults  *overlay[scopedStoreFault]
	targetFaults []*overlay[standin.TargetFault]
	entries      []*node
	agents       []*node
	proxies      []*proxy
	callers      *callers
	ips          []string // of all entries and agents
	version      uint64   // of the configuration last stored

	mu          sync.Mutex
	outages     []outage
	faultCounts map[string]int // number injected, by name
	injections  sync.WaitGroup
}

// Run runs the soak for one seed and returns a description of each violation. It
// writes a summary to output.
func Run(ctx context.Context, o Options, output io.Writer) ([]string, error) {
	s := newSoak(ctx, o, output)
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	found := s.runAndCheck()
	s.report(found)
	if len(found) == 0 && o.Dir == "" {
		_ = os.RemoveAll(s.dir)
	}
	return found, ctx.Err()
}

// newSoak returns a soak of which nothing is started.
func newSoak(ctx context.Context, o Options, output io.Writer) *soak {
	s := &soak{
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, 0)),
		output:      output,
		dir:         o.Dir,
		ctx:         ctx,
		done:        make(chan struct{}),
		store:       standin.NewStore(),
		ledger:      &standin.Ledger{},
		faultCounts: make(map[string]int),
		version:     1,
	}
	s.storeFaults = &overlay[scopedStoreFault]{apply: func(f scopedStoreFault) { s.store.SetFault(f.fault, f.clients...) }}
	return s
}

// dataCentreName returns the data centre of the i-th node of a kind.
func dataCentreName(i int) string { return fmt.Sprintf("dc%d", i%dataCentreCount+1) }

// ip returns the address of the i-th node of a kind. Concurrent soaks on one machine
// differ in the third byte.
func (s *soak) ip(kind byte, i int) string { return fmt.Sprintf("127.%d.%d.%d", kind, s.subnet, i+1) }

func (s *soak) address(kind byte, i, port int) string {
	return fmt.Sprintf("%s:%d", s.ip(kind, i), port)
}

// listenStore serves the store in the first subnet whose store address is free, so
// that soaks on one machine don't collide. It sets s.subnet.
func (s *soak) listenStore() error {
	for {
		err := s.listen(s.address(storeNet, 0, storePort), s.store)
		if err == nil || s.subnet == maxSubnet {
			return err
		}
		s.subnet++
	}
}

// Second byte of the addresses of each kind of node.
const (
	storeNet, entryNet, proxyNet, agentNet = 30, 31, 32, 33
	// maxSubnet is the highest third byte, which bounds the number of concurrent soaks.
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
		DataCentre:  dataCentreName(i),
		LogLevel:    "info",
		StopTimeout: settings.Duration(stopTimeout),
		Node: &settings.Node{
			IP:          ip,
			MetricsPort: metricsPort,
			PeerPort:    peerPort,
			Store:       s.address(storeNet, 0, storePort),
			TargetLease: settings.Duration(targetLease),
			MemoryMB:    memoryMB,
			Scheduling: settings.Scheduling{
				TargetSpeeds: true, LateAnswers: true, Interference: true,
				StartWait: settings.Duration(startWait), ConfigWait: settings.Duration(startTimeout),
			},
		},
	}
}

// startEntry starts an entry behind a proxy, whose address it advertises to agents.
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

// startAgent starts a stand-in target and the agent beside it.
func (s *soak) startAgent(i int) error {
	ip := s.ip(agentNet, i)
	config := s.settings(settings.RoleAgent, i, ip)
	config.Node.AnnounceListen = s.address(agentNet, i, announcePort)
	t := standin.NewTarget(standin.TargetOptions{
		ID:      fmt.Sprintf("t%d", i+1),
		Zone:    dataCentreName(i),
		Service: service,
		Address: s.address(agentNet, i, targetPort),
		CPU:     targetCPU,
		Ledger:  s.ledger,
		Agent:   config.Node.AnnounceListen,
	})
	if err := s.listen(t.Address, t); err != nil {
		return err
	}
	go t.Run(s.done)
	s.targets = append(s.targets, t)
	s.targetFaults = append(s.targetFaults, &overlay[standin.TargetFault]{apply: t.SetFault})
	s.ips = append(s.ips, ip)
	n, err := newNode(s.dir, config)
	if err != nil {
		return err
	}
	s.agents = append(s.agents, n)
	return n.start()
}

// awaitReady waits until each entry reports that it is ready for callers.
func (s *soak) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for i := range s.entries {
		for !isReady(s.address(entryNet, i, readyPort)) {
			if time.Now().After(deadline) {
				return errors.New("an entry did not become ready within the start timeout")
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

// runAndCheck submits jobs while faults are injected, waits until all have ended and
// returns the violations.
func (s *soak) runAndCheck() []string {
	var addresses []string
	for i := range s.entries {
		addresses = append(addresses, s.address(entryNet, i, callerPort))
	}
	s.callers = newCallers(addresses)
	end := time.Now().Add(s.options.Duration)
	// A random sequence of its own keeps the jobs independent of the faults drawn so far.
	jobRandom := rand.New(rand.NewPCG(s.options.Seed, 1))
	s.startInjections(end)
	for time.Now().Before(end) && s.ctx.Err() == nil {
		s.callers.submit(s.ctx, jobRandom)
		time.Sleep(time.Duration(jobRandom.ExpFloat64() / s.options.Rate * float64(time.Second)))
	}
	s.injections.Wait()
	s.callers.pending.Wait()
	found := s.probe(jobRandom)
	return append(found, violations(s.callers.jobs, s.ledger.Runs(), s.outages)...)
}

// probe checks recovery: once settleTime has passed after the last fault,
// minCompleteProbes of probeJobs jobs must complete.
func (s *soak) probe(random *rand.Rand) []string {
	stalls := startStallMeter()
	time.Sleep(settleTime)
	var probes []*submittedJob
	for range probeJobs {
		probes = append(probes, s.callers.submit(s.ctx, random))
		time.Sleep(20 * time.Millisecond)
	}
	s.callers.pending.Wait()
	longest, sum := stalls.end()
	complete := 0
	for _, j := range probes {
		if j.state == "complete" {
			complete++
		}
	}
	if complete < minCompleteProbes && s.ctx.Err() == nil {
		return []string{fmt.Sprintf("%d of %d jobs complete %v after the last fault; the soak's process stood still for %v at once, %v in all",
			complete, probeJobs, settleTime, longest, sum)}
	}
	return nil
}

// report writes the summary, the findings and, if there are any, where the logs are.
func (s *soak) report(found []string) {
	complete, refused := 0, 0
	for _, j := range s.callers.jobs {
		switch {
		case j.state == "complete":
			complete++
		case j.isRefused():
			refused++
		}
	}
	_, _ = fmt.Fprintf(s.output, "seed %d: %d jobs, %d complete, %d refused, %d runs, faults %v, findings %d\n",
		s.options.Seed, len(s.callers.jobs), complete, refused, len(s.ledger.Runs()), s.faultCounts, len(found))
	for _, f := range found {
		_, _ = fmt.Fprintf(s.output, "  %s\n", f)
	}
	if len(found) > 0 {
		_, _ = fmt.Fprintf(s.output, "  logs in %s\n", s.dir)
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
