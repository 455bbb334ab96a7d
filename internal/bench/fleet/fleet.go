// Package fleet runs a fleet of real entry and agent processes on loopback,
// with stand-ins for the platform's store and for the targets in the bench process.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	standinstore "github.com/rosemarybay/rosemarybay/internal/standin/store"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// Ports of the nodes, which are fixed because each node has its own loopback address.
const (
	peerPort   = 7000
	callerPort = 7001
	statusPort = 7002
	relayPort  = 7100
	targetPort = 7200
	storePort  = 7300
)

const (
	// readyTimeout bounds the time from the start of the processes until all are linked.
	readyTimeout = 30 * time.Second
	// readyInterval is the time between two polls of a node that is starting.
	readyInterval = 20 * time.Millisecond
)

// Fleet is a running fleet.
type Fleet struct {
	Spec    Spec
	Store   *standinstore.Server
	Ledger  *standintarget.Ledger
	Entries []*Node
	Agents  []*Node

	dir           string
	ca            identity.KeyPair
	network       *network
	spawner       *spawner
	targets       map[string]*standintarget.Target
	targetURLs    map[string]string
	relays        []*relay
	httpServers   []*http.Server
	storeURL      string
	peerAddresses []string
	subnet        [2]byte
	hostCount     int

	mu            sync.Mutex
	endedCounters map[string]int64 // of ended incarnations
	httpClient    *http.Client
}

// Start starts a fleet and waits until every entry is linked with every agent.
func Start(ctx context.Context, spec Spec) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "rosemarybay-fleet-")
	if err != nil {
		return nil, eris.Wrap(err, "create fleet directory")
	}
	ca, err := identity.NewCA("bench")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Spec:          spec,
		Store:         standinstore.New(),
		Ledger:        &standintarget.Ledger{},
		dir:           dir,
		ca:            ca,
		network:       newNetwork(spec.NetworkDelays.BetweenDataCentres),
		spawner:       newSpawner(),
		targets:       make(map[string]*standintarget.Target),
		targetURLs:    make(map[string]string),
		endedCounters: make(map[string]int64),
		httpClient:    newHTTPClient(),
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.chooseSubnet(); err != nil {
		return err
	}
	if err := f.addEntries(); err != nil {
		return err
	}
	for _, t := range f.Spec.Targets {
		if err := f.addTarget(t); err != nil {
			return err
		}
	}
	for _, n := range f.Nodes() {
		if err := n.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	if err := f.createDepartments(ctx); err != nil {
		return err
	}
	return f.waitLinked(ctx)
}

// chooseSubnet picks random loopback subnets until one is not in use by another fleet,
// and starts the store there. A subnet is free when the store's port can be bound.
func (f *Fleet) chooseSubnet() error {
	const tries = 50
	var err error
	for range tries {
		f.subnet = [2]byte{byte(16 + rand.N(200)), byte(rand.N(200))}
		f.hostCount = 0
		address := f.newHost()
		var listener net.Listener
		listener, err = net.Listen("tcp", netip.AddrPortFrom(address, storePort).String())
		if err != nil {
			continue
		}
		f.network.add(StoreNode, "", address)
		f.serve(listener, f.network.dropCutTraffic(StoreNode, f.Store.Handler()))
		f.storeURL = "http://" + listener.Addr().String()
		return nil
	}
	return eris.Wrap(err, "find a free loopback subnet")
}

const hostsPerSubnet = 250

// newHost returns the next unused address of the fleet's loopback subnets.
func (f *Fleet) newHost() netip.Addr {
	f.hostCount++
	third := f.subnet[1] + byte(f.hostCount/hostsPerSubnet)
	return netip.AddrFrom4([4]byte{127, f.subnet[0], third, byte(1 + f.hostCount%hostsPerSubnet)})
}

func (f *Fleet) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.httpServers = append(f.httpServers, server)
	go func() { _ = server.Serve(listener) }()
}

func (f *Fleet) addEntries() error {
	for _, dc := range f.Spec.DataCentres {
		for i := range f.Spec.EntriesPerDataCentre {
			if err := f.addEntry(fmt.Sprintf("%s-entry-%d", dc, i+1), dc); err != nil {
				return err
			}
		}
	}
	for i, n := range f.Entries {
		others := slices.Delete(slices.Clone(f.peerAddresses), i, i+1)
		if err := n.setPeers(others); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addEntry(name, dataCentre string) error {
	host := f.newHost()
	f.network.add(name, dataCentre, host)
	listen := netip.AddrPortFrom(host, peerPort)
	advertise, err := f.startRelay(name, listen)
	if err != nil {
		return err
	}
	f.peerAddresses = append(f.peerAddresses, advertise.String())
	callers := netip.AddrPortFrom(host, callerPort).String()
	s, err := f.nodeSettings(name, dataCentre, settings.RoleEntry)
	if err != nil {
		return err
	}
	s.Entry = &settings.Entry{
		CallerListen:  callers,
		PeerListen:    listen.String(),
		PeerAdvertise: advertise.String(),
		StoreURL:      f.storeURL,
		Lease:         settings.Duration(f.Spec.Overrides.Lease),
		HandshakeRate: f.Spec.Overrides.HandshakeRate,
		QueueLimit:    f.Spec.Overrides.QueueLimit,
	}
	n, err := newNode(s, f.dir, "http://"+callers, f.spawner)
	f.Entries = append(f.Entries, n)
	return err
}

// startRelay starts the relay of a node and returns the address that the node advertises:
// that of the relay, or the node's own in a direct fleet.
func (f *Fleet) startRelay(name string, listen netip.AddrPort) (netip.AddrPort, error) {
	if f.Spec.Direct {
		return listen, nil
	}
	address := netip.AddrPortFrom(listen.Addr(), relayPort)
	r, err := newRelay(f.network, name, address, listen)
	if err != nil {
		return address, eris.Wrap(err, "start relay")
	}
	f.relays = append(f.relays, r)
	return address, nil
}

func (f *Fleet) addTarget(t Target) error {
	host := f.newHost()
	agent := t.Name + "-agent"
	f.network.add(agent, t.DataCentre, host)
	targetHost := f.newHost()
	f.network.add(t.Name, t.DataCentre, targetHost)
	listener, err := net.Listen("tcp", netip.AddrPortFrom(targetHost, targetPort).String())
	if err != nil {
		return eris.Wrap(err, "listen for target")
	}
	standin := standintarget.New(t.Name, t.DataCentre, f.Ledger)
	f.targets[t.Name] = standin
	f.targetURLs[t.Name] = "http://" + listener.Addr().String()
	f.serve(listener, f.network.dropCutTrafficFrom(agent, t.Name, standin))
	s, err := f.nodeSettings(agent, t.DataCentre, settings.RoleAgent)
	if err != nil {
		return err
	}
	status := netip.AddrPortFrom(host, statusPort).String()
	s.Agent = &settings.Agent{
		Entries:      f.peerAddresses,
		Links:        f.Spec.Overrides.LinksPerAgent,
		StatusListen: status,
		Target: settings.Target{
			Name:         t.Name,
			Rack:         t.Rack,
			URL:          f.targetURLs[t.Name],
			Slots:        t.Slots,
			CPUs:         t.Size.CPUs,
			MemoryMB:     t.Size.MemoryMB,
			Accelerators: t.Size.Accelerators,
			Departments:  t.Departments,
		},
	}
	n, err := newNode(s, f.dir, "http://"+status, f.spawner)
	f.Agents = append(f.Agents, n)
	return err
}

func (f *Fleet) nodeSettings(name, dataCentre string, role settings.Role) (*settings.Settings, error) {
	pair, err := identity.NewNodeCertificate(f.ca, identity.Identity{Name: name, Role: string(role), DataCentre: dataCentre})
	if err != nil {
		return nil, err
	}
	return &settings.Settings{
		Role:        role,
		Name:        name,
		DataCentre:  dataCentre,
		TLS:         settings.TLS{CA: f.ca.Cert, Cert: pair.Cert, Key: pair.Key},
		StopTimeout: settings.Duration(f.Spec.Overrides.StopTimeout),
	}, nil
}

// Nodes returns all nodes, entries first.
func (f *Fleet) Nodes() []*Node {
	return append(append([]*Node(nil), f.Entries...), f.Agents...)
}

// Node returns the node with the given name, or nil.
func (f *Fleet) Node(name string) *Node {
	for _, n := range f.Nodes() {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Target returns the stand-in target with the given name, or nil.
func (f *Fleet) Target(name string) *standintarget.Target { return f.targets[name] }

// Partition drops the traffic between a and b in both directions until heal is called.
// Names are those of nodes or data centres, or StoreNode.
func (f *Fleet) Partition(a, b []string) (heal func()) {
	there, back := f.network.cutOneWay(a, b), f.network.cutOneWay(b, a)
	return func() { there(); back() }
}

// CutOneWay drops the traffic from a to b until heal is called. Names are as for
// Partition.
func (f *Fleet) CutOneWay(a, b []string) (heal func()) { return f.network.cutOneWay(a, b) }

// Close kills all processes, closes all ports and removes the fleet's directory.
func (f *Fleet) Close() {
	for _, n := range f.Nodes() {
		if n.IsRunning() {
			n.Kill()
		}
	}
	close(f.spawner.requests)
	for _, r := range f.relays {
		r.close()
	}
	for _, s := range f.httpServers {
		_ = s.Close()
	}
	f.Store.Close()
	f.httpClient.CloseIdleConnections()
	_ = os.RemoveAll(f.dir)
}
