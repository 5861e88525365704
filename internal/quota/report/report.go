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
	Ceiling    Amount `json:"ceiling"`
	Guaranteed Amount `json:"guaranteed"`
	Owned      Amount `json:"owned"`
	// Used is what placements on record use; tasks that are not certainly gone count.
	Used Amount `json:"used"`
}

// Link is the state of the transfers with another region.
type Link struct {
	Region    string     `json:"region"`
	PeerEpoch uint64     `json:"epoch"` // 0 if its ledger is not known
	Sent      uint64     `json:"transfers_sent"`
	Received  uint64     `json:"transfers_received"`
	UnderWay  []Transfer `json:"under_way"`
}

// Transfer is a transfer that the other region has not confirmed.
type Transfer struct {
	Number uint64 `json:"number"`
	Team   string `json:"team"`
	Amount Amount `json:"amount"`
}

func units(a amount.Amount) Amount {
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
	c := &httpwire.Client{Addr: state, MaxIdle: 1}
	defer c.CloseIdle()
	items, err := list(c, ledger.Prefix, timeout)
	if err != nil {
		return nil, err
	}
	l, err := ledger.Load(items)
	if err != nil {
		return nil, err
	}
	if l.Epoch() == 0 {
		return nil, ErrNoLedger
	}
	used, err := readUsed(c, timeout)
	if err != nil {
		return nil, err
	}
	return build(l, used), nil
}

// list reads all records below a prefix.
func list(c *httpwire.Client, prefix string, timeout time.Duration) ([]wire.Item, error) {
	var items []wire.Item
	for after := ""; ; {
		path := "/store?limit=500&under=" + prefix
		if after != "" {
			path += "&since=" + after
		}
		r, err := c.Do("GET", path, nil, timeout)
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", prefix, err)
		}
		var page wire.Page
		if r.Status != 200 {
			return nil, fmt.Errorf("read %s: status %d", prefix, r.Status)
		}
		if err := json.Unmarshal(r.Body, &page); err != nil {
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
func readUsed(c *httpwire.Client, timeout time.Duration) (map[string]topology.Resources, error) {
	open, err := list(c, records.PrefixOpen, timeout)
	if err != nil {
		return nil, err
	}
	jobs := map[string]wire.Job{}
	for _, it := range open {
		var rec records.Open
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			return nil, fmt.Errorf("record %s: %w", it.Key, err)
		}
		jobs[it.Key[len(records.PrefixOpen):]] = rec.Job
	}
	places, err := list(c, records.PrefixPlace, timeout)
	if err != nil {
		return nil, err
	}
	used := map[string]topology.Resources{}
	for _, it := range places {
		var rec records.Placement
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			return nil, fmt.Errorf("record %s: %w", it.Key, err)
		}
		if r, ok := records.ParsePlaceKey(it.Key, 1); ok {
			j := jobs[r.Job]
			n := float64(len(rec.Tasks))
			used[j.Team] = used[j.Team].Add(topology.Resources{CPUs: j.CPUs * n, GPUs: j.GPUs * n})
		}
	}
	return used, nil
}

// build puts a report together.
func build(l *ledger.Ledger, used map[string]topology.Resources) *Report {
	r := &Report{Epoch: l.Epoch(), Fenced: l.Fenced()}
	for _, name := range l.Teams() {
		s, _ := l.Share(name)
		r.Teams = append(r.Teams, Team{Name: name, Ceiling: units(s.Ceiling), Guaranteed: units(s.Floor), Owned: units(s.Owned),
			Used: units(amount.OfResources(used[name]))})
	}
	for _, region := range l.Regions() {
		link := l.Link(region)
		out := Link{Region: region, PeerEpoch: link.PeerEpoch, Sent: link.Sent, Received: link.Received, UnderWay: []Transfer{}}
		for _, t := range link.Out {
			for _, p := range t.Parts {
				out.UnderWay = append(out.UnderWay, Transfer{Number: t.Number, Team: p.Team, Amount: units(p.Amount)})
			}
		}
		r.Links = append(r.Links, out)
	}
	sort.Slice(r.Links, func(a, b int) bool { return r.Links[a].Region < r.Links[b].Region })
	return r
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// String writes an amount as CPUs and GPUs; "-" for no limit.
func (a Amount) String() string { return text(a.CPUs) + " / " + text(a.GPUs) }

func text(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%g", *v)
}

// WriteTable writes the report for people. Amounts are CPUs / GPUs.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if r.Fenced != "" {
		fmt.Fprintf(t, "FENCED: %s\n", r.Fenced)
	}
	fmt.Fprintln(t, "team\tceiling\tguaranteed here\towned here\tused here")
	for _, x := range r.Teams {
		fmt.Fprintf(t, "%s\t%v\t%v\t%v\t%v\n", x.Name, x.Ceiling, x.Guaranteed, x.Owned, x.Used)
	}
	fmt.Fprintln(t, "\nregion\ttransfers sent\treceived\tunder way")
	for _, x := range r.Links {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", x.Region, x.Sent, x.Received, len(x.UnderWay))
		for _, u := range x.UnderWay {
			fmt.Fprintf(t, "  %d\t%s\t%v\t\n", u.Number, u.Team, u.Amount)
		}
	}
	return t.Flush()
}
