package rollout_test

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	standinstore "github.com/rosemarybay/rosemarybay/internal/standin/store"
)

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == fleet.NodeCommand {
		os.Exit(daemon.Main(os.Args[2:], os.Stderr))
	}
	os.Exit(m.Run())
}

const (
	testTimeout = 40 * time.Second
	// spreadLimit is how soon every entry must know an accepted change.
	spreadLimit = 3 * time.Second
	poll        = 20 * time.Millisecond
)

type fixture struct {
	*testing.T
	ctx   context.Context
	fleet *fleet.Fleet
}

func newFixture(t *testing.T) *fixture {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	spec := fleet.Spec{
		Trace:                "config",
		EntriesPerDataCentre: 1,
		DataCentres:          []string{"nbo1", "nbo2", "nbo3"},
		Departments:          []fleet.Department{{Name: "desk"}},
	}
	for _, dc := range spec.DataCentres {
		size := fleet.Size{CPUs: 30, MemoryMB: 130_000}
		spec.Targets = append(spec.Targets, fleet.Target{Name: "r-" + dc, DataCentre: dc, Rack: "a", Slots: 2, Size: size})
	}
	f, err := fleet.Start(ctx, spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return &fixture{T: t, ctx: ctx, fleet: f}
}

func outRequest(id string, out bool) *apiv1.ChangeRequest {
	return &apiv1.ChangeRequest{
		ChangeId: id,
		By:       "operator",
		Kind:     apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE,
		Name:     "nbo1",
		AnyBase:  true,
		Change:   &apiv1.ChangeRequest_SetOut{SetOut: &apiv1.SetOut{Out: out}},
	}
}

func (f *fixture) change(entry int, r *apiv1.ChangeRequest) (*apiv1.ChangeResponse, error) {
	response, err := f.fleet.Config(f.fleet.Entries[entry]).Change(f.ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// waitRevision waits until all entries know a revision.
func (f *fixture) waitRevision(revision uint64) {
	f.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, spreadLimit)
	defer cancel()
	for _, n := range f.fleet.Entries {
		request := &apiv1.WatchObjectsRequest{AfterRevision: revision - 1, WaitMs: uint32(spreadLimit.Milliseconds())}
		response, err := f.fleet.Config(n).WatchObjects(ctx, connect.NewRequest(request))
		if err != nil || response.Msg.GetRevision() < revision {
			f.Fatalf("entry %s does not know revision %d after %v: %v", n.Name, revision, spreadLimit, err)
		}
	}
}

// A change reaches every entry although no watch is answered, and is in force
// after one permit period.
func TestSilentWatch(t *testing.T) {
	f := newFixture(t)
	f.fleet.Store.SetMode(standinstore.SilentWatch)
	response, err := f.change(0, outRequest("silent", true))
	if err != nil {
		t.Fatal(err)
	}
	f.waitRevision(response.GetAcceptedRevision())
	if response.GetInForce().GetInForce() {
		t.Error("in force at once, while permits given before still last")
	}
	for begun := time.Now(); ; time.Sleep(poll) {
		request := connect.NewRequest(&apiv1.GetInForceRequest{Revision: response.GetAcceptedRevision()})
		state, err := f.fleet.Config(f.fleet.Entries[1]).GetInForce(f.ctx, request)
		if err != nil {
			t.Fatal(err)
		}
		if state.Msg.GetInForce().GetInForce() {
			return
		}
		if time.Since(begun) > 2*spreadLimit {
			t.Fatalf("not in force: %v", state.Msg)
		}
	}
}

// A store that comes back with an older state is refused, and changes nothing.
func TestStoreRolledBack(t *testing.T) {
	f := newFixture(t)
	backup := f.fleet.Store.Backup()
	response, err := f.change(0, outRequest("out", true))
	if err != nil {
		t.Fatal(err)
	}
	f.waitRevision(response.GetAcceptedRevision())
	f.fleet.Store.Restore(backup)
	for f.fleet.Counters()["store_answers_old"] == 0 {
		if f.ctx.Err() != nil {
			t.Fatal("no answer of the store was refused")
		}
		time.Sleep(poll)
	}
	for _, n := range f.fleet.Entries {
		request := &apiv1.GetObjectRequest{Kind: apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, Name: "nbo1"}
		o, err := f.fleet.Config(n).GetObject(f.ctx, connect.NewRequest(request))
		if err != nil || !o.Msg.GetObject().GetOut() {
			t.Errorf("entry %s: %v %v", n.Name, o, err)
		}
	}
	_, err = f.change(0, outRequest("in", false))
	if got := verdict.FromError(err); got == nil || got.Verdict != verdict.NotRun {
		t.Errorf("change against an old store: %v", err)
	}
}

// Of two changes based on one revision the second is refused with the present
// object; repeating the first returns its own revision.
func TestRacingOperators(t *testing.T) {
	f := newFixture(t)
	first := outRequest("first", true)
	first.AnyBase = false
	second := outRequest("second", false)
	second.AnyBase = false
	response, err := f.change(0, first)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.change(1, second)
	if got := verdict.FromError(err); got == nil || got.Reason != apiv1.Reason_REASON_CONFLICT || got.Verdict != verdict.NotRun {
		t.Fatalf("second change: %v", err)
	}
	if o := presentObject(err); o.GetRevision() != response.GetAcceptedRevision() || o.GetHistory()[0].GetBy() != "operator" {
		t.Errorf("present object of the conflict: %v", o)
	}
	later := outRequest("later", false)
	if _, err := f.change(1, later); err != nil {
		t.Fatal(err)
	}
	again, err := f.change(2, first)
	if err != nil || again.GetAcceptedRevision() != response.GetAcceptedRevision() {
		t.Errorf("repeated change: %v %v", again, err)
	}
}

func presentObject(err error) *apiv1.Object {
	var rpc *connect.Error
	if !errors.As(err, &rpc) {
		return nil
	}
	for _, detail := range rpc.Details() {
		if value, err := detail.Value(); err == nil {
			if o, ok := value.(*apiv1.Object); ok {
				return o
			}
		}
	}
	return nil
}
