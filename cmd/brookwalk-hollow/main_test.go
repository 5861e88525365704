package main

import (
	"slices"
	"testing"

	"github.com/alecthomas/kong"

	"github.com/brookwalk/brookwalk/internal/commandlinetest"
)

// TestCommandLine checks the names of commands, flags and environment variables, on which scripts
// depend. Kong derives them from the names of struct fields, so that renaming a field can change
// them.
func TestCommandLine(t *testing.T) {
	got := commandlinetest.Names(t, &commandLine{}, kong.Name("brookwalk-hollow"))
	want := []string{
		`brookwalk-hollow`,
		`brookwalk-hollow --help default="" env=[] required=false`,
		`brookwalk-hollow --log-level default="warn" env=[] required=false`,
		`brookwalk-hollow run`,
		`brookwalk-hollow run --report default="" env=[] required=false`,
		`brookwalk-hollow run --html default="" env=[] required=false`,
		`brookwalk-hollow run --parquet default="" env=[] required=false`,
		`brookwalk-hollow run --scale default="1" env=[] required=false`,
		`brookwalk-hollow run --seconds default="" env=[] required=false`,
		`brookwalk-hollow run --deploy default="deploy/service.toml" env=[] required=false`,
		`brookwalk-hollow run --dir default="" env=[] required=false`,
		`brookwalk-hollow run --progress default="2" env=[] required=false`,
		`brookwalk-hollow run <file> default="" required=true`,
		`brookwalk-hollow check`,
		`brookwalk-hollow check <file> default="" required=true`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("command line: got\n%q\nwant\n%q", got, want)
	}
}
