package command

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/client"
)

// jobFlags are the flags of the commands that submit, query or cancel a job.
type jobFlags struct {
	department string
	owner      string
	ticket     string
	deadline   time.Duration
	wait       time.Duration
	noWait     bool
}

const defaultDeadline = 30 * time.Second

func (c *invocation) registerCallerFlags() {
	c.flags.StringVar(&c.job.department, "department", "", "department of the job")
	c.flags.StringVar(&c.job.owner, "owner", currentUser(), "owner of the job")
}

func (c *invocation) client() *client.Client {
	return client.New(client.Config{URL: c.address, Department: c.job.department, Owner: c.job.owner, HTTP: c.http})
}

func submitCommand() subcommand {
	return subcommand{
		name:    "submit",
		summary: "Submit a job. Its tasks are read from standard input, one JSON object a line.",
		run:     runSubmit,
		flags: func(c *invocation) {
			c.registerCallerFlags()
			c.flags.StringVar(&c.job.ticket, "ticket", "", "submit under this ticket again")
			c.flags.DurationVar(&c.job.deadline, "deadline", defaultDeadline, "time allowed for the job")
			c.flags.BoolVar(&c.job.noWait, "no-wait", false, "print the ticket and return at once")
		},
	}
}

func runSubmit(ctx context.Context, c *invocation) error {
	tasks, err := readTasks(c.In)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	cl := c.client()
	ticket, err := c.ticketOrNew(ctx, cl)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.Err, "ticket %s\n", base64.URLEncoding.EncodeToString(ticket))
	j := client.Job{Deadline: c.job.deadline, Tasks: tasks}
	if c.job.noWait {
		return cl.Start(ctx, ticket, j)
	}
	answer, err := cl.Resubmit(ctx, ticket, j)
	if err != nil {
		return err
	}
	return c.printAnswer(answer)
}

func (c *invocation) ticketOrNew(ctx context.Context, cl *client.Client) ([]byte, error) {
	if c.job.ticket == "" {
		return cl.Ticket(ctx)
	}
	return decodeTicket(c.job.ticket)
}

func decodeTicket(s string) ([]byte, error) {
	b, err := base64.URLEncoding.DecodeString(s)
	if err != nil {
		return nil, fmt.Errorf("%w: ticket is not base64", errUsage)
	}
	return b, nil
}

// readTasks reads tasks until EOF, one protobuf JSON object per line.
func readTasks(r io.Reader) ([]*apiv1.Task, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	var tasks []*apiv1.Task
	for number, line := range splitLines(data) {
		task := &apiv1.Task{}
		if err := protojson.Unmarshal(line, task); err != nil {
			return nil, fmt.Errorf("task %d: %w", number, err)
		}
		tasks = append(tasks, task)
	}
	return tasks, nil
}

func (c *invocation) printAnswer(a *apiv1.Answer) error {
	return c.printMessage(a, func() [][]string {
		rows := [][]string{{"TASK", "OUTPUT"}}
		if a.GetState() == apiv1.JobState_JOB_STATE_RUNNING {
			return [][]string{{"running"}}
		}
		for _, r := range a.GetResults() {
			rows = append(rows, []string{fmt.Sprint(r.GetIndex()), string(r.GetOutput())})
		}
		return rows
	})
}
