// Package plan reads the file that says which regions there are and how the teams' ceilings
// are divided among them at first (deploy/regions.toml). docs/quota.md describes its fields.
package plan

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

// Plan is the file's content.
type Plan struct {
	Regions []Region `toml:"regions"`
	Teams   []Team   `toml:"teams"`
}

// Region is a place with its own state service and controllers.
type Region struct {
	Name string `toml:"name"`
	// Controllers are the addresses at which its controllers take other regions' messages.
	Controllers []string `toml:"controllers"`
	// Lost tells that the region is gone for good: nobody waits for its word, and what it
	// owned stays out of use.
	Lost bool `toml:"lost"`
}

// Team is a team's ceiling over all regions, in CPUs and GPUs; 0 for no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUsMax float64 `toml:"gpus_max"`
	Shares  []Share `toml:"shares"`
}

// Share is what a region has of a team's ceiling, in CPUs and GPUs.
type Share struct {
	Region string `toml:"region"`
	// CPUs and GPUs are guaranteed in the region: that part of its share never leaves it.
	CPUs float64 `toml:"cpus"`
	GPUs float64 `toml:"gpus"`
	// CPUsOwned and GPUsOwned are what the region owns at first.
	CPUsOwned float64 `toml:"cpus_owned"`
	GPUsOwned float64 `toml:"gpus_owned"`
}

// InitialShare is a team's share in one region as the file has it.
type InitialShare struct{ Ceiling, Floor, Owned amount.Amount }

// Load reads and checks a file. The error names every wrong field.
func Load(path string) (*Plan, error) {
	var p Plan
	md, err := toml.DecodeFile(path, &p)
	return validate(&p, md, err, path)
}

// Parse reads and checks a file's text.
func Parse(text string) (*Plan, error) {
	var p Plan
	md, err := toml.Decode(text, &p)
	return validate(&p, md, err, "regions")
}

func validate(plan *Plan, md toml.MetaData, err error, name string) (*Plan, error) {
	if err != nil {
		return nil, fmt.Errorf("regions file: %w", err)
	}
	var problems problems
	for _, key := range md.Undecoded() {
		problems.add("%s: unknown field", key)
	}
	plan.validateRegions(&problems)
	plan.validateTeams(&problems)
	if len(problems) > 0 {
		return nil, fmt.Errorf("%s: %w", name, errors.New(strings.Join(problems, "; ")))
	}
	return plan, nil
}

// problems collects what is wrong with a file.
type problems []string

func (f *problems) add(format string, a ...any) { *f = append(*f, fmt.Sprintf(format, a...)) }

// maxAmount bounds CPUs and GPUs, so that sums of thousandths never overflow.
const maxAmount = 1e9

// requireAmount asks for a number from 0 to maxAmount.
func (f *problems) requireAmount(field string, v float64) {
	if !(v >= 0 && v <= maxAmount) {
		f.add("%s: must be from 0 to %g, is %v", field, float64(maxAmount), v)
	}
}

func (p *Plan) validateRegions(problems *problems) {
	if len(p.Regions) < 2 {
		problems.add("regions: at least two are needed")
	}
	seen := map[string]bool{}
	addresses := map[string]bool{}
	for i, region := range p.Regions {
		field := fmt.Sprintf("regions[%d]", i)
		if region.Name == "" || strings.ContainsAny(region.Name, " /") {
			problems.add("%s.name: %q is empty or has a space or slash", field, region.Name)
		}
		if seen[region.Name] {
			problems.add("%s.name: %q stands twice", field, region.Name)
		}
		seen[region.Name] = true
		if len(region.Controllers) == 0 && !region.Lost {
			problems.add("%s.controllers: missing", field)
		}
		for _, address := range region.Controllers {
			if host, _, err := net.SplitHostPort(address); err != nil || net.ParseIP(host) == nil {
				problems.add("%s.controllers: %q is not an IP address with a port", field, address)
			}
			if addresses[address] {
				problems.add("%s.controllers: %q stands twice", field, address)
			}
			addresses[address] = true
		}
	}
}

func (p *Plan) validateTeams(problems *problems) {
	seen := map[string]bool{}
	for i := range p.Teams {
		team := &p.Teams[i]
		field := fmt.Sprintf("teams[%d]", i)
		if team.Name == "" || strings.ContainsAny(team.Name, " /") {
			problems.add("%s.name: %q is empty or has a space or slash", field, team.Name)
		}
		if seen[team.Name] {
			problems.add("%s.name: %q stands twice", field, team.Name)
		}
		seen[team.Name] = true
		problems.requireAmount(field+".cpus_max", team.CPUsMax)
		problems.requireAmount(field+".gpus_max", team.GPUsMax)
		p.validateShares(problems, field, team)
	}
}

// validateShares holds a team's shares against its ceiling: they have to add up.
func (p *Plan) validateShares(problems *problems, field string, team *Team) {
	var sum amount.Amount
	seen := map[string]bool{}
	for k, share := range team.Shares {
		shareField := fmt.Sprintf("%s.shares[%d]", field, k)
		if p.Index(share.Region) < 0 {
			problems.add("%s.region: no region %q", shareField, share.Region)
		}
		if seen[share.Region] {
			problems.add("%s.region: %q stands twice", shareField, share.Region)
		}
		seen[share.Region] = true
		for _, resource := range []struct {
			name         string
			value, limit float64
			owned, floor float64
		}{{"cpus", share.CPUs, team.CPUsMax, share.CPUsOwned, share.CPUs}, {"gpus", share.GPUs, team.GPUsMax, share.GPUsOwned, share.GPUs}} {
			problems.requireAmount(shareField+"."+resource.name, resource.value)
			problems.requireAmount(shareField+"."+resource.name+"_owned", resource.owned)
			switch {
			case resource.limit == 0 && resource.owned != 0:
				problems.add("%s.%s_owned: the team has no %s_max to own a part of", shareField, resource.name, resource.name)
			case resource.limit != 0 && resource.floor > resource.owned:
				problems.add("%s.%s: %v guaranteed is more than the %v owned", shareField, resource.name, resource.floor, resource.owned)
			}
		}
		sum = sum.Add(amount.Of(share.CPUsOwned, share.GPUsOwned))
	}
	ceiling := amount.Of(team.CPUsMax, team.GPUsMax)
	if sum.CPUs != ceiling.CPUs {
		problems.add("%s.shares: cpus_owned add up to %v, cpus_max is %v", field, float64(sum.CPUs)/1000, team.CPUsMax)
	}
	if sum.GPUs != ceiling.GPUs {
		problems.add("%s.shares: gpus_owned add up to %v, gpus_max is %v", field, float64(sum.GPUs)/1000, team.GPUsMax)
	}
}

// Index is a region's place in the file; -1 if it has none. It settles ties between regions.
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
	var out []string
	for _, r := range p.Regions {
		if r.Name != self && !r.Lost {
			out = append(out, r.Name)
		}
	}
	return out
}

// Share is a region's share of the team as the file has it; nothing if it names none.
func (t *Team) Share(region string) Share {
	for _, s := range t.Shares {
		if s.Region == region {
			return s
		}
	}
	return Share{Region: region}
}

// InitialShare is what a region has of a team at first.
func (t *Team) InitialShare(region string) InitialShare {
	s := t.Share(region)
	part := InitialShare{Ceiling: amount.Of(t.CPUsMax, t.GPUsMax), Floor: amount.Of(s.CPUs, s.GPUs), Owned: amount.Of(s.CPUsOwned, s.GPUsOwned)}
	if t.CPUsMax == 0 {
		part.Ceiling.CPUs, part.Floor.CPUs, part.Owned.CPUs = amount.Unlimited, amount.Unlimited, amount.Unlimited
	}
	if t.GPUsMax == 0 {
		part.Ceiling.GPUs, part.Floor.GPUs, part.Owned.GPUs = amount.Unlimited, amount.Unlimited, amount.Unlimited
	}
	return part
}

// Fingerprint is the same for files that divide the same ceilings in the same way among the
// same regions. Addresses and lost regions do not count.
func (p *Plan) Fingerprint() uint64 {
	hash := fnv.New64a()
	for _, region := range p.Regions {
		fmt.Fprintf(hash, "region %s\n", region.Name)
	}
	for i := range p.Teams {
		team := &p.Teams[i]
		fmt.Fprintf(hash, "team %s %x %x\n", team.Name, math.Float64bits(team.CPUsMax), math.Float64bits(team.GPUsMax))
		for _, region := range p.Regions {
			fmt.Fprintf(hash, "%+v\n", team.InitialShare(region.Name))
		}
	}
	return hash.Sum64()
}
