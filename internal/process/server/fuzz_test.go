package server

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
)

// FuzzStoredValues decodes arbitrary values of the three kinds of keys: entry
// registrations, target announcements and the patience of callers.
func FuzzStoredValues(f *testing.F) {
	f.Add([]byte(`{"address":"10.0.0.1:1","data_centre":"z1","incarnation":9}`))
	f.Add([]byte(`{"ID":"t","Incarnation":4,"Address":"10.0.0.1:80","Pool":"p"}`))
	f.Add([]byte(`{"q":{"base_ms":1700,"slope":4}}`))
	f.Add([]byte(`{"q":{"base_ms":-1e308,"slope":1e308}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, e := range decodeEntries([]store.Value{{Key: entryKeyPrefix + "e", Data: data}}, zerolog.Nop()) {
			if e.Address == "" || e.Name != "e" {
				t.Errorf("entry %+v", e)
			}
		}
		s := newFakeStore()
		s.put(targetKeyPrefix+"a", string(data))
		s.put(patienceKey, string(data))
		if stored := newTargetRecord(s, zerolog.Nop(), "a").load(context.Background()); stored != nil && stored.Sequence != 0 {
			t.Errorf("stored %+v", stored)
		}
		l := &patienceRecord{store: s, log: zerolog.Nop(), estimator: &fakeEstimator{}}
		l.load(context.Background())
		l.saveIfChanged(context.Background())
	})
}
