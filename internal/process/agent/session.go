package agent

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/link"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

// session is the agent's side of a link to one entry incarnation.
type session struct {
	agent *Agent
	link  *link.Link
	entry uint64
	// address is the dialled address.
	address string

	mu         sync.Mutex
	receivedAt time.Time // time of the last received frame
	sequence   uint64
	sentAt     map[uint64]time.Time     // send time of each unanswered heartbeat, by sequence
	replies    map[uint64]chan struct{} // closed on the reply to a heartbeat, by sequence
}

// serve runs one link from its handshake to its end. It reports whether the handshake
// succeeded.
func (a *Agent) serve(ctx context.Context, l *link.Link, address string) bool {
	defer l.Close()
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	s, err := a.handshake(l)
	if err != nil {
		return false
	}
	s.address = address
	a.addSession(s)
	a.updateLinks()
	defer a.updateLinks()
	defer a.removeSession(s)
	s.sendLoad()
	go s.sendHeartbeats()
	for {
		f, err := l.Receive()
		if err != nil {
			return true
		}
		s.handle(f)
	}
}

// handshake exchanges Hello and Welcome frames and returns the session.
func (a *Agent) handshake(l *link.Link) (*session, error) {
	if l.Remote().Role != "entry" {
		return nil, eris.Errorf("peer %q is not an entry", l.Remote().Name)
	}
	err := l.Send(&peerv1.Frame{Body: &peerv1.Frame_Hello{Hello: &peerv1.Hello{
		Name:           a.settings.Name,
		DataCentre:     a.settings.DataCentre,
		Incarnation:    a.incarnation,
		Target:         a.info,
		ConfigRevision: a.config.Load().Revision(),
	}}})
	if err != nil {
		return nil, err
	}
	f, err := l.Receive()
	if err != nil {
		return nil, err
	}
	welcome := f.GetWelcome()
	if welcome == nil {
		return nil, eris.New("unexpected frame in place of a welcome")
	}
	return &session{
		agent:   a,
		link:    l,
		entry:   welcome.GetIncarnation(),
		sentAt:  make(map[uint64]time.Time),
		replies: make(map[uint64]chan struct{}),
	}, nil
}

// addSession registers s and closes an older link to the same entry incarnation.
func (a *Agent) addSession(s *session) {
	defer a.chooseBroker()
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.sessions[s.entry]; old != nil {
		old.link.Close()
	}
	a.sessions[s.entry] = s
	a.log.Info().Str("entry", s.link.Remote().Name).Uint64("incarnation", s.entry).Msg("link opened")
}

func (a *Agent) removeSession(s *session) {
	defer a.chooseBroker()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.entry] == s {
		delete(a.sessions, s.entry)
	}
	a.log.Info().Str("entry", s.link.Remote().Name).Uint64("incarnation", s.entry).Msg("link closed")
}

func (s *session) handle(f *peerv1.Frame) {
	s.recordReceived(time.Now())
	switch body := f.GetBody().(type) {
	case *peerv1.Frame_Start:
		s.agent.start(s, body.Start)
	case *peerv1.Frame_Fence:
		s.handleFence(body.Fence)
	case *peerv1.Frame_Cancel:
		s.stopAttempts(body.Cancel.GetIds(), true)
	case *peerv1.Frame_Query:
		s.stopAttempts(body.Query.GetIds(), false)
	case *peerv1.Frame_Heartbeat:
		s.handleHeartbeat(body.Heartbeat)
	case *peerv1.Frame_ConfigUpdate:
		s.handleConfig(body.ConfigUpdate)
	case *peerv1.Frame_GetConfig:
		s.sendConfig(body.GetConfig.GetFromRevision())
	case *peerv1.Frame_Roster:
		s.handleRoster(body.Roster)
	default:
		s.agent.counters.Counter("frames_unexpected").Inc(1)
	}
}

func (s *session) handleRoster(r *peerv1.Roster) {
	next := roster.FromProto(r)
	if s.agent.roster.Apply(next) {
		s.agent.updateLinks()
		s.agent.chooseBroker()
	}
}

// stopAttempts handles a Cancel or a Query: it sends the state of each attempt and the results
// of those that are done. Attempts that have not started never start; cancel also stops
// running ones.
func (s *session) stopAttempts(ids []*peerv1.AttemptID, cancel bool) {
	states, results := s.agent.attempts.Stop(ids, cancel)
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_AttemptStates{
		AttemptStates: &peerv1.AttemptStates{States: states},
	}})
	for _, r := range results {
		_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Result{Result: r}})
	}
}

// refuseStart sends the failure of a start. If the attempt has started before, its state and
// its result, if it has one, are sent instead.
func (s *session) refuseStart(start *peerv1.Start, err *verdict.Error) {
	a := s.agent
	a.counters.CountRefusal(err.Reason)
	if err.Reason == apiv1.Reason_REASON_TOMBSTONED && err.Verdict != verdict.NotRun {
		s.stopAttempts([]*peerv1.AttemptID{start.GetId()}, false)
		return
	}
	if err.Reason == apiv1.Reason_REASON_TARGET_FULL {
		a.addWaiter(s)
	}
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Result{Result: &peerv1.Result{
		Id:      start.GetId(),
		Failure: err.Failure(),
		Load:    a.load(),
	}}})
	a.reportToBroker(s.entry)
}
