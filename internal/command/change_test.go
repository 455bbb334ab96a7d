package command

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// fakeConfig is a configuration service with responses set by the test.
type fakeConfig struct {
	apiv1connect.UnimplementedConfigServiceHandler

	mu           sync.Mutex
	changes      []*apiv1.ChangeRequest
	onChange     func(try int) error
	onInForce    func(try int) (*apiv1.InForce, error) // nil returns Unimplemented
	inForceCalls int
}

func (f *fakeConfig) GetObject(context.Context, *connect.Request[apiv1.GetObjectRequest]) (*connect.Response[apiv1.GetObjectResponse], error) {
	return connect.NewResponse(&apiv1.GetObjectResponse{Object: &apiv1.Object{Revision: 5}}), nil
}

func (f *fakeConfig) Change(_ context.Context, r *connect.Request[apiv1.ChangeRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, r.Msg)
	if f.onChange != nil {
		if err := f.onChange(len(f.changes)); err != nil {
			return nil, err
		}
	}
	o := &apiv1.Object{Kind: r.Msg.GetKind(), Name: r.Msg.GetName(), Revision: 7, Out: r.Msg.GetSetOut().GetOut()}
	return connect.NewResponse(&apiv1.ChangeResponse{Object: o, AcceptedRevision: 7}), nil
}

func (f *fakeConfig) GetInForce(ctx context.Context, r *connect.Request[apiv1.GetInForceRequest]) (*connect.Response[apiv1.GetInForceResponse], error) {
	if f.onInForce == nil {
		return f.UnimplementedConfigServiceHandler.GetInForce(ctx, r)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inForceCalls++
	state, err := f.onInForce(f.inForceCalls)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&apiv1.GetInForceResponse{InForce: state}), nil
}

// runTool runs the command-line tool against a fake service.
func runTool(ctx context.Context, t *testing.T, f *fakeConfig, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewConfigServiceHandler(f))
	server := httptest.NewServer(mux)
	defer server.Close()
	var out, errs bytes.Buffer
	args = append(args, "-address", server.URL, "-by", "tester")
	status = Main(ctx, args, Streams{In: strings.NewReader(""), Out: &out, Err: &errs})
	return status, out.String(), errs.String()
}

func checkOutput(t *testing.T, status int, stderr string, wantStatus int, want ...string) {
	t.Helper()
	if status != wantStatus {
		t.Errorf("status %d, want %d", status, wantStatus)
	}
	for _, text := range want {
		if !strings.Contains(stderr, text) {
			t.Errorf("stderr lacks %q:\n%s", text, stderr)
		}
	}
}

var pendingState = &apiv1.InForce{PendingEntries: []string{"e2"}, Entries: 3}

func TestOutWaitsUntilInForce(t *testing.T) {
	f := &fakeConfig{onInForce: func(try int) (*apiv1.InForce, error) {
		if try < 3 {
			return pendingState, nil
		}
		return &apiv1.InForce{InForce: true, Entries: 3}, nil
	}}
	status, stdout, stderr := runTool(t.Context(), t, f, "datacentre", "out", "nbo1")
	checkOutput(t, status, stderr, exitOK, "in force at revision 7")
	if f.inForceCalls != 3 || !strings.Contains(stdout, "nbo1") {
		t.Errorf("%d GetInForce calls, want 3; stdout:\n%s", f.inForceCalls, stdout)
	}
	c := f.changes[0]
	if c.GetBaseRevision() != 5 || c.GetAnyBase() || c.GetChangeId() == "" || c.GetBy() != "tester" {
		t.Errorf("change %v", c)
	}
}

func TestNoWaitReturnsWhenAccepted(t *testing.T) {
	f := &fakeConfig{}
	status, _, stderr := runTool(t.Context(), t, f, "target", "leave", "r1", "-no-wait", "-base", "4")
	checkOutput(t, status, stderr, exitOK, "accepted at revision 7")
	if f.inForceCalls != 0 || f.changes[0].GetBaseRevision() != 4 {
		t.Errorf("%d GetInForce calls, want 0; change %v", f.inForceCalls, f.changes[0])
	}
}

func TestInForceUnknown(t *testing.T) {
	const unknown = "accepted at revision 7; in force not known"
	t.Run("not offered", func(t *testing.T) {
		status, _, stderr := runTool(t.Context(), t, &fakeConfig{}, "department", "leave", "desk")
		checkOutput(t, status, stderr, exitUnknown, unknown, "next:")
	})
	t.Run("interrupted", func(t *testing.T) {
		ctx, interrupt := context.WithCancel(t.Context())
		f := &fakeConfig{onInForce: func(try int) (*apiv1.InForce, error) {
			if try == 2 {
				interrupt()
			}
			return pendingState, nil
		}}
		status, _, stderr := runTool(ctx, t, f, "datacentre", "out", "nbo1")
		checkOutput(t, status, stderr, exitUnknown, unknown, "interrupted", "1 of 3 entries: e2")
	})
	t.Run("permits", func(t *testing.T) {
		state := &apiv1.InForce{Entries: 3, RemainingMs: 1200}
		f := &fakeConfig{onInForce: func(int) (*apiv1.InForce, error) { return state, nil }}
		status, _, stderr := runTool(t.Context(), t, f, "target", "leave", "r1", "-timeout", "1s")
		checkOutput(t, status, stderr, exitUnknown, unknown, "permits given before, which last 1.2s")
	})
	t.Run("timeout", func(t *testing.T) {
		f := &fakeConfig{onInForce: func(int) (*apiv1.InForce, error) { return pendingState, nil }}
		status, _, stderr := runTool(t.Context(), t, f, "datacentre", "out", "nbo1", "-timeout", "1s")
		checkOutput(t, status, stderr, exitUnknown, unknown, "-timeout passed", "1 of 3 entries: e2")
	})
}

func TestChangeWithUnknownOutcomeIsRepeatedUnderItsID(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_OUTCOME_UNKNOWN, "answer lost").ToConnect()
	f := &fakeConfig{onChange: func(try int) error {
		if try < 3 {
			return lost
		}
		return nil
	}}
	status, _, stderr := runTool(t.Context(), t, f, "datacentre", "in", "nbo1", "-no-wait")
	checkOutput(t, status, stderr, exitOK, "accepted at revision 7")
	if len(f.changes) != 3 || f.changes[0].GetChangeId() != f.changes[2].GetChangeId() {
		t.Errorf("changes %v, want 3 with the same change ID", f.changes)
	}

	f = &fakeConfig{onChange: func(int) error { return lost }}
	status, _, stderr = runTool(t.Context(), t, f, "datacentre", "in", "nbo1", "-change-id", "c1")
	checkOutput(t, status, stderr, exitUnknown, "change ID c1", "verdict: may_have_run", "reason: outcome_unknown", "-change-id")
}

func TestConflictIsNotRetried(t *testing.T) {
	f := &fakeConfig{onChange: func(int) error {
		return verdict.NotRunError(apiv1.Reason_REASON_CONFLICT, "object is at revision 6").ToConnect()
	}}
	status, _, stderr := runTool(t.Context(), t, f, "department", "quota", "desk", "8")
	checkOutput(t, status, stderr, exitFailed, "verdict: not_run", "reason: conflict", "next: another change came first")
	if len(f.changes) != 1 {
		t.Errorf("%d changes sent, want 1", len(f.changes))
	}
}

func TestUnreachableEntry(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"status"}, exitFailed},
		{[]string{"datacentre", "out", "nbo1"}, exitFailed},                // the base revision could not be read, so no change was sent
		{[]string{"datacentre", "out", "nbo1", "-base", "0"}, exitUnknown}, // the change was sent without a response
	} {
		var out, errs bytes.Buffer
		args := append(c.args, "-address", server.URL)
		status := Main(t.Context(), args, Streams{Out: &out, Err: &errs})
		checkOutput(t, status, errs.String(), c.want, "next:")
	}
}

// The repeat of a change whose first try got no answer may be refused, or conflict with the
// first write itself. It must be recognised by its ID, and never be reported as not run.
func TestRefusedRepeatOfAChangeIsNotReportedAsNotRun(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_OUTCOME_UNKNOWN, "answer lost").ToConnect()
	conflict := func(o *apiv1.Object) error {
		err := verdict.NotRunError(apiv1.Reason_REASON_CONFLICT, "object is at revision %d", o.GetRevision()).ToConnect()
		detail, detailErr := connect.NewErrorDetail(o)
		if detailErr != nil {
			t.Fatal(detailErr)
		}
		err.AddDetail(detail)
		return err
	}
	record := func(id string, base uint64) *apiv1.ChangeRecord {
		return &apiv1.ChangeRecord{ChangeId: id, By: "someone", BaseRevision: base}
	}
	const refused = "verdict: may_have_run"
	for _, c := range []struct {
		name  string
		first error
		then  error
		args  []string
		want  int
		text  string
	}{
		{"conflict with its own write", lost, conflict(&apiv1.Object{Revision: 9, History: []*apiv1.ChangeRecord{record("other", 0), record("c1", 5), record("later", 8)}}), nil, exitOK, "accepted at revision 8"},
		{"conflict with another change", lost, conflict(&apiv1.Object{Revision: 8, History: []*apiv1.ChangeRecord{record("first", 0), record("other", 5)}}), nil, exitFailed, "verdict: not_run"},
		{"conflict, history is cut", lost, conflict(&apiv1.Object{Revision: 80, History: []*apiv1.ChangeRecord{record("other", 60)}}), nil, exitUnknown, refused},
		{"conflict with an older object", lost, conflict(&apiv1.Object{Revision: 4, History: []*apiv1.ChangeRecord{record("first", 0)}}), nil, exitUnknown, refused},
		{"store unavailable", lost, verdict.NotRunError(apiv1.Reason_REASON_STORE_UNAVAILABLE, "store").ToConnect(), nil, exitUnknown, refused},
		{"unauthenticated", lost, verdict.NotRunError(apiv1.Reason_REASON_UNAUTHENTICATED, "token").ToConnect(), nil, exitUnknown, refused},
		{"rate limit", lost, verdict.NotRunError(apiv1.Reason_REASON_RATE_LIMIT, "rate").ToConnect(), nil, exitUnknown, refused},
		{"404", lost, connect.NewError(connect.CodeUnimplemented, errors.New("404 Not Found")), nil, exitUnknown, refused},
		{"first try refused", verdict.NotRunError(apiv1.Reason_REASON_UNAUTHENTICATED, "token").ToConnect(), nil, nil, exitFailed, "verdict: not_run"},
		{"first try of a repeated command", verdict.NotRunError(apiv1.Reason_REASON_UNAUTHENTICATED, "token").ToConnect(), nil, []string{"-change-id", "c1"}, exitUnknown, refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := &fakeConfig{onChange: func(try int) error {
				if try == 1 || c.then == nil {
					return c.first
				}
				return c.then
			}}
			args := append([]string{"datacentre", "out", "nbo1", "-no-wait", "-base", "5"}, c.args...)
			if c.then != nil {
				args = append(args, "-change-id", "c1")
			}
			status, _, stderr := runTool(t.Context(), t, f, args...)
			checkOutput(t, status, stderr, c.want, c.text)
		})
	}
}

// A command that is repeated with its change ID may find no entry to read the object from. Its
// first run may have made the change.
func TestUnreadObjectOfARepeatedCommandMayHaveRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	var out, errs bytes.Buffer
	status := Main(t.Context(), []string{"datacentre", "out", "nbo1", "-change-id", "c1", "-address", server.URL}, Streams{Out: &out, Err: &errs})
	checkOutput(t, status, errs.String(), exitUnknown, "verdict: may_have_run", "change ID c1", "-change-id")
}
