package server

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
	"github.com/rosemarybay/rosemarybay/internal/standin/faultstore"
)

var allFates = []faultstore.Fate{faultstore.Answered, faultstore.NotExecuted, faultstore.AnswerLost, faultstore.ExecutedLate}

// The store executes the write of a first crash after that of the second one: the second must
// still be stored, or the tasks that crashed the target are unknown after a loss of power.
func TestLateWriteDoesNotRevertStoredCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, first := range allFates {
			for _, second := range allFates {
				f := faultstore.New()
				f.Next(first, second)
				r := newCrashRecord(f, zerolog.Nop(), ignoreInvalid(), "agent")
				one := crash.Report{ID: crash.ID{Target: "t", Incarnation: 1}, Agent: "agent"}
				two := crash.Report{ID: crash.ID{Target: "t", Incarnation: 2}, Agent: "agent"}
				go r.run(t.Context())
				r.queue([]crash.Report{one})
				synctest.Wait()
				r.queue([]crash.Report{one, two})
				time.Sleep(5 * recordRetryDelay)
				f.ExecuteLate()
				if stored, err := newCrashRecord(f, zerolog.Nop(), ignoreInvalid(), "agent").load(t.Context()); err != nil || len(stored) != 2 {
					t.Errorf("%v, %v: %d crashes are stored, %v", first, second, len(stored), err)
				}
			}
		}
	})
}
