// Package commandlinetest lists the commands, flags and arguments of a command line. The tests of
// the commands compare the list with the names that scripts use.
package commandlinetest

import (
	"fmt"
	"testing"

	"github.com/alecthomas/kong"
)

// Names returns the commands, flags and arguments of a command line that kong parses into cli, each
// with what scripts depend on: path, default, environment variables and whether it is required.
func Names(t *testing.T, cli any, options ...kong.Option) []string {
	t.Helper()
	parser, err := kong.New(cli, options...)
	if err != nil {
		t.Fatal(err)
	}
	return appendNames(nil, "", parser.Model.Node)
}

// appendNames appends the names of a command and of its subcommands.
func appendNames(names []string, path string, command *kong.Node) []string {
	path += command.Name
	names = append(names, path)
	for _, flag := range command.Flags {
		names = append(names, fmt.Sprintf("%s --%s default=%q env=%q required=%v",
			path, flag.Name, flag.Default, flag.Envs, flag.Required))
	}
	for _, argument := range command.Positional {
		names = append(names, fmt.Sprintf("%s <%s> default=%q required=%v",
			path, argument.Name, argument.Default, argument.Required))
	}
	for _, child := range command.Children {
		names = appendNames(names, path+" ", child)
	}
	return names
}
