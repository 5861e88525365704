// Command brookwalk-hollow runs real controllers among hollow workers, users, a cloud
// and a state service on one machine, and reports what that took.
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

var cli struct {
	LogLevel string `help:"What the run itself logs: error, warn, info or debug." default:"warn" enum:"error,warn,info,debug"`

	Run struct {
		File     string  `arg:"" help:"Experiment file (TOML)." type:"existingfile"`
		Report   string  `help:"Write the report there, as JSON." type:"path" placeholder:"FILE"`
		HTML     string  `help:"Write a page with plots there." name:"html" type:"path" placeholder:"FILE"`
		Parquet  string  `help:"Write the course of the run there, as columns (Apache Parquet)." type:"path" placeholder:"FILE"`
		Scale    float64 `help:"Multiply machines, teams' limits and jobs." default:"1"`
		Seconds  float64 `help:"Run for so long, in place of the file's time."`
		Deploy   string  `help:"The deploy file, which says how the program is built and started." default:"deploy/service.toml" type:"path"`
		Dir      string  `help:"Keep settings and controllers' logs there; a directory that is removed unless said." type:"path"`
		Progress float64 `help:"Seconds between two lines of progress; 0 for none." default:"2"`
	} `cmd:"" help:"Run an experiment."`

	Check struct {
		File string `arg:"" help:"Experiment file (TOML)." type:"existingfile"`
	} `cmd:"" help:"Check an experiment file and exit."`
}

func main() {
	command := kong.Parse(&cli, kong.Name("brookwalk-hollow"), kong.Description("Runs real controllers among thousands of hollow workers."))
	var level slog.Level
	level.UnmarshalText([]byte(cli.LogLevel))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	var err error
	if strings.HasPrefix(command.Command(), "check") {
		_, err = hollow.Load(cli.Check.File)
	} else {
		err = run(log)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "brookwalk-hollow:", err)
		os.Exit(1)
	}
}

// errViolations tells that the run broke rules or did not end as it should.
var errViolations = errors.New("the run broke rules, see the report")

// run runs the experiment that the command line names.
func run(log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	experiment, err := hollow.Load(cli.Run.File)
	if err != nil {
		return err
	}
	if cli.Run.Scale <= 0 {
		return fmt.Errorf("--scale: must be above 0, is %v", cli.Run.Scale)
	}
	experiment.Scale(cli.Run.Scale)
	if cli.Run.Seconds > 0 {
		experiment.Seconds = cli.Run.Seconds
	}
	command, err := buildProgram(ctx, cli.Run.Deploy)
	if err != nil {
		return err
	}
	dir, remove, err := makeDirectory(cli.Run.Dir)
	if err != nil {
		return err
	}
	defer remove()
	options := hollow.Options{Command: command, Dir: dir, Log: log}
	if cli.Run.Progress > 0 {
		options.Progress, options.ProgressEvery = os.Stdout, time.Duration(cli.Run.Progress*float64(time.Second))
	}
	report, err := hollow.Run(ctx, experiment, options)
	if err != nil {
		return err
	}
	if cli.Run.Report != "" {
		if err := report.WriteJSON(cli.Run.Report); err != nil {
			return err
		}
	}
	if err := writeHistory(report); err != nil {
		return err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errViolations
	}
	return nil
}

// writeHistory writes the course of the run to the files that the command line names.
func writeHistory(report *hollow.Report) error {
	if cli.Run.Parquet != "" {
		if err := report.History.WriteParquet(cli.Run.Parquet); err != nil {
			return err
		}
	}
	if cli.Run.HTML == "" {
		return nil
	}
	return report.WritePage(cli.Run.HTML)
}

// buildProgram builds the program as the deploy file says, in the present directory, and
// returns the command that starts it.
func buildProgram(ctx context.Context, path string) ([]string, error) {
	var deploy struct{ Build, Run string }
	if _, err := toml.DecodeFile(path, &deploy); err != nil {
		return nil, fmt.Errorf("deploy file: %w", err)
	}
	cmd := exec.CommandContext(ctx, "sh", "-c", deploy.Build)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	if err := cmd.Run(); err != nil {
		return nil, fmt.Errorf("build: %w", err)
	}
	return strings.Fields(deploy.Run), nil
}

// makeDirectory is where settings and logs are kept, and what removes it at the end.
func makeDirectory(name string) (dir string, remove func(), err error) {
	if name != "" {
		return name, func() {}, os.MkdirAll(name, 0o755)
	}
	dir, err = os.MkdirTemp("", "brookwalk-hollow-")
	return dir, func() { os.RemoveAll(dir) }, err
}
