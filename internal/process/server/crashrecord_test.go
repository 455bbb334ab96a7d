package server

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// All processes lose power together: the crashes under a task must still count.
func TestCrashesAreKnownAfterPowerLoss(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newFakeStore()
	r := newCrashRecord(f, zerolog.Nop(), ignoreInvalid(), "agent")
	go r.run(ctx)
	report := crash.Report{
		ID:    crash.ID{Target: "t", Incarnation: 3},
		Agent: "agent",
		Age:   time.Second,
		Runs:  []crash.Run{{Task: task.Key{Job: "j", Index: 2}, Queue: "q", Age: 8 * time.Millisecond}},
	}
	r.queue([]crash.Report{report})
	eventually(t, "the crashes", func() bool {
		stored, err := newCrashRecord(f, zerolog.Nop(), ignoreInvalid(), "agent").load(ctx)
		return err == nil && len(stored) == 1 && stored[0].ID == report.ID && stored[0].Runs[0] == report.Runs[0] &&
			stored[0].Age >= report.Age && stored[0].Age < report.Age+10*time.Second
	})
}

// The store holds a value that no agent has written.
func TestInvalidStoredCrashesAreIgnored(t *testing.T) {
	f := newFakeStore()
	for _, data := range []string{"{", `{"reports":[{"age":-1}]}`} {
		if err := f.Put(context.Background(), crashKeyPrefix+"agent", []byte(data)); err != nil {
			t.Fatal(err)
		}
		if stored, err := newCrashRecord(f, zerolog.Nop(), ignoreInvalid(), "agent").load(context.Background()); err == nil {
			t.Errorf("%s is read as %+v", data, stored)
		}
	}
}
