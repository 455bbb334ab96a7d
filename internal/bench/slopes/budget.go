package slopes

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// The idle fleet that is held against the budget.
const (
	budgetCentres    = 3
	budgetEntries    = 2 // in each data centre
	budgetSettleTime = 3 * time.Second
	budgetWindow     = 10 * time.Second
)

// Spend is what nodes of one role spend on control, as mean and highest.
type Spend struct {
	Role  string `json:"role"`
	Nodes int    `json:"nodes"`
	// Processor is in percent of a core.
	Processor Mean `json:"processor_percent"`
	// Memory is resident, in MB.
	Memory Mean `json:"memory_mb"`
	// Control is in frame bytes a second, both ways, without headers of QUIC.
	Control Mean `json:"control_bytes_s"`
}

// Mean is a mean with the highest value.
type Mean struct {
	Sum float64 `json:"-"`
	// Mean is set by MeasureBudget.
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

func (m *Mean) add(v float64) {
	m.Sum += v
	m.Max = max(m.Max, v)
}

// MeasureBudget runs a fleet of real processes with n targets and no work.
func MeasureBudget(ctx context.Context, n, links int) ([]Spend, error) {
	spec := fleet.Spec{
		Trace:                "budget",
		EntriesPerDataCentre: budgetEntries,
		Direct:               true,
		Departments:          []fleet.Department{{Name: department}},
		Tune:                 fleet.Tune{Links: links},
	}
	for i := range budgetCentres {
		spec.DataCentres = append(spec.DataCentres, fmt.Sprintf("dc%d", i+1))
	}
	for i := range n {
		spec.Targets = append(spec.Targets, fleet.Target{
			Name:       fmt.Sprintf("runner-%d", i+1),
			DataCentre: spec.DataCentres[i%budgetCentres],
			Rack:       fmt.Sprintf("rack-%d", i/3+1),
			Slots:      lightSlots,
			Size:       fleet.Size{CPUs: lightCPUs, MemoryMB: lightMemory},
		})
	}
	f, err := fleet.Start(ctx, spec)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := pause(ctx, budgetSettleTime); err != nil {
		return nil, err
	}
	return spendOf(ctx, f)
}

// spendOf measures all nodes over one window.
func spendOf(ctx context.Context, f *fleet.Fleet) ([]Spend, error) {
	before := make(map[string]event)
	for _, node := range f.Nodes() {
		e, err := readEvent(f, node)
		if err != nil {
			return nil, eris.Wrap(err, node.Name)
		}
		before[node.Name] = e
	}
	if err := pause(ctx, budgetWindow); err != nil {
		return nil, err
	}
	entries, agents := &Spend{Role: "entry"}, &Spend{Role: "agent"}
	for _, node := range f.Nodes() {
		after, err := readEvent(f, node)
		if err != nil {
			return nil, eris.Wrap(err, node.Name)
		}
		spend := agents
		if node.Role == settings.RoleEntry {
			spend = entries
		}
		spend.add(before[node.Name], after)
	}
	return []Spend{entries.means(), agents.means()}, nil
}

// Scales of a report.
const (
	percent  = 100
	megabyte = 1 << 20
)

func (s *Spend) add(before, after event) {
	seconds := after.usage.at.Sub(before.usage.at).Seconds()
	_, bytes := control(before.values, after.values)
	s.Nodes++
	s.Processor.add(percent * cores(before.usage, after.usage))
	s.Memory.add(float64(after.usage.memory) / megabyte)
	s.Control.add(bytes / seconds)
}

func (s *Spend) means() Spend {
	for _, m := range []*Mean{&s.Processor, &s.Memory, &s.Control} {
		m.Mean = m.Sum / float64(max(1, s.Nodes))
	}
	return *s
}

// WriteSpend prints what an idle fleet spends.
func WriteSpend(w io.Writer, spends []Spend) error {
	for _, s := range spends {
		_, err := fmt.Fprintf(w, "%-6s %4d nodes  processor %.2f %% (max %.2f)  memory %.1f MB (max %.1f)  control %.0f B/s (max %.0f)\n",
			s.Role, s.Nodes, s.Processor.Mean, s.Processor.Max, s.Memory.Mean, s.Memory.Max, s.Control.Mean, s.Control.Max)
		if err != nil {
			return err
		}
	}
	return nil
}
