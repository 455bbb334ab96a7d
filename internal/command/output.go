package command

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const tablePadding = 2

// printMessage prints m as JSON or as the table returned by rows.
func (c *invocation) printMessage(m proto.Message, rows func() [][]string) error {
	if c.output == outputTable {
		return c.printTable(rows())
	}
	b, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Out, string(b))
	return err
}

func (c *invocation) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(c.Out, 0, 0, tablePadding, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}
