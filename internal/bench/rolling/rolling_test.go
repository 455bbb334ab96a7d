// Package rolling_test restarts the nodes of a fleet one after the other under load.
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
	callers      = 12
	tasksPerJob  = 3
	runTime      = 40 * time.Millisecond
	readyTimeout = 20 * time.Second
	// deregistrationDelay is the time between the removal of an entry from the load
	// balancer and its stop.
	deregistrationDelay = 50 * time.Millisecond
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

// balancer is a load balancer that skips the entries that are out of service.
type balancer struct {
	mu           sync.Mutex
	entries      []*fleet.Node
	outOfService map[*fleet.Node]bool
}

// pick returns the entry for the nth request, in turn among those in service, or nil when
// none is.
func (b *balancer) pick(n int) *fleet.Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.entries {
		if node := b.entries[(n+i)%len(b.entries)]; !b.outOfService[node] {
			return node
		}
	}
	return nil
}

func (b *balancer) setOutOfService(n *fleet.Node, out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outOfService[n] = out
}

// requestCounts counts requests by outcome.
type requestCounts struct {
	completed, refused, failed atomic.Int64
}

// run submits jobs one at a time until ctx ends, and waits for the answer of the last.
func (counts *requestCounts) run(ctx context.Context, t *testing.T, f *fleet.Fleet, b *balancer, number int) {
	for n := number; ctx.Err() == nil; n++ {
		c := f.Client("desk", fmt.Sprintf("caller-%d", number), b.pick(n))
		answer, err := c.Submit(context.WithoutCancel(ctx), job(n))
		switch e := verdict.FromError(err); {
		case e == nil && len(answer.GetResults()) == tasksPerJob:
			counts.completed.Add(1)
		case e != nil && e.Verdict == verdict.NotRun:
			counts.refused.Add(1)
			t.Logf("refused: %v", e)
		default:
			counts.failed.Add(1)
			t.Errorf("request failed: %v", e)
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

// Guards against requests that fail during a rolling restart of all entries, a rotation of
// all keys and a rolling restart of all agents. A request may complete or be refused as not
// run.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	f := startFleet(t)
	b := &balancer{entries: f.Entries, outOfService: make(map[*fleet.Node]bool)}
	var counts requestCounts
	ctx, stop := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for number := range callers {
		wait.Go(func() { counts.run(ctx, t, f, b, number) })
	}
	began := time.Now()
	for _, n := range f.Entries {
		b.setOutOfService(n, true)
		time.Sleep(deregistrationDelay)
		restart(t, f, n)
		readyCtx, cancel := context.WithTimeout(t.Context(), readyTimeout)
		if err := f.WaitReady(readyCtx, n); err != nil {
			t.Error(err)
		}
		cancel()
		waitForAllAgents(t, f, n)
		b.setOutOfService(n, false)
	}
	if err := f.RotateKeys(); err != nil {
		t.Error(err)
	}
	for _, n := range f.Agents {
		restart(t, f, n)
		waitForAllAgents(t, f, f.Entries[0])
	}
	stop()
	wait.Wait()
	t.Logf("%d nodes restarted in %s: %d requests complete, %d refused as not run, %d failed",
		len(f.Nodes()), time.Since(began).Round(time.Millisecond), counts.completed.Load(), counts.refused.Load(), counts.failed.Load())
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

// waitForAllAgents waits until an entry is linked as Fleet.IsLinked defines it.
func waitForAllAgents(t *testing.T, f *fleet.Fleet, entry *fleet.Node) {
	t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !f.IsLinked(t.Context(), entry) {
		if time.Now().After(deadline) {
			t.Fatalf("%s is not linked with all agents", entry.Name)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
