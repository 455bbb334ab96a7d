package client

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// reply returns the answer to one call, or nothing if it has written the response itself.
type reply func(w http.ResponseWriter) (*apiv1.Answer, error)

// fakeEntry is a job service with one reply for each call that names a ticket.
type fakeEntry struct {
	apiv1connect.UnimplementedJobServiceHandler

	mu      sync.Mutex
	issued  uint64
	replies []reply
}

func (f *fakeEntry) IssueTickets(_ context.Context, r *connect.Request[apiv1.IssueTicketsRequest]) (*connect.Response[apiv1.IssueTicketsResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	response := &apiv1.IssueTicketsResponse{ExpiresInMs: uint32(time.Hour.Milliseconds())}
	for range r.Msg.GetCount() {
		f.issued++
		response.Tickets = append(response.Tickets, binary.BigEndian.AppendUint64(nil, f.issued))
	}
	return connect.NewResponse(response), nil
}

// ServeHTTP answers a call that names a ticket with the next reply, and passes on all others.
func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, handler := apiv1connect.NewJobServiceHandler(f)
	if r.URL.Path == apiv1connect.JobServiceIssueTicketsProcedure {
		handler.ServeHTTP(w, r)
		return
	}
	f.mu.Lock()
	next := f.replies[0]
	f.replies = f.replies[1:]
	f.mu.Unlock()
	answer, err := next(w)
	if answer == nil && err == nil {
		return
	}
	service := &scriptedService{answer: answer, err: err}
	_, handler = apiv1connect.NewJobServiceHandler(service)
	handler.ServeHTTP(w, r)
}

// scriptedService gives the same answer to each call.
type scriptedService struct {
	apiv1connect.UnimplementedJobServiceHandler
	answer *apiv1.Answer
	err    error
}

func (s *scriptedService) Submit(context.Context, *connect.Request[apiv1.SubmitRequest]) (*connect.Response[apiv1.SubmitResponse], error) {
	return connect.NewResponse(&apiv1.SubmitResponse{Answer: s.answer}), s.err
}

func (s *scriptedService) GetJob(context.Context, *connect.Request[apiv1.GetJobRequest]) (*connect.Response[apiv1.GetJobResponse], error) {
	return connect.NewResponse(&apiv1.GetJobResponse{Answer: s.answer}), s.err
}

func (s *scriptedService) CancelJob(context.Context, *connect.Request[apiv1.CancelJobRequest]) (*connect.Response[apiv1.CancelJobResponse], error) {
	return connect.NewResponse(&apiv1.CancelJobResponse{Answer: s.answer}), s.err
}

func newTestClient(t *testing.T, replies ...reply) *Client {
	t.Helper()
	server := httptest.NewServer(&fakeEntry{replies: replies})
	t.Cleanup(server.Close)
	return New(Config{URL: server.URL, Department: "desk", Owner: "mama"})
}

// Replies of an entry, or of what stands between it and the caller.

func broken(http.ResponseWriter) (*apiv1.Answer, error) { panic(http.ErrAbortHandler) }

func status(code int) reply {
	return func(w http.ResponseWriter) (*apiv1.Answer, error) {
		w.WriteHeader(code)
		return nil, nil
	}
}

func fails(v verdict.Verdict, reason apiv1.Reason) reply {
	return func(http.ResponseWriter) (*apiv1.Answer, error) {
		return nil, verdict.New(v, reason, "refused").ToConnect()
	}
}

func answers(state apiv1.JobState, failure *verdict.Error) reply {
	return func(http.ResponseWriter) (*apiv1.Answer, error) {
		a := &apiv1.Answer{State: state}
		if failure != nil {
			a.Failure = failure.Failure()
		}
		return a, nil
	}
}

var (
	overload  = fails(NotRun, apiv1.Reason_REASON_OVERLOAD)
	unknown   = fails(NotRun, apiv1.Reason_REASON_JOB_UNKNOWN)
	expired   = fails(MayHaveRun, apiv1.Reason_REASON_TICKET_EXPIRED)
	complete  = answers(apiv1.JobState_JOB_STATE_COMPLETE, nil)
	running   = answers(apiv1.JobState_JOB_STATE_RUNNING, nil)
	cancelled = answers(apiv1.JobState_JOB_STATE_FAILED, verdict.NotRunError(apiv1.Reason_REASON_CANCELLED, "cancelled before its start"))
	failed    = answers(apiv1.JobState_JOB_STATE_FAILED, verdict.New(Ran, apiv1.Reason_REASON_TARGET_FAILED, "target failed"))
)

var testJob = Job{Deadline: time.Second, Tasks: []*apiv1.Task{{}}}

// call is one call of the client for a ticket.
type call func(*Client, context.Context, []byte) (*apiv1.Answer, error)

func submit(c *Client, ctx context.Context, ticket []byte) (*apiv1.Answer, error) {
	return c.Resubmit(ctx, ticket, testJob)
}

func startOnly(c *Client, ctx context.Context, ticket []byte) (*apiv1.Answer, error) {
	return nil, c.Start(ctx, ticket, testJob)
}

func get(c *Client, ctx context.Context, ticket []byte) (*apiv1.Answer, error) {
	return c.Get(ctx, ticket, 0)
}

func cancelJob(c *Client, ctx context.Context, ticket []byte) (*apiv1.Answer, error) {
	return c.Cancel(ctx, ticket)
}

// The error of a call must not say that a job has not run while an earlier submission is
// without an answer. want 0 stands for success.
func TestRefusalAfterUnansweredTryIsNotReportedAsNotRun(t *testing.T) {
	type step struct {
		call  call
		reply reply
	}
	for _, c := range []struct {
		name   string
		steps  []step
		want   Verdict
		reason verdict.Reason
	}{
		{"refused", []step{{submit, overload}}, NotRun, apiv1.Reason_REASON_OVERLOAD},
		{"refused twice", []step{{submit, overload}, {submit, overload}}, NotRun, apiv1.Reason_REASON_OVERLOAD},
		{"connection broken, then refused", []step{{submit, broken}, {submit, overload}}, MayHaveRun, apiv1.Reason_REASON_OVERLOAD},
		{"502, then refused", []step{{submit, status(http.StatusBadGateway)}, {submit, overload}}, MayHaveRun, apiv1.Reason_REASON_OVERLOAD},
		{"504, then refused", []step{{submit, status(http.StatusGatewayTimeout)}, {submit, overload}}, MayHaveRun, apiv1.Reason_REASON_OVERLOAD},
		{"broken, then 404", []step{{submit, broken}, {submit, status(http.StatusNotFound)}}, MayHaveRun, apiv1.Reason_REASON_OUTCOME_UNKNOWN},
		{"broken, then 410", []step{{submit, broken}, {submit, status(http.StatusGone)}}, MayHaveRun, apiv1.Reason_REASON_OUTCOME_UNKNOWN},
		{"broken, then expired", []step{{submit, broken}, {submit, expired}}, MayHaveRun, apiv1.Reason_REASON_TICKET_EXPIRED},
		{"broken, then another owner's ticket", []step{{submit, broken}, {submit, fails(NotRun, apiv1.Reason_REASON_TICKET_OWNER)}}, MayHaveRun, apiv1.Reason_REASON_TICKET_OWNER},
		{"broken, then cancelled before its start", []step{{submit, broken}, {submit, cancelled}}, NotRun, apiv1.Reason_REASON_CANCELLED},
		{"broken, then ran", []step{{submit, broken}, {submit, failed}}, Ran, apiv1.Reason_REASON_TARGET_FAILED},
		{"broken, then complete", []step{{submit, broken}, {submit, complete}}, 0, 0},
		{"accepted, then refused", []step{{startOnly, running}, {submit, overload}}, MayHaveRun, apiv1.Reason_REASON_OVERLOAD},
		{"start broken, then refused", []step{{startOnly, broken}, {startOnly, overload}}, MayHaveRun, apiv1.Reason_REASON_OVERLOAD},
		{"unknown", []step{{get, unknown}}, NotRun, apiv1.Reason_REASON_JOB_UNKNOWN},
		{"broken, then unknown", []step{{submit, broken}, {get, unknown}}, MayHaveRun, apiv1.Reason_REASON_JOB_UNKNOWN},
		{"broken, then complete, then unknown", []step{{submit, broken}, {get, complete}, {get, unknown}}, MayHaveRun, apiv1.Reason_REASON_JOB_UNKNOWN},
		{"broken, then cancel of unknown job", []step{{submit, broken}, {cancelJob, unknown}}, MayHaveRun, apiv1.Reason_REASON_JOB_UNKNOWN},
		{"cancel of unknown job", []step{{cancelJob, unknown}}, NotRun, apiv1.Reason_REASON_JOB_UNKNOWN},
		{"cancel broken, then unknown", []step{{cancelJob, broken}, {cancelJob, unknown}}, NotRun, apiv1.Reason_REASON_CANCELLED},
		{"both broken, then unknown", []step{{submit, broken}, {cancelJob, broken}, {cancelJob, unknown}}, MayHaveRun, apiv1.Reason_REASON_CANCELLED},
		{"cancel broken, then overload", []step{{cancelJob, broken}, {cancelJob, overload}}, NotRun, apiv1.Reason_REASON_OVERLOAD},
		{"cancel broken, then cancelled", []step{{submit, broken}, {cancelJob, broken}, {cancelJob, cancelled}}, NotRun, apiv1.Reason_REASON_CANCELLED},
	} {
		t.Run(c.name, func(t *testing.T) {
			var replies []reply
			for _, s := range c.steps {
				replies = append(replies, s.reply)
			}
			client := newTestClient(t, replies...)
			ticket, err := client.Ticket(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range c.steps {
				_, err = s.call(client, t.Context(), ticket)
			}
			e := verdict.FromError(err)
			if c.want == 0 {
				if e != nil {
					t.Errorf("got %v, want success", e)
				}
				return
			}
			if e == nil || e.Verdict != c.want || e.Reason != c.reason {
				t.Errorf("got %v, want %s: %s", e, verdict.Name(c.want), verdict.ReasonName(c.reason))
			}
		})
	}
}

// A ticket from elsewhere may have been submitted before, by another client or process.
func TestRefusalOfAnotherClientsTicketMayHaveRun(t *testing.T) {
	for name, call := range map[string]call{"submit": submit, "start": startOnly, "get": get, "cancel": cancelJob} {
		t.Run(name, func(t *testing.T) {
			_, err := call(newTestClient(t, unknown), t.Context(), []byte("another client's"))
			if e := verdict.FromError(err); e == nil || e.Verdict != MayHaveRun {
				t.Errorf("got %v, want may have run", err)
			}
		})
	}
}

// A submission that is refused while another one of its ticket is in flight must not be
// reported as not run.
func TestRefusalBesideTryInFlightMayHaveRun(t *testing.T) {
	held, release := make(chan struct{}), make(chan struct{})
	slow := func(w http.ResponseWriter) (*apiv1.Answer, error) {
		close(held)
		<-release
		return overload(w)
	}
	client := newTestClient(t, slow, overload)
	ticket, err := client.Ticket(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	first := make(chan error, 1)
	go func() {
		_, err := submit(client, context.Background(), ticket)
		first <- err
	}()
	<-held
	_, err = submit(client, t.Context(), ticket)
	if e := verdict.FromError(err); e.Verdict != MayHaveRun {
		t.Errorf("beside a try in flight: %v, want may have run", e)
	}
	close(release)
	if e := verdict.FromError(<-first); e.Verdict != NotRun {
		t.Errorf("after both tries were refused: %v, want not run", e)
	}
}

// A state without a class is not final, so that its submission stays open.
func TestEachJobStateHasAClass(t *testing.T) {
	want := map[apiv1.JobState]bool{
		apiv1.JobState_JOB_STATE_UNSPECIFIED: false,
		apiv1.JobState_JOB_STATE_RUNNING:     false,
		apiv1.JobState_JOB_STATE_COMPLETE:    true,
		apiv1.JobState_JOB_STATE_FAILED:      true,
	}
	for n, name := range apiv1.JobState_name {
		final, ok := want[apiv1.JobState(n)]
		if got := isFinal(&apiv1.Answer{State: apiv1.JobState(n)}); !ok || got != final {
			t.Errorf("%s is final: %v, want %v (in the table: %v)", name, got, final, ok)
		}
	}
}

// A client that submits for a long time must not remember each ticket.
func TestKnownTicketsAreLimited(t *testing.T) {
	var s submissions
	for n := range uint64(3 * maxKnownTickets) {
		s.add(binary.BigEndian.AppendUint64(nil, n))
	}
	if n := len(s.current) + len(s.previous); n > 2*maxKnownTickets {
		t.Errorf("%d tickets are known, want at most %d", n, 2*maxKnownTickets)
	}
	if s.get(binary.BigEndian.AppendUint64(nil, 0)).submits.Open == 0 {
		t.Error("a dropped ticket counts as never submitted")
	}
}
