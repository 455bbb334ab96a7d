package command

import (
	"io"
	"strings"
	"testing"
)

// FuzzReadLog checks that arbitrary input does not panic and that lines which are not
// log lines are skipped.
func FuzzReadLog(f *testing.F) {
	f.Add(`12.3 node {"level":"info","time":"2026-02-13T08:14:16.3Z","job":"5c0e","task":"5c0e/0/1","run":2,"message":"attempt sent"}`)
	f.Add(`{"job":"5c0e","time":7,"run":{},"message":[]}`)
	f.Add("5c0e {")
	f.Fuzz(func(t *testing.T, log string) {
		var lines []logLine
		if _, err := readLog(strings.NewReader(log), "5c0e", &lines); err != nil {
			return
		}
		printTrace(io.Discard, lines)
		findGaps(lines)
	})
}
