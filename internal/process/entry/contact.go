package entry

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

// contactTimeout bounds one round of calls to the other entries.
const contactTimeout = 500 * time.Millisecond

// entryReply is the reply of one entry to a GetRevision call; revision is nil if it did
// not reply.
type entryReply struct {
	entry    *peerv1.RosterEntry
	revision *peerv1.Revision
}

// contactLoop polls the other entries while the store does not respond, and logs changes
// of the freshness.
func (e *Entry) contactLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if e.freshness.isStoreUnresponsive(time.Now()) {
			e.runContactRound(ctx)
		}
		e.logFreshness(e.isFresh())
		sleep(ctx, e.freshness.contactInterval())
	}
}

// logFreshness logs when the entry becomes fresh or stops being fresh. It is called by
// contactLoop only.
func (e *Entry) logFreshness(fresh bool) {
	if e.loggedFresh == fresh {
		return
	}
	e.loggedFresh = fresh
	e.log.Info().Bool("fresh", fresh).Uint64("revision", e.config.Load().Revision()).Msg("configuration")
	if !fresh {
		e.counters.Counter("freshness_lapsed").Inc(1)
	}
}

// runContactRound requests the revisions of all entries once. The entry becomes fresh if a
// majority replied and it has applied every configuration and roster they reported.
func (e *Entry) runContactRound(ctx context.Context) {
	sent := time.Now()
	before := e.roster.Load()
	e.counters.Counter("contact_rounds").Inc(1)
	replies := e.callEntries(ctx, &peerv1.GetRevision{
		ConfigRevision: e.config.Load().Revision(),
		RosterRevision: before.Revision,
	})
	isVoter := before.ByIncarnation(e.incarnation) != nil
	answered := 0
	for _, reply := range replies {
		if reply.revision == nil || !e.applyRevision(reply.revision) {
			continue
		}
		// An entry outside the roster is not a voter; it counts only replies from
		// entries that are fresh themselves.
		if isVoter || reply.revision.GetFresh() {
			answered++
		}
	}
	if isMajority(answered, len(replies)) && e.roster.Load().Revision == before.Revision {
		e.recordContact(func(f *freshness) { f.recordMajority(sent) })
		e.counters.Counter("contact_majorities").Inc(1)
	}
}

func isMajority(n, of int) bool { return 2*n > of }

// applyRevision applies the configuration and roster in another entry's reply. It reports
// whether this entry is now at least at the revisions of the other.
func (e *Entry) applyRevision(r *peerv1.Revision) bool {
	if u := r.GetUpdate(); u != nil {
		e.applyConfig(u)
	}
	if r.GetRoster() != nil {
		e.applyRoster(roster.FromProto(r.GetRoster()))
	}
	return e.config.Load().Revision() >= r.GetConfigRevision() && e.roster.Load().Revision >= r.GetRosterRevision()
}

// callEntries sends a request to all voters in parallel and returns one reply for each.
// This entry, if it is a voter, answers itself.
func (e *Entry) callEntries(ctx context.Context, request *peerv1.GetRevision) []entryReply {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	voters := e.roster.Load().Voters()
	replies := make([]entryReply, len(voters))
	var waits sync.WaitGroup
	for i, v := range voters {
		replies[i].entry = v
		if v.GetIncarnation() == e.incarnation {
			replies[i].revision = e.handleGetRevision(request)
			continue
		}
		waits.Go(func() { replies[i].revision = e.callEntry(ctx, v, request) })
	}
	waits.Wait()
	return replies
}

// callEntry sends a request to one entry and returns nil if the call fails.
func (e *Entry) callEntry(ctx context.Context, to *peerv1.RosterEntry, request *peerv1.GetRevision) *peerv1.Revision {
	reply, err := e.peers.call(ctx, to, &peerv1.Call{Request: &peerv1.Call_GetRevision{GetRevision: request}})
	if err != nil {
		e.counters.Counter("contacts_failed").Inc(1)
		return nil
	}
	return reply.GetRevision()
}

// handleGetRevision answers GetRevision. It first applies the update in the request, if
// there is one.
func (e *Entry) handleGetRevision(request *peerv1.GetRevision) *peerv1.Revision {
	if u := request.GetUpdate(); u != nil {
		e.applyConfig(u)
	}
	snapshot, r := e.config.Load(), e.roster.Load()
	reply := &peerv1.Revision{
		ConfigRevision: snapshot.Revision(),
		RosterRevision: r.Revision,
		Fresh:          e.isFresh(),
	}
	if held, ok := e.config.KnownFor(request.GetHeldRevision(), time.Now()); ok && request.GetHeldRevision() > 0 {
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

// handleConfigCall answers the calls that an entry serves even before it is ready, and
// returns nil for all other calls.
func (e *Entry) handleConfigCall(call *peerv1.Call) *peerv1.Reply {
	switch r := call.GetRequest().(type) {
	case *peerv1.Call_GetConfig:
		update := e.config.Load().Since(r.GetConfig.GetFromRevision())
		return &peerv1.Reply{Response: &peerv1.Reply_Config{Config: update}}
	case *peerv1.Call_GetRevision:
		return &peerv1.Reply{Response: &peerv1.Reply_Revision{Revision: e.handleGetRevision(r.GetRevision)}}
	case *peerv1.Call_GetTicketKey:
		return e.handleGetTicketKey()
	default:
		return nil
	}
}
