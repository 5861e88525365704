package plan

import (
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

const validPlan = `
[[regions]]
name = "north"
controllers = ["127.0.0.1:9301"]
[[regions]]
name = "south"
controllers = ["127.0.0.1:9311"]
[[teams]]
name = "vision"
gpus_max = 12
[[teams.shares]]
region = "north"
cpus = 4
gpus = 2.5
gpus_owned = 8
[[teams.shares]]
region = "south"
gpus_owned = 4
`

// TestParseNamesFields makes one field of a valid file invalid: the error names the field.
func TestParseNamesFields(t *testing.T) {
	if _, err := Parse(validPlan); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ old, with, want string }{
		{`name = "south"`, `name = "north"`, `regions[1].name: "north" is listed twice`},
		{`name = "south"`, `name = ""`, `regions[1].name`},
		{`["127.0.0.1:9311"]`, `["127.0.0.1:9301"]`, `regions[1].controllers: "127.0.0.1:9301" is listed twice`},
		{`["127.0.0.1:9311"]`, `["south:9311"]`, `regions[1].controllers`},
		{`["127.0.0.1:9311"]`, `[]`, `regions[1].controllers: missing`},
		{`gpus_max = 12`, `gpus_max = 13`, `teams[0].shares: gpus_owned add up to 12, gpus_max is 13`},
		{`gpus_max = 12`, `gpus_max = -1`, `teams[0].gpus_max`},
		{`gpus_max = 12`, `gpus_max = nan`, `teams[0].gpus_max`},
		{`gpus = 2.5`, `gpus = 9`, `teams[0].shares[0].gpus: 9 guaranteed is more than the 8 owned`},
		{`cpus = 4`, `cpus_owned = 4`, `teams[0].shares[0].cpus_owned: the team has no cpus_max`},
		{`region = "south"`, `region = "west"`, `teams[0].shares[1].region: no region "west"`},
		{`region = "south"`, `region = "north"`, `teams[0].shares[1].region: "north" is listed twice`},
		{`gpus = 2.5`, `gups = 2.5`, `teams.shares.gups: unknown field`},
	} {
		t.Run(tc.want, func(t *testing.T) {
			text := strings.Replace(validPlan, tc.old, tc.with, 1)
			if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("%s in place of %s: got error %v, want one that contains %s", tc.with, tc.old, err, tc.want)
			}
		})
	}
}

// TestInitialShares checks the shares of each region, also for a resource without a limit and for a
// region that has no share.
func TestInitialShares(t *testing.T) {
	p, err := Parse(validPlan)
	if err != nil {
		t.Fatal(err)
	}
	north, south, other := p.Teams[0].InitialShare("north"), p.Teams[0].InitialShare("south"), p.Teams[0].InitialShare("west")
	if north.Guarantee.GPUs != amount.Of(0, 2.5).GPUs || north.Owned.GPUs != amount.Of(0, 8).GPUs || north.Owned.CPUs != amount.Unlimited {
		t.Errorf("share of north: got %+v, want 2.5 GPUs guaranteed, 8 GPUs owned and CPUs unlimited", north)
	}
	if sum := north.Owned.Add(south.Owned).Add(other.Owned); sum.GPUs != north.Limit.GPUs {
		t.Errorf("GPUs of the owned shares: got a sum of %v, want the GPUs of the limit, %v", sum, north.Limit)
	}
}

// limitedPlan divides limits of both resources among two regions, one of which is lost.
const limitedPlan = `
[[regions]]
name = "north"
controllers = ["127.0.0.1:9301"]
[[regions]]
name = "south"
lost = true
[[teams]]
name = "vision"
cpus_max = 100.5
gpus_max = 12
[[teams.shares]]
region = "south"
cpus = 0.25
cpus_owned = 100.5
gpus_owned = 12
`

// TestFingerprint checks that fingerprints do not change, since stored records and messages between
// regions contain them.
func TestFingerprint(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       uint64
	}{
		{"valid", validPlan, 4602490508506644241},
		{"limited", limitedPlan, 1036872743966440510},
	} {
		t.Run(tc.name, func(t *testing.T) {
			plan, err := Parse(tc.text)
			if err != nil {
				t.Fatal(err)
			}
			if got := plan.Fingerprint(); got != tc.want {
				t.Errorf("fingerprint: got %d, want %d", got, tc.want)
			}
		})
	}
}

// TestFingerprintDiffers checks that a fingerprint changes if and only if limits are divided in a
// different way.
func TestFingerprintDiffers(t *testing.T) {
	fingerprint := func(old, with string) uint64 {
		plan, err := Parse(strings.Replace(validPlan, old, with, 1))
		if err != nil {
			t.Fatal(err)
		}
		return plan.Fingerprint()
	}
	unchanged := fingerprint("", "")
	for _, tc := range []struct {
		name, old, with string
		same            bool
	}{
		{"address", "127.0.0.1:9311", "127.0.0.1:9312", true},
		{"lost region", `controllers = ["127.0.0.1:9311"]`, "lost = true", true},
		{"guarantee", "gpus = 2.5", "gpus = 2", false},
		{"team", `name = "vision"`, `name = "audio"`, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if same := fingerprint(tc.old, tc.with) == unchanged; same != tc.same {
				t.Errorf("same fingerprint: got %v, want %v", same, tc.same)
			}
		})
	}
}

// TestExample loads the example regions file of the project.
func TestExample(t *testing.T) {
	if _, err := Load("../../../deploy/regions.toml"); err != nil {
		t.Error(err)
	}
}
