// Package report shows operators what a region owns of the teams' limits.
//
// It reads the records of the region's key-value store, the ledger and the placements, and changes
// nothing. The command "quota show" of cmd/brookwalk calls it; it needs no running controller.
package report

import (
	"fmt"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
)

// Report is the state of a region's ledger.
type Report struct {
	Epoch  uint64 `json:"epoch"`
	Fenced string `json:"fenced,omitempty"` // why the region grants nothing; empty if it grants
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
	// Used is what the recorded placements use, those of tasks that have not certainly
	// terminated included.
	Used Amount `json:"used"`
}

// Link is the state of the transfers with another region.
type Link struct {
	Region      string     `json:"region"`
	RemoteEpoch uint64     `json:"epoch"` // of its ledger; 0 if that is not known
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

// largestFinite is above all amounts that a regions file may have.
const largestFinite = 1e15

// finite returns nil for a number that means no limit.
func finite(number float64) *float64 {
	if number > largestFinite {
		return nil
	}
	return &number
}

// build makes a report of a ledger and of the use by team.
func build(loaded *ledger.Ledger, used map[string]topology.Resources) *Report {
	report := &Report{Epoch: loaded.Epoch(), Fenced: loaded.FenceReason()}
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

// String returns the amount as CPUs / GPUs; "-" for no limit.
func (a Amount) String() string { return formatQuantity(a.CPUs) + " / " + formatQuantity(a.GPUs) }

func formatQuantity(quantity *float64) string {
	if quantity == nil {
		return "-"
	}
	return fmt.Sprintf("%g", *quantity)
}
