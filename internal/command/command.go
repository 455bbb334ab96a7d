// Package command implements the subcommands of the command-line tool. A
// subcommand parses its flags, makes one or two RPCs and prints the result.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"slices"
	"time"
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

// subcommand is one command of the tool, such as "job status".
type subcommand struct {
	name    string
	summary string
	run     func(ctx context.Context, c *invocation) error
	// flags registers flags specific to the subcommand; nil for none.
	flags func(*invocation)
	// args lists the positional arguments in the usage line.
	args string
	// argCount is the number of positional arguments; with anyArgs, run checks them.
	argCount int
	// readOnly marks a command that changes nothing, so that none of its errors
	// leaves an outcome unknown.
	readOnly bool
}

// subcommands returns the subcommands in the order of the usage text.
func subcommands() []subcommand {
	return []subcommand{
		submitCommand(),
		jobStatusCommand(),
		jobCancelCommand(),
		dataCentreListCommand(),
		dataCentreOutCommand(),
		dataCentreInCommand(),
		targetListCommand(),
		targetLeaveCommand(),
		targetReturnCommand(),
		departmentListCommand(),
		departmentCreateCommand(),
		departmentAllowCommand(),
		departmentQuotaCommand(),
		departmentLeaveCommand(),
		departmentReturnCommand(),
		configGetCommand(),
		configHistoryCommand(),
		configWatchCommand(),
		statusCommand(),
		countersCommand(),
		traceCommand(),
		keysNewCommand(),
		keysShowCommand(),
		versionCommand(),
	}
}

// invocation is one invocation of a subcommand with its flags and arguments.
type invocation struct {
	Streams
	flags      *flag.FlagSet
	args       []string
	address    string
	output     string
	timeout    time.Duration
	connection connectionFlags
	job        jobFlags
	change     changeFlags
	allow      allowFlags
	keys       keyFlags
	watch      watchFlags
	http       *http.Client
}

// anyArgs is the argCount of a subcommand that checks its arguments itself.
const anyArgs = -1

// errUsage reports wrong arguments.
var errUsage = errors.New("wrong arguments")

const defaultTimeout = time.Minute

// Main runs the tool and returns its exit status: 0 for success, 1 for a rejected or
// failed command, 2 for a usage error, 3 for an unknown outcome.
func Main(ctx context.Context, args []string, streams Streams) int {
	if len(args) > 0 && slices.Contains(helpArgs, args[0]) {
		printUsage(streams.Out)
		return exitOK
	}
	sub, rest, ok := findSubcommand(args)
	if !ok {
		printUsage(streams.Err)
		return exitUsage
	}
	c := newInvocation(sub, streams)
	if err := c.parse(rest); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if (sub.argCount != anyArgs && len(c.args) != sub.argCount) || (c.output != outputTable && c.output != outputJSON) {
		c.flags.Usage()
		return exitUsage
	}
	if err := c.connect(); err != nil {
		return exitStatus(streams.Err, sub, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return exitStatus(streams.Err, sub, sub.run(ctx, c))
}

// parse accepts flags before, between and after the positional arguments.
func (c *invocation) parse(args []string) error {
	for {
		if err := c.flags.Parse(args); err != nil {
			return err
		}
		if c.flags.NArg() == 0 {
			return nil
		}
		c.args = append(c.args, c.flags.Arg(0))
		args = c.flags.Args()[1:]
	}
}

// helpArgs are the first arguments that print the list of commands.
var helpArgs = []string{"help", "-h", "-help", "--help"}

// findSubcommand returns the subcommand named by the first one or two elements of args,
// and the remaining arguments.
func findSubcommand(args []string) (subcommand, []string, bool) {
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

func newInvocation(sub subcommand, streams Streams) *invocation {
	c := &invocation{Streams: streams, flags: flag.NewFlagSet(sub.name, flag.ContinueOnError)}
	c.flags.SetOutput(streams.Err)
	c.registerConnectionFlags()
	c.flags.StringVar(&c.output, "o", outputTable, "output `format`: table or json")
	c.flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "time allowed for the command")
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
		_, _ = fmt.Fprintf(w, "  %-20s %s\n", sub.name, sub.summary)
	}
}
