package main

import (
	"slices"
	"testing"

	"github.com/alecthomas/kong"

	"github.com/brookwalk/brookwalk/internal/commandlinetest"
)

// TestCommandLine checks the names of commands, flags and environment variables, on which the
// deploy file and operators' scripts depend. Kong derives them from the names of struct fields, so
// that renaming a field can change them.
func TestCommandLine(t *testing.T) {
	got := commandlinetest.Names(t, &commandLine{}, kong.Name("brookwalk"), kong.Vars{"version": version})
	want := []string{
		`brookwalk`,
		`brookwalk --help default="" env=[] required=false`,
		`brookwalk --config default="" env=[] required=true`,
		`brookwalk --operator default="" env=["BROOKWALK_OPERATOR"] required=false`,
		`brookwalk --version default="" env=[] required=false`,
		`brookwalk serve`,
		`brookwalk check`,
		`brookwalk wake`,
		`brookwalk wake --registry default="" env=[] required=true`,
		`brookwalk wake --listen default="127.0.0.1:8090" env=[] required=false`,
		`brookwalk wake --patience default="60s" env=[] required=false`,
		`brookwalk quota`,
		`brookwalk quota show`,
		`brookwalk quota show --json default="" env=[] required=false`,
		`brookwalk quota check`,
		`brookwalk quota check <file> default="" required=true`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("command line: got\n%q\nwant\n%q", got, want)
	}
}
