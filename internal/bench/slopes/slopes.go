// Package slopes measures what one more link, target, watch, change, task, ticket, team
// or roster member costs a process. Each scenario runs at three sizes and fits a line;
// its slope, given with its standard error, is the cost of one unit. The role under
// test is a real process. Where hundreds of peers are needed, the bench process simulates
// them: such a light agent or light entry is a link without a process of its own, on which
// the bench process speaks the peer protocol.
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

// Names in the fleets under test.
const (
	dataCentre = "dc1"
	department = "slopes"
)

// Options select what is measured and how.
type Options struct {
	// Only names one scenario; empty runs all.
	Only string
	// Seed is recorded in the result; no load depends on it.
	Seed int64
	// Heartbeat is the interval at which light agents, which are simulated by links
	// without a process of their own, request permits.
	Heartbeat time.Duration
	// HandshakeRate is the entry's limit of handshakes per second; 0 keeps its default.
	HandshakeRate int
}

// Row is one fitted slope.
type Row struct {
	// Unit is what is counted, such as "idle link".
	Unit string `json:"unit"`
	// Role is the kind of process that has the cost.
	Role string `json:"role"`
	// Cost names the resource, with its unit of measure.
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

// Run measures the selected scenarios, or all, one after the other.
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

// Merge replaces the rows whose units are in next and keeps the others.
func (r *Result) Merge(next *Result) {
	replaced := make(map[string]bool)
	for _, row := range next.Rows {
		replaced[row.Unit] = true
	}
	kept := r.Rows[:0]
	for _, row := range r.Rows {
		if !replaced[row.Unit] {
			kept = append(kept, row)
		}
	}
	r.Seed, r.Heartbeat = next.Seed, next.Heartbeat
	r.Rows = append(kept, next.Rows...)
}

// WriteTable writes the slopes as a text table.
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

// WriteJSON writes the slopes with the points they were fitted to.
func (r *Result) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// series collects the runs of one unit at one role, by cost.
type series struct {
	unit   string
	role   string
	order  []string // the costs, in the order in which they were added
	points map[string][]Point
}

func newSeries(unit, role string) *series {
	return &series{unit: unit, role: role, points: make(map[string][]Point)}
}

// measureSeries measures one series at each number of units.
func measureSeries(unit, role string, counts []int, measureAt func(s *series, n int) error) ([]Row, error) {
	s := newSeries(unit, role)
	for _, n := range counts {
		if err := measureAt(s, n); err != nil {
			return nil, err
		}
	}
	return s.rows(), nil
}

func (s *series) add(cost string, units, value float64) {
	if _, ok := s.points[cost]; !ok {
		s.order = append(s.order, cost)
	}
	s.points[cost] = append(s.points[cost], Point{Units: units, Cost: value})
}

// rows fits a line to each cost. Error becomes 0 where it can't be estimated, since
// JSON has no NaN.
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

// startFleet starts a fleet of entries and agents in one data centre. Its nodes connect
// directly, without the relays that simulate distance and partitions.
func startFleet(ctx context.Context, entries, agents int, overrides fleet.Overrides) (*fleet.Fleet, error) {
	spec := fleet.Spec{
		Trace:                "slopes",
		EntriesPerDataCentre: entries,
		DataCentres:          []string{dataCentre},
		Departments:          []fleet.Department{{Name: department}},
		Direct:               true,
		Overrides:            overrides,
	}
	for i := range agents {
		spec.Targets = append(spec.Targets, fleet.Target{
			Name:       fmt.Sprintf("runner-%d", i+1),
			DataCentre: dataCentre,
			Rack:       fmt.Sprintf("rack-%d", i/3+1),
			Slots:      lightTargetSlots,
			Size:       fleet.Size{CPUs: lightTargetCPUs, MemoryMB: lightTargetMemoryMB},
		})
	}
	return fleet.Start(ctx, spec)
}

// sleep waits for d, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
