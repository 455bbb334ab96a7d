package store

import (
	"bytes"
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// maxSwaps bounds the tries of one Writer.Write that are refused because the key has changed.
const maxSwaps = 3

// ErrConflict reports a key that others changed during each try to write it.
var ErrConflict = eris.New("key was changed by others during each try")

// ProofOf returns what the answer to a compare-and-swap proves. A refused one proves that it
// was not executed, but says nothing of an earlier one without an answer: unless the key has
// the value that was to be written, that one may have been executed before the key changed.
func ProofOf(change SwapRequest, result SwapResult, err error) verdict.Proof {
	switch {
	case errors.Is(err, ErrLeaseLapsed):
		return verdict.ProvesRejected
	case err != nil:
		return verdict.ProvesNothing
	case result.Swapped, change.isInForce(result.Current):
		return verdict.ProvesExecuted
	}
	return verdict.ProvesRejected
}

// isInForce reports whether the current value of the key, nil if it is absent, is what the
// change was to bring about. That a key is bound to a lease does not show in its value.
func (c *SwapRequest) isInForce(current *Value) bool {
	if c.Delete {
		return current == nil
	}
	return current != nil && c.LeaseID == 0 && bytes.Equal(current.Data, c.Data)
}

// Swapper is the part of a Store that a Writer needs.
type Swapper interface {
	CompareAndSwap(ctx context.Context, change SwapRequest) (SwapResult, error)
}

// Writer writes a key that one process keeps up to date. Each write is conditional on the
// revision of the one before, so that one without an answer that is executed late never
// replaces a later one. It is not safe for concurrent use.
type Writer struct {
	Store Swapper
	Key   string
	// Revision is the latest known revision of the key, 0 if it is absent or unknown.
	Revision uint64
}

// Write replaces the value of the key, whatever it is. After an error the value may have been
// written, or may yet be until another write succeeds.
func (w *Writer) Write(ctx context.Context, data []byte, lease uint64) error {
	change := SwapRequest{Key: w.Key, Data: data, LeaseID: lease}
	for range maxSwaps {
		change.ExpectedRevision = w.Revision
		result, err := w.Store.CompareAndSwap(ctx, change)
		if err != nil {
			return err
		}
		w.Revision = result.Revision
		if ProofOf(change, result, err) == verdict.ProvesExecuted {
			return nil
		}
	}
	return ErrConflict
}
