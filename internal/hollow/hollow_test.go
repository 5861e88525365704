package hollow

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

const smallExperiment = "../../experiments/small.toml"

// TestExperimentFiles checks every experiment that comes with the project.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no experiments", err)
	}
	for _, file := range files {
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}

// TestParseNamesField changes a good experiment in one place. The error has to name
// the field.
func TestParseNamesField(t *testing.T) {
	data, err := os.ReadFile(smallExperiment)
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ old, with, field string }{
		{"seconds = 20", "seconds = -1", "seconds"},
		{"seed = 1", "sede = 1", "sede"},
		{"controllers = 3", "controllers = 30", "controllers"},
		{"report_s = 1", "report_s = 0", "workers.report_s"},
		{"rps = 1000", "rps = nan", "state.rps"},
		{"up_share = 0.8", "up_share = 1.8", "types[0].up_share"},
		{`shape = "array"`, `shape = "list"`, "jobs[0].shape"},
		{`priority = "normal"`, `priority = "low"`, "jobs[0].priority"},
		{"tasks = [20, 40, 100]", "tasks = []", "jobs[0].tasks"},
		{"cancelled_share = 0.05", "cancelled_share = 5", "jobs[0].cancelled_share"},
		{`kind = "kill_leader"`, `kind = "kill_zone"`, "failures[0].kind"},
		{"at_s = 10", "at_s = 100", "failures[0].at_s"},
	} {
		text := strings.Replace(string(data), tc.old, tc.with, 1)
		if text == string(data) {
			t.Fatalf("%q is not in the file", tc.old)
		}
		_, err := Parse(text)
		var wrong *FieldError
		if !errors.As(err, &wrong) || wrong.Field != tc.field {
			t.Errorf("%s: error %v, want one of field %s", tc.with, err, tc.field)
		}
	}
}

// buildProgram builds the controllers' program.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "brookwalk")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "../../cmd/brookwalk").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// runSmall runs the small experiment with a hundred workers, with other failures, until
// enough was seen.
func runSmall(t *testing.T, ctx context.Context, enough func(*observer) bool, failures ...Failure) (*Report, string) {
	t.Helper()
	experiment, err := Load(smallExperiment)
	if err != nil {
		t.Fatal(err)
	}
	experiment.Scale(0.65)
	experiment.Seconds, experiment.Failures = 100, failures
	dir := t.TempDir()
	rep, err := Run(ctx, experiment, Options{Command: []string{buildProgram(t), "--config"}, Dir: dir, Log: slog.New(slog.DiscardHandler), stopWhen: enough})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range rep.Violations {
		t.Error(b)
	}
	return rep, dir
}

// TestRunSurvivesFailures kills the leader while a fifth of the workers is lost, and
// after that a zone. Tasks have to start again under another leader, and no rule may
// be broken.
func TestRunSurvivesFailures(t *testing.T) {
	atZone := 0
	enough := func(o *observer) bool {
		if len(o.startsPerSecond) == 8 {
			atZone = o.starts
		}
		return len(o.startsPerSecond) > 9 && len(o.failoverTimes) > 0 && o.killedTerm == 0 && o.starts > atZone
	}
	rep, dir := runSmall(t, t.Context(), enough, Failure{AtS: 3, Kind: FailWorkers, Share: 0.2},
		Failure{AtS: 3, Kind: FailLeader}, Failure{AtS: 7, Kind: FailZone, Zone: "west", ForS: 1})
	if len(rep.FailoverStartS) == 0 {
		t.Error("no task started after the leader's end")
	}
	if rep.Tasks == 0 || rep.Urgent.Count == 0 {
		t.Errorf("%d tasks on machines, %d urgent ones started", rep.Tasks, rep.Urgent.Count)
	}
	leaders := 0
	for _, r := range rep.Processes {
		if r.Role == "leader" {
			leaders++
		}
		if r.UnexpectedEnds > 0 {
			log, _ := os.ReadFile(filepath.Join(dir, r.Name+".log"))
			t.Errorf("%s ended by itself:\n%s", r.Name, log)
		}
	}
	if leaders != 1 {
		t.Errorf("%d leaders at the end", leaders)
	}
}

// TestRunKillsItsProcesses interrupts a run. It has to report what it saw, and none of
// its controllers may be left.
func TestRunKillsItsProcesses(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	time.AfterFunc(2*time.Second, stop)
	rep, dir := runSmall(t, ctx, nil)
	if !rep.Interrupted {
		t.Error("the report does not tell of the interruption")
	}
	for deadline := time.Now().Add(time.Minute); processesRunning(t, dir); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("controllers are left")
		}
	}
}

// processesRunning tells whether a process has a settings file of a directory among its
// arguments.
func processesRunning(t *testing.T, dir string) bool {
	t.Helper()
	entries, err := os.ReadDir("/proc")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if _, err := strconv.Atoi(e.Name()); err != nil {
			continue
		}
		line, _ := os.ReadFile("/proc/" + e.Name() + "/cmdline")
		if strings.Contains(string(line), dir) {
			return true
		}
	}
	return false
}
