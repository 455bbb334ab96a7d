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
	// spreadWait is how long an entry waits for its watch to bring an accepted
	// change before it lists the configuration.
	spreadWait = 100 * time.Millisecond
	// maxWatchWait bounds the wait of WatchObjects.
	maxWatchWait = time.Minute
)

// inForce reports where a revision is in force: at a majority of the entries
// for at least one freshness period. After that period every permit given
// before has run out, and no entry can be fresh without the revision: the store
// tells it, and any majority it asks contains an entry that knows it. Since a
// part that is cut off may have an older roster, each set of entries of the
// recent past needs its majority.
func (e *Entry) inForce(ctx context.Context, revision uint64, update *peerv1.ConfigUpdate) *apiv1.InForce {
	contacts := e.askEntries(ctx, &peerv1.GetRevision{
		ConfigRevision: e.config.Load().Revision(),
		RosterRevision: e.roster.Load().Revision,
		HeldRevision:   revision,
		Update:         update,
	})
	return judgeInForce(contacts, e.voters.all(time.Now()), e.freshness.period)
}

func judgeInForce(contacts []contact, sets [][]string, period time.Duration) *apiv1.InForce {
	state := &apiv1.InForce{Entries: uint32(len(contacts))}
	held := make(map[string]time.Duration)
	for _, c := range contacts {
		if c.revision == nil || c.revision.HeldMs == nil {
			state.PendingEntries = append(state.PendingEntries, c.entry.GetName())
			continue
		}
		held[c.entry.GetName()] = time.Duration(c.revision.GetHeldMs()) * time.Millisecond
	}
	shortest := period
	for _, names := range sets {
		since, ok := heldByMajority(names, held)
		if !ok {
			return state
		}
		shortest = min(shortest, since)
	}
	if len(sets) == 0 {
		return state
	}
	remaining := period - shortest
	state.RemainingMs = uint32((remaining + time.Millisecond - 1) / time.Millisecond)
	state.InForce = remaining == 0
	return state
}

// heldByMajority returns for how long a majority of names has been complete, and
// whether there is one.
func heldByMajority(names []string, held map[string]time.Duration) (time.Duration, bool) {
	var times []time.Duration
	for _, name := range names {
		if d, ok := held[name]; ok {
			times = append(times, d)
		}
	}
	if !isMajority(len(times), len(names)) {
		return 0, false
	}
	slices.Sort(times)
	slices.Reverse(times)
	return times[len(names)/2], true
}

// spread brings an accepted change to the entries without waiting for their
// watches, and reports where it is in force.
func (e *Entry) spread(ctx context.Context, revision, before uint64) *apiv1.InForce {
	waitCtx, cancel := context.WithTimeout(ctx, spreadWait)
	defer cancel()
	if e.config.WaitAbove(waitCtx, revision-1).Revision() < revision {
		e.noteStore(e.listConfig(ctx))
	}
	snapshot := e.config.Load()
	if snapshot.Revision() < revision {
		return e.inForce(ctx, revision, nil)
	}
	return e.inForce(ctx, revision, snapshot.Since(before))
}

// GetInForce implements the configuration service.
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

// WatchObjects implements the configuration service.
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
