package entry

import (
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/link"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

// agentLink is the link to one agent, and the target that the agent serves.
type agentLink struct {
	entry  *Entry
	link   *link.Link
	name   string
	target *peerv1.TargetInfo
	// incarnation is that of the agent, not of this entry.
	incarnation uint64
}

// serveAgent serves the link of an agent from its Hello until the link closes.
func (e *Entry) serveAgent(l *link.Link, hello *peerv1.Hello) {
	if hello.GetTarget().GetName() == "" || hello.GetName() != l.Remote().Name || hello.GetTarget().GetDataCentre() != l.Remote().DataCentre {
		e.counters.Counter("links_refused").Inc(1)
		return
	}
	a := &agentLink{entry: e, link: l, name: hello.GetName(), target: hello.GetTarget(), incarnation: hello.GetIncarnation()}
	_ = l.Send(e.welcome())
	e.addAgent(a)
	defer e.removeAgent(a)
	a.syncConfig(hello.GetConfigRevision())
	a.sendRoster(e.roster.Load())
	a.sendFences()
	sender := &leasedSender{entry: e, link: l}
	e.dispatcher.Attach(a.target, hello.GetIncarnation(), sender)
	defer e.dispatcher.Detach(a.target.GetName(), sender)
	for {
		f, err := l.Receive()
		if err != nil {
			return
		}
		a.handle(f)
	}
}

func (e *Entry) addAgent(a *agentLink) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.agents[a.name] = a
	e.log.Info().Str("agent", a.name).Str("target", a.target.GetName()).Msg("agent linked")
}

func (e *Entry) removeAgent(a *agentLink) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.agents[a.name] == a {
		delete(e.agents, a.name)
	}
	for _, held := range e.adoptions.all() {
		held.agentDone(a.name)
	}
	e.log.Info().Str("agent", a.name).Msg("agent link closed")
}

func (a *agentLink) handle(f *peerv1.Frame) {
	d := a.entry.dispatcher
	name := a.target.GetName()
	switch body := f.GetBody().(type) {
	case *peerv1.Frame_Result:
		a.recordAdoptedResult(body.Result)
		a.entry.handleFenced(body.Result)
		d.HandleResult(name, body.Result)
	case *peerv1.Frame_FenceAck:
		a.handleFenceAck(body.FenceAck)
	case *peerv1.Frame_AttemptStates:
		d.HandleStates(name, body.AttemptStates.GetStates())
	case *peerv1.Frame_Load:
		d.HandleLoad(name, body.Load)
	case *peerv1.Frame_Heartbeat:
		a.answerHeartbeat(body.Heartbeat)
	case *peerv1.Frame_ConfigUpdate:
		a.entry.applyConfig(body.ConfigUpdate)
	case *peerv1.Frame_Roster:
		a.entry.applyRoster(roster.FromProto(body.Roster))
	case *peerv1.Frame_Goodbye:
		d.Drain(name)
	default:
		a.entry.counters.Counter("frames_unexpected").Inc(1)
	}
}

// leasedSender sends Start frames only while the entry holds its lease.
type leasedSender struct {
	entry *Entry
	link  *link.Link
}

// Send implements dispatch.Sender.
func (s *leasedSender) Send(f *peerv1.Frame) error {
	if f.GetStart() != nil && !s.entry.lease.isHeld(time.Now()) {
		go s.entry.retire("start without a lease")
		return link.ErrClosed
	}
	return s.link.Send(f)
}

// answerHeartbeat replies to an agent's heartbeat with a permit to start tasks.
func (a *agentLink) answerHeartbeat(h *peerv1.Heartbeat) {
	e := a.entry
	a.syncConfig(h.GetConfigRevision())
	_ = a.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Heartbeat{Heartbeat: &peerv1.Heartbeat{
		ReplyTo:        h.GetSequence(),
		ConfigRevision: e.config.Load().Revision(),
		PermitMs:       uint32(e.permitDuration() / time.Millisecond),
	}}})
}

// syncConfig sends the agent a newer configuration, or requests the agent's if that is
// newer. The argument is the agent's revision.
func (a *agentLink) syncConfig(revision uint64) {
	snapshot := a.entry.config.Load()
	a.sendConfig(snapshot, revision)
	if revision > snapshot.Revision() {
		_ = a.link.Send(&peerv1.Frame{Body: &peerv1.Frame_GetConfig{GetConfig: &peerv1.GetConfig{
			FromRevision: snapshot.Revision(),
		}}})
	}
}

func (a *agentLink) sendConfig(s *config.Snapshot, from uint64) {
	if s.Revision() <= from {
		return
	}
	_ = a.link.Send(&peerv1.Frame{Body: &peerv1.Frame_ConfigUpdate{ConfigUpdate: s.Since(from)}})
}

func (a *agentLink) sendRoster(r *roster.Roster) {
	_ = a.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Roster{Roster: r.Proto()}})
}

// forEachAgent calls f for every linked agent.
func (e *Entry) forEachAgent(f func(*agentLink)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.agents {
		f(a)
	}
}
