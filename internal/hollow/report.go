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
	"time"

	"github.com/brookwalk/brookwalk/internal/httpserve"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/brookwalk/brookwalk/internal/history"
	"github.com/brookwalk/brookwalk/internal/sim"
)

// Report is what a run has shown. Times are in seconds, amounts of data in bytes
// unless their name says otherwise.
type Report struct {
	Experiment  string  `json:"experiment"`
	Seconds     float64 `json:"seconds"`
	Interrupted bool    `json:"interrupted"`

	Workers      int `json:"workers"` // up at the end
	Tasks        int `json:"tasks"`   // on machines at the end
	Jobs         int `json:"jobs"`    // accepted and not over at the end
	Accepted     int `json:"jobs_accepted"`
	StartsSent   int `json:"start_commands"`
	ExpiredTasks int `json:"tasks_lost_with_a_lease"`

	Processes []ProcessReport    `json:"roles"`
	Channels  map[string]Channel `json:"channels"`

	StoreKeys        int       `json:"state_keys"`
	StoreChangesPerS float64   `json:"state_changes_a_second"`
	StoreThrottled   int       `json:"state_refused_for_rates"`
	StartsPeak       float64   `json:"starts_a_second_peak"` // mean of the best 5 s
	StartsMean       float64   `json:"starts_a_second"`
	Urgent           WaitStats `json:"urgent_wait"`

	Waits                 map[string]WaitStats `json:"waits"`
	FailoverStartS        []float64            `json:"next_start_after_leader_s"`
	FailoversWithoutStart int                  `json:"leaders_without_a_next_start"`
	Violations            []string             `json:"rules_broken"`

	// Of a run of several regions: each region's report, and the teams' use over all of them.
	Regions []*Report   `json:"regions,omitempty"`
	Teams   []TeamUsage `json:"teams,omitempty"`
	// History is the course of the run.
	History *history.Log `json:"-"`
}

// ProcessReport is what one process has used.
type ProcessReport struct {
	Name             string  `json:"name"`
	Role             string  `json:"role"` // leader, follower (at the end) or stand-ins
	Cores            float64 `json:"cores"`
	CoresSteady      float64 `json:"cores_steady"` // over the last two fifths of the run
	CoresPeak        float64 `json:"cores_peak"`   // over one second
	PeakMemoryMB     float64 `json:"peak_memory_mb"`
	ReadBytesPerS    float64 `json:"read_bytes_per_s"`
	WrittenBytesPerS float64 `json:"written_bytes_per_s"`
	Sockets          int     `json:"sockets"`
	Starts           int     `json:"starts"`
	UnexpectedEnds   int     `json:"ended_by_itself"`
}

// Channel is what passed between the controllers and one kind of stand-in.
type Channel struct {
	MessagesPerS float64 `json:"messages_per_s"` // requests; each has one answer
	InBytesPerS  float64 `json:"request_bytes_per_s"`
	OutBytesPerS float64 `json:"response_bytes_per_s"`
}

// WaitStats is how long tasks waited from the first attempt to submit their job to their
// first start.
type WaitStats struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_s"`
	P90   float64 `json:"p90_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
}

func waitStats(h *hdrhistogram.Histogram) WaitStats {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return WaitStats{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / 1000}
}

// report gathers the report of a run that took a time.
func (r *runner) report(ran time.Duration) *Report {
	var counts sim.Counts
	leader := -1
	r.live.Do(func() {
		counts = r.live.Counts()
		if i, ok := r.live.Leader(); ok {
			leader = i
		}
	})
	observer := r.observer
	rep := &Report{Experiment: r.experiment.Name, Seconds: ran.Seconds(), Workers: counts.Workers, Tasks: counts.Tasks, Jobs: counts.Jobs, Accepted: counts.Accepted,
		StartsSent: counts.Starts, ExpiredTasks: counts.ExpiredTasks, FailoverStartS: []float64{}, StoreKeys: counts.StoreKeys, StoreChangesPerS: perSecond(float64(counts.StoreChanges), ran.Seconds()), StoreThrottled: counts.StoreThrottled,
		StartsPeak: observer.peakStarts(), StartsMean: perSecond(float64(observer.starts), ran.Seconds()), Urgent: waitStats(observer.urgentWaits),
		History: r.history, Waits: map[string]WaitStats{}, FailoversWithoutStart: observer.failoversWithoutStart, Violations: append([]string{}, counts.Violations...)}
	if observer.killedTerm != 0 {
		rep.FailoversWithoutStart++
	}
	for class, h := range observer.waits {
		rep.Waits[class] = waitStats(h)
	}
	for _, d := range observer.failoverTimes {
		rep.FailoverStartS = append(rep.FailoverStartS, d.Seconds())
	}
	for i, controller := range r.controllers {
		role := "follower"
		if i == leader {
			role = "leader"
		}
		rep.Processes = append(rep.Processes, newProcessReport(controller.name, role, &controller.usage, controller.starts, controller.unexpectedEnds))
	}
	rep.Processes = append(rep.Processes, newProcessReport("stand-ins", "stand-ins", &r.standInUsage, 1, 0))
	rep.Channels = map[string]Channel{
		"workers' reports": newChannel(&r.workerTraffic, ran), "direct commands": newChannel(&r.commandTraffic, ran), "users": newChannel(&r.userTraffic, ran),
		"state service": newChannel(&r.storeTraffic, ran), "cloud": newChannel(&r.cloudTraffic, ran),
	}
	rep.Channels["between controllers"] = r.peerChannel(ran)
	return rep
}

func newProcessReport(name, role string, m *processMeter, starts, ended int) ProcessReport {
	return ProcessReport{Name: name, Role: role, Cores: m.cores(), CoresSteady: m.steadyCores(), CoresPeak: m.peakCores,
		PeakMemoryMB: float64(m.total.peakKB) / 1024, ReadBytesPerS: perSecond(float64(m.total.readBytes), m.seconds),
		WrittenBytesPerS: perSecond(float64(m.total.writtenBytes), m.seconds), Sockets: m.total.sockets, Starts: starts, UnexpectedEnds: ended}
}

func newChannel(t *httpserve.Traffic, ran time.Duration) Channel {
	s := ran.Seconds()
	return Channel{perSecond(float64(t.Requests.Load()), s), perSecond(float64(t.RequestBytes.Load()), s), perSecond(float64(t.ResponseBytes.Load()), s)}
}

// peerChannel is what the controllers sent each other: what they read, less what
// the stand-ins sent them. Messages are not counted there.
func (r *runner) peerChannel(ran time.Duration) Channel {
	read := int64(0)
	for _, controller := range r.controllers {
		read += controller.usage.total.readBytes
	}
	for _, t := range []*httpserve.Traffic{&r.workerTraffic, &r.userTraffic} {
		read -= t.RequestBytes.Load()
	}
	for _, t := range []*httpserve.Traffic{&r.commandTraffic, &r.storeTraffic, &r.cloudTraffic} {
		read -= t.ResponseBytes.Load()
	}
	return Channel{InBytesPerS: perSecond(float64(max(0, read)), ran.Seconds())}
}

// WriteJSON writes the report to a file.
func (rep *Report) WriteJSON(path string) error {
	b, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

// WriteTable writes a short table.
func (rep *Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(rep.Regions) > 0 {
		for _, r := range rep.Regions {
			if err := r.WriteTable(out); err != nil {
				return err
			}
			fmt.Fprintln(out)
		}
		rep.writeTeamTable(table)
		rep.writeViolations(table)
		return table.Flush()
	}
	fmt.Fprintf(table, "%s: %.0f s, %d workers, %d tasks on machines, %d jobs (%d accepted)\n", rep.Experiment, rep.Seconds, rep.Workers, rep.Tasks, rep.Jobs, rep.Accepted)
	fmt.Fprintln(table, "process\trole\tcores\tsteady\tpeak\tmemory MB\tread KB/s\twritten KB/s\tsockets")
	for _, r := range rep.Processes {
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.2f\t%.0f\t%.0f\t%.0f\t%d\n", r.Name, r.Role, r.Cores, r.CoresSteady, r.CoresPeak,
			r.PeakMemoryMB, r.ReadBytesPerS/1024, r.WrittenBytesPerS/1024, r.Sockets)
	}
	fmt.Fprintln(table, "channel\tmessages/s\trequests KB/s\tanswers KB/s")
	for _, name := range slices.Sorted(maps.Keys(rep.Channels)) {
		c := rep.Channels[name]
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%.1f\n", name, c.MessagesPerS, c.InBytesPerS/1024, c.OutBytesPerS/1024)
	}
	fmt.Fprintln(table, "wait\ttasks\tp50 s\tp90 s\tp99 s\tmax s")
	for _, class := range slices.Sorted(maps.Keys(rep.Waits)) {
		rep.Waits[class].writeRow(table, class)
	}
	rep.Urgent.writeRow(table, "urgent and critical")
	fmt.Fprintf(table, "state service: %d keys, %.0f changes a second, %d requests refused for its rates\n", rep.StoreKeys, rep.StoreChangesPerS, rep.StoreThrottled)
	fmt.Fprintf(table, "starts a second: %.0f on average, %.0f at the peak; next start after a leader's end: %.2f s\n", rep.StartsMean, rep.StartsPeak, rep.FailoverStartS)
	rep.writeViolations(table)
	return table.Flush()
}

// writeViolations writes which rules were broken.
func (rep *Report) writeViolations(w io.Writer) {
	fmt.Fprintf(w, "rules broken: %d\n", len(rep.Violations))
	for _, b := range rep.Violations[:min(len(rep.Violations), 10)] {
		fmt.Fprintln(w, " ", b)
	}
}

// WritePage writes the report and the course of the run as one HTML page.
func (rep *Report) WritePage(path string) error {
	var table strings.Builder
	if err := rep.WriteTable(&table); err != nil {
		return err
	}
	return rep.History.WritePage(path, "Run of "+rep.Experiment, table.String())
}

func (v WaitStats) writeRow(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\n", name, v.Count, v.P50, v.P90, v.P99, v.Max)
}
