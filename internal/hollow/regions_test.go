package hollow

import (
	"log/slog"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/history"
)

// TestRegionsByProcesses runs three regions of real controllers that share the limits of four
// teams. The load exceeds the limits. A leader is killed, a region is partitioned from the others,
// and all controllers of another region are killed. No team may exceed its limit at any time, every
// region must start tasks, and shares of the limits must move between regions.
func TestRegionsByProcesses(t *testing.T) {
	experiment, err := Load("../../experiments/regions.toml")
	if err != nil {
		t.Fatal(err)
	}
	experiment.DurationS = 14
	experiment.Failures = []Failure{
		{AtS: 4, Kind: FailLeader, Region: "north"},
		{AtS: 5, Kind: FailRegionLink, Region: "west", BothWays: true, ForS: 2},
		{AtS: 7, Kind: FailAllControllers, Region: "south"},
	}
	program, dir := buildProgram(t), t.TempDir()
	ledgerShown := false
	rep, err := Run(t.Context(), experiment, Options{
		Command: []string{program, "--config"}, Dir: dir, Log: slog.New(slog.DiscardHandler),
		Progress: progressFunc(func() {
			ledgerShown = ledgerShown || showsLedger(program, filepath.Join(dir, "north", "node-0.toml"))
		}), ProgressEvery: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range rep.Violations {
		t.Error(violation)
	}
	for _, region := range rep.Regions {
		checkRegion(t, region)
	}
	highest := 0.0
	for _, team := range rep.Teams {
		highest = max(highest, team.PeakGPUs/team.GPULimit)
	}
	if highest < 0.5 {
		t.Errorf("no team used half of its GPU limit, want at least one: %+v", rep.Teams)
	}
	if !ledgerShown {
		t.Error("\"quota show\" never showed the ledger of region north during the run")
	}
	if countShareChanges(rep.History.Points()) == 0 {
		t.Error("no share of a limit moved between regions, want at least one move")
	}
}

// showsLedger reports whether "quota show" succeeds and shows a ledger that contains the last team.
func showsLedger(program, settingsPath string) bool {
	output, err := exec.Command(program, "quota", "show", "--config", settingsPath).CombinedOutput()
	return err == nil && strings.Contains(string(output), "team-03")
}

// checkRegion checks that a region started tasks and that none of its processes exited
// unexpectedly.
func checkRegion(t *testing.T, region *Report) {
	t.Helper()
	if region.StartCommands == 0 {
		t.Errorf("%s started no task, want at least one", region.Experiment)
	}
	for _, process := range region.Processes {
		if process.UnexpectedExits > 0 {
			t.Errorf("controller %s of region %s exited unexpectedly", process.Name, region.Experiment)
		}
	}
}

// countShareChanges counts how often a region's share of a limit changed.
func countShareChanges(points []history.Point) int {
	owned, changes := map[string]float64{}, 0
	for _, point := range points {
		if !strings.HasPrefix(point.Series, "owned by ") {
			continue
		}
		key := point.Chart + point.Series
		if before, known := owned[key]; known && before != point.Value {
			changes++
		}
		owned[key] = point.Value
	}
	return changes
}

// progressFunc is called for each progress line.
type progressFunc func()

// Write implements io.Writer.
func (f progressFunc) Write(p []byte) (int, error) {
	f()
	return len(p), nil
}
