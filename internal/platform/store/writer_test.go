package store_test

import (
	"errors"
	"testing"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/standin/faultstore"
)

// An answer in the wrong class makes a writer believe the contrary of what the store holds.
func TestEachAnswerOfSwapProvesWhatItSays(t *testing.T) {
	put := store.SwapRequest{Key: "k", Data: []byte("x")}
	leased := store.SwapRequest{Key: "k", Data: []byte("x"), LeaseID: 7}
	remove := store.SwapRequest{Key: "k", Delete: true}
	same, other := &store.Value{Data: []byte("x")}, &store.Value{Data: []byte("y")}
	for _, c := range []struct {
		name   string
		change store.SwapRequest
		result store.SwapResult
		err    error
		proof  verdict.Proof
	}{
		{"no answer", put, store.SwapResult{}, errors.New("timeout"), verdict.ProvesNothing},
		{"no lease", leased, store.SwapResult{}, store.ErrLeaseLapsed, verdict.ProvesRejected},
		{"swapped", put, store.SwapResult{Swapped: true}, nil, verdict.ProvesExecuted},
		{"refused, another value", put, store.SwapResult{Current: other}, nil, verdict.ProvesRejected},
		{"refused, absent", put, store.SwapResult{}, nil, verdict.ProvesRejected},
		{"refused, the same value", put, store.SwapResult{Current: same}, nil, verdict.ProvesExecuted},
		{"refused, the same value under a lease", leased, store.SwapResult{Current: same}, nil, verdict.ProvesRejected},
		{"delete refused, present", remove, store.SwapResult{Current: other}, nil, verdict.ProvesRejected},
		{"delete refused, absent", remove, store.SwapResult{}, nil, verdict.ProvesExecuted},
	} {
		if got := store.ProofOf(c.change, c.result, c.err); got != c.proof {
			t.Errorf("%s proves %v, want %v", c.name, got, c.proof)
		}
	}
}

// Writes without an answer, each executed late or not at all, must not replace a later one.
func TestWriterNeverRevertsItsKey(t *testing.T) {
	fates := []faultstore.Fate{faultstore.Answered, faultstore.NotExecuted, faultstore.AnswerLost, faultstore.ExecutedLate}
	for _, first := range fates {
		for _, second := range fates {
			f := faultstore.New()
			f.Set("k", []byte("former"))
			f.Next(first, second)
			w := store.Writer{Store: f, Key: "k"}
			_ = w.Write(t.Context(), []byte("1"), 0)
			for w.Write(t.Context(), []byte("2"), 0) != nil {
				continue
			}
			f.ExecuteLate()
			if data := f.Data("k"); data != "2" {
				t.Errorf("%v, %v: stored %q", first, second, data)
			}
		}
	}
}
