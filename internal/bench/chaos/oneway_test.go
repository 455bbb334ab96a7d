package chaos_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// Guards against tasks that may not be repeated being started twice, or being reported as
// not run, when a link loses one direction only. The tasks run for longer than the link
// takes to detect the loss.
func TestTasksStartOnceWhenOneDirectionIsCut(t *testing.T) {
	const (
		entry, agent = "nbo1-entry-1", "r1-agent"
		settle       = 500 * time.Millisecond
	)
	for name, cut := range map[string]struct{ from, to string }{
		"entry to agent": {entry, agent},
		"agent to entry": {agent, entry},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startPair(t)
			healed := make(chan struct{})
			time.AfterFunc(settle, func() {
				heal := f.CutOneWay([]string{cut.from}, []string{cut.to})
				time.AfterFunc(5*settle, func() { heal(); close(healed) })
			})
			c := f.Client("desk", "mama", f.Node(entry))
			answer, err := c.Submit(t.Context(), client.Job{Deadline: 20 * time.Second, Tasks: smsTasks(12)})
			<-healed
			time.Sleep(settle)
			checkNoTaskStartedTwice(t, f.Ledger.Starts())
			if v := verdict.FromError(err); v != nil && v.Verdict == verdict.NotRun {
				t.Errorf("tasks started, but the job was refused: %v", err)
			}
			if err == nil && len(answer.GetResults()) != 12 {
				t.Errorf("%d results, want 12", len(answer.GetResults()))
			}
		})
	}
}

func startPair(t *testing.T) *fleet.Fleet {
	t.Helper()
	size := fleet.Size{CPUs: 30, MemoryMB: 130_000}
	f, err := fleet.Start(context.Background(), fleet.Spec{
		Trace:                "one way",
		EntriesPerDataCentre: 1,
		DataCentres:          []string{"nbo1"},
		Departments:          []fleet.Department{{Name: "desk"}},
		Targets: []fleet.Target{
			{Name: "r1", DataCentre: "nbo1", Rack: "a", Slots: 4, Size: size},
			{Name: "r2", DataCentre: "nbo1", Rack: "b", Slots: 4, Size: size},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func smsTasks(n int) []*apiv1.Task {
	const runMS = 900
	tasks := make([]*apiv1.Task, n)
	for i := range tasks {
		payload, _ := json.Marshal(standintarget.Payload{Task: string(rune('a' + i)), RunMS: runMS})
		tasks[i] = &apiv1.Task{Kind: "sms", Size: &apiv1.Size{Cpus: 1, MemoryMb: 512}, RunMs: runMS, Payload: payload}
	}
	return tasks
}

func checkNoTaskStartedTwice(t *testing.T, starts []standintarget.Start) {
	t.Helper()
	count := make(map[string]int)
	for _, s := range starts {
		if count[s.Task]++; count[s.Task] == 2 {
			t.Errorf("task %s started twice", s.Task)
		}
	}
}
