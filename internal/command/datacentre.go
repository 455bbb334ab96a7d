package command

import (
	"context"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

func dataCentreListCommand() subcommand {
	return listCommand("datacentre list", "Print the data centres that were ever taken out.", apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE)
}

func dataCentreOutCommand() subcommand {
	return setOutCommand("datacentre out", "Take a data centre out of service.", apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, true)
}

func dataCentreInCommand() subcommand {
	return setOutCommand("datacentre in", "Take a data centre back into service.", apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, false)
}

func targetListCommand() subcommand {
	return listCommand("target list", "Print the targets that ever left; \"status\" prints those that are there.", apiv1.ObjectKind_OBJECT_KIND_TARGET)
}

func targetLeaveCommand() subcommand {
	return setOutCommand("target leave", "Give a target no new work.", apiv1.ObjectKind_OBJECT_KIND_TARGET, true)
}

func targetReturnCommand() subcommand {
	return setOutCommand("target return", "Give a target work again.", apiv1.ObjectKind_OBJECT_KIND_TARGET, false)
}

// setOutCommand returns a subcommand that takes an object out of service, or back into
// service if out is false.
func setOutCommand(name, summary string, kind apiv1.ObjectKind, out bool) subcommand {
	return subcommand{
		name:     name,
		summary:  summary,
		args:     "NAME",
		argCount: 1,
		flags:    (*invocation).registerChangeFlags,
		run: func(ctx context.Context, c *invocation) error {
			return c.applyChange(ctx, &apiv1.ChangeRequest{
				Kind:   kind,
				Name:   c.args[0],
				Change: &apiv1.ChangeRequest_SetOut{SetOut: &apiv1.SetOut{Out: out}},
			})
		},
	}
}
