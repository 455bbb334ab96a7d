// Package slopes measures what one more link, target, watch, change, task,
// ticket, team or roster member costs a process: runs at three sizes with a
// fitted line and its error. The role under test is a real process; its peers
// are light links from the bench where hundreds are needed.
package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
)

// Names of the fleets under test.
const (
	dataCentre = "dc1"
	department = "slopes"
)

// Options selects what is measured.
type Options struct {
	// Only names one scenario; empty runs all.
	Only string
	// Seed is written to the result; the loads are drawn from it.
	Seed int64
	// Heartbeat is the interval at which light agents ask for permits.
	Heartbeat time.Duration
	// HandshakeRate is the entry's setting; 0 keeps its default.
	HandshakeRate int
}

// Row is one fitted slope.
type Row struct {
	// Unit is what is counted, such as "idle link".
	Unit string `json:"unit"`
	// Role is the process that bears the cost.
	Role string `json:"role"`
	// Cost names what is spent, with its unit of measure.
	Cost string `json:"cost"`
	Line
	Points []Point `json:"points"`
}

// Result is the outcome of a run.
type Result struct {
	Seed      int64  `json:"seed"`
	Heartbeat string `json:"heartbeat"`
	Rows      []Row  `json:"rows"`
}

// scenario measures the slopes of one unit.
type scenario struct {
	name string
	run  func(context.Context, Options) ([]Row, error)
}

func scenarios() []scenario {
	return []scenario{
		{"link", measureLinks},
		{"target", measureTargets},
		{"watch", measureWatches},
		{"change", measureChanges},
		{"task", measureTasks},
		{"ticket", measureTickets},
		{"team", measureTeams},
		{"roster", measureRoster},
	}
}

// Names returns the names of the scenarios.
func Names() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

// Run measures the selected scenarios one after the other.
func Run(ctx context.Context, o Options) (*Result, error) {
	result := &Result{Seed: o.Seed, Heartbeat: o.Heartbeat.String()}
	found := false
	for _, s := range scenarios() {
		if o.Only != "" && o.Only != s.name {
			continue
		}
		found = true
		rows, err := s.run(ctx, o)
		if err != nil {
			return nil, eris.Wrapf(err, "scenario %s", s.name)
		}
		result.Rows = append(result.Rows, rows...)
	}
	if !found {
		return nil, eris.Errorf("no scenario %q", o.Only)
	}
	return result, nil
}

// Merge replaces the rows of the units in next and keeps the others.
func (r *Result) Merge(next *Result) {
	fresh := make(map[string]bool)
	for _, row := range next.Rows {
		fresh[row.Unit] = true
	}
	kept := r.Rows[:0]
	for _, row := range r.Rows {
		if !fresh[row.Unit] {
			kept = append(kept, row)
		}
	}
	r.Seed, r.Heartbeat = next.Seed, next.Heartbeat
	r.Rows = append(kept, next.Rows...)
}

// WriteTable writes the slopes as text.
func (r *Result) WriteTable(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%-24s %-6s %-28s %12s %12s %12s\n", "unit", "role", "cost", "slope", "error", "base"); err != nil {
		return err
	}
	for _, row := range r.Rows {
		_, err := fmt.Fprintf(w, "%-24s %-6s %-28s %12.3f %12.3f %12.1f\n", row.Unit, row.Role, row.Cost, row.Slope, row.Error, row.Base)
		if err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes the slopes with their runs.
func (r *Result) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// series collects the runs of one unit.
type series struct {
	unit   string
	role   string
	order  []string
	points map[string][]Point
}

func newSeries(unit, role string) *series {
	return &series{unit: unit, role: role, points: make(map[string][]Point)}
}

func (s *series) add(cost string, units, value float64) {
	if _, ok := s.points[cost]; !ok {
		s.order = append(s.order, cost)
	}
	s.points[cost] = append(s.points[cost], Point{Units: units, Cost: value})
}

func (s *series) rows() []Row {
	var rows []Row
	for _, cost := range s.order {
		line := Fit(s.points[cost])
		if math.IsNaN(line.Error) {
			line.Error = 0
		}
		rows = append(rows, Row{Unit: s.unit, Role: s.role, Cost: cost, Line: line, Points: s.points[cost]})
	}
	return rows
}

// startFleet starts a fleet of entries and agents in one data centre, without
// relays.
func startFleet(ctx context.Context, entries, agents int, tune fleet.Tune) (*fleet.Fleet, error) {
	spec := fleet.Spec{
		Trace:                "slopes",
		EntriesPerDataCentre: entries,
		DataCentres:          []string{dataCentre},
		Departments:          []fleet.Department{{Name: department}},
		Direct:               true,
		Tune:                 tune,
	}
	for i := range agents {
		spec.Targets = append(spec.Targets, fleet.Target{
			Name:       fmt.Sprintf("runner-%d", i+1),
			DataCentre: dataCentre,
			Rack:       fmt.Sprintf("rack-%d", i/3+1),
			Slots:      lightSlots,
			Size:       fleet.Size{CPUs: lightCPUs, MemoryMB: lightMemory},
		})
	}
	return fleet.Start(ctx, spec)
}

// pause waits unless ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
