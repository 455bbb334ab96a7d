package server

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
)

// maxSeedBytes keeps the mutation of seeds fast.
const maxSeedBytes = 1000

// FuzzStoredValues decodes arbitrary values of the three kinds of keys: entry
// registrations, target announcements and the patience of callers.
func FuzzStoredValues(f *testing.F) {
	f.Add([]byte(`{"address":"10.0.0.1:1","data_centre":"z1","incarnation":9}`))
	f.Add([]byte(`{"ID":"t","Incarnation":4,"Address":"10.0.0.1:80","Pool":"p"}`))
	f.Add([]byte(`{"q":{"base_ms":1700,"slope":4}}`))
	f.Add([]byte(`{"q":{"base_ms":-1e308,"slope":1e308}}`))
	for _, odd := range oddTexts {
		if len(odd) < maxSeedBytes {
			f.Add([]byte(odd))
			f.Add([]byte(`{"address":"10.0.0.1:1","incarnation":` + odd + `}`))
			f.Add([]byte(`{"ID":"t","Incarnation":` + odd + `,"Address":"10.0.0.1:99999","Pool":"p"}`))
			f.Add([]byte(`{"q":{"base_ms":` + odd + `,"slope":4},"r":{"base_ms":1700,"slope":4}}`))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		listed := decodeEntries([]store.Value{
			{Key: entryKeyPrefix + "a", Data: []byte(registered + "1}")},
			{Key: entryKeyPrefix + "e", Data: data},
			{Key: entryKeyPrefix + "z", Data: []byte(registered + "1}")},
		}, ignoreInvalid())
		if n := len(listed); n < 2 || listed[0].Name != "a" || listed[n-1].Name != "z" {
			t.Fatalf("entries beside %.100q: %+v", data, listed)
		}
		for _, e := range listed {
			if err := bounds.CheckIPPort("address", e.Address); err != nil {
				t.Errorf("entry %+v: %v", e, err)
			}
		}
		s := newFakeStore()
		s.put(targetKeyPrefix+"a", string(data))
		s.put(patienceKey, string(data))
		s.put(crashKeyPrefix+"a", string(data))
		if stored := newTargetRecord(s, zerolog.Nop(), ignoreInvalid(), "a").load(context.Background()); stored != nil && (stored.Sequence != 0 || stored.Validate() != nil) {
			t.Errorf("stored %+v", stored)
		}
		reports, _ := newCrashRecord(s, zerolog.Nop(), ignoreInvalid(), "a").load(context.Background())
		for i := range reports {
			if reports[i].Age < 0 {
				t.Errorf("report %+v", reports[i])
			}
		}
		estimator := &fakeEstimator{}
		l := &patienceRecord{store: s, log: zerolog.Nop(), invalid: ignoreInvalid(), estimator: estimator}
		l.load(context.Background())
		patience := load.NewPatience()
		patience.Restore(estimator.restored)
		if f := patience.Forecast("q", time.Second, time.Second, time.Second); f.RunTime < 0 || f.Waited < 0 {
			t.Errorf("forecast %+v from %+v", f, estimator.restored)
		}
		l.saveIfChanged(context.Background())
	})
}
