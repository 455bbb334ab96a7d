package entry

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

// contactTimeout bounds one round among the entries.
const contactTimeout = 500 * time.Millisecond

// contact is what one entry answered in a round; revision is nil without an
// answer.
type contact struct {
	entry    *peerv1.RosterEntry
	revision *peerv1.Revision
}

// keepContact asks the other entries while the store does not answer.
func (e *Entry) keepContact(ctx context.Context) {
	for ctx.Err() == nil {
		if e.freshness.isStoreSilent(time.Now()) {
			e.askMajority(ctx)
		}
		e.noteFresh(e.isFresh())
		sleep(ctx, e.freshness.contactInterval())
	}
}

// noteFresh logs each change between fresh and not fresh. Only keepContact
// calls it.
func (e *Entry) noteFresh(fresh bool) {
	if e.loggedFresh == fresh {
		return
	}
	e.loggedFresh = fresh
	e.log.Info().Bool("fresh", fresh).Uint64("revision", e.config.Load().Revision()).Msg("configuration")
	if !fresh {
		e.counters.Counter("freshness_lapsed").Inc(1)
	}
}

// askMajority runs one round. The entry is fresh when a majority has answered
// and it has applied all that they know.
func (e *Entry) askMajority(ctx context.Context) {
	sent := time.Now()
	before := e.roster.Load()
	e.counters.Counter("contact_rounds").Inc(1)
	contacts := e.askEntries(ctx, &peerv1.GetRevision{
		ConfigRevision: e.config.Load().Revision(),
		RosterRevision: before.Revision,
	})
	isVoter := before.ByIncarnation(e.incarnation) != nil
	answered := 0
	for _, c := range contacts {
		if c.revision == nil || !e.learn(c.revision) {
			continue
		}
		// An entry outside the roster does not count by itself, and relies on
		// entries that are fresh.
		if isVoter || c.revision.GetFresh() {
			answered++
		}
	}
	if isMajority(answered, len(contacts)) && e.roster.Load().Revision == before.Revision {
		e.confirm(func(f *freshness) { f.noteMajority(sent) })
		e.counters.Counter("contact_majorities").Inc(1)
	}
}

func isMajority(n, of int) bool { return 2*n > of }

// learn applies what another entry told. It reports whether this entry now
// knows all that the other knew.
func (e *Entry) learn(r *peerv1.Revision) bool {
	if u := r.GetUpdate(); u != nil {
		e.applyConfig(u)
	}
	if r.GetRoster() != nil {
		e.applyRoster(roster.FromProto(r.GetRoster()))
	}
	return e.config.Load().Revision() >= r.GetConfigRevision() && e.roster.Load().Revision >= r.GetRosterRevision()
}

// askEntries asks all entries that count for a majority at once, this one
// included, and returns one contact for each.
func (e *Entry) askEntries(ctx context.Context, request *peerv1.GetRevision) []contact {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	voters := e.roster.Load().Voters()
	contacts := make([]contact, len(voters))
	var waits sync.WaitGroup
	for i, v := range voters {
		contacts[i].entry = v
		if v.GetIncarnation() == e.incarnation {
			contacts[i].revision = e.revision(request)
			continue
		}
		waits.Go(func() { contacts[i].revision = e.askEntry(ctx, v, request) })
	}
	waits.Wait()
	return contacts
}

// askEntry asks one entry and returns nil without an answer.
func (e *Entry) askEntry(ctx context.Context, to *peerv1.RosterEntry, request *peerv1.GetRevision) *peerv1.Revision {
	reply, err := e.peers.call(ctx, to, &peerv1.Call{Request: &peerv1.Call_GetRevision{GetRevision: request}})
	if err != nil {
		e.counters.Counter("contacts_failed").Inc(1)
		return nil
	}
	return reply.GetRevision()
}

// revision answers GetRevision.
func (e *Entry) revision(request *peerv1.GetRevision) *peerv1.Revision {
	if u := request.GetUpdate(); u != nil {
		e.applyConfig(u)
	}
	snapshot, r := e.config.Load(), e.roster.Load()
	reply := &peerv1.Revision{
		ConfigRevision: snapshot.Revision(),
		RosterRevision: r.Revision,
		Fresh:          e.isFresh(),
	}
	if held, ok := e.config.Held(request.GetHeldRevision(), time.Now()); ok && request.GetHeldRevision() > 0 {
		ms := uint32(held.Milliseconds())
		reply.HeldMs = &ms
	}
	if snapshot.Revision() > request.GetConfigRevision() {
		reply.Update = snapshot.Since(request.GetConfigRevision())
	}
	if r.Revision > request.GetRosterRevision() {
		reply.Roster = r.Proto()
	}
	if request.GetPastVoters() {
		reply.PastVoters = e.voters.proto(time.Now())
	}
	return reply
}

// handleConfigCall answers the calls that an entry answers before it is ready;
// nil for all others.
func (e *Entry) handleConfigCall(call *peerv1.Call) *peerv1.Reply {
	switch r := call.GetRequest().(type) {
	case *peerv1.Call_GetConfig:
		update := e.config.Load().Since(r.GetConfig.GetFromRevision())
		return &peerv1.Reply{Response: &peerv1.Reply_Config{Config: update}}
	case *peerv1.Call_GetRevision:
		return &peerv1.Reply{Response: &peerv1.Reply_Revision{Revision: e.revision(r.GetRevision)}}
	case *peerv1.Call_GetTicketKey:
		return e.replyTicketKey()
	default:
		return nil
	}
}
