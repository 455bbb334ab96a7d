package bound

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// shown is the gap from the full credit from which on a window is printed.
const shown = 0.015

// Print writes the bound of a day, window by window, and what was lost to what.
func Print(out io.Writer, d *Day) error {
	r := Of(d)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%s\tasked\tearned\tbound\tlost to outages\tto want of room\tabove it\tlate\trefused\tfailed\t\n", d.Name)
	for _, row := range r.Rows {
		if 1-row.Worth < shown {
			continue
		}
		_, _ = fmt.Fprintf(t, "%.0f s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t\n", row.Start.Seconds(),
			row.Asked, row.Worth, row.Bound, row.Outage, row.Room, row.Gap, row.Late, row.Refused, row.Failed)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s: worth %.3f, bound %.3f (credit %.3f, worst windows %.3f, machines %.3f)\n\n",
		d.Name, d.Worth, r.Worth, r.Served, r.Worst, d.MachinePrice)
	return err
}
