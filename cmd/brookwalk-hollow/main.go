// Command brookwalk-hollow runs real controllers among hollow workers, users, a cloud and a key-value
// store on one machine, and reports the resources that they used, the traffic and the violations of
// rules.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kong"
	"github.com/brookwalk/brookwalk/internal/hollow"
)

// commandLine are the flags and arguments.
type commandLine struct {
	LogLevel string `help:"What the run itself logs: error, warn, info or debug." default:"warn" enum:"error,warn,info,debug"`

	Run runCommand `cmd:"" help:"Run an experiment."`

	Check struct {
		File string `arg:"" help:"Experiment file (TOML)." type:"existingfile"`
	} `cmd:"" help:"Check an experiment file and exit."`
}

// runCommand are the flags and arguments of the command that runs an experiment.
type runCommand struct {
	File     string  `arg:"" help:"Experiment file (TOML)." type:"existingfile"`
	Report   string  `help:"Write the report there, as JSON." type:"path" placeholder:"FILE"`
	HTML     string  `help:"Write a page with plots there." name:"html" type:"path" placeholder:"FILE"`
	Parquet  string  `help:"Write the course of the run there, as columns (Apache Parquet)." type:"path" placeholder:"FILE"`
	Scale    float64 `help:"Multiply machines, teams' limits and jobs." default:"1"`
	Seconds  float64 `help:"Run for so long, in place of the file's time."`
	Deploy   string  `help:"The deploy file, which says how the program is built and started." default:"deploy/service.toml" type:"path"`
	Dir      string  `help:"Keep settings and controllers' logs there; a directory that is removed unless said." type:"path"`
	Progress float64 `help:"Seconds between two lines of progress; 0 for none." default:"2"`
}

func main() {
	var cli commandLine
	command := kong.Parse(&cli, kong.Name("brookwalk-hollow"), kong.Description("Runs real controllers among thousands of hollow workers."))
	if err := cli.execute(command.Command()); err != nil {
		fmt.Fprintln(os.Stderr, "brookwalk-hollow:", err)
		os.Exit(1)
	}
}

// execute carries out a command.
func (c *commandLine) execute(command string) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	if strings.HasPrefix(command, "check") {
		_, err := hollow.Load(c.Check.File)
		return err
	}
	return c.Run.run(log)
}

// errViolations means that rules were violated in the run.
var errViolations = errors.New("the run broke rules, see the report")

// run runs the experiment and writes its report.
func (r *runCommand) run(log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	experiment, err := r.experiment()
	if err != nil {
		return err
	}
	command, err := buildProgram(ctx, r.Deploy)
	if err != nil {
		return err
	}
	dir, remove, err := makeDirectory(r.Dir)
	if err != nil {
		return err
	}
	defer remove()
	options := hollow.Options{Command: command, Dir: dir, Log: log}
	if r.Progress > 0 {
		options.Progress, options.ProgressEvery = os.Stdout, time.Duration(r.Progress*float64(time.Second))
	}
	report, err := hollow.Run(ctx, experiment, options)
	if err != nil {
		return err
	}
	if err := r.writeReport(report); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errViolations
	}
	return nil
}

// experiment reads the experiment file, with the changes of the flags.
func (r *runCommand) experiment() (*hollow.Experiment, error) {
	experiment, err := hollow.Load(r.File)
	if err != nil {
		return nil, err
	}
	if r.Scale <= 0 {
		return nil, fmt.Errorf("--scale: must be above 0, is %v", r.Scale)
	}
	experiment.Scale(r.Scale)
	if r.Seconds > 0 {
		experiment.DurationS = r.Seconds
	}
	return experiment, nil
}

// writeReport writes the report to the files that the flags name, and as a table to standard output.
func (r *runCommand) writeReport(report *hollow.Report) error {
	if r.Report != "" {
		if err := report.WriteJSON(r.Report); err != nil {
			return err
		}
	}
	if r.Parquet != "" {
		if err := report.History.WriteParquet(r.Parquet); err != nil {
			return err
		}
	}
	if r.HTML != "" {
		if err := report.WritePage(r.HTML); err != nil {
			return err
		}
	}
	return report.WriteTable(os.Stdout)
}

// buildProgram builds the program in the present directory as the deploy file says, and returns the
// command that starts it.
func buildProgram(ctx context.Context, deployPath string) ([]string, error) {
	var deploy struct{ Build, Run string }
	if _, err := toml.DecodeFile(deployPath, &deploy); err != nil {
		return nil, fmt.Errorf("deploy file: %w", err)
	}
	build := exec.CommandContext(ctx, "sh", "-c", deploy.Build)
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		return nil, fmt.Errorf("build: %w", err)
	}
	return strings.Fields(deploy.Run), nil
}

// makeDirectory makes the directory for settings and logs, a temporary one if the name is empty. remove
// removes a temporary one.
func makeDirectory(name string) (dir string, remove func(), err error) {
	if name != "" {
		return name, func() {}, os.MkdirAll(name, 0o755)
	}
	dir, err = os.MkdirTemp("", "brookwalk-hollow-")
	return dir, func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, "brookwalk-hollow:", err)
		}
	}, err
}
