package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

// allowFlags are the flags of "department allow".
type allowFlags struct {
	dataCentres string
	targets     string
}

func departmentListCommand() subcommand {
	return listCommand("department list", "Print the departments.", apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT)
}

func departmentLeaveCommand() subcommand {
	return setOutCommand("department leave", "Accept no new work of a department.", apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, true)
}

func departmentReturnCommand() subcommand {
	return setOutCommand("department return", "Accept work of a department again.", apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, false)
}

func departmentCreateCommand() subcommand {
	return subcommand{
		name:     "department create",
		summary:  "Create a department.",
		args:     "NAME",
		argCount: 1,
		flags:    (*invocation).registerChangeFlags,
		run: func(ctx context.Context, c *invocation) error {
			return c.applyChange(ctx, departmentChange(c, &apiv1.ChangeRequest{
				Change: &apiv1.ChangeRequest_Create{Create: &apiv1.Create{}},
			}))
		},
	}
}

func departmentAllowCommand() subcommand {
	return subcommand{
		name:     "department allow",
		summary:  "Set the data centres and targets that a department may use; an empty list means all.",
		args:     "NAME",
		argCount: 1,
		flags: func(c *invocation) {
			c.registerChangeFlags()
			c.flags.StringVar(&c.allow.dataCentres, "data-centres", "", "data centres, separated by commas")
			c.flags.StringVar(&c.allow.targets, "targets", "", "targets, separated by commas")
		},
		run: func(ctx context.Context, c *invocation) error {
			return c.applyChange(ctx, departmentChange(c, &apiv1.ChangeRequest{
				Change: &apiv1.ChangeRequest_Allow{Allow: &apiv1.Allow{
					DataCentres: splitNames(c.allow.dataCentres),
					Targets:     splitNames(c.allow.targets),
				}},
			}))
		},
	}
}

func departmentQuotaCommand() subcommand {
	return subcommand{
		name:     "department quota",
		summary:  "Set the most slots that a department uses at once; 0 means no limit.",
		args:     "NAME SLOTS",
		argCount: 2,
		flags:    (*invocation).registerChangeFlags,
		run: func(ctx context.Context, c *invocation) error {
			slots, err := strconv.ParseUint(c.args[1], 10, 32)
			if err != nil {
				return fmt.Errorf("%w: SLOTS %q is not a number of slots", errUsage, c.args[1])
			}
			return c.applyChange(ctx, departmentChange(c, &apiv1.ChangeRequest{
				Change: &apiv1.ChangeRequest_SetQuota{SetQuota: &apiv1.SetQuota{Slots: uint32(slots)}},
			}))
		},
	}
}

// departmentChange sets the department in the first argument as the object of m.
func departmentChange(c *invocation, m *apiv1.ChangeRequest) *apiv1.ChangeRequest {
	m.Kind, m.Name = apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, c.args[0]
	return m
}

// splitNames splits a comma-separated list; an empty list yields nil.
func splitNames(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
