package trace

import (
	"errors"
	"strings"
	"testing"
)

const fleetLine = `{"trace":"t","seed":1,"until_ms":1000,"entries_per_data_centre":1,"data_centres":["a"],"targets":[{"name":"r","data_centre":"a","rack":"x","slots":1,"size":{"cpus":1,"memory_mb":1,"accelerators":0}}],"departments":[{"name":"d"}]}`

const submitLine = `{"do":"submit","at_ms":5,"job":"j","department":"d","caller":"c","deadline_ms":100,"tasks":[{"count":1,"run_ms":1}]}`

func TestReadRejectsInvalidLine(t *testing.T) {
	for name, test := range map[string]struct {
		lines  []string
		line   int
		reason string
	}{
		"no fleet":         {nil, 1, "no fleet"},
		"not JSON":         {[]string{fleetLine, `{"do":`}, 2, "unexpected end"},
		"unknown field":    {[]string{fleetLine, `{"do":"kill","at_ms":1,"node":"r-agent","why":1}`}, 2, "unknown field"},
		"unknown event":    {[]string{fleetLine, `{"do":"jump","at_ms":1}`}, 2, "unknown event"},
		"unknown node":     {[]string{fleetLine, `{"do":"kill","at_ms":1,"node":"q"}`}, 2, "not a process"},
		"target as node":   {[]string{fleetLine, `{"do":"kill","at_ms":1,"node":"r"}`}, 2, "not a process"},
		"out of order":     {[]string{fleetLine, submitLine, `{"do":"cancel","at_ms":4,"job":"j"}`}, 3, "before the event"},
		"late event":       {[]string{fleetLine, `{"do":"kill","at_ms":1001,"node":"r-agent"}`}, 2, "after until_ms"},
		"unsubmitted job":  {[]string{fleetLine, `{"do":"resubmit","at_ms":1,"job":"j"}`}, 2, "not submitted"},
		"job twice":        {[]string{fleetLine, submitLine, submitLine}, 3, "submitted twice"},
		"bad mode":         {[]string{fleetLine, `{"do":"store","at_ms":1,"mode":"odd","for_ms":1}`}, 2, "not one of"},
		"unknown outcome":  {[]string{fleetLine, `{"expect":"luck"}`}, 2, "unknown outcome"},
		"outcome of none":  {[]string{fleetLine, `{"expect":"job","job":"j","answer":"any"}`}, 2, "unknown job"},
		"two places":       {[]string{fleetLine, `{"expect":"no_starts","data_centre":"a","target":"r","from_ms":0,"to_ms":1}`}, 2, "one of"},
		"unbounded count":  {[]string{fleetLine, `{"expect":"counter","name":"x"}`}, 2, "min or max"},
		"do and expect":    {[]string{fleetLine, `{"do":"kill","expect":"job"}`}, 2, "both"},
		"neither":          {[]string{fleetLine, `{"at_ms":1}`}, 2, "neither"},
		"two objects":      {[]string{fleetLine, `{"do":"cancel","at_ms":1,"job":"j"} {}`}, 2, "invalid character"},
		"target elsewhere": {[]string{strings.Replace(fleetLine, `"name":"r","data_centre":"a"`, `"name":"r","data_centre":"b"`, 1)}, 1, "unknown data centre"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(strings.Join(test.lines, "\n")))
			var le *LineError
			if !errors.As(err, &le) {
				t.Fatalf("got %v, want a line error", err)
			}
			if le.Line != test.line || !strings.Contains(err.Error(), test.reason) {
				t.Errorf("got %v, want line %d: ..%s..", err, test.line, test.reason)
			}
		})
	}
}

func TestReadKeepsOrder(t *testing.T) {
	tr, err := Read(strings.NewReader(fleetLine + "\n\n" + submitLine + "\n" + `{"expect":"job","job":"j","answer":"complete"}`))
	if err != nil {
		t.Fatal(err)
	}
	if len(tr.Events) != 1 || len(tr.Expectations) != 1 || AtMS(tr.Events[0]) != 5 {
		t.Errorf("got %d events and %d expectations", len(tr.Events), len(tr.Expectations))
	}
}
