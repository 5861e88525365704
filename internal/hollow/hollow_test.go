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

// TestExperimentFiles checks that every experiment file of the repository is valid.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("found no experiment files, error:", err)
	}
	for _, file := range files {
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}

// TestParseNamesField makes one field of a valid experiment invalid. The error must name that
// field.
func TestParseNamesField(t *testing.T) {
	data, err := os.ReadFile(smallExperiment)
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ valid, invalid, field string }{
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
		t.Run(tc.field, func(t *testing.T) {
			text := strings.Replace(string(data), tc.valid, tc.invalid, 1)
			if text == string(data) {
				t.Fatalf("%q is not in the experiment file", tc.valid)
			}
			_, err := Parse(text)
			var fieldError *FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != tc.field {
				t.Errorf("%s: got error %v, want a FieldError of field %s", tc.invalid, err, tc.field)
			}
		})
	}
}

// buildProgram builds the controllers' program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "brookwalk")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "../../cmd/brookwalk").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// runSmallExperiment runs the small experiment, scaled to about a hundred workers and with the
// given failures, until stopWhen returns true. It returns the report and the directory of the run.
// A rule violation fails the test.
func runSmallExperiment(ctx context.Context, t *testing.T, stopWhen func(*observer) bool, failures ...Failure) (*Report, string) {
	t.Helper()
	experiment, err := Load(smallExperiment)
	if err != nil {
		t.Fatal(err)
	}
	experiment.Scale(0.65)
	experiment.DurationS, experiment.Failures = 100, failures
	dir := t.TempDir()
	rep, err := Run(ctx, experiment, Options{Command: []string{buildProgram(t), "--config"}, Dir: dir, Log: slog.New(slog.DiscardHandler), stopWhen: stopWhen})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range rep.Violations {
		t.Error(violation)
	}
	return rep, dir
}

// TestRunSurvivesFailures kills the leader and a fifth of the workers at the same time, and a zone
// four seconds later. The run ends when tasks start again after both failures. A later leader must
// have started tasks, and no rule may be violated.
func TestRunSurvivesFailures(t *testing.T) {
	startsAtZoneLoss := 0
	recovered := func(o *observer) bool {
		if len(o.startsPerSecond) == 8 {
			startsAtZoneLoss = o.starts
		}
		return len(o.startsPerSecond) > 9 && len(o.failoverTimes) > 0 && o.killedTerm == 0 && o.starts > startsAtZoneLoss
	}
	rep, dir := runSmallExperiment(t.Context(), t, recovered, Failure{AtS: 3, Kind: FailWorkers, Share: 0.2},
		Failure{AtS: 3, Kind: FailLeader}, Failure{AtS: 7, Kind: FailZone, Zone: "west", ForS: 1})
	if len(rep.FailoverS) == 0 {
		t.Error("no task was started by a new leader after the leader was killed")
	}
	if rep.Tasks == 0 || rep.UrgentWaits.Count == 0 {
		t.Errorf("at the end: got %d tasks on machines and %d started urgent tasks, want some of both", rep.Tasks, rep.UrgentWaits.Count)
	}
	leaders := 0
	for _, process := range rep.Processes {
		if process.Role == roleLeader {
			leaders++
		}
		if process.UnexpectedExits > 0 {
			log, err := os.ReadFile(filepath.Join(dir, process.Name+".log"))
			t.Errorf("%s exited unexpectedly:\n%s%v", process.Name, log, err)
		}
	}
	if leaders != 1 {
		t.Errorf("leaders at the end: got %d, want 1", leaders)
	}
}

// TestRepeatedCallsByProcesses kills all controllers, which are back within a second, while copies of calls
// that were answered are carried out once more. No rule may be violated.
func TestRepeatedCallsByProcesses(t *testing.T) {
	const runS = 18
	ended := func(o *observer) bool { return len(o.startsPerSecond) >= runS }
	rep, _ := runSmallExperiment(t.Context(), t, ended, Failure{AtS: 1, Kind: FailRepeatedCalls, Share: 0.7, ForS: runS},
		Failure{AtS: 7, Kind: FailAllControllers}, Failure{AtS: 12, Kind: FailLeader})
	if rep.Tasks == 0 {
		t.Error("at the end: got no tasks on machines, want some")
	}
}

// TestRunKillsItsProcesses cancels the context of a run. The run must return a report that is
// marked as interrupted, and must kill all its controllers.
func TestRunKillsItsProcesses(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	time.AfterFunc(2*time.Second, stop)
	rep, dir := runSmallExperiment(ctx, t, nil)
	if !rep.Interrupted {
		t.Error("Interrupted in the report: got false, want true")
	}
	for deadline := time.Now().Add(time.Minute); processesRunning(t, dir); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("controllers still run a minute after the end of the run, want none")
		}
	}
}

// processesRunning reports whether a running process has the directory in its command line, as the
// controllers of a run do.
func processesRunning(t *testing.T, dir string) bool {
	t.Helper()
	entries, err := os.ReadDir("/proc")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if _, err := strconv.Atoi(entry.Name()); err != nil {
			continue
		}
		// An error means that the process has just exited.
		commandLine, err := os.ReadFile("/proc/" + entry.Name() + "/cmdline")
		if err == nil && strings.Contains(string(commandLine), dir) {
			return true
		}
	}
	return false
}
