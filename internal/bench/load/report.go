package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/bench/workload"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// Quantiles are quantiles of the ratio of response time to ideal.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
}

func quantiles(r *workload.RatioHistogram) Quantiles {
	return Quantiles{P50: r.Quantile(50), P90: r.Quantile(90), P99: r.Quantile(99), P999: r.Quantile(99.9)}
}

// RoleUsage is the mean resource usage of the nodes of a role.
type RoleUsage struct {
	// CPUPercent is the processor time of a node in percent of one core.
	CPUPercent float64 `json:"cpu_percent"`
	// MemoryMB is the resident memory of a node at the end of the run.
	MemoryMB float64 `json:"memory_mb"`
}

// Report is the result of a run. Complete, Failed and Refused are shares of the measured
// jobs.
type Report struct {
	Profile  string    `json:"profile"`
	Load     float64   `json:"load"`
	Seed     int64     `json:"seed"`
	Jobs     int       `json:"jobs"`
	Response Quantiles `json:"response_over_ideal"`
	// Oracle is the response of an ideal dispatcher to the same jobs: one queue for
	// all slots, from which a task starts as soon as a slot becomes free.
	Oracle   Quantiles `json:"oracle"`
	Complete float64   `json:"complete"`
	Failed   float64   `json:"failed"`
	Refused  float64   `json:"refused"`
	// Goodput is the run time of the tasks of jobs completed in the measured time, as a
	// share of the time of all slots.
	Goodput float64 `json:"goodput"`
	// Messages is the number of frames between the system's processes for each task.
	Messages float64 `json:"messages_a_task"`
	// WastedMessages is the number of frames for each task that made no progress:
	// refused starts with their refusals, late results that were dropped, and slots
	// returned unused.
	WastedMessages float64 `json:"wasted_messages_a_task"`
	// Attempts is the number of starts on targets for each task.
	Attempts float64 `json:"attempts_a_task"`
	// WrongAnswers is the number of answers that are partial or of another job.
	WrongAnswers int `json:"wrong_answers"`
	// StartedTwice is the number of tasks not repeatable that started more than once.
	StartedTwice int `json:"tasks_started_twice"`
	// EjectedAfterMS is the time from the fault until every entry had ejected the faulty
	// target, in milliseconds; 0 when some had not or no fault was set.
	EjectedAfterMS int64                       `json:"ejected_after_ms"`
	Usage          map[settings.Role]RoleUsage `json:"usage"`
	Reasons        map[string]int              `json:"reasons"`
}

func (r *run) report(arrivals []arrival, countersBefore map[string]int64, usageBefore map[settings.Role]usage) *Report {
	elapsed := time.Since(r.began)
	after := r.fleet.Counters()
	delta := func(name string) float64 { return float64(after[name] - countersBefore[name]) }
	starts := make(map[string]int)
	twice, attempts := 0, 0
	for _, s := range r.fleet.Ledger.Starts() {
		attempts++
		starts[s.Task]++
		if starts[s.Task] == 2 && !r.options.Repeatable {
			twice++
		}
	}
	tasks := float64(max(1, len(starts)))
	jobs := max(1, r.complete+r.failed+r.refused)
	measured := r.options.Duration - r.options.WarmUp
	report := &Report{
		Profile:        r.options.Profile.Name,
		Load:           r.options.Load,
		Seed:           r.options.Seed,
		Jobs:           jobs,
		Response:       quantiles(r.responseRatios),
		Oracle:         quantiles(oracle(arrivals, r.options)),
		Complete:       float64(r.complete) / float64(jobs),
		Failed:         float64(r.failed) / float64(jobs),
		Refused:        float64(r.refused) / float64(jobs),
		Goodput:        r.completedWork.Seconds() / (measured.Seconds() * workload.TotalSlots),
		Messages:       (delta("link_work_sent_frames") + delta("link_control_sent_frames")) / tasks,
		WastedMessages: (2*delta("retried_target_full") + delta("results_late") + 2*delta("slots_returned")) / tasks,
		Attempts:       float64(attempts) / tasks,
		WrongAnswers:   r.wrongAnswers,
		StartedTwice:   twice,
		Usage:          make(map[settings.Role]RoleUsage),
		Reasons:        r.reasons,
	}
	for role, now := range readUsage(r.fleet) {
		cpu := (now.cpu - usageBefore[role].cpu).Seconds() / elapsed.Seconds()
		report.Usage[role] = RoleUsage{
			CPUPercent: 100 * cpu / float64(now.nodes),
			MemoryMB:   float64(now.residentKiB) / 1024 / float64(now.nodes),
		}
	}
	return report
}

// row is one line of the printed table.
type row struct {
	name  string
	value float64
}

func (r *Report) rows() []row {
	rows := []row{
		{"jobs measured", float64(r.Jobs)},
		{"response over ideal p50", r.Response.P50},
		{"response over ideal p90", r.Response.P90},
		{"response over ideal p99", r.Response.P99},
		{"response over ideal p99.9", r.Response.P999},
		{"oracle p50", r.Oracle.P50},
		{"oracle p90", r.Oracle.P90},
		{"oracle p99", r.Oracle.P99},
		{"oracle p99.9", r.Oracle.P999},
		{"share complete", r.Complete},
		{"share failed", r.Failed},
		{"share refused", r.Refused},
		{"goodput of all slots", r.Goodput},
		{"messages a task", r.Messages},
		{"wasted messages a task", r.WastedMessages},
		{"attempts a task", r.Attempts},
		{"answers partial or of another job", float64(r.WrongAnswers)},
		{"tasks started twice", float64(r.StartedTwice)},
		{"ejected after ms", float64(r.EjectedAfterMS)},
	}
	for _, role := range []settings.Role{settings.RoleEntry, settings.RoleAgent} {
		rows = append(rows,
			row{string(role) + " cpu % of a core", r.Usage[role].CPUPercent},
			row{string(role) + " memory MB", r.Usage[role].MemoryMB})
	}
	return rows
}

// WriteText prints the report as a table. With an earlier report it adds the ratio of
// each value to the earlier one.
func (r *Report) WriteText(w io.Writer, earlier *Report) {
	_, _ = fmt.Fprintf(w, "profile %s, load %.2f, seed %d\n", r.Profile, r.Load, r.Seed)
	var old []row
	if earlier != nil {
		old = earlier.rows()
	}
	for i, line := range r.rows() {
		_, _ = fmt.Fprintf(w, "%-36s %10.3f", line.name, line.value)
		if old != nil && old[i].value != 0 {
			_, _ = fmt.Fprintf(w, "  x %.3f", line.value/old[i].value)
		}
		_, _ = fmt.Fprintln(w)
	}
	names := make([]string, 0, len(r.Reasons))
	for name := range r.Reasons {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(w, "not complete: %s %d\n", name, r.Reasons[name])
	}
}

// ReadReport reads a report that was written as JSON.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read report")
	}
	report := &Report{}
	return report, eris.Wrap(json.Unmarshal(data, report), "decode report")
}
