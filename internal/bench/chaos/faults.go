package chaos

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	standinstore "github.com/rosemarybay/rosemarybay/internal/standin/store"
)

// Times of the faults.
const (
	firstFault   = 500 * time.Millisecond
	faultPeriod  = time.Second
	restartDelay = time.Second
	minPause     = 300 * time.Millisecond
	maxPause     = 6 * time.Second
	minCut       = 300 * time.Millisecond
	maxCut       = 3 * time.Second
	maxOutage    = 3 * time.Second
	// maxDown is the number of entries, and of agents, that a fault may hold at
	// once.
	maxDown = 2
)

// fault is one kind of disturbance.
type fault struct {
	name string
	play func(*injector)
}

var faultKinds = []fault{
	{"entries killed", func(i *injector) { i.withNode(i.run.fleet.Entries, i.kill) }},
	{"agents killed", func(i *injector) { i.withNode(i.run.fleet.Agents, i.kill) }},
	{"entries paused", func(i *injector) { i.withNode(i.run.fleet.Entries, i.pause) }},
	{"agents paused", func(i *injector) { i.withNode(i.run.fleet.Agents, i.pause) }},
	{"entries stopped", func(i *injector) { i.withNode(i.run.fleet.Entries, i.stop) }},
	{"agents stopped", func(i *injector) { i.withNode(i.run.fleet.Agents, i.stop) }},
	{"links cut both ways", func(i *injector) { i.cut(true) }},
	{"links cut one way", func(i *injector) { i.cut(false) }},
	{"store outages", func(i *injector) { i.outage() }},
}

// injector injects the faults of a run.
type injector struct {
	run    *run
	random *rand.Rand
	ends   sync.WaitGroup

	mu   sync.Mutex
	busy map[*fleet.Node]bool
}

// injectFaults injects one fault in each period until ctx ends, and returns when
// all are over.
func (r *run) injectFaults(ctx context.Context) {
	i := &injector{
		run:    r,
		random: rand.New(rand.NewPCG(uint64(r.options.Seed), 1)),
		busy:   make(map[*fleet.Node]bool),
	}
	wait := firstFault
	for n := 0; sleep(ctx, wait); n++ {
		wait = faultPeriod
		// Every kind comes once before any comes again; entries are killed once
		// more in each round.
		kind := faultKinds[n%(len(faultKinds)+1)%len(faultKinds)]
		r.faults[kind.name]++
		kind.play(i)
	}
	i.ends.Wait()
}

// withNode disturbs one node that nothing else disturbs.
func (i *injector) withNode(nodes []*fleet.Node, disturb func(*fleet.Node) func()) {
	n := i.take(nodes)
	if n == nil {
		return
	}
	end := disturb(n)
	i.ends.Go(func() {
		end()
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.busy, n)
	})
}

func (i *injector) take(nodes []*fleet.Node) *fleet.Node {
	i.mu.Lock()
	defer i.mu.Unlock()
	var free []*fleet.Node
	for _, n := range nodes {
		if !i.busy[n] {
			free = append(free, n)
		}
	}
	if len(nodes)-len(free) >= maxDown {
		return nil
	}
	n := free[i.random.IntN(len(free))]
	i.busy[n] = true
	return n
}

func (i *injector) kill(n *fleet.Node) func() {
	return func() {
		i.run.fleet.KeepCounters(n)
		i.run.noteLost(n)
		n.Kill()
		time.Sleep(restartDelay)
		_ = n.Start()
	}
}

func (i *injector) pause(n *fleet.Node) func() {
	d := between(i.random, minPause, maxPause)
	return func() { n.Pause(d) }
}

func (i *injector) stop(n *fleet.Node) func() {
	return func() {
		i.run.fleet.KeepCounters(n)
		n.Stop()
		_ = n.Start()
	}
}

func (i *injector) cut(both bool) {
	nodes := i.run.fleet.Nodes()
	a := nodes[i.random.IntN(len(nodes))]
	b := i.run.fleet.Entries[i.random.IntN(len(i.run.fleet.Entries))]
	d := between(i.random, minCut, maxCut)
	from, to := []string{a.Name}, []string{b.Name}
	if i.random.IntN(2) == 0 {
		from, to = to, from
	}
	cut := i.run.fleet.CutOneWay
	if both {
		cut = i.run.fleet.Partition
	}
	heal := cut(from, to)
	i.ends.Go(func() {
		time.Sleep(d)
		heal()
	})
}

func (i *injector) outage() {
	d := between(i.random, minCut, maxOutage)
	i.run.fleet.Store.SetMode(standinstore.Down)
	i.ends.Go(func() {
		time.Sleep(d)
		i.run.fleet.Store.SetMode(standinstore.Up)
	})
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// noteLost remembers the kill of an entry.
func (r *run) noteLost(n *fleet.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[n.Name] = append(r.lost[n.Name], time.Now())
}
