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

// Parameters of MeasureBudget: the idle fleet and the measurement.
const (
	budgetDataCentres = 3
	budgetEntries     = 2 // in each data centre
	budgetSettleTime  = 3 * time.Second
	budgetWindow      = 10 * time.Second
)

// RoleCost is the resource usage of the nodes of one role in an idle fleet.
type RoleCost struct {
	Role  string `json:"role"`
	Nodes int    `json:"nodes"`
	// Processor is the CPU time in percent of one core.
	Processor Mean `json:"processor_percent"`
	// Memory is the resident anonymous memory in MB.
	Memory Mean `json:"memory_mb"`
	// Control is the size of control frames sent and received, in bytes per second,
	// without QUIC headers.
	Control Mean `json:"control_bytes_s"`
}

// Mean is the mean and the maximum over the nodes of a role.
type Mean struct {
	Sum float64 `json:"-"`
	// Mean is Sum divided by the number of nodes. It is set after the last node.
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

func (m *Mean) add(v float64) {
	m.Sum += v
	m.Max = max(m.Max, v)
}

// MeasureBudget runs a fleet of real processes with n targets and no work, and
// measures the resource usage of its nodes. Each agent links with the given number of
// entries, or with all if links is 0.
func MeasureBudget(ctx context.Context, n, links int) ([]RoleCost, error) {
	spec := fleet.Spec{
		Trace:                "budget",
		EntriesPerDataCentre: budgetEntries,
		Direct:               true,
		Departments:          []fleet.Department{{Name: department}},
		Overrides:            fleet.Overrides{LinksPerAgent: links},
	}
	for i := range budgetDataCentres {
		spec.DataCentres = append(spec.DataCentres, fmt.Sprintf("dc%d", i+1))
	}
	for i := range n {
		spec.Targets = append(spec.Targets, fleet.Target{
			Name:       fmt.Sprintf("runner-%d", i+1),
			DataCentre: spec.DataCentres[i%budgetDataCentres],
			Rack:       fmt.Sprintf("rack-%d", i/3+1),
			Slots:      lightTargetSlots,
			Size:       fleet.Size{CPUs: lightTargetCPUs, MemoryMB: lightTargetMemoryMB},
		})
	}
	f, err := fleet.Start(ctx, spec)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := sleep(ctx, budgetSettleTime); err != nil {
		return nil, err
	}
	return measureRoleCosts(ctx, f)
}

// measureRoleCosts measures all nodes over one window.
func measureRoleCosts(ctx context.Context, f *fleet.Fleet) ([]RoleCost, error) {
	before := make(map[string]nodeReading)
	for _, node := range f.Nodes() {
		reading, err := readNode(f, node)
		if err != nil {
			return nil, eris.Wrapf(err, "read resource usage and metrics of node %s", node.Name)
		}
		before[node.Name] = reading
	}
	if err := sleep(ctx, budgetWindow); err != nil {
		return nil, err
	}
	entries, agents := &RoleCost{Role: "entry"}, &RoleCost{Role: "agent"}
	for _, node := range f.Nodes() {
		after, err := readNode(f, node)
		if err != nil {
			return nil, eris.Wrapf(err, "read resource usage and metrics of node %s", node.Name)
		}
		cost := agents
		if node.Role == settings.RoleEntry {
			cost = entries
		}
		cost.add(before[node.Name], after)
	}
	return []RoleCost{entries.means(), agents.means()}, nil
}

const (
	percent  = 100
	megabyte = 1 << 20
)

// add adds one node, from its readings at the start and the end of the window.
func (c *RoleCost) add(before, after nodeReading) {
	seconds := after.usage.at.Sub(before.usage.at).Seconds()
	_, bytes := controlTraffic(before.values, after.values)
	c.Nodes++
	c.Processor.add(percent * coresUsed(before.usage, after.usage))
	c.Memory.add(float64(after.usage.memory) / megabyte)
	c.Control.add(bytes / seconds)
}

func (c *RoleCost) means() RoleCost {
	for _, m := range []*Mean{&c.Processor, &c.Memory, &c.Control} {
		m.Mean = m.Sum / float64(max(1, c.Nodes))
	}
	return *c
}

// WriteRoleCosts prints the resource usage of an idle fleet, one line per role.
func WriteRoleCosts(w io.Writer, costs []RoleCost) error {
	for _, c := range costs {
		_, err := fmt.Fprintf(w, "%-6s %4d nodes  processor %.2f %% (max %.2f)  memory %.1f MB (max %.1f)  control %.0f B/s (max %.0f)\n",
			c.Role, c.Nodes, c.Processor.Mean, c.Processor.Max, c.Memory.Mean, c.Memory.Max, c.Control.Mean, c.Control.Max)
		if err != nil {
			return err
		}
	}
	return nil
}
