package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Table is the output of a command in a form for people.
type Table struct {
	Header []string
	Rows   [][]string
}

// Print writes the table if Out is a terminal. It writes value as JSON if Out is not a
// terminal or asJSON is set.
func (s Streams) Print(asJSON bool, value any, table Table) error {
	if asJSON || !s.Terminal {
		encoder := json.NewEncoder(s.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	const padding = 2
	writer := tabwriter.NewWriter(s.Out, 0, 0, padding, ' ', 0)
	for _, row := range append([][]string{table.Header}, table.Rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}
