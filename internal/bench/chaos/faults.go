package chaos

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	standinstore "github.com/rosemarybay/rosemarybay/internal/standin/store"
)

// Timing and limits of the faults.
const (
	firstFaultDelay = 500 * time.Millisecond
	faultPeriod     = time.Second
	restartDelay    = time.Second
	minPause        = 300 * time.Millisecond
	maxPause        = 6 * time.Second
	minCut          = 300 * time.Millisecond
	maxCut          = 3 * time.Second
	// maxOutage bounds an outage of the store; its minimum is minCut.
	maxOutage = 3 * time.Second
	// maxFaultedPerRole bounds the entries, and the agents, that are killed, paused or
	// stopped at the same time.
	maxFaultedPerRole = 2
)

// fault is one kind of fault; its name is that of the printed count.
type fault struct {
	name   string
	inject func(*injector)
}

var faultKinds = []fault{
	{"entries killed", func(i *injector) { i.faultNode(i.run.fleet.Entries, i.kill) }},
	{"agents killed", func(i *injector) { i.faultNode(i.run.fleet.Agents, i.kill) }},
	{"entries paused", func(i *injector) { i.faultNode(i.run.fleet.Entries, i.pause) }},
	{"agents paused", func(i *injector) { i.faultNode(i.run.fleet.Agents, i.pause) }},
	{"entries stopped", func(i *injector) { i.faultNode(i.run.fleet.Entries, i.stop) }},
	{"agents stopped", func(i *injector) { i.faultNode(i.run.fleet.Agents, i.stop) }},
	{"links cut both ways", func(i *injector) { i.cut(true) }},
	{"links cut one way", func(i *injector) { i.cut(false) }},
	{"store outages", func(i *injector) { i.outage() }},
}

// injector injects the faults of a run; faulted is the set of nodes that have a fault now.
type injector struct {
	run        *run
	random     *rand.Rand
	recoveries sync.WaitGroup

	mu      sync.Mutex
	faulted map[*fleet.Node]bool
}

// injectFaults injects one fault in each faultPeriod until ctx ends, and returns when all
// faults are over.
func (r *run) injectFaults(ctx context.Context) {
	i := &injector{
		run:     r,
		random:  rand.New(rand.NewPCG(uint64(r.options.Seed), 1)),
		faulted: make(map[*fleet.Node]bool),
	}
	wait := firstFaultDelay
	for n := 0; sleep(ctx, wait); n++ {
		wait = faultPeriod
		// Each round injects every kind in order, and the first, the kill of an entry, once
		// more at its end.
		kind := faultKinds[n%(len(faultKinds)+1)%len(faultKinds)]
		r.faultCounts[kind.name]++
		kind.inject(i)
	}
	i.recoveries.Wait()
}

// faultNode injects a fault into a random node that has none. The function that inject
// returns runs the fault to its end in a goroutine. Nothing happens when the role has
// maxFaultedPerRole such nodes already.
func (i *injector) faultNode(nodes []*fleet.Node, inject func(*fleet.Node) func()) {
	n := i.acquireNode(nodes)
	if n == nil {
		return
	}
	end := inject(n)
	i.recoveries.Go(func() {
		end()
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.faulted, n)
	})
}

// acquireNode picks a random node without a fault and marks it as faulted, or returns nil
// when maxFaultedPerRole are.
func (i *injector) acquireNode(nodes []*fleet.Node) *fleet.Node {
	i.mu.Lock()
	defer i.mu.Unlock()
	var free []*fleet.Node
	for _, n := range nodes {
		if !i.faulted[n] {
			free = append(free, n)
		}
	}
	if len(nodes)-len(free) >= maxFaultedPerRole {
		return nil
	}
	n := free[i.random.IntN(len(free))]
	i.faulted[n] = true
	return n
}

func (i *injector) kill(n *fleet.Node) func() {
	return func() {
		i.run.fleet.SaveCounters(n)
		i.run.recordKill(n)
		n.Kill()
		time.Sleep(restartDelay)
		_ = n.Start()
	}
}

func (i *injector) pause(n *fleet.Node) func() {
	d := randomDuration(i.random, minPause, maxPause)
	return func() { n.Pause(d) }
}

func (i *injector) stop(n *fleet.Node) func() {
	return func() {
		i.run.fleet.SaveCounters(n)
		n.Stop()
		_ = n.Start()
	}
}

func (i *injector) cut(both bool) {
	nodes := i.run.fleet.Nodes()
	a := nodes[i.random.IntN(len(nodes))]
	b := i.run.fleet.Entries[i.random.IntN(len(i.run.fleet.Entries))]
	d := randomDuration(i.random, minCut, maxCut)
	from, to := []string{a.Name}, []string{b.Name}
	if i.random.IntN(2) == 0 {
		from, to = to, from
	}
	cut := i.run.fleet.CutOneWay
	if both {
		cut = i.run.fleet.Partition
	}
	heal := cut(from, to)
	i.recoveries.Go(func() {
		time.Sleep(d)
		heal()
	})
}

func (i *injector) outage() {
	d := randomDuration(i.random, minCut, maxOutage)
	i.run.fleet.Store.SetMode(standinstore.Down)
	i.recoveries.Go(func() {
		time.Sleep(d)
		i.run.fleet.Store.SetMode(standinstore.Up)
	})
}

func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// recordKill records the time at which a node is killed.
func (r *run) recordKill(n *fleet.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kills[n.Name] = append(r.kills[n.Name], time.Now())
}
