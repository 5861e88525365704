// Package plan reads the regions file (deploy/regions.toml), which lists the regions and the
// initial division of the teams' limits among them.
//
// It defines the file's format and validates it, and does nothing else. Controllers read the file
// when they start; the ledger (package ledger) then records the current shares. docs/quota.md
// describes the fields.
package plan

import (
	"fmt"
	"hash/fnv"
	"math"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

// Plan is the content of the regions file.
type Plan struct {
	Regions []Region `toml:"regions"`
	Teams   []Team   `toml:"teams"`
}

// Region is a deployment with its own key-value store and controllers.
type Region struct {
	Name string `toml:"name"`
	// Controllers are the addresses at which its controllers receive messages from other regions.
	Controllers []string `toml:"controllers"`
	// Lost marks a region that is permanently lost: no other region waits for its messages, and
	// the shares that it owned remain unused.
	Lost bool `toml:"lost"`
}

// Team is a team's limit over all regions, in CPUs and GPUs, and its division among the regions.
// 0 means no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUsMax float64 `toml:"gpus_max"`
	Shares  []Share `toml:"shares"`
}

// Share is a region's initial share of a team's limit, in CPUs and GPUs.
type Share struct {
	Region string `toml:"region"`
	// CPUs and GPUs are guaranteed to the region: that part of its share is never transferred.
	CPUs float64 `toml:"cpus"`
	GPUs float64 `toml:"gpus"`
	// CPUsOwned and GPUsOwned are what the region owns initially.
	CPUsOwned float64 `toml:"cpus_owned"`
	GPUsOwned float64 `toml:"gpus_owned"`
}

// InitialShare is a team's share in one region according to the file: the limit over all regions,
// and the amounts that are guaranteed to the region and owned by it.
type InitialShare struct{ Limit, Guarantee, Owned amount.Amount }

// Load reads and validates a file. The error names every invalid field.
func Load(path string) (*Plan, error) {
	var p Plan
	metadata, err := toml.DecodeFile(path, &p)
	if err != nil {
		return nil, fmt.Errorf("regions file: %w", err)
	}
	return p.validated(metadata, path)
}

// Parse decodes and validates the text of a file.
func Parse(text string) (*Plan, error) {
	var p Plan
	metadata, err := toml.Decode(text, &p)
	if err != nil {
		return nil, fmt.Errorf("regions file: %w", err)
	}
	return p.validated(metadata, "regions")
}

// Index is a region's position in the file; -1 if the file does not list it. It breaks ties between
// regions.
func (p *Plan) Index(region string) int {
	for i := range p.Regions {
		if p.Regions[i].Name == region {
			return i
		}
	}
	return -1
}

// OtherRegions lists all regions except self and the lost ones.
func (p *Plan) OtherRegions(self string) []string {
	var others []string
	for _, region := range p.Regions {
		if region.Name != self && !region.Lost {
			others = append(others, region.Name)
		}
	}
	return others
}

// Share is a region's share of the team according to the file; of size 0 if the file has none.
func (t *Team) Share(region string) Share {
	for _, share := range t.Shares {
		if share.Region == region {
			return share
		}
	}
	return Share{Region: region}
}

// InitialShare is a region's share of the team as amounts. A resource without a limit is unlimited
// in every region.
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

// Fingerprint is a hash that is equal for files that divide the same limits in the same way among
// the same regions. Addresses, and whether a region is lost, do not affect it. Stored records and
// messages between regions contain it, so the format of the hashed text never changes.
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
