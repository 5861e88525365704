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

// Part is a team's share in one region as the file has it.
type Part struct{ Ceiling, Floor, Owned amount.Amount }

// Load reads and checks a file. The error names every wrong field.
func Load(path string) (*Plan, error) {
	var p Plan
	md, err := toml.DecodeFile(path, &p)
	return checked(&p, md, err, path)
}

// Parse reads and checks a file's text.
func Parse(text string) (*Plan, error) {
	var p Plan
	md, err := toml.Decode(text, &p)
	return checked(&p, md, err, "regions")
}

func checked(p *Plan, md toml.MetaData, err error, name string) (*Plan, error) {
	if err != nil {
		return nil, fmt.Errorf("regions file: %w", err)
	}
	var f faults
	for _, key := range md.Undecoded() {
		f.add("%s: unknown field", key)
	}
	p.checkRegions(&f)
	p.checkTeams(&f)
	if len(f) > 0 {
		return nil, fmt.Errorf("%s: %w", name, errors.New(strings.Join(f, "; ")))
	}
	return p, nil
}

// faults collects what is wrong with a file.
type faults []string

func (f *faults) add(format string, a ...any) { *f = append(*f, fmt.Sprintf(format, a...)) }

// maxAmount bounds CPUs and GPUs, so that sums of thousandths never overflow.
const maxAmount = 1e9

// amount asks for a number from 0 to maxAmount.
func (f *faults) amount(field string, v float64) {
	if !(v >= 0 && v <= maxAmount) {
		f.add("%s: must be from 0 to %g, is %v", field, float64(maxAmount), v)
	}
}

func (p *Plan) checkRegions(f *faults) {
	if len(p.Regions) < 2 {
		f.add("regions: at least two are needed")
	}
	seen := map[string]bool{}
	addresses := map[string]bool{}
	for i, r := range p.Regions {
		field := fmt.Sprintf("regions[%d]", i)
		if r.Name == "" || strings.ContainsAny(r.Name, " /") {
			f.add("%s.name: %q is empty or has a space or slash", field, r.Name)
		}
		if seen[r.Name] {
			f.add("%s.name: %q stands twice", field, r.Name)
		}
		seen[r.Name] = true
		if len(r.Controllers) == 0 && !r.Lost {
			f.add("%s.controllers: missing", field)
		}
		for _, a := range r.Controllers {
			if host, _, err := net.SplitHostPort(a); err != nil || net.ParseIP(host) == nil {
				f.add("%s.controllers: %q is not an IP address with a port", field, a)
			}
			if addresses[a] {
				f.add("%s.controllers: %q stands twice", field, a)
			}
			addresses[a] = true
		}
	}
}

func (p *Plan) checkTeams(f *faults) {
	seen := map[string]bool{}
	for i := range p.Teams {
		t := &p.Teams[i]
		field := fmt.Sprintf("teams[%d]", i)
		if t.Name == "" || strings.ContainsAny(t.Name, " /") {
			f.add("%s.name: %q is empty or has a space or slash", field, t.Name)
		}
		if seen[t.Name] {
			f.add("%s.name: %q stands twice", field, t.Name)
		}
		seen[t.Name] = true
		f.amount(field+".cpus_max", t.CPUsMax)
		f.amount(field+".gpus_max", t.GPUsMax)
		p.checkShares(f, field, t)
	}
}

// checkShares holds a team's shares against its ceiling: they have to add up.
func (p *Plan) checkShares(f *faults, field string, t *Team) {
	var sum amount.Amount
	seen := map[string]bool{}
	for k, s := range t.Shares {
		at := fmt.Sprintf("%s.shares[%d]", field, k)
		if p.Index(s.Region) < 0 {
			f.add("%s.region: no region %q", at, s.Region)
		}
		if seen[s.Region] {
			f.add("%s.region: %q stands twice", at, s.Region)
		}
		seen[s.Region] = true
		for _, v := range []struct {
			name         string
			value, limit float64
			owned, floor float64
		}{{"cpus", s.CPUs, t.CPUsMax, s.CPUsOwned, s.CPUs}, {"gpus", s.GPUs, t.GPUsMax, s.GPUsOwned, s.GPUs}} {
			f.amount(at+"."+v.name, v.value)
			f.amount(at+"."+v.name+"_owned", v.owned)
			switch {
			case v.limit == 0 && v.owned != 0:
				f.add("%s.%s_owned: the team has no %s_max to own a part of", at, v.name, v.name)
			case v.limit != 0 && v.floor > v.owned:
				f.add("%s.%s: %v guaranteed is more than the %v owned", at, v.name, v.floor, v.owned)
			}
		}
		sum = sum.Add(amount.Of(s.CPUsOwned, s.GPUsOwned))
	}
	ceiling := amount.Of(t.CPUsMax, t.GPUsMax)
	if sum.CPUs != ceiling.CPUs {
		f.add("%s.shares: cpus_owned add up to %v, cpus_max is %v", field, float64(sum.CPUs)/1000, t.CPUsMax)
	}
	if sum.GPUs != ceiling.GPUs {
		f.add("%s.shares: gpus_owned add up to %v, gpus_max is %v", field, float64(sum.GPUs)/1000, t.GPUsMax)
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

// Peers lists the other regions that are not lost.
func (p *Plan) Peers(self string) []string {
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

// Part is what a region has of a team at first.
func (t *Team) Part(region string) Part {
	s := t.Share(region)
	part := Part{Ceiling: amount.Of(t.CPUsMax, t.GPUsMax), Floor: amount.Of(s.CPUs, s.GPUs), Owned: amount.Of(s.CPUsOwned, s.GPUsOwned)}
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
	h := fnv.New64a()
	for _, r := range p.Regions {
		fmt.Fprintf(h, "region %s\n", r.Name)
	}
	for i := range p.Teams {
		t := &p.Teams[i]
		fmt.Fprintf(h, "team %s %x %x\n", t.Name, math.Float64bits(t.CPUsMax), math.Float64bits(t.GPUsMax))
		for _, r := range p.Regions {
			fmt.Fprintf(h, "%+v\n", t.Part(r.Name))
		}
	}
	return h.Sum64()
}
