package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a human-readable table. Amounts are written as "CPUs / GPUs".
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, r.cells()); err != nil {
		return err
	}
	return table.Flush()
}

// cells returns the table with tabs between its cells.
func (r *Report) cells() string {
	var table strings.Builder
	if r.FenceReason != "" {
		fmt.Fprintf(&table, "FENCED: %s\n", r.FenceReason)
	}
	fmt.Fprintln(&table, "team\tceiling\tguaranteed here\towned here\tused here")
	for _, team := range r.Teams {
		fmt.Fprintf(&table, "%s\t%v\t%v\t%v\t%v\n", team.Name, team.Limit, team.Guaranteed, team.Owned, team.Used)
	}
	fmt.Fprintln(&table, "\nregion\ttransfers sent\treceived\tunder way")
	for _, link := range r.Links {
		fmt.Fprintf(&table, "%s\t%d\t%d\t%d\n", link.Region, link.Sent, link.Received, len(link.InTransit))
		for _, transfer := range link.InTransit {
			fmt.Fprintf(&table, "  %d\t%s\t%v\t\n", transfer.Number, transfer.Team, transfer.Amount)
		}
	}
	return table.String()
}
