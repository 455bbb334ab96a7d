// Package command holds the subcommands of the command-line tool, one file
// each. A subcommand is thin: flags, one or two RPCs, and their output.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"time"

	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// subcommand is one verb of the tool, such as "job status".
type subcommand struct {
	name    string
	summary string
	run     func(ctx context.Context, c *call) error
	// flags registers flags of the subcommand's own; nil for none.
	flags func(*call)
	// args names the positional arguments, for the usage line.
	args string
	// argCount is the number of positional arguments.
	argCount int
}

// subcommands lists the verbs in the order of the usage text.
func subcommands() []subcommand {
	return []subcommand{
		submitCommand(),
		jobStatusCommand(),
		jobCancelCommand(),
		statusCommand(),
	}
}

// call is one invocation of a subcommand.
type call struct {
	Streams
	flags   *flag.FlagSet
	address string
	output  string
	timeout time.Duration
	by      string
	job     jobFlags
}

// errUsage reports wrong arguments.
var errUsage = errors.New("wrong arguments")

const defaultTimeout = time.Minute

// Main runs the tool and returns its exit status: 0 done, 1 refused or failed,
// 2 usage, 3 outcome unknown.
func Main(ctx context.Context, args []string, streams Streams) int {
	sub, rest, ok := find(args)
	if !ok {
		printUsage(streams.Err)
		return exitUsage
	}
	c := newCall(sub, streams)
	if err := c.flags.Parse(rest); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if c.flags.NArg() != sub.argCount || (c.output != outputTable && c.output != outputJSON) {
		c.flags.Usage()
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return exitStatus(streams.Err, sub.run(ctx, c))
}

// find returns the subcommand that the leading words of args name.
func find(args []string) (subcommand, []string, bool) {
	for _, sub := range subcommands() {
		for words := 1; words <= min(2, len(args)); words++ {
			name := args[0]
			if words == 2 {
				name += " " + args[1]
			}
			if name == sub.name {
				return sub, args[words:], true
			}
		}
	}
	return subcommand{}, nil, false
}

func newCall(sub subcommand, streams Streams) *call {
	c := &call{Streams: streams, flags: flag.NewFlagSet(sub.name, flag.ContinueOnError)}
	c.flags.SetOutput(streams.Err)
	c.flags.StringVar(&c.address, "address", "http://127.0.0.1:7001", "`URL` of an entry or of the balancer")
	c.flags.StringVar(&c.output, "o", outputTable, "output `format`: table or json")
	c.flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "time allowed for the command")
	c.flags.StringVar(&c.by, "by", currentUser(), "`name` of the operator")
	if sub.flags != nil {
		sub.flags(c)
	}
	c.flags.Usage = func() {
		_, _ = fmt.Fprintf(streams.Err, "usage: rosemarybay %s [flags] %s\n\n%s\n\n", sub.name, sub.args, sub.summary)
		c.flags.PrintDefaults()
	}
	return c
}

func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func printUsage(w io.Writer) {
	_, _ = fmt.Fprintln(w, "usage: rosemarybay COMMAND [flags]")
	_, _ = fmt.Fprintln(w)
	for _, sub := range subcommands() {
		_, _ = fmt.Fprintf(w, "  %-18s %s\n", sub.name, sub.summary)
	}
}

// exitStatus prints an error and returns the exit status that belongs to it.
func exitStatus(w io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	if errors.Is(err, errUsage) {
		_, _ = fmt.Fprintln(w, err)
		return exitUsage
	}
	e := verdict.FromError(err)
	_, _ = fmt.Fprintf(w, "verdict: %s\nreason: %s\n%s\n", verdict.Name(e.Verdict), verdict.ReasonName(e.Reason), e.Message)
	if e.RetryAfter > 0 {
		_, _ = fmt.Fprintf(w, "try again in %s\n", e.RetryAfter)
	}
	if isUnknown(e) {
		return exitUnknown
	}
	return exitFailed
}

func (c *call) fleet() apiv1connect.FleetServiceClient {
	return apiv1connect.NewFleetServiceClient(http.DefaultClient, c.address)
}
