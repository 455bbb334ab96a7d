package server

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
)

// FuzzStoredValues reads any value under the keys of the product: those of entries, of
// an agent's target and of what was learned.
func FuzzStoredValues(f *testing.F) {
	f.Add([]byte(`{"address":"10.0.0.1:1","data_centre":"z1","incarnation":9}`))
	f.Add([]byte(`{"ID":"t","Incarnation":4,"Address":"10.0.0.1:80","Pool":"p"}`))
	f.Add([]byte(`{"q":{"base_ms":1700,"slope":4}}`))
	f.Add([]byte(`{"q":{"base_ms":-1e308,"slope":1e308}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, e := range decodeEntries([]store.Value{{Key: rosterPrefix + "e", Data: data}}, zerolog.Nop()) {
			if e.Address == "" || e.Name != "e" {
				t.Errorf("entry %+v", e)
			}
		}
		s := newFakeStore()
		s.put(recordPrefix+"a", string(data))
		s.put(learnedKey, string(data))
		if kept := newRecord(s, zerolog.Nop(), "a").load(context.Background()); kept != nil && kept.Sequence != 0 {
			t.Errorf("kept %+v", kept)
		}
		l := &learned{store: s, log: zerolog.Nop(), patience: &fakePatience{}}
		l.load(context.Background())
		l.keep(context.Background())
	})
}
