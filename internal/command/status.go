package command

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

func statusCommand() subcommand {
	return subcommand{
		name:     "status",
		summary:  "Print entries, targets, slots, and the configuration revision of each node.",
		readOnly: true,
		run:      runStatus,
	}
}

func runStatus(ctx context.Context, c *invocation) error {
	response, err := c.fleet().GetStatus(ctx, connect.NewRequest(&apiv1.GetStatusRequest{}))
	if err != nil {
		return err
	}
	status := response.Msg
	return c.printMessage(status, func() [][]string { return statusRows(status) })
}

func statusRows(s *apiv1.GetStatusResponse) [][]string {
	rows := [][]string{{"KIND", "NAME", "DATA CENTRE", "SLOTS", "BUSY", "STATE", "REVISION"}}
	for _, e := range s.GetEntries() {
		rows = append(rows, []string{
			"entry", e.GetName(), e.GetDataCentre(), "-", "-", e.GetAddress(), revisionText(e.GetConfigRevision()),
		})
	}
	var slots, busy uint32
	for _, t := range s.GetTargets() {
		rows = append(rows, []string{
			"target", t.GetName(), t.GetDataCentre(),
			fmt.Sprint(t.GetSlots()), fmt.Sprint(t.GetBusy()), targetState(t), revisionText(t.GetConfigRevision()),
		})
		slots += t.GetSlots()
		busy += t.GetBusy()
	}
	return append(rows, []string{fmt.Sprintf(
		"revision %d, store reachable: %t, entries: %d, targets: %d, slots free: %d, busy: %d, jobs running: %d, tasks queued: %d",
		s.GetConfigRevision(), s.GetStoreReachable(), len(s.GetEntries()), len(s.GetTargets()),
		max(slots, busy)-busy, busy, s.GetJobsRunning(), s.GetTasksQueued(),
	)})
}

// targetState returns down, ejected or up; down takes precedence.
func targetState(t *apiv1.TargetStatus) string {
	switch {
	case !t.GetConnected():
		return "down"
	case t.GetEjected():
		return "ejected"
	default:
		return "up"
	}
}

// revisionText formats a revision; a node that has not reported one gets "-".
func revisionText(revision uint64) string {
	if revision == 0 {
		return "-"
	}
	return fmt.Sprint(revision)
}
