package hollow

import (
	"context"
	"log/slog"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/quota/report"
)

// TestRegionsByProcesses runs three regions of real controllers that share the limits of four
// teams, with more work than these allow, while a leader is killed, a region is cut off and
// another loses all its controllers. No team may use more than its ceiling at any moment, every
// region has to start work, and shares have to move.
func TestRegionsByProcesses(t *testing.T) {
	experiment, err := Load("../../experiments/regions.toml")
	if err != nil {
		t.Fatal(err)
	}
	experiment.Seconds = 14
	experiment.Failures = []Failure{
		{AtS: 4, Kind: FailLeader, Region: "north"},
		{AtS: 5, Kind: FailRegionLink, Region: "west", BothWays: true, ForS: 2},
		{AtS: 7, Kind: FailAll, Region: "south"},
	}
	program, dir := buildProgram(t), t.TempDir()
	var shown *report.Report
	rep, err := Run(context.Background(), experiment, Options{Command: []string{program, "--config"}, Dir: dir, Log: slog.New(slog.DiscardHandler),
		Progress: progressFunc(func() {
			if shown != nil {
				return
			}
			out, err := exec.Command(program, "quota", "show", "--config", filepath.Join(dir, "north", "node-0.toml")).CombinedOutput()
			if err == nil && strings.Contains(string(out), "team-03") {
				shown = &report.Report{}
			}
		}), ProgressEvery: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range rep.Violations {
		t.Error(b)
	}
	for _, r := range rep.Regions {
		if r.StartsSent == 0 {
			t.Errorf("%s started nothing", r.Experiment)
		}
		for _, p := range r.Processes {
			if p.UnexpectedEnds > 0 {
				t.Errorf("%s of %s ended by itself", p.Name, r.Experiment)
			}
		}
	}
	most := 0.0
	for _, team := range rep.Teams {
		most = max(most, team.PeakGPUs/team.GPULimit)
	}
	if most < 0.5 {
		t.Errorf("no team used half of its ceiling: %+v", rep.Teams)
	}
	if shown == nil {
		t.Error("quota show never showed the ledger of north")
	}
	owned, moved := map[string]float64{}, 0
	for _, p := range rep.History.Points() {
		if !strings.HasPrefix(p.Series, "owned by ") {
			continue
		}
		key := p.Chart + p.Series
		if before, known := owned[key]; known && before != p.Value {
			moved++
		}
		owned[key] = p.Value
	}
	if moved == 0 {
		t.Errorf("no share moved: %v", owned)
	}
}

// progressFunc calls a function with each line of progress.
type progressFunc func()

func (f progressFunc) Write(p []byte) (int, error) {
	f()
	return len(p), nil
}
