// Package plan reads the regions file (deploy/regions.toml): which regions there are, and how the
// teams' limits are divided among them initially.
//
// It owns the file's format and its validation, and touches nothing else. Controllers read the
// file at their start; the ledger (package ledger) then holds what has become of the shares.
// docs/quota.md describes the fields.
package plan

import (
	"fmt"
	"hash/fnv"
	"math"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

// Plan is the content of the file.
type Plan struct {
	Regions []Region `toml:"regions"`
	Teams   []Team   `toml:"teams"`
}

// Region is a deployment with its own key-value store and controllers.
type Region struct {
	Name string `toml:"name"`
	// Controllers are the addresses at which its controllers receive messages of other regions.
	Controllers []string `toml:"controllers"`
	// Lost marks a region that will not come back: no other region waits for its answers, and
	// what it owned stays out of use.
	Lost bool `toml:"lost"`
}

// Team is a team's limit over all regions, in CPUs and GPUs; 0 for no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUsMax float64 `toml:"gpus_max"`
	Shares  []Share `toml:"shares"`
}

// Share is what a region has of a team's limit, in CPUs and GPUs.
type Share struct {
	Region string `toml:"region"`
	// CPUs and GPUs are guaranteed in the region: that part of its share is never transferred.
	CPUs float64 `toml:"cpus"`
	GPUs float64 `toml:"gpus"`
	// CPUsOwned and GPUsOwned are what the region owns initially.
	CPUsOwned float64 `toml:"cpus_owned"`
	GPUsOwned float64 `toml:"gpus_owned"`
}

// InitialShare is a team's share in one region by the file: the limit over all regions, and the
// amounts that the region has guaranteed and owns.
type InitialShare struct{ Limit, Guarantee, Owned amount.Amount }

// Load reads and validates a file. The error names every wrong field.
func Load(path string) (*Plan, error) {
	var p Plan
	metadata, err := toml.DecodeFile(path, &p)
	if err != nil {
		return nil, fmt.Errorf("regions file: %w", err)
	}
	return p.validated(metadata, path)
}

// Parse reads and validates the text of a file.
func Parse(text string) (*Plan, error) {
	var p Plan
	metadata, err := toml.Decode(text, &p)
	if err != nil {
		return nil, fmt.Errorf("regions file: %w", err)
	}
	return p.validated(metadata, "regions")
}

// Index is a region's position in the file; -1 if it has none. It settles ties between regions.
func (p *Plan) Index(region string) int {
	for i := range p.Regions {
		if p.Regions[i].Name == region {
			return i
		}
	}
	return -1
}

// OtherRegions lists the other regions that are not lost.
func (p *Plan) OtherRegions(self string) []string {
	var others []string
	for _, region := range p.Regions {
		if region.Name != self && !region.Lost {
			others = append(others, region.Name)
		}
	}
	return others
}

// Share is a region's share of the team by the file; nothing if the file has none.
func (t *Team) Share(region string) Share {
	for _, share := range t.Shares {
		if share.Region == region {
			return share
		}
	}
	return Share{Region: region}
}

// InitialShare is a region's share of the team as amounts. What has no limit is unlimited in
// every region.
func (t *Team) InitialShare(region string) InitialShare {
	share := t.Share(region)
	initial := InitialShare{
		Limit:     amount.Of(t.CPUsMax, t.GPUsMax),
		Guarantee: amount.Of(share.CPUs, share.GPUs),
		Owned:     amount.Of(share.CPUsOwned, share.GPUsOwned),
	}
	if t.CPUsMax == 0 {
		initial.Limit.CPUs, initial.Guarantee.CPUs, initial.Owned.CPUs = amount.Unlimited, amount.Unlimited, amount.Unlimited
	}
	if t.GPUsMax == 0 {
		initial.Limit.GPUs, initial.Guarantee.GPUs, initial.Owned.GPUs = amount.Unlimited, amount.Unlimited, amount.Unlimited
	}
	return initial
}

// Fingerprint is the same for files that divide the same limits in the same way among the same
// regions. Addresses and lost regions do not count. It is in stored records and in messages
// between regions, so the text that it hashes never changes.
func (p *Plan) Fingerprint() uint64 {
	var text strings.Builder
	for _, region := range p.Regions {
		fmt.Fprintf(&text, "region %s\n", region.Name)
	}
	for i := range p.Teams {
		team := &p.Teams[i]
		fmt.Fprintf(&text, "team %s %x %x\n", team.Name, math.Float64bits(team.CPUsMax), math.Float64bits(team.GPUsMax))
		for _, region := range p.Regions {
			share := team.InitialShare(region.Name)
			fmt.Fprintf(&text, "{Ceiling:%v Floor:%v Owned:%v}\n", share.Limit, share.Guarantee, share.Owned)
		}
	}
	hash := fnv.New64a()
	hash.Write([]byte(text.String())) // never fails
	return hash.Sum64()
}
