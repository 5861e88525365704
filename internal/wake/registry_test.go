package wake

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// validRegistry is the registry that the tests modify.
const validRegistry = `
lease_s = 4
copy_lease_s = 12
max_waking = 2
max_waiting = 100
[[models]]
name = "a"
servers = ["x:1", "y:1"]
load_s = 10
idle_s = 20
`

// TestParseRegistry makes one field of a valid registry invalid: the error names the field.
func TestParseRegistry(t *testing.T) {
	if r, err := ParseRegistry(validRegistry); err != nil || len(r.Models) != 1 || r.Models[0].Servers[1] != "y:1" {
		t.Fatalf("valid registry: got %+v, error %v, want one model whose second server is y:1", r, err)
	}
	for _, tc := range []struct{ old, new, want string }{
		{"max_waking = 2", "max_wakin = 2", "max_wakin: unknown field"},
		{"load_s = 10", "load_s = 0", "models[0].load_s"},
		{"load_s = 10", "load = 1\nload_s = 10", "models.load: unknown field"},
		{"copy_lease_s = 12", "copy_lease_s = 3", "copy_lease_s: must be greater than lease_s (4), is 3"},
		{`servers = ["x:1", "y:1"]`, "", "models[0].servers: missing"},
		{`name = "a"`, `name = "a/b"`, "models[0].name"},
		{"max_waiting = 100", "max_waiting = 0", "max_waiting"},
		{"idle_s = 20", "idle_s = -1", "models[0].idle_s"},
	} {
		t.Run(tc.want, func(t *testing.T) {
			_, err := ParseRegistry(strings.Replace(validRegistry, tc.old, tc.new, 1))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("with %q: got error %v, want one that contains %q", tc.new, err, tc.want)
			}
		})
	}
}

// TestExampleRegistry loads the example in the deploy directory, and a file that does not exist.
func TestExampleRegistry(t *testing.T) {
	if _, err := LoadRegistry("../../deploy/wake.toml"); err != nil {
		t.Error(err)
	}
	if _, err := LoadRegistry("../../deploy/none.toml"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: got error %v, want os.ErrNotExist", err)
	}
}
