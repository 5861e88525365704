package hollow

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteJSON writes the report to a file as JSON.
func (r *Report) WriteJSON(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// maxListedViolations bounds how many violations a table lists.
const maxListedViolations = 10

// WriteTable writes a summary of the report as text tables. With several regions, it writes one
// summary for each region and a table of the teams' usage.
func (r *Report) WriteTable(out io.Writer) error {
	var text strings.Builder
	if len(r.Regions) > 0 {
		for _, region := range r.Regions {
			if err := region.WriteTable(out); err != nil {
				return err
			}
			if _, err := fmt.Fprintln(out); err != nil {
				return err
			}
		}
		r.writeTeams(&text)
	} else {
		r.writeRun(&text)
	}
	r.writeViolations(&text)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	return table.Flush()
}

// writeRun writes the summary of a single region.
func (r *Report) writeRun(out *strings.Builder) {
	fmt.Fprintf(out, "%s: %.0f s, %d workers, %d tasks on machines, %d jobs (%d accepted)\n", r.Experiment, r.DurationS, r.Workers, r.Tasks, r.Jobs, r.AcceptedJobs)
	fmt.Fprintln(out, "process\trole\tcores\tsteady\tpeak\tmemory MB\tread KB/s\twritten KB/s\tsockets")
	for _, p := range r.Processes {
		fmt.Fprintf(out, "%s\t%s\t%.3f\t%.3f\t%.2f\t%.0f\t%.0f\t%.0f\t%d\n", p.Name, p.Role, p.Cores, p.SteadyCores, p.PeakCores,
			p.PeakMemoryMB, p.ReadBytesPerS/1024, p.WrittenBytesPerS/1024, p.Sockets)
	}
	fmt.Fprintln(out, "channel\tmessages/s\trequests KB/s\tanswers KB/s")
	for _, name := range slices.Sorted(maps.Keys(r.Traffic)) {
		traffic := r.Traffic[name]
		fmt.Fprintf(out, "%s\t%.1f\t%.1f\t%.1f\n", name, traffic.MessagesPerS, traffic.RequestBytesPerS/1024, traffic.ResponseBytesPerS/1024)
	}
	fmt.Fprintln(out, "wait\ttasks\tp50 s\tp90 s\tp99 s\tmax s")
	for _, class := range slices.Sorted(maps.Keys(r.Waits)) {
		r.Waits[class].writeRow(out, class)
	}
	r.UrgentWaits.writeRow(out, "urgent and critical")
	fmt.Fprintf(out, "state service: %d keys, %.0f changes a second, %d requests refused for its rates\n", r.StoreKeys, r.StoreChangesPerS, r.StoreThrottled)
	fmt.Fprintf(out, "starts a second: %.0f on average, %.0f at the peak; next start after a leader's end: %.2f s\n", r.MeanStartsPerS, r.PeakStartsPerS, r.FailoverS)
}

// writeTeams writes the teams' peak usage over all regions.
func (r *Report) writeTeams(out *strings.Builder) {
	fmt.Fprintln(out, "team over all regions\tGPUs most used\tceiling\tCPUs most used\tceiling")
	for _, team := range r.Teams {
		fmt.Fprintf(out, "%s\t%g\t%g\t%g\t%g\n", team.Name, team.PeakGPUs, team.GPULimit, team.PeakCPUs, team.CPULimit)
	}
}

// writeViolations writes the number of rule violations and the first of them.
func (r *Report) writeViolations(out *strings.Builder) {
	fmt.Fprintf(out, "rules broken: %d\n", len(r.Violations))
	for _, violation := range r.Violations[:min(len(r.Violations), maxListedViolations)] {
		fmt.Fprintln(out, " ", violation)
	}
}

// WritePage writes the report and the history of the run as one HTML page.
func (r *Report) WritePage(path string) error {
	var table strings.Builder
	if err := r.WriteTable(&table); err != nil {
		return err
	}
	return r.History.WritePage(path, "Run of "+r.Experiment, table.String())
}

func (s WaitStats) writeRow(out *strings.Builder, name string) {
	fmt.Fprintf(out, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\n", name, s.Count, s.P50, s.P90, s.P99, s.Max)
}
