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
		flags: func(c *call) {
			c.identityFlags()
			c.flags.DurationVar(&c.job.wait, "wait", 0, "wait this long for the answer")
		},
		run: func(ctx context.Context, c *call) error {
			return runJob(c, func(cl *client.Client, ticket []byte) (*apiv1.Answer, error) {
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
		flags:    (*call).identityFlags,
		run: func(ctx context.Context, c *call) error {
			return runJob(c, func(cl *client.Client, ticket []byte) (*apiv1.Answer, error) {
				return cl.Cancel(ctx, ticket)
			})
		},
	}
}

func runJob(c *call, ask func(*client.Client, []byte) (*apiv1.Answer, error)) error {
	ticket, err := decodeTicket(c.args[0])
	if err != nil {
		return err
	}
	answer, err := ask(c.client(), ticket)
	if err != nil {
		return err
	}
	return c.printAnswer(answer)
}

// splitLines yields the lines of data that are not blank, with their numbers.
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
