// Package rolling_test restarts all nodes of a fleet under load.
package rolling_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

const (
	callers     = 12
	tasksPerJob = 3
	runTime     = 40 * time.Millisecond
	readyTime   = 20 * time.Second
	// balancerLag is the time between the end of an entry's service at the
	// balancer and its stop.
	balancerLag = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == fleet.NodeCommand {
		os.Exit(daemon.Main(os.Args[2:], os.Stderr))
	}
	os.Exit(m.Run())
}

func startFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	spec := fleet.Spec{EntriesPerDataCentre: 1, DataCentres: []string{"nbo1", "nbo2", "nbo3"}, Direct: true}
	for i, dc := range []string{"nbo1", "nbo2", "nbo3", "nbo1"} {
		name := fmt.Sprint("r", i+1)
		spec.Targets = append(spec.Targets, fleet.Target{
			Name: name, DataCentre: dc, Rack: name, Slots: 16, Size: fleet.Size{CPUs: 30, MemoryMB: 130000},
		})
	}
	spec.Departments = []fleet.Department{{Name: "desk"}}
	f, err := fleet.Start(ctx, spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// balancer knows which entries are in service.
type balancer struct {
	mu  sync.Mutex
	in  []*fleet.Node
	out map[*fleet.Node]bool
}

// pick returns the entry in service for the nth request.
func (b *balancer) pick(n int) *fleet.Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.in {
		if node := b.in[(n+i)%len(b.in)]; !b.out[node] {
			return node
		}
	}
	return nil
}

func (b *balancer) set(n *fleet.Node, out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.out[n] = out
}

// load counts what became of requests.
type load struct {
	complete, refused, cut atomic.Int64
}

// run submits jobs one after the other until ctx ends.
func (l *load) run(ctx context.Context, t *testing.T, f *fleet.Fleet, b *balancer, number int) {
	for n := number; ctx.Err() == nil; n++ {
		c := f.Client("desk", fmt.Sprintf("caller-%d", number), b.pick(n))
		answer, err := c.Submit(context.WithoutCancel(ctx), job(n))
		switch e := verdict.FromError(err); {
		case e == nil && len(answer.GetResults()) == tasksPerJob:
			l.complete.Add(1)
		case e != nil && e.Verdict == verdict.NotRun:
			l.refused.Add(1)
			t.Logf("refused: %v", e)
		default:
			l.cut.Add(1)
			t.Errorf("cut: %v", e)
		}
	}
}

func job(n int) client.Job {
	j := client.Job{Deadline: 10 * time.Second}
	for i := range tasksPerJob {
		payload, _ := json.Marshal(standintarget.Payload{Task: fmt.Sprintf("t-%d-%d", n, i), RunMS: int(runTime.Milliseconds())})
		j.Tasks = append(j.Tasks, &apiv1.Task{Kind: "t", RunMs: uint32(runTime.Milliseconds()), Payload: payload})
	}
	return j
}

// All entries and agents restart one after the other, and all keys change on
// the way; no request is cut.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	f := startFleet(t)
	b := &balancer{in: f.Entries, out: make(map[*fleet.Node]bool)}
	var l load
	ctx, stop := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for number := range callers {
		wait.Go(func() { l.run(ctx, t, f, b, number) })
	}
	began := time.Now()
	for _, n := range f.Entries {
		b.set(n, true)
		time.Sleep(balancerLag)
		restart(t, f, n)
		ready, cancel := context.WithTimeout(t.Context(), readyTime)
		if err := f.WaitReady(ready, n); err != nil {
			t.Error(err)
		}
		cancel()
		awaitTargets(t, f, n)
		b.set(n, false)
	}
	if err := f.RotateKeys(); err != nil {
		t.Error(err)
	}
	for _, n := range f.Agents {
		restart(t, f, n)
		awaitTargets(t, f, f.Entries[0])
	}
	stop()
	wait.Wait()
	t.Logf("%d nodes restarted in %s: %d requests complete, %d refused as not run, %d cut",
		len(f.Nodes()), time.Since(began).Round(time.Millisecond), l.complete.Load(), l.refused.Load(), l.cut.Load())
}

func restart(t *testing.T, f *fleet.Fleet, n *fleet.Node) {
	t.Helper()
	if !n.Stop() {
		t.Errorf("%s did not stop in time", n.Name)
	}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
}

// awaitTargets waits until an entry is linked with all agents.
func awaitTargets(t *testing.T, f *fleet.Fleet, via *fleet.Node) {
	t.Helper()
	deadline := time.Now().Add(readyTime)
	for !f.IsLinked(t.Context(), via) {
		if time.Now().After(deadline) {
			t.Fatalf("%s is not linked with all agents", via.Name)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
