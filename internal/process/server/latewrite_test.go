package server

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
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

// The store executes an earlier write of the patience of callers after a later one: the queue
// that was added would be missing until its patience changes again.
func TestLateWriteDoesNotRevertStoredPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, first := range allFates {
			for _, second := range allFates {
				f := faultstore.New()
				f.Next(first, second)
				p := &fakeEstimator{lines: map[string]load.PatienceLine{"q": {BaseMS: 1500, Slope: 4}}}
				r := &patienceRecord{store: f, log: zerolog.Nop(), invalid: ignoreInvalid(), estimator: p}
				r.load(t.Context())
				r.saveIfChanged(t.Context())
				p.lines = map[string]load.PatienceLine{"q": {BaseMS: 1500, Slope: 4}, "r": {BaseMS: 900, Slope: 2}}
				for range 4 {
					r.saveIfChanged(t.Context())
				}
				f.ExecuteLate()
				if data := f.Data(patienceKey); !strings.Contains(data, `"r"`) {
					t.Errorf("%v, %v: stored %s", first, second, data)
				}
			}
		}
	})
}

// Entries share the patience of callers: one must not write again and again because another has
// written in between.
func TestPatienceOfOtherEntryIsNotOverwrittenInTurn(t *testing.T) {
	f := faultstore.New()
	var records []*patienceRecord
	for _, base := range []float64{1500, 3000} {
		p := &fakeEstimator{lines: map[string]load.PatienceLine{"q": {BaseMS: base, Slope: 4}}}
		r := &patienceRecord{store: f, log: zerolog.Nop(), invalid: ignoreInvalid(), estimator: p}
		r.load(t.Context())
		records = append(records, r)
	}
	for range 10 {
		for _, r := range records {
			r.saveIfChanged(t.Context())
		}
	}
	if f.Writes() > 2 {
		t.Errorf("%d writes by two entries", f.Writes())
	}
}

// A target drains. Its last announcement must be stored before the heartbeat is acknowledged,
// and not be reverted, whatever happens to the writes before it; neither the late write of an
// earlier announcement nor the agent's own write may pass for that of another process.
func TestLateWriteDoesNotRevertDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, first := range allFates {
			for _, second := range allFates {
				f := faultstore.New()
				f.Set(targetKeyPrefix+"agent", []byte(storedAnnouncement))
				f.Next(first, second)
				r := newTargetRecord(f, zerolog.Nop(), ignoreInvalid(), "agent")
				ready := *r.load(t.Context())
				go r.run(t.Context())
				r.queue(ready)
				synctest.Wait()
				draining := ready
				draining.Draining = true
				r.queue(draining)
				begun := time.Now()
				r.waitWritten(recordWriteTimeout)
				// After a first write whose answer was lost, the second one is refused.
				lost := second != faultstore.Answered && (second != faultstore.AnswerLost || first == faultstore.AnswerLost)
				if stored := loadAgain(t, f); !lost && !stored.Draining {
					t.Errorf("%v, %v: acknowledged after %v, and not stored as draining", first, second, time.Since(begun))
				}
				f.ExecuteLate()
				time.Sleep(5 * recordRetryDelay)
				f.ExecuteLate()
				if stored := loadAgain(t, f); !stored.Draining {
					t.Errorf("%v, %v: stored as not draining", first, second)
				}
				if f.Writes() > 3 {
					t.Errorf("%v, %v: %d writes of two announcements", first, second, f.Writes())
				}
			}
		}
	})
}

// loadAgain reads the stored announcement as a new process does.
func loadAgain(t *testing.T, f *faultstore.Store) runs.Announcement {
	t.Helper()
	stored := newTargetRecord(f, zerolog.Nop(), ignoreInvalid(), "agent").load(t.Context())
	if stored == nil {
		t.Fatal("no announcement is stored")
	}
	return *stored
}
