package scheduler

import (
	"net"
	"testing"
	"testing/synctest"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// A start on a new link before its first frame is processed counts as lost, although the agent
// executes it, and its task is started twice.
func TestNothingIsStartedBeforeRunsOfNewLinkAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a1")
		here, there := net.Pipe()
		t.Cleanup(func() { _ = there.Close() })
		link := peer.NewLink(here, nil)
		t.Cleanup(link.Close)
		hello := &peer.Hello{Name: a.name, Incarnation: 1}
		tc.scheduler.Connect(hello, link)

		// Tasks that declare no resources fit into no free capacity.
		tc.submit(tc.job("j", 1, 0))
		info := tc.target(a.name).info
		tc.scheduler.Receive(a.name, link, &peer.Frame{Hello: hello, Target: &info, Room: &peer.Room{Free: task.Resources{CPU: 8000}}})

		if run := tc.latestRun("j"); run != 1 {
			t.Errorf("task was sent %d times on one link, want once", run)
		}
	})
}

// target returns what the scheduler knows of the target of an agent.
func (tc *testCluster) target(agent string) target {
	tc.scheduler.mu.Lock()
	defer tc.scheduler.mu.Unlock()
	return *tc.scheduler.targets[agent]
}

// latestRun returns the number of the latest attempt of the first task of a job.
func (tc *testCluster) latestRun(job string) uint64 {
	tc.scheduler.mu.Lock()
	defer tc.scheduler.mu.Unlock()
	return tc.scheduler.jobs[job].steps[0].items[0].run
}
