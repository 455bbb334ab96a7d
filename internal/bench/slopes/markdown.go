package slopes

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// WriteMarkdown writes the slopes as the Markdown table of docs/CAPACITY.md.
func (r *Result) WriteMarkdown(w io.Writer) error {
	lines := []string{
		"| unit | role | cost | slope | error | base |",
		"|---|---|---|---|---|---|",
	}
	for _, row := range r.Rows {
		lines = append(lines, fmt.Sprintf("| %s | %s | %s | %s | %s | %s |",
			row.Unit, row.Role, row.Cost, formatFigure(row.Slope), formatFigure(row.Error), formatFigure(row.Base)))
	}
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}

// Absolute values from which a figure is written with no decimals and with one.
const (
	noDecimalsFrom = 100
	oneDecimalFrom = 10
)

func formatFigure(v float64) string {
	switch a := math.Abs(v); {
	case a >= noDecimalsFrom:
		return fmt.Sprintf("%.0f", v)
	case a >= oneDecimalFrom:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.2f", v)
	}
}
