package agent

import (
	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

// handleConfig applies a configuration update. If it takes the target into or out of service,
// the load is sent to all entries at once, so that they place work here again only when the
// agent accepts it.
func (s *session) handleConfig(u *peerv1.ConfigUpdate) {
	a := s.agent
	wasOut := a.isOut(a.config.Load())
	isNewer, ok := a.config.Apply(u)
	if !ok {
		a.counters.Counter("config_gaps").Inc(1)
	}
	if isNewer && wasOut != a.isOut(a.config.Load()) {
		a.sendLoadToAll()
	}
}

// isOut reports whether the target or its data centre is out of service.
func (a *Agent) isOut(s *config.Snapshot) bool {
	return s.IsOut(apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, a.info.GetDataCentre()) ||
		s.IsOut(apiv1.ObjectKind_OBJECT_KIND_TARGET, a.info.GetName())
}

// sendLoadToAll sends the current load to all linked entries.
func (a *Agent) sendLoadToAll() {
	a.mu.Lock()
	sessions := make([]*session, 0, len(a.sessions))
	for _, s := range a.sessions {
		sessions = append(sessions, s)
	}
	a.mu.Unlock()
	for _, s := range sessions {
		_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Load{Load: a.load()}})
	}
}

// sendConfig sends the configuration after revision from, and the roster, to an entry whose
// copies are older.
func (s *session) sendConfig(from uint64) {
	update := s.agent.config.Load().Since(from)
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_ConfigUpdate{ConfigUpdate: update}})
	r := s.agent.roster.Load()
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Roster{Roster: r.Proto()}})
}
