package command

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

func traceCommand() subcommand {
	return subcommand{
		name:     "trace",
		summary:  "print the life of one request from the logs of several processes",
		args:     "ID [FILE ...]",
		argCount: anyArgs,
		readOnly: true,
		run:      runTrace,
	}
}

// logLine is a log line that belongs to the traced request.
type logLine struct {
	at      time.Time
	node    string
	message string
	task    string
	run     string
	fields  string
}

// Log messages that mark the start and the end of an attempt or a job. They must be equal
// to those that the entries log.
const (
	messageSent        = "attempt sent"
	messageResolved    = "attempt resolved"
	messageAdmitted    = "job admitted"
	messageComplete    = "job complete"
	messageNotComplete = "job not completed"
)

// hiddenFields are omitted from the field list: they are shown elsewhere in the output
// line or do not depend on the request.
var hiddenFields = []string{"time", "node", "role", "level", "message", "job", "task", "run"}

func runTrace(_ context.Context, c *invocation) error {
	if len(c.args) == 0 {
		return errUsage
	}
	id := c.args[0]
	var lines []logLine
	skipped, err := c.readLogs(c.args[1:], id, &lines)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return eris.Errorf("no line of the logs names %s", id)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	printTrace(c.Out, lines)
	for _, gap := range findGaps(lines) {
		_, _ = fmt.Fprintf(c.Out, "gap: %s\n", gap)
	}
	if skipped > 0 {
		_, _ = fmt.Fprintf(c.Err, "%d lines are not JSON and were passed over\n", skipped)
	}
	return nil
}

// readLogs reads the given files, or standard input if there are none. It returns the
// number of lines that contain the ID but are not JSON.
func (c *invocation) readLogs(paths []string, id string, lines *[]logLine) (skipped int, err error) {
	if len(paths) == 0 {
		return readLog(c.In, id, lines)
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return skipped, eris.Wrap(err, "open log")
		}
		n, err := readLog(f, id, lines)
		_ = f.Close()
		skipped += n
		if err != nil {
			return skipped, eris.Wrapf(err, "read %s", path)
		}
	}
	return skipped, nil
}

// readLog appends the lines of the request. Text before the JSON object of a line,
// such as a timestamp added by a log collector, is ignored.
func readLog(r io.Reader, id string, lines *[]logLine) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, id) {
			continue
		}
		start := strings.IndexByte(text, '{')
		fields := make(map[string]any)
		if start < 0 || json.Unmarshal([]byte(text[start:]), &fields) != nil {
			skipped++
			continue
		}
		if fields["job"] == id {
			*lines = append(*lines, newLogLine(fields))
		}
	}
	return skipped, scanner.Err()
}

func newLogLine(fields map[string]any) logLine {
	text := func(name string) string {
		if fields[name] == nil {
			return ""
		}
		return fmt.Sprint(fields[name])
	}
	l := logLine{node: text("node"), message: text("message"), task: text("task"), run: text("run")}
	// A line without a valid time keeps the zero time and sorts first, where it is
	// noticed.
	l.at, _ = time.Parse(time.RFC3339Nano, text("time"))
	var rest []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(hiddenFields, name) {
			rest = append(rest, fmt.Sprintf("%s=%v", name, fields[name]))
		}
	}
	l.fields = strings.Join(rest, " ")
	return l
}

// printTrace prints the lines, each with the time elapsed since the first.
func printTrace(w io.Writer, lines []logLine) {
	for _, l := range lines {
		description := l.message
		if l.task != "" {
			description += " " + l.task + " run " + l.run
		}
		_, _ = fmt.Fprintf(w, "%+9.3fms %-24s %s  %s\n",
			float64(l.at.Sub(lines[0].at))/float64(time.Millisecond), l.node, description, l.fields)
	}
}

// findGaps describes what is missing from the logs: the end of an attempt, or the
// answer of a job.
func findGaps(lines []logLine) []string {
	unresolved := make(map[string]logLine)
	admittedBy, answered := "", false
	for _, l := range lines {
		attempt := l.node + " " + l.task + " run " + l.run
		switch l.message {
		case messageSent:
			unresolved[attempt] = l
		case messageResolved:
			delete(unresolved, attempt)
		case messageAdmitted:
			admittedBy, answered = l.node, false
		case messageComplete, messageNotComplete:
			answered = true
		}
	}
	var found []string
	for _, attempt := range slices.Sorted(maps.Keys(unresolved)) {
		found = append(found, "no end of attempt "+attempt+": its entry ended first, or its line was dropped")
	}
	if admittedBy != "" && !answered {
		found = append(found, "no answer of the job at "+admittedBy+": the process ended before it")
	}
	return found
}
