package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
)

const (
	// fenceAckTimeout bounds the wait for the agents' acknowledgements of a fence.
	fenceAckTimeout = time.Second
	// adoptionSweepInterval is the time between checks for expired adoptions.
	adoptionSweepInterval = 10 * time.Second
)

// errHomeRegistered reports that the home of a ticket, the incarnation that issued it, is
// still registered in the store.
var errHomeRegistered = eris.New("home is registered")

func adoptedKey(incarnation uint64) string {
	return fmt.Sprintf("%s%016x", adoptedPrefix, incarnation)
}

// adopt makes this entry the adopter of an incarnation that has left the roster, unless
// another entry already is. The adopter is responsible for the tickets of that
// incarnation. Compare-and-swap lets exactly one entry win each generation. On success this
// entry is the adopter or has read from the store which entry is.
func (e *Entry) adopt(ctx context.Context, lost uint64) error {
	e.adoptions.claimMu.Lock()
	defer e.adoptions.claimMu.Unlock()
	if e.adoptions.get(lost) != nil || e.isRegistered(e.adoptions.adopter(lost)) {
		return nil
	}
	// The local roster may be too old to list the home.
	home, err := e.store.Get(ctx, entryKey(lost))
	if err != nil {
		return err
	}
	if home != nil {
		return errHomeRegistered
	}
	current, err := e.store.Get(ctx, adoptedKey(lost))
	if err != nil {
		return err
	}
	return e.claim(ctx, lost, current)
}

// isRegistered reports whether the roster lists an incarnation.
func (e *Entry) isRegistered(incarnation uint64) bool {
	return e.roster.Load().ByIncarnation(incarnation) != nil
}

// claim makes this entry the adopter in the store, unless a registered entry is. current is the
// stored adoption, nil if there is none.
func (e *Entry) claim(ctx context.Context, lost uint64, current *store.Value) error {
	former := &peerv1.Adoption{}
	change := store.SwapRequest{Key: adoptedKey(lost)}
	if current != nil {
		change.ExpectedRevision = current.Revision
		former = e.formerAdoption(lost, *current)
		if former.GetAdopter() == e.incarnation {
			// This entry won the claim before, but the answer was lost.
			e.beginAdoption(lost, former.GetGeneration())
			return nil
		}
		adopter, err := e.store.Get(ctx, entryKey(former.GetAdopter()))
		if err != nil {
			return err
		}
		if adopter != nil {
			e.adoptions.applyStored(*current)
			return nil
		}
	}
	next := &peerv1.Adoption{Incarnation: lost, Adopter: e.incarnation, Generation: former.GetGeneration() + 1}
	data, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	change.Data = data
	result, err := e.store.CompareAndSwap(ctx, change)
	if err != nil {
		return err
	}
	if !result.Swapped {
		return errWriteConflict
	}
	e.beginAdoption(lost, next.GetGeneration())
	return nil
}

// formerAdoption decodes the stored adoption of an incarnation. In place of one that cannot be
// used it returns the latest known one, since agents refuse fences of earlier generations.
func (e *Entry) formerAdoption(lost uint64, stored store.Value) *peerv1.Adoption {
	m, err := decodeAdoption(stored)
	if err == nil {
		return m
	}
	e.log.Error().Str("key", stored.Key).Uint64("revision", stored.Revision).Str("cause", eventlog.Text(err.Error())).
		Msg("stored adoption is invalid; replacing it")
	return e.adoptions.latest(lost)
}

// beginAdoption fences a lost incarnation at the agents and collects the attempts of it
// that they keep.
func (e *Entry) beginAdoption(lost uint64, generation uint32) {
	a := e.newAdoption(lost, jobs.Adopted{Generation: generation, Records: jobs.NewAttemptRecords(lost)})
	e.counters.Counter("homes_adopted").Inc(1)
	e.log.Warn().Uint64("incarnation", lost).Uint32("generation", generation).Msg("adopted a lost entry")
	e.startAdoption(a, true)
}

func (e *Entry) newAdoption(lost uint64, adopted jobs.Adopted) *adoption {
	return &adoption{
		incarnation:   lost,
		generation:    adopted.Generation,
		table:         e.jobs.NewAdopted(lost, adopted),
		records:       adopted.Records,
		expires:       time.Now().Add(e.jobs.Lifetime()),
		stop:          make(chan struct{}),
		pendingAgents: make(map[string]struct{}),
		ready:         make(chan struct{}),
	}
}

// startAdoption sends the fences. With waitForAgents, the table is not used until the
// agents have acknowledged the fences or fenceAckTimeout has passed.
func (e *Entry) startAdoption(a *adoption, waitForAgents bool) {
	var links []*agentLink
	e.forEachAgent(func(l *agentLink) { links = append(links, l) })
	if waitForAgents {
		for _, l := range links {
			a.waitForAgent(l.name)
		}
	}
	e.adoptions.add(a)
	for _, l := range links {
		a.records.SetAgentIncarnation(l.target.GetName(), l.incarnation)
		if l.link.Send(a.fence(e.incarnation)) != nil {
			a.agentDone(l.name)
		}
	}
	go a.table.Expire(a.stop)
	a.markReadyAfter(fenceAckTimeout)
}

// sendFences sends a newly linked agent the fences of all adoptions of this entry.
func (a *agentLink) sendFences() {
	for _, held := range a.entry.adoptions.all() {
		held.records.SetAgentIncarnation(a.target.GetName(), a.incarnation)
		_ = a.link.Send(held.fence(a.entry.incarnation))
	}
}

// handleFenceAck records the attempts of an adopted incarnation that an agent keeps. If the
// agent holds a fence of a later generation, the adoption is dropped.
func (a *agentLink) handleFenceAck(ack *peerv1.FenceAck) {
	e := a.entry
	held := e.adoptions.get(ack.GetIncarnation())
	if held == nil || held.generation != ack.GetGeneration() {
		return
	}
	if ack.GetSuperseded() {
		e.loseAdoption(ack.GetIncarnation())
		return
	}
	for _, k := range ack.GetKept() {
		if ended := held.records.Add(a.target.GetName(), k); ended != nil {
			e.dispatcher.HandleResult(a.target.GetName(), ended)
		}
	}
	if ack.GetComplete() {
		held.agentDone(a.name)
	}
}

// recordAdoptedResult records a result of an adopted incarnation, so that it is found when
// the job is resubmitted.
func (a *agentLink) recordAdoptedResult(r *peerv1.Result) {
	held := a.entry.adoptions.get(r.GetId().GetIncarnation())
	if held == nil || isNotRun(r) {
		return
	}
	held.records.Add(a.target.GetName(), &peerv1.KeptAttempt{
		State:  &peerv1.AttemptState{Id: r.GetId(), Phase: peerv1.AttemptPhase_ATTEMPT_PHASE_DONE},
		Result: r,
	})
}

func isNotRun(r *peerv1.Result) bool {
	return r.GetFailure().GetVerdict() == apiv1.Verdict_VERDICT_NOT_RUN
}

// handleFenced handles a result with reason FENCED: another entry has adopted this
// incarnation, which is then retired, or has taken over one of its adoptions.
func (e *Entry) handleFenced(r *peerv1.Result) {
	if r.GetFailure().GetReason() != apiv1.Reason_REASON_FENCED {
		return
	}
	if home := r.GetId().GetIncarnation(); home != e.incarnation {
		e.loseAdoption(home)
		return
	}
	e.retire("fenced by an agent")
}

func (e *Entry) loseAdoption(lost uint64) {
	e.counters.Counter("adoptions_lost").Inc(1)
	e.adoptions.drop(lost, apiv1.Reason_REASON_HOME_LOST, "another entry has taken the ticket over")
}

// sweepAdoptions periodically drops adoptions whose tickets have all expired, and deletes
// their keys in the store.
func (e *Entry) sweepAdoptions(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, adoptionSweepInterval)
		for _, a := range e.adoptions.all() {
			if time.Now().After(a.expires) {
				e.adoptions.drop(a.incarnation, apiv1.Reason_REASON_TICKET_EXPIRED, "ticket has expired")
				e.deleteAdoption(ctx, a.incarnation)
			}
		}
	}
}

func (e *Entry) deleteAdoption(ctx context.Context, lost uint64) {
	value, err := e.store.Get(ctx, adoptedKey(lost))
	if err != nil || value == nil {
		return
	}
	_, err = e.store.CompareAndSwap(ctx, store.SwapRequest{Key: value.Key, ExpectedRevision: value.Revision, Delete: true})
	e.recordStoreResult(err)
}
