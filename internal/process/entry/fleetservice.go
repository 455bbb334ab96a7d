package entry

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
)

type fleetService struct {
	entry *Entry
}

func (e *Entry) fleetService() (string, http.Handler) {
	return apiv1connect.NewFleetServiceHandler(&fleetService{entry: e}, e.handlerOptions())
}

// GetStatus returns this entry's view of the targets and entries of the fleet.
func (s *fleetService) GetStatus(ctx context.Context, _ *connect.Request[apiv1.GetStatusRequest]) (*connect.Response[apiv1.GetStatusResponse], error) {
	e := s.entry
	if err := e.checkReady(); err != nil {
		return nil, e.refuse(err)
	}
	status := &apiv1.GetStatusResponse{
		Targets:        e.dispatcher.TargetStatus(),
		ConfigRevision: e.config.Load().Revision(),
		StoreReachable: e.storeReachable.Load(),
		JobsRunning:    uint32(e.jobs.Running()),
		TasksQueued:    uint32(e.dispatcher.Queued()),
	}
	revisions := e.entryRevisions(ctx)
	for _, r := range e.roster.Load().Entries {
		status.Entries = append(status.Entries, &apiv1.EntryStatus{
			Name:           r.GetName(),
			DataCentre:     r.GetDataCentre(),
			Incarnation:    r.GetIncarnation(),
			Address:        r.GetCallerAddress(),
			ConfigRevision: revisions[r.GetIncarnation()],
		})
	}
	return connect.NewResponse(status), nil
}

// entryRevisions returns the configuration revision of each entry by incarnation; 0 for an
// entry that does not reply.
func (e *Entry) entryRevisions(ctx context.Context) map[uint64]uint64 {
	replies := e.callEntries(ctx, &peerv1.GetRevision{
		ConfigRevision: e.config.Load().Revision(),
		RosterRevision: e.roster.Load().Revision,
	})
	revisions := make(map[uint64]uint64, len(replies))
	for _, reply := range replies {
		revisions[reply.entry.GetIncarnation()] = reply.revision.GetConfigRevision()
	}
	return revisions
}

// GetCounters returns the counters of this entry.
func (s *fleetService) GetCounters(context.Context, *connect.Request[apiv1.GetCountersRequest]) (*connect.Response[apiv1.GetCountersResponse], error) {
	response := &apiv1.GetCountersResponse{}
	for _, v := range s.entry.counters.Values() {
		response.Counters = append(response.Counters, &apiv1.Counter{Name: v.Name, Value: v.Value})
	}
	return connect.NewResponse(response), nil
}
