package command

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

func countersCommand() subcommand {
	return subcommand{
		name:     "counters",
		summary:  "Print the counters of one entry that are not 0; with -o json all of them.",
		readOnly: true,
		run:      runCounters,
	}
}

func runCounters(ctx context.Context, c *invocation) error {
	response, err := c.fleet().GetCounters(ctx, connect.NewRequest(&apiv1.GetCountersRequest{}))
	if err != nil {
		return err
	}
	return c.printMessage(response.Msg, func() [][]string {
		rows := [][]string{{"COUNTER", "VALUE"}}
		for _, counter := range response.Msg.GetCounters() {
			if counter.GetValue() != 0 {
				rows = append(rows, []string{counter.GetName(), fmt.Sprint(counter.GetValue())})
			}
		}
		return rows
	})
}
