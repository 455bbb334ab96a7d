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

const (
	// heartbeatInterval is the time between the permits an agent asks for.
	heartbeatInterval = 500 * time.Millisecond
	// urgentInterval is the same while the agent has no permit.
	urgentInterval = 50 * time.Millisecond
)

// session is a link to one entry incarnation.
type session struct {
	agent *Agent
	link  *link.Link
	entry uint64
	// ctx ends with the process's dialer, not with the link.
	ctx context.Context

	mu       sync.Mutex
	sequence uint64
	sentAt   map[uint64]time.Time
	replies  map[uint64]chan struct{}
}

// serve runs one link from its handshake to its end.
func (a *Agent) serve(ctx context.Context, l *link.Link) {
	defer l.Close()
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	s, err := a.open(ctx, l)
	if err != nil {
		return
	}
	a.addSession(s)
	defer a.removeSession(s)
	s.report()
	go s.heartbeat()
	for {
		f, err := l.Receive()
		if err != nil {
			return
		}
		s.handle(f)
	}
}

// open exchanges Hello and Welcome.
func (a *Agent) open(ctx context.Context, l *link.Link) (*session, error) {
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
		return nil, eris.New("welcome frame expected")
	}
	return &session{
		agent:   a,
		link:    l,
		entry:   welcome.GetIncarnation(),
		ctx:     ctx,
		sentAt:  make(map[uint64]time.Time),
		replies: make(map[uint64]chan struct{}),
	}, nil
}

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

// heartbeat asks for a permit in each interval until the link ends.
func (s *session) heartbeat() {
	for {
		s.sendHeartbeat(nil)
		interval := heartbeatInterval
		if !s.agent.permit.isValid(time.Now()) {
			interval = urgentInterval
		}
		select {
		case <-s.link.Done():
			return
		case <-time.After(interval):
		}
	}
}

// sendHeartbeat opens a round; reply, if not nil, is closed by its answer.
func (s *session) sendHeartbeat(reply chan struct{}) {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.sentAt[sequence] = time.Now()
	if reply != nil {
		s.replies[sequence] = reply
	}
	s.mu.Unlock()
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Heartbeat{Heartbeat: &peerv1.Heartbeat{
		Sequence:       sequence,
		ConfigRevision: s.agent.config.Load().Revision(),
	}}})
}

// confirm returns when the entry has taken all frames sent before, when the
// link ends, or when ctx ends.
func (s *session) confirm(ctx context.Context) {
	reply := make(chan struct{})
	s.sendHeartbeat(reply)
	select {
	case <-reply:
	case <-s.link.Done():
	case <-ctx.Done():
	}
}

func (s *session) handle(f *peerv1.Frame) {
	switch body := f.GetBody().(type) {
	case *peerv1.Frame_Start:
		s.agent.start(s, body.Start)
	case *peerv1.Frame_Fence:
		s.fence(body.Fence)
	case *peerv1.Frame_Cancel:
		s.stop(body.Cancel.GetIds(), true)
	case *peerv1.Frame_Query:
		s.stop(body.Query.GetIds(), false)
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

func (s *session) handleHeartbeat(h *peerv1.Heartbeat) {
	s.mu.Lock()
	sentAt, ok := s.sentAt[h.GetReplyTo()]
	delete(s.sentAt, h.GetReplyTo())
	reply := s.replies[h.GetReplyTo()]
	delete(s.replies, h.GetReplyTo())
	s.mu.Unlock()
	if !ok {
		return
	}
	if reply != nil {
		close(reply)
	}
	if s.agent.config.Load().Revision() < h.GetConfigRevision() {
		return
	}
	s.agent.permit.extend(sentAt.Add(time.Duration(h.GetPermitMs()) * time.Millisecond))
}

func (s *session) handleRoster(r *peerv1.Roster) {
	next := roster.FromProto(r)
	if s.agent.roster.Apply(next) {
		s.agent.follow(s.ctx, next)
		s.agent.chooseBroker()
	}
}

// stop answers a Cancel or a Query.
func (s *session) stop(ids []*peerv1.AttemptID, cancel bool) {
	states, results := s.agent.attempts.Stop(ids, cancel)
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_AttemptStates{
		AttemptStates: &peerv1.AttemptStates{States: states},
	}})
	for _, r := range results {
		_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Result{Result: r}})
	}
}

// refuse answers a start that has not run and never will.
func (s *session) refuse(start *peerv1.Start, err *verdict.Error) {
	a := s.agent
	a.counters.Refuse(err.Reason)
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
