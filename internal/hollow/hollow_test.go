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

// TestExperimentFiles validates every experiment file of the project.
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

// TestParseNamesField makes a valid experiment invalid in one place. The error has to name the field.
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
				t.Fatalf("%q is not in the file", tc.valid)
			}
			_, err := Parse(text)
			var fieldError *FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != tc.field {
				t.Errorf("%s: error %v, want one of field %s", tc.invalid, err, tc.field)
			}
		})
	}
}

// buildProgram builds the program of the controllers.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "brookwalk")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "../../cmd/brookwalk").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// runSmall runs the small experiment with a hundred workers and other failures until a condition holds.
// It returns the report and the directory of the run.
func runSmall(ctx context.Context, t *testing.T, stopWhen func(*observer) bool, failures ...Failure) (*Report, string) {
	t.Helper()
	experiment, err := Load(smallExperiment)
	if err != nil {
		t.Fatal(err)
	}
	experiment.Scale(0.65)
	experiment.Seconds, experiment.Failures = 100, failures
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

// TestRunSurvivesFailures kills the leader while a fifth of the workers is lost, and after that a zone.
// Tasks have to start again under another leader, and no rule may be violated.
func TestRunSurvivesFailures(t *testing.T) {
	startsAtZoneLoss := 0
	recovered := func(o *observer) bool {
		if len(o.startsPerSecond) == 8 {
			startsAtZoneLoss = o.starts
		}
		return len(o.startsPerSecond) > 9 && len(o.failoverTimes) > 0 && o.killedTerm == 0 && o.starts > startsAtZoneLoss
	}
	rep, dir := runSmall(t.Context(), t, recovered, Failure{AtS: 3, Kind: FailWorkers, Share: 0.2},
		Failure{AtS: 3, Kind: FailLeader}, Failure{AtS: 7, Kind: FailZone, Zone: "west", ForS: 1})
	if len(rep.FailoverStartS) == 0 {
		t.Error("no task started after the leader was killed")
	}
	if rep.Tasks == 0 || rep.Urgent.Count == 0 {
		t.Errorf("%d tasks on machines, %d urgent ones started", rep.Tasks, rep.Urgent.Count)
	}
	leaders := 0
	for _, process := range rep.Processes {
		if process.Role == roleLeader {
			leaders++
		}
		if process.UnexpectedEnds > 0 {
			log, err := os.ReadFile(filepath.Join(dir, process.Name+".log"))
			t.Errorf("%s exited unexpectedly:\n%s%v", process.Name, log, err)
		}
	}
	if leaders != 1 {
		t.Errorf("%d leaders at the end", leaders)
	}
}

// TestRunKillsItsProcesses interrupts a run. It has to return a report, and none of its controllers may
// be left.
func TestRunKillsItsProcesses(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	time.AfterFunc(2*time.Second, stop)
	rep, dir := runSmall(ctx, t, nil)
	if !rep.Interrupted {
		t.Error("the report does not mention the interruption")
	}
	for deadline := time.Now().Add(time.Minute); processesRunning(t, dir); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("controllers are left")
		}
	}
}

// processesRunning reports whether a process has a file of a directory among its arguments.
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
		commandLine, err := os.ReadFile("/proc/" + entry.Name() + "/cmdline")
		if err == nil && strings.Contains(string(commandLine), dir) { // else it has just ended
			return true
		}
	}
	return false
}
