package slopes

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// WriteMarkdown writes the slopes as the table of the capacity page.
func (r *Result) WriteMarkdown(w io.Writer) error {
	lines := []string{
		"| unit | role | cost | slope | error | base |",
		"|---|---|---|---|---|---|",
	}
	for _, row := range r.Rows {
		lines = append(lines, fmt.Sprintf("| %s | %s | %s | %s | %s | %s |",
			row.Unit, row.Role, row.Cost, figure(row.Slope), figure(row.Error), figure(row.Base)))
	}
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}

// Limits of the decimals that a figure is written with.
const (
	noDecimals = 100
	oneDecimal = 10
)

func figure(v float64) string {
	switch a := math.Abs(v); {
	case a >= noDecimals:
		return fmt.Sprintf("%.0f", v)
	case a >= oneDecimal:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.2f", v)
	}
}
