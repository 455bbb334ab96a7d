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

const (
	costEventProcessor = "processor, us"
	costEventControl   = "control bytes, both ways"
	costEventWire      = "wire bytes, both ways"
	costEventDatagrams = "datagrams, both ways"
	costEventCalls     = "store calls"
	costNewcomer       = "snapshot bytes to a newcomer"
	rosterPrefix       = "rosemarybay/entries/"
	relayedChanges     = 50
	rosterLinks        = 20
	applyTime          = time.Second
)

// measureChanges measures a change at the entry that receives it, for each link
// it is relayed on, and at an agent that applies it.
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

// event is a reading of two processes and their counters.
type event struct {
	usage  usage
	values map[string]int64
}

func readEvent(f *fleet.Fleet, n *fleet.Node) (event, error) {
	u, err := readUsage(n.PID())
	if err != nil {
		return event{}, err
	}
	values, err := f.Scrape(n)
	return event{usage: u, values: values}, err
}

func measureReceived(ctx context.Context, received, applied *series, n int) error {
	f, err := startFleet(ctx, 1, 1, fleet.Tune{})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	calls := sumCalls(f.Store)
	err = measurePair(ctx, f, received, applied, n, func() error { return toggle(ctx, f, n) })
	received.add(costEventCalls, float64(n), float64(sumCalls(f.Store)-calls))
	return err
}

// measurePair adds what the entry and the agent of a fleet spend on n units of work.
func measurePair(ctx context.Context, f *fleet.Fleet, entry, agent *series, n int, work func() error) error {
	beforeEntry, err := readEvent(f, f.Entries[0])
	if err != nil {
		return err
	}
	beforeAgent, err := readEvent(f, f.Agents[0])
	if err != nil {
		return err
	}
	if err := work(); err != nil {
		return err
	}
	if err := pause(ctx, applyTime); err != nil {
		return err
	}
	if err := entry.event(f, f.Entries[0], beforeEntry, n); err != nil {
		return err
	}
	return agent.event(f, f.Agents[0], beforeAgent, n)
}

// event adds what a node spent since a reading.
func (s *series) event(f *fleet.Fleet, node *fleet.Node, before event, n int) error {
	after, err := readEvent(f, node)
	if err != nil {
		return err
	}
	_, bytes := control(before.values, after.values)
	s.add(costEventProcessor, float64(n), micros(after.usage.cpu-before.usage.cpu))
	s.add(costEventControl, float64(n), bytes)
	s.add(costMemory, float64(n), float64(after.usage.memory))
	return nil
}

// toggle changes one object n times.
func toggle(ctx context.Context, f *fleet.Fleet, n int) error {
	config := f.Config(f.Entries[0])
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

func measureRelayed(ctx context.Context, s *series, o Options, links int) error {
	f, g, err := startGroup(ctx, o, links)
	if err != nil {
		return err
	}
	defer f.Close()
	defer g.close()
	before, err := readEvent(f, f.Entries[0])
	if err != nil {
		return err
	}
	traffic := g.traffic()
	if err := toggle(ctx, f, relayedChanges); err != nil {
		return err
	}
	if err := pause(ctx, applyTime); err != nil {
		return err
	}
	after, err := readEvent(f, f.Entries[0])
	if err != nil {
		return err
	}
	units := float64(links * relayedChanges)
	_, controlBytes := control(before.values, after.values)
	s.add(costEventProcessor, units, micros(after.usage.cpu-before.usage.cpu))
	s.add(costEventControl, units, controlBytes)
	s.addTraffic(g, traffic, units)
	return nil
}

// traffic is what has passed the links of a group.
type traffic struct {
	bytes, datagrams int64
}

func (g *group) traffic() traffic {
	return traffic{bytes: g.conn.bytes.Load(), datagrams: g.conn.datagrams.Load()}
}

// addTraffic adds what has passed the links of a group since a reading.
func (s *series) addTraffic(g *group, before traffic, units float64) {
	now := g.traffic()
	s.add(costEventWire, units, float64(now.bytes-before.bytes))
	s.add(costEventDatagrams, units, float64(now.datagrams-before.datagrams))
}

// startGroup starts one entry with n light agents. Their heartbeats are slow, so
// that they add little to what is measured.
func startGroup(ctx context.Context, o Options, n int) (*fleet.Fleet, *group, error) {
	f, err := startFleet(ctx, 1, 0, fleet.Tune{HandshakeRate: o.HandshakeRate})
	if err != nil {
		return nil, nil, err
	}
	g, err := newGroup(f.PeerAddress(0), o.Heartbeat)
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	if err := g.open(ctx, f, "agent", n); err != nil {
		g.close()
		f.Close()
		return nil, nil, err
	}
	return f, g, pause(ctx, settleTime)
}

// measureTeams measures configured groups of callers with a quota.
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
	f, err := startFleet(ctx, 1, 1, fleet.Tune{})
	if err != nil {
		return err
	}
	defer f.Close()
	err = measurePair(ctx, f, entry, agent, n, func() error { return createTeams(ctx, f, n) })
	if err != nil {
		return err
	}
	g, err := newGroup(f.PeerAddress(0), o.Heartbeat)
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
	if err := pause(ctx, applyTime); err != nil {
		return err
	}
	after, err := f.Scrape(f.Entries[0])
	_, bytes := control(before, after)
	entry.add(costNewcomer, float64(n), bytes)
	return err
}

func createTeams(ctx context.Context, f *fleet.Fleet, n int) error {
	config := f.Config(f.Entries[0])
	for i := range n {
		create := &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_Create{Create: &apiv1.Create{}}}
		quota := &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_SetQuota{SetQuota: &apiv1.SetQuota{Slots: lightSlots}}}
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

// measureRoster measures what one more member adds to each relayed roster.
func measureRoster(ctx context.Context, o Options) ([]Row, error) {
	s := newSeries("roster member", "entry")
	for _, n := range []int{10, 50, 200} {
		if err := measureRosterAt(ctx, s, o, n); err != nil {
			return nil, err
		}
	}
	return s.rows(), nil
}

func measureRosterAt(ctx context.Context, s *series, o Options, n int) error {
	f, g, err := startGroup(ctx, o, rosterLinks)
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
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	before, err := readEvent(f, f.Entries[0])
	if err != nil {
		return err
	}
	if err := addMember(ctx, client, n); err != nil {
		return err
	}
	if err := pause(ctx, applyTime); err != nil {
		return err
	}
	after, err := readEvent(f, f.Entries[0])
	if err != nil {
		return err
	}
	_, bytes := control(before.values, after.values)
	s.add("control bytes a change and link", float64(n), bytes/rosterLinks)
	s.add(costMemory, float64(n), float64(after.usage.memory))
	return nil
}

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
