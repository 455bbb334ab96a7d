package slopes

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
)

// Names of costs that are totals over a measurement, not rates, and the parameters of
// the measurements in this file.
const (
	costProcessorTotal    = "processor, us"
	costControlBytesTotal = "control bytes, both ways"
	costWireBytesTotal    = "wire bytes, both ways"
	costDatagramsTotal    = "datagrams, both ways"
	costStoreCallsTotal   = "store calls"
	costInitialSnapshot   = "snapshot bytes to a newcomer"
	rosterPrefix          = "rosemarybay/entries/"
	relayedChanges        = 50
	rosterLinks           = 20
	propagationWait       = time.Second
)

// measureChanges measures what a configuration change costs the entry that receives
// it, that entry for each link on which it relays the change, and an agent that
// applies it.
func measureChanges(ctx context.Context, o Options) ([]Row, error) {
	received := newSeries("change received", "entry")
	applied := newSeries("change applied", "agent")
	for _, n := range []int{50, 100, 200} {
		if err := measureReceived(ctx, received, applied, n); err != nil {
			return nil, err
		}
	}
	relayed := newSeries("change relayed on a link", "entry")
	for _, n := range []int{10, 50, 200} {
		if err := measureRelayed(ctx, relayed, o, n); err != nil {
			return nil, err
		}
	}
	return append(append(received.rows(), relayed.rows()...), applied.rows()...), nil
}

// nodeReading is the resource usage of a node's process and its metrics, read together.
type nodeReading struct {
	usage  usage
	values map[string]int64
}

func readNode(f *fleet.Fleet, n *fleet.Node) (nodeReading, error) {
	u, err := readUsage(n.PID())
	if err != nil {
		return nodeReading{}, err
	}
	values, err := f.Scrape(n)
	return nodeReading{usage: u, values: values}, err
}

// measureReceived measures n changes at the entry that receives them and at an agent
// that applies them.
func measureReceived(ctx context.Context, received, applied *series, n int) error {
	f, err := startFleet(ctx, 1, 1, fleet.Overrides{})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	calls := sumCalls(f.Store)
	err = measureEntryAndAgent(ctx, f, received, applied, n, func() error { return toggleTargetOut(ctx, f, n) })
	received.add(costStoreCallsTotal, float64(n), float64(sumCalls(f.Store)-calls))
	return err
}

// measureEntryAndAgent adds what the first entry and the first agent spend on n units
// of work, including the time to propagate it.
func measureEntryAndAgent(ctx context.Context, f *fleet.Fleet, entry, agent *series, n int, work func() error) error {
	beforeEntry, err := readNode(f, f.Entries[0])
	if err != nil {
		return err
	}
	beforeAgent, err := readNode(f, f.Agents[0])
	if err != nil {
		return err
	}
	if err := work(); err != nil {
		return err
	}
	if err := sleep(ctx, propagationWait); err != nil {
		return err
	}
	if err := entry.addNodeCosts(f, f.Entries[0], beforeEntry, n); err != nil {
		return err
	}
	return agent.addNodeCosts(f, f.Agents[0], beforeAgent, n)
}

// addNodeCosts adds what a node has spent on n units since the reading before.
func (s *series) addNodeCosts(f *fleet.Fleet, node *fleet.Node, before nodeReading, n int) error {
	after, err := readNode(f, node)
	if err != nil {
		return err
	}
	_, bytes := controlTraffic(before.values, after.values)
	s.add(costProcessorTotal, float64(n), micros(after.usage.cpu-before.usage.cpu))
	s.add(costControlBytesTotal, float64(n), bytes)
	s.add(costMemory, float64(n), float64(after.usage.memory))
	return nil
}

// toggleTargetOut makes n configuration changes to one object: they take a target, which
// needn't exist, out of service and put it back in turn.
func toggleTargetOut(ctx context.Context, f *fleet.Fleet, n int) error {
	config := f.ConfigClient(f.Entries[0])
	for i := range n {
		_, err := config.Change(ctx, connect.NewRequest(&apiv1.ChangeRequest{
			ChangeId: fmt.Sprintf("toggle-%d", i),
			By:       fleet.Operator,
			Kind:     apiv1.ObjectKind_OBJECT_KIND_TARGET,
			Name:     "no-such-target",
			AnyBase:  true,
			Change:   &apiv1.ChangeRequest_SetOut{SetOut: &apiv1.SetOut{Out: i%2 == 0}},
		}))
		if err != nil {
			return err
		}
	}
	return nil
}

// measureRelayed measures the entry's cost of relaying changes on the given number of
// links. The unit is one change on one link.
func measureRelayed(ctx context.Context, s *series, o Options, links int) error {
	f, g, err := startEntryWithLightAgents(ctx, o, links)
	if err != nil {
		return err
	}
	defer f.Close()
	defer g.close()
	before, err := readNode(f, f.Entries[0])
	if err != nil {
		return err
	}
	traffic := g.traffic()
	if err := toggleTargetOut(ctx, f, relayedChanges); err != nil {
		return err
	}
	if err := sleep(ctx, propagationWait); err != nil {
		return err
	}
	after, err := readNode(f, f.Entries[0])
	if err != nil {
		return err
	}
	units := float64(links * relayedChanges)
	_, controlBytes := controlTraffic(before.values, after.values)
	s.add(costProcessorTotal, units, micros(after.usage.cpu-before.usage.cpu))
	s.add(costControlBytesTotal, units, controlBytes)
	s.addTraffic(g, traffic, units)
	return nil
}

// traffic counts the datagrams on the links of a group and their bytes.
type traffic struct {
	bytes, datagrams int64
}

func (g *linkGroup) traffic() traffic {
	return traffic{bytes: g.conn.bytes.Load(), datagrams: g.conn.datagrams.Load()}
}

// addTraffic adds the traffic on the links of a group since the reading before.
func (s *series) addTraffic(g *linkGroup, before traffic, units float64) {
	now := g.traffic()
	s.add(costWireBytesTotal, units, float64(now.bytes-before.bytes))
	s.add(costDatagramsTotal, units, float64(now.datagrams-before.datagrams))
}

// startEntryWithLightAgents starts one entry with n light agents, simulated by links of a
// linkGroup. Their heartbeat interval is o.Heartbeat; with a long interval the heartbeats
// add little to what is measured.
func startEntryWithLightAgents(ctx context.Context, o Options, n int) (*fleet.Fleet, *linkGroup, error) {
	f, err := startFleet(ctx, 1, 0, fleet.Overrides{HandshakeRate: o.HandshakeRate})
	if err != nil {
		return nil, nil, err
	}
	g, err := newLinkGroup(f.PeerAddress(0), o.Heartbeat)
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	if err := g.open(ctx, f, "agent", n); err != nil {
		g.close()
		f.Close()
		return nil, nil, err
	}
	return f, g, sleep(ctx, settleTime)
}

// measureTeams measures what a configured team with a quota costs the entry and an
// agent, and the size of the configuration snapshot for an agent that connects later.
func measureTeams(ctx context.Context, o Options) ([]Row, error) {
	entry := newSeries("team with quota", "entry")
	agent := newSeries("team with quota", "agent")
	for _, n := range []int{100, 300, 1000} {
		if err := measureTeamsAt(ctx, entry, agent, o, n); err != nil {
			return nil, err
		}
	}
	return append(entry.rows(), agent.rows()...), nil
}

func measureTeamsAt(ctx context.Context, entry, agent *series, o Options, n int) error {
	f, err := startFleet(ctx, 1, 1, fleet.Overrides{})
	if err != nil {
		return err
	}
	defer f.Close()
	err = measureEntryAndAgent(ctx, f, entry, agent, n, func() error { return createTeams(ctx, f, n) })
	if err != nil {
		return err
	}
	g, err := newLinkGroup(f.PeerAddress(0), o.Heartbeat)
	if err != nil {
		return err
	}
	defer g.close()
	before, err := f.Scrape(f.Entries[0])
	if err != nil {
		return err
	}
	if err := g.open(ctx, f, "agent", 1); err != nil {
		return err
	}
	if err := sleep(ctx, propagationWait); err != nil {
		return err
	}
	after, err := f.Scrape(f.Entries[0])
	_, bytes := controlTraffic(before, after)
	entry.add(costInitialSnapshot, float64(n), bytes)
	return err
}

// createTeams creates n departments, which serve as the teams of the measurement, each
// with two changes: creation and quota.
func createTeams(ctx context.Context, f *fleet.Fleet, n int) error {
	config := f.ConfigClient(f.Entries[0])
	for i := range n {
		create := &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_Create{Create: &apiv1.Create{}}}
		quota := &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_SetQuota{SetQuota: &apiv1.SetQuota{Slots: lightTargetSlots}}}
		for step, r := range []*apiv1.ChangeRequest{create, quota} {
			r.ChangeId = fmt.Sprintf("team-%d-%d", i, step)
			r.By, r.AnyBase = fleet.Operator, true
			r.Kind, r.Name = apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, fmt.Sprintf("team-%d", i)
			if _, err := config.Change(ctx, connect.NewRequest(r)); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureRoster measures what one more roster member adds to the entry's memory and to
// the bytes of each roster change that it relays on a link.
func measureRoster(ctx context.Context, o Options) ([]Row, error) {
	return measureSeries("roster member", "entry", []int{10, 50, 200}, func(s *series, n int) error {
		return measureRosterAt(ctx, s, o, n)
	})
}

func measureRosterAt(ctx context.Context, s *series, o Options, n int) error {
	f, g, err := startEntryWithLightAgents(ctx, o, rosterLinks)
	if err != nil {
		return err
	}
	defer f.Close()
	defer g.close()
	client := store.NewClient(f.StoreURL(), nil)
	for i := range n {
		if err := addMember(ctx, client, i); err != nil {
			return err
		}
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	before, err := readNode(f, f.Entries[0])
	if err != nil {
		return err
	}
	if err := addMember(ctx, client, n); err != nil {
		return err
	}
	if err := sleep(ctx, propagationWait); err != nil {
		return err
	}
	after, err := readNode(f, f.Entries[0])
	if err != nil {
		return err
	}
	_, bytes := controlTraffic(before.values, after.values)
	s.add("control bytes a change and link", float64(n), bytes/rosterLinks)
	s.add(costMemory, float64(n), float64(after.usage.memory))
	return nil
}

// addMember writes the roster entry of a fictitious entry process to the store.
func addMember(ctx context.Context, client store.Store, i int) error {
	data, err := proto.Marshal(&peerv1.RosterEntry{
		Name:          fmt.Sprintf("dc%d-entry-%d", i%20, i),
		DataCentre:    fmt.Sprintf("dc%d", i%20),
		Incarnation:   uint64(i+1) << 32,
		PeerAddress:   fmt.Sprintf("127.255.%d.%d:7000", i/250, i%250),
		CallerAddress: fmt.Sprintf("127.255.%d.%d:7001", i/250, i%250),
	})
	if err != nil {
		return err
	}
	_, err = client.CompareAndSwap(ctx, store.SwapRequest{Key: fmt.Sprintf("%sslopes-%d", rosterPrefix, i), Data: data})
	return err
}
