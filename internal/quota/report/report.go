// Package report shows operators a region's shares of the teams' limits, and the transfers with
// other regions.
//
// It reads the ledger, the unfinished jobs and the placements from the region's key-value store, and
// writes nothing to it. The command "quota show" of cmd/brookwalk calls it. No controller has to run.
package report

import (
	"fmt"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
)

// Report is the state of a region's ledger.
type Report struct {
	Epoch       uint64 `json:"epoch"`
	FenceReason string `json:"fenced,omitempty"` // why the region grants nothing; empty if it grants
	Teams       []Team `json:"teams"`
	Links       []Link `json:"links"`
}

// Amount is a quantity of CPUs and GPUs; nil for a resource without a limit.
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
	// Used is what the recorded placements use, including those of tasks whose termination is
	// not confirmed.
	Used Amount `json:"used"`
}

// Link is the state of the transfers with another region.
type Link struct {
	Region      string     `json:"region"`
	RemoteEpoch uint64     `json:"epoch"` // of that region's ledger; 0 if it is not known
	Sent        uint64     `json:"transfers_sent"`
	Received    uint64     `json:"transfers_received"`
	InTransit   []Transfer `json:"under_way"`
}

// Transfer is one team's part of a transfer that the other region has not acknowledged.
type Transfer struct {
	Number uint64 `json:"number"`
	Team   string `json:"team"`
	Amount Amount `json:"amount"`
}

func fromAmount(a amount.Amount) Amount {
	cpus, gpus := a.Units()
	return Amount{finite(cpus), finite(gpus)}
}

// largestFinite is above all amounts that a regions file may contain.
const largestFinite = 1e15

// finite returns the number, or nil if it stands for no limit.
func finite(number float64) *float64 {
	if number > largestFinite {
		return nil
	}
	return &number
}

// build creates a report from a ledger and the resources that each team uses.
func build(loaded *ledger.Ledger, used map[string]topology.Resources) *Report {
	report := &Report{Epoch: loaded.Epoch(), FenceReason: loaded.FenceReason()}
	for _, name := range loaded.Teams() {
		share, _ := loaded.Share(name)
		report.Teams = append(report.Teams, Team{
			Name:       name,
			Limit:      fromAmount(share.Limit),
			Guaranteed: fromAmount(share.Guarantee),
			Owned:      fromAmount(share.Owned),
			Used:       fromAmount(amount.OfResources(used[name])),
		})
	}
	for _, region := range loaded.Regions() {
		report.Links = append(report.Links, fromLink(region, loaded.Link(region)))
	}
	return report
}

func fromLink(region string, link ledger.Link) Link {
	inTransit := []Transfer{}
	for _, transfer := range link.Unacknowledged {
		for _, part := range transfer.Parts {
			inTransit = append(inTransit, Transfer{Number: transfer.Number, Team: part.Team, Amount: fromAmount(part.Amount)})
		}
	}
	return Link{Region: region, RemoteEpoch: link.RemoteEpoch, Sent: link.Sent, Received: link.Received, InTransit: inTransit}
}

// String formats the amount as "CPUs / GPUs", with "-" for no limit.
func (a Amount) String() string { return formatQuantity(a.CPUs) + " / " + formatQuantity(a.GPUs) }

func formatQuantity(quantity *float64) string {
	if quantity == nil {
		return "-"
	}
	return fmt.Sprintf("%g", *quantity)
}
