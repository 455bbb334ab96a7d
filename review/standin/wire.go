package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// The names on the wire stand in a data file: in the Go code of this repository only the
// adapter spells them.
//
//go:embed wire.json
var wireFile []byte

// wire holds the paths, headers and bodies of the users' platform.
var wire = mustReadWire()

type wireNames struct {
	StartPath                 string `json:"start_path"`
	StopPath                  string `json:"stop_path"`
	PollPath                  string `json:"poll_path"`
	AnnouncePath              string `json:"announce_path"`
	ReadyPath                 string `json:"ready_path"`
	ExpectedIncarnationHeader string `json:"expected_incarnation_header"`
	DeadlineHeader            string `json:"deadline_header"`
	ConfigKey                 string `json:"config_key"`
	Config                    string `json:"config"`
	EvacuatePrefix            string `json:"evacuate_prefix"`
	Job                       string `json:"job"`
	Step                      string `json:"step"`
}

func mustReadWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}

// jobBody returns a job whose steps run one after the other, each with equal tasks of the
// given time.
func jobBody(steps, tasks int, cpu int64, run time.Duration) string {
	rows := make([]string, steps)
	for i := range rows {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		rows[i] = fmt.Sprintf(wire.Step, tasks, cpu, run.Milliseconds(), after)
	}
	return fmt.Sprintf(wire.Job, fmt.Sprint(run.Milliseconds()), strings.Join(rows, ","))
}
