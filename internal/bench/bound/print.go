package bound

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// minPrintedLoss is the smallest lost share of the credit for which a window is printed.
const minPrintedLoss = 0.015

// Print writes the bound of a day as a table, with the causes of the loss in each window
// that lost at least minPrintedLoss, and a summary line.
func Print(out io.Writer, d *Day) error {
	r := Compute(d)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%s\tasked\tearned\tbound\tlost to outages\tto want of room\tabove it\tlate\trefused\tfailed\t\n", d.Name)
	for _, row := range r.Rows {
		if 1-row.Worth < minPrintedLoss {
			continue
		}
		_, _ = fmt.Fprintf(t, "%.0f s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t\n", row.Start.Seconds(),
			row.Asked, row.Worth, row.Bound, row.OutageLoss, row.CapacityLoss, row.Gap, row.Late, row.Refused, row.Failed)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s: worth %.3f, bound %.3f (credit %.3f, worst windows %.3f, machines %.3f)\n\n",
		d.Name, d.Score, r.ScoreBound, r.ServedBound, r.WorstWindowsBound, d.MachinePrice)
	return err
}
