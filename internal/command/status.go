package command

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

func statusCommand() subcommand {
	return subcommand{
		name:    "status",
		summary: "Print the entries and targets that one entry knows.",
		run:     runStatus,
	}
}

func runStatus(ctx context.Context, c *call) error {
	response, err := c.fleet().GetStatus(ctx, connect.NewRequest(&apiv1.GetStatusRequest{}))
	if err != nil {
		return err
	}
	status := response.Msg
	return c.printMessage(status, func() [][]string { return statusRows(status) })
}

func statusRows(s *apiv1.GetStatusResponse) [][]string {
	rows := [][]string{{"KIND", "NAME", "DATA CENTRE", "SLOTS", "BUSY", "LINK"}}
	for _, e := range s.GetEntries() {
		rows = append(rows, []string{"entry", e.GetName(), e.GetDataCentre(), "", "", e.GetAddress()})
	}
	for _, t := range s.GetTargets() {
		state := "up"
		if !t.GetConnected() {
			state = "down"
		}
		rows = append(rows, []string{
			"target", t.GetName(), t.GetDataCentre(),
			fmt.Sprint(t.GetSlots()), fmt.Sprint(t.GetBusy()), state,
		})
	}
	summary := fmt.Sprintf("revision %d, store reachable: %t, jobs running: %d, tasks queued: %d",
		s.GetConfigRevision(), s.GetStoreReachable(), s.GetJobsRunning(), s.GetTasksQueued())
	return append(rows, []string{summary})
}
