package command

import (
	"bytes"
	"context"
	"iter"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/client"
)

func jobStatusCommand() subcommand {
	return subcommand{
		name:     "job status",
		summary:  "Print the answer of a job, or that it runs.",
		args:     "TICKET",
		argCount: 1,
		readOnly: true,
		flags: func(c *invocation) {
			c.registerCallerFlags()
			c.flags.DurationVar(&c.job.wait, "wait", 0, "wait this long for the answer")
		},
		run: func(ctx context.Context, c *invocation) error {
			return printJobAnswer(c, func(cl *client.Client, ticket []byte) (*apiv1.Answer, error) {
				return cl.Get(ctx, ticket, c.job.wait)
			})
		},
	}
}

func jobCancelCommand() subcommand {
	return subcommand{
		name:     "job cancel",
		summary:  "Cancel a job: tasks that have not started never start.",
		args:     "TICKET",
		argCount: 1,
		flags:    (*invocation).registerCallerFlags,
		run: func(ctx context.Context, c *invocation) error {
			return printJobAnswer(c, func(cl *client.Client, ticket []byte) (*apiv1.Answer, error) {
				return cl.Cancel(ctx, ticket)
			})
		},
	}
}

// printJobAnswer decodes the ticket argument, sends a request for its job and prints the
// answer.
func printJobAnswer(c *invocation, send func(*client.Client, []byte) (*apiv1.Answer, error)) error {
	ticket, err := decodeTicket(c.args[0])
	if err != nil {
		return err
	}
	answer, err := send(c.client(), ticket)
	if err != nil {
		return err
	}
	return c.printAnswer(answer)
}

// splitLines yields the non-blank lines of data with their line numbers, which start
// at 1.
func splitLines(data []byte) iter.Seq2[int, []byte] {
	return func(yield func(int, []byte) bool) {
		number := 0
		for line := range bytes.Lines(data) {
			number++
			line = bytes.TrimSpace(line)
			if len(line) > 0 && !yield(number, line) {
				return
			}
		}
	}
}
