package command

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

// watchPollTimeout is the long-poll timeout of one RPC of "config watch".
const watchPollTimeout = 20 * time.Second

// watchFlags are the flags of "config watch".
type watchFlags struct {
	after uint64
	count int
}

// listCommand returns a subcommand that prints the objects of a kind.
func listCommand(name, summary string, kind apiv1.ObjectKind) subcommand {
	return subcommand{
		name:     name,
		summary:  summary,
		readOnly: true,
		run: func(ctx context.Context, c *invocation) error {
			response, err := c.config().ListObjects(ctx, connect.NewRequest(&apiv1.ListObjectsRequest{Kind: kind}))
			if err != nil {
				return err
			}
			return c.printMessage(response.Msg, func() [][]string { return objectRows(response.Msg.GetObjects()) })
		},
	}
}

func configGetCommand() subcommand {
	return objectCommand("config get", "Print one object.", func(o *apiv1.Object) [][]string {
		return objectRows([]*apiv1.Object{o})
	})
}

func configHistoryCommand() subcommand {
	return objectCommand("config history", "Print the last changes of one object.", historyRows)
}

// objectCommand returns a subcommand that prints the rows of one object.
func objectCommand(name, summary string, rows func(*apiv1.Object) [][]string) subcommand {
	return subcommand{
		name:     name,
		summary:  summary + " KIND is data_centre, target, department or team.",
		args:     "KIND NAME",
		argCount: 2,
		readOnly: true,
		run: func(ctx context.Context, c *invocation) error {
			response, err := c.getObject(ctx)
			if err != nil {
				return err
			}
			return c.printMessage(response, func() [][]string { return rows(response.GetObject()) })
		},
	}
}

func (c *invocation) getObject(ctx context.Context) (*apiv1.GetObjectResponse, error) {
	kind, err := parseKind(c.args[0])
	if err != nil {
		return nil, err
	}
	response, err := c.config().GetObject(ctx, connect.NewRequest(&apiv1.GetObjectRequest{Kind: kind, Name: c.args[1]}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

const kindPrefix = "OBJECT_KIND_"

func parseKind(s string) (apiv1.ObjectKind, error) {
	kind := apiv1.ObjectKind(apiv1.ObjectKind_value[kindPrefix+strings.ToUpper(s)])
	if kind == apiv1.ObjectKind_OBJECT_KIND_UNSPECIFIED {
		return kind, fmt.Errorf("%w: KIND %q is none of data_centre, target, department and team", errUsage, s)
	}
	return kind, nil
}

func kindName(kind apiv1.ObjectKind) string {
	return strings.ToLower(strings.TrimPrefix(kind.String(), kindPrefix))
}

func configWatchCommand() subcommand {
	return subcommand{
		name:     "config watch",
		summary:  "Print objects as they change, until -timeout or Ctrl-C.",
		readOnly: true,
		flags: func(c *invocation) {
			c.flags.Uint64Var(&c.watch.after, "after", 0, "print changes above this `revision`")
			c.flags.IntVar(&c.watch.count, "count", 0, "end after this many answers; 0 means no limit")
		},
		run: runWatch,
	}
}

func runWatch(ctx context.Context, c *invocation) error {
	after := c.watch.after
	for answers := 0; c.watch.count == 0 || answers < c.watch.count; {
		response, err := c.config().WatchObjects(ctx, connect.NewRequest(&apiv1.WatchObjectsRequest{
			AfterRevision: after,
			WaitMs:        uint32(watchPollTimeout.Milliseconds()),
		}))
		if ctx.Err() != nil {
			return watchEndError(ctx)
		}
		if err != nil {
			return err
		}
		if response.Msg.GetRevision() <= after {
			continue
		}
		after = response.Msg.GetRevision()
		answers++
		if err := c.printMessage(response.Msg, func() [][]string { return objectRows(response.Msg.GetObjects()) }); err != nil {
			return err
		}
	}
	return nil
}

// watchEndError returns an error if the watch ended by -timeout, and nil if it was
// interrupted with Ctrl-C.
func watchEndError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &localError{err: errors.New("-timeout passed")}
	}
	return nil
}

func objectRows(objects []*apiv1.Object) [][]string {
	rows := [][]string{{"KIND", "NAME", "REVISION", "STATE", "DATA CENTRES", "TARGETS", "QUOTA", "CHANGED BY"}}
	for _, o := range objects {
		rows = append(rows, []string{
			kindName(o.GetKind()), o.GetName(), fmt.Sprint(o.GetRevision()), serviceState(o),
			listText(o.GetDataCentres()), listText(o.GetTargets()), quotaText(o.GetQuotaSlots()), lastChangeBy(o),
		})
	}
	return rows
}

// serviceState returns "in" for an object that is in service and "out" otherwise.
func serviceState(o *apiv1.Object) string {
	if o.GetOut() {
		return "out"
	}
	return "in"
}

func listText(names []string) string {
	if len(names) == 0 {
		return "all"
	}
	return strings.Join(names, ",")
}

func quotaText(slots uint32) string {
	if slots == 0 {
		return "none"
	}
	return fmt.Sprint(slots)
}

func lastChangeBy(o *apiv1.Object) string {
	if n := len(o.GetHistory()); n > 0 {
		return o.GetHistory()[n-1].GetBy()
	}
	return "-"
}

func historyRows(o *apiv1.Object) [][]string {
	rows := [][]string{{"TIME", "BY", "CHANGE", "BASE", "CHANGE ID"}}
	for _, r := range slices.Backward(o.GetHistory()) {
		rows = append(rows, []string{
			time.UnixMilli(r.GetAtUnixMs()).UTC().Format(time.RFC3339), r.GetBy(), r.GetSummary(),
			fmt.Sprint(r.GetBaseRevision()), r.GetChangeId(),
		})
	}
	return rows
}
