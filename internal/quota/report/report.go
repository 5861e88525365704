// Package report shows operators what a region owns of the teams' ceilings. It reads the
// records of the region's state service and changes nothing.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// Report is a region's ledger at a moment. Amounts are CPUs and GPUs; nil stands for no limit.
type Report struct {
	Epoch  uint64 `json:"epoch"`
	Fenced string `json:"fenced,omitempty"`
	Teams  []Team `json:"teams"`
	Links  []Link `json:"links"`
}

// Amount is a number of CPUs and GPUs; nil for a resource without a limit.
type Amount struct {
	CPUs *float64 `json:"cpus"`
	GPUs *float64 `json:"gpus"`
}

// Team is a team's share in the region.
type Team struct {
	Name       string `json:"team"`
	Limit      Amount `json:"ceiling"`
	Guaranteed Amount `json:"guaranteed"`
	Owned      Amount `json:"owned"`
	// Used is what placements on record use; tasks that are not certainly gone count.
	Used Amount `json:"used"`
}

// Link is the state of the transfers with another region.
type Link struct {
	Region      string     `json:"region"`
	RemoteEpoch uint64     `json:"epoch"` // 0 if its ledger is not known
	Sent        uint64     `json:"transfers_sent"`
	Received    uint64     `json:"transfers_received"`
	InTransit   []Transfer `json:"under_way"`
}

// Transfer is a transfer that the other region has not confirmed.
type Transfer struct {
	Number uint64 `json:"number"`
	Team   string `json:"team"`
	Amount Amount `json:"amount"`
}

func fromAmount(a amount.Amount) Amount {
	cpus, gpus := a.Units()
	return Amount{finite(cpus), finite(gpus)}
}

// largestFinite is above all amounts that a regions file may name.
const largestFinite = 1e15

func finite(v float64) *float64 {
	if v > largestFinite {
		return nil
	}
	return &v
}

// ErrNoLedger tells that the state service has no ledger: limits are not shared there.
var ErrNoLedger = errors.New("the state service has no quota ledger")

// Read reads the ledger from the state service at an address. The error names what could not
// be read.
func Read(state string, timeout time.Duration) (*Report, error) {
	client := &httpwire.Client{Addr: state, MaxIdle: 1}
	defer client.CloseIdle()
	items, err := listRecords(client, ledger.Prefix, timeout)
	if err != nil {
		return nil, err
	}
	loaded, err := ledger.Load(items)
	if err != nil {
		return nil, err
	}
	if loaded.Epoch() == 0 {
		return nil, ErrNoLedger
	}
	used, err := readUsed(client, timeout)
	if err != nil {
		return nil, err
	}
	return build(loaded, used), nil
}

// listRecords reads all records below a prefix.
func listRecords(client *httpwire.Client, prefix string, timeout time.Duration) ([]wire.Item, error) {
	var items []wire.Item
	for after := ""; ; {
		path := "/store?limit=500&under=" + prefix
		if after != "" {
			path += "&since=" + after
		}
		response, err := client.Do("GET", path, nil, timeout)
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", prefix, err)
		}
		var page wire.Page
		if response.Status != 200 {
			return nil, fmt.Errorf("read %s: status %d", prefix, response.Status)
		}
		if err := json.Unmarshal(response.Body, &page); err != nil {
			return nil, fmt.Errorf("read %s: %w", prefix, err)
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// readUsed adds up what placements on record use, by team.
func readUsed(client *httpwire.Client, timeout time.Duration) (map[string]topology.Resources, error) {
	open, err := listRecords(client, records.PrefixOpen, timeout)
	if err != nil {
		return nil, err
	}
	jobs := map[string]wire.Job{}
	for _, it := range open {
		var record records.Open
		if err := json.Unmarshal(it.Value, &record); err != nil {
			return nil, fmt.Errorf("record %s: %w", it.Key, err)
		}
		jobs[it.Key[len(records.PrefixOpen):]] = record.Job
	}
	placements, err := listRecords(client, records.PrefixPlacement, timeout)
	if err != nil {
		return nil, err
	}
	used := map[string]topology.Resources{}
	for _, it := range placements {
		var record records.Placement
		if err := json.Unmarshal(it.Value, &record); err != nil {
			return nil, fmt.Errorf("record %s: %w", it.Key, err)
		}
		if placement, ok := records.ParsePlacementKey(it.Key, 1); ok {
			job := jobs[placement.Job]
			n := float64(len(record.Tasks))
			used[job.Team] = used[job.Team].Add(topology.Resources{CPUs: job.CPUs * n, GPUs: job.GPUs * n})
		}
	}
	return used, nil
}

// build puts a report together.
func build(loaded *ledger.Ledger, used map[string]topology.Resources) *Report {
	report := &Report{Epoch: loaded.Epoch(), Fenced: loaded.FenceReason()}
	for _, name := range loaded.Teams() {
		share, _ := loaded.Share(name)
		report.Teams = append(report.Teams, Team{Name: name, Limit: fromAmount(share.Limit), Guaranteed: fromAmount(share.Guarantee), Owned: fromAmount(share.Owned),
			Used: fromAmount(amount.OfResources(used[name]))})
	}
	for _, region := range loaded.Regions() {
		link := loaded.Link(region)
		out := Link{Region: region, RemoteEpoch: link.RemoteEpoch, Sent: link.Sent, Received: link.Received, InTransit: []Transfer{}}
		for _, t := range link.Unacknowledged {
			for _, p := range t.Parts {
				out.InTransit = append(out.InTransit, Transfer{Number: t.Number, Team: p.Team, Amount: fromAmount(p.Amount)})
			}
		}
		report.Links = append(report.Links, out)
	}
	sort.Slice(report.Links, func(a, b int) bool { return report.Links[a].Region < report.Links[b].Region })
	return report
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// String writes an amount as CPUs and GPUs; "-" for no limit.
func (a Amount) String() string { return formatQuantity(a.CPUs) + " / " + formatQuantity(a.GPUs) }

func formatQuantity(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%g", *v)
}

// WriteTable writes the report for people. Amounts are CPUs / GPUs.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if r.Fenced != "" {
		fmt.Fprintf(table, "FENCED: %s\n", r.Fenced)
	}
	fmt.Fprintln(table, "team\tceiling\tguaranteed here\towned here\tused here")
	for _, x := range r.Teams {
		fmt.Fprintf(table, "%s\t%v\t%v\t%v\t%v\n", x.Name, x.Limit, x.Guaranteed, x.Owned, x.Used)
	}
	fmt.Fprintln(table, "\nregion\ttransfers sent\treceived\tunder way")
	for _, x := range r.Links {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", x.Region, x.Sent, x.Received, len(x.InTransit))
		for _, u := range x.InTransit {
			fmt.Fprintf(table, "  %d\t%s\t%v\t\n", u.Number, u.Team, u.Amount)
		}
	}
	return table.Flush()
}
