package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/standin/faultstore"
)

const testDataCentre = apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE

// setOut returns a change of a data centre, based on a revision.
func setOut(id string, out bool, base uint64) *apiv1.ChangeRequest {
	return &apiv1.ChangeRequest{
		ChangeId: id, By: "op", Kind: testDataCentre, Name: "nbo1", BaseRevision: base,
		Change: &apiv1.ChangeRequest_SetOut{SetOut: &apiv1.SetOut{Out: out}},
	}
}

// storedObject returns the stored data centre.
func storedObject(t *testing.T, f *faultstore.Store) *apiv1.Object {
	t.Helper()
	o := &apiv1.Object{}
	if err := proto.Unmarshal([]byte(f.Data(objectKey(testDataCentre, "nbo1"))), o); err != nil {
		t.Fatal(err)
	}
	return o
}

// change makes a change, and then reads the configuration as the watch does.
func change(t *testing.T, e *Entry, m *apiv1.ChangeRequest) (*apiv1.Object, *verdict.Error) {
	t.Helper()
	o, err := e.change(t.Context(), m)
	if listErr := e.listConfig(t.Context()); listErr != nil {
		t.Fatal(listErr)
	}
	synctest.Wait()
	return o, err
}

// The answer to an operator's change was lost: its repeat must not be a conflict with itself, nor
// may the change be stored twice or a late write of it revert a later change.
func TestUnansweredChangeIsNoConflictWithItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, first := range allFates {
			for _, second := range allFates {
				f, e := newFaultyEntry(7)
				f.Next(first, second)
				o, err := change(t, e, setOut("c1", true, 0))
				if err != nil || !o.GetOut() {
					t.Fatalf("%v, %v: %v", first, second, err)
				}
				if o, err = change(t, e, setOut("c1", true, 0)); err != nil || !o.GetOut() {
					t.Errorf("%v, %v: the caller's repeat: %v", first, second, err)
				}
				if _, err = change(t, e, setOut("c2", false, o.GetRevision())); err != nil {
					t.Errorf("%v, %v: the next change: %v", first, second, err)
				}
				f.ExecuteLate()
				if o := storedObject(t, f); o.GetOut() || len(o.GetHistory()) != 2 {
					t.Errorf("%v, %v: stored %v", first, second, o)
				}
			}
		}
	})
}

// A write had no answer, and then the object cannot be read: whether the change was stored is not
// known, so that "not run" would be the contrary of the truth.
func TestChangeWithUnansweredWriteIsNotReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key := objectKey(testDataCentre, "nbo1")
		for _, fate := range allFates[1:] {
			f, e := newFaultyEntry(7)
			f.Next(fate)
			e.store = &overwrittenStore{Store: f, key: key}
			_, err := e.change(t.Context(), setOut("c1", false, 0))
			if err == nil || err.Verdict != verdict.MayHaveRun {
				t.Errorf("%v: %v", fate, err)
			}
		}
	})
}

// overwrittenStore is a store in which another writer overwrites a key after its first write.
type overwrittenStore struct {
	*faultstore.Store
	key string
}

func (s *overwrittenStore) CompareAndSwap(ctx context.Context, c store.SwapRequest) (store.SwapResult, error) {
	result, err := s.Store.CompareAndSwap(ctx, c)
	s.Set(s.key, []byte{0xff})
	return result, err
}

// A change that lost each race against others was answered, and is known not to have run.
func TestChangeThatLostEachRaceHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e := newFaultyEntry(7)
		e.store = &contendedStore{Store: f}
		m := setOut("c1", false, 0)
		m.AnyBase = true
		_, err := e.change(t.Context(), m)
		if err == nil || err.Verdict != verdict.NotRun {
			t.Errorf("error %v", err)
		}
	})
}

// contendedStore is a store in which another writer is always faster.
type contendedStore struct{ *faultstore.Store }

func (s *contendedStore) CompareAndSwap(ctx context.Context, c store.SwapRequest) (store.SwapResult, error) {
	s.Set(c.Key, s.valueOf(c))
	return s.Store.CompareAndSwap(ctx, c)
}

// valueOf returns the value of a key without the change that is about to be written.
func (s *contendedStore) valueOf(c store.SwapRequest) []byte {
	o := &apiv1.Object{}
	_ = proto.Unmarshal(c.Data, o)
	o.History = nil
	data, _ := proto.Marshal(o)
	return data
}

// After a write without an answer another change is found in place of its base: its record in the
// history proves that the write was not and will not be executed. Without the record nothing does.
func TestConflictAfterUnansweredWriteIsProvenByHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for base, want := range map[uint64]verdict.Verdict{0: verdict.NotRun, 40: verdict.MayHaveRun} {
			f, e := newFaultyEntry(7)
			f.Next(faultstore.NotExecuted)
			other := &apiv1.Object{Kind: testDataCentre, Name: "nbo1", History: []*apiv1.ChangeRecord{{ChangeId: "c0", BaseRevision: base}}}
			time.AfterFunc(storeBackoff/2, func() { f.Set(objectKey(testDataCentre, "nbo1"), marshal(t, other)) })
			if _, err := e.change(t.Context(), setOut("c1", false, 0)); err == nil || err.Verdict != want {
				t.Errorf("another change based on %d: %v", base, err)
			}
		}
	})
}
