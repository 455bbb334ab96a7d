package entry

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

const (
	// propagateWait is how long an entry waits to receive an accepted change through its
	// watch before it lists the configuration.
	propagateWait = 100 * time.Millisecond
	// maxWatchWait bounds the wait of WatchObjects.
	maxWatchWait = time.Minute
)

// inForce reports whether a revision is in force: a majority of the entries has held it
// for at least one freshness period. By then every permit issued before has expired, and
// no entry can be fresh without the revision: the store returns it, and any majority that
// replies to an entry includes one that holds it. A partitioned part of the fleet may use
// an older roster, so each recent set of entries needs a majority.
func (e *Entry) inForce(ctx context.Context, revision uint64, update *peerv1.ConfigUpdate) *apiv1.InForce {
	replies := e.callEntries(ctx, &peerv1.GetRevision{
		ConfigRevision: e.config.Load().Revision(),
		RosterRevision: e.roster.Load().Revision,
		HeldRevision:   revision,
		Update:         update,
	})
	return evaluateInForce(replies, e.voters.requiredSets(time.Now()), e.freshness.period)
}

func evaluateInForce(replies []entryReply, voterSets [][]string, period time.Duration) *apiv1.InForce {
	state := &apiv1.InForce{Entries: uint32(len(replies))}
	held := make(map[string]time.Duration)
	for _, reply := range replies {
		if reply.revision == nil || reply.revision.HeldMs == nil {
			state.PendingEntries = append(state.PendingEntries, reply.entry.GetName())
			continue
		}
		held[reply.entry.GetName()] = time.Duration(reply.revision.GetHeldMs()) * time.Millisecond
	}
	shortest := period
	for _, names := range voterSets {
		heldFor, ok := heldByMajority(names, held)
		if !ok {
			return state
		}
		shortest = min(shortest, heldFor)
	}
	if len(voterSets) == 0 {
		return state
	}
	remaining := period - shortest
	state.RemainingMs = uint32((remaining + time.Millisecond - 1) / time.Millisecond)
	state.InForce = remaining == 0
	return state
}

// heldByMajority returns for how long a majority of the named entries has held a revision,
// and whether there is such a majority.
func heldByMajority(names []string, held map[string]time.Duration) (time.Duration, bool) {
	var durations []time.Duration
	for _, name := range names {
		if d, ok := held[name]; ok {
			durations = append(durations, d)
		}
	}
	if !isMajority(len(durations), len(names)) {
		return 0, false
	}
	slices.Sort(durations)
	slices.Reverse(durations)
	return durations[len(names)/2], true
}

// propagate sends an accepted change to the entries without waiting for their watches, and
// reports whether it is in force.
func (e *Entry) propagate(ctx context.Context, revision, before uint64) *apiv1.InForce {
	waitCtx, cancel := context.WithTimeout(ctx, propagateWait)
	defer cancel()
	if e.config.WaitAbove(waitCtx, revision-1).Revision() < revision {
		e.recordStoreResult(e.listConfig(ctx))
	}
	snapshot := e.config.Load()
	if snapshot.Revision() < revision {
		return e.inForce(ctx, revision, nil)
	}
	return e.inForce(ctx, revision, snapshot.Since(before))
}

// GetInForce reports whether a revision is in force.
func (s *configService) GetInForce(ctx context.Context, r *connect.Request[apiv1.GetInForceRequest]) (*connect.Response[apiv1.GetInForceResponse], error) {
	if err := s.entry.checkReady(); err != nil {
		return nil, s.entry.refuse(err)
	}
	if r.Msg.GetRevision() == 0 {
		return nil, s.entry.refuse(verdict.NotRunError(apiv1.Reason_REASON_INVALID_ARGUMENT, "revision is missing"))
	}
	state := s.entry.inForce(ctx, r.Msg.GetRevision(), nil)
	return connect.NewResponse(&apiv1.GetInForceResponse{InForce: state}), nil
}

// WatchObjects returns the objects changed after a revision, and waits if there are none.
func (s *configService) WatchObjects(ctx context.Context, r *connect.Request[apiv1.WatchObjectsRequest]) (*connect.Response[apiv1.WatchObjectsResponse], error) {
	wait := min(time.Duration(r.Msg.GetWaitMs())*time.Millisecond, maxWatchWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	snapshot := s.entry.config.WaitAbove(ctx, r.Msg.GetAfterRevision())
	return connect.NewResponse(&apiv1.WatchObjectsResponse{
		Objects:  snapshot.Since(r.Msg.GetAfterRevision()).GetObjects(),
		Revision: snapshot.Revision(),
	}), nil
}
