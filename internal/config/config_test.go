package config

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const validSettings = `
host_name = "node-0"
location = "east"
listen = "127.0.0.1:8080"
back = "127.0.0.1:8081"
unknown_field = 1
[[peers]]
host_name = "node-1"
location = "west"
peer_addr = "127.0.0.2:8081"
[external]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"
[deployment]
size = 3
zones = ["east", "west"]
skew_ms = 5.0
[[deployment.teams]]
name = "vision"
gpus = 1000.0
gpus_max = 100.0
[[deployment.objectives]]
kind = "wait"
class = "chat"
within_s = 10.0
share = 0.9
[deployment.workers]
report_s = 1.5
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 35.0
[deployment.state]
rps = 250.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 16
[deployment.cloud]
rps = 8.0
list_lag_s = 10.0
[deployment.machine_limits]
cpu = 0.18
ram_mb = 98.0
max_connections = 800
`

// expectError parses the valid settings with one part replaced, and expects an error that contains
// a text.
func expectError(t *testing.T, part, replacement, want string) {
	t.Helper()
	if !strings.Contains(validSettings, part) {
		t.Fatalf("part to replace: %q is not in the valid settings", part)
	}
	_, err := Parse(strings.Replace(validSettings, part, replacement, 1))
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("settings with %q: got error %v, want one that contains %q", replacement, err, want)
	}
}

func TestParse(t *testing.T) {
	settings, err := Parse(validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(settings.IgnoredFields, []string{"unknown_field"}) {
		t.Errorf("ignored fields: got %q, want only unknown_field", settings.IgnoredFields)
	}
	for _, tc := range []struct{ name, old, new, want string }{
		{"no name", `host_name = "node-0"`, ``, "host_name"},
		{"an address without a port", `listen = "127.0.0.1:8080"`, `listen = "localhost"`, "listen"},
		{"an address with a port that is too high", `listen = "127.0.0.1:8080"`, `listen = "127.0.0.1:99999"`, "listen"},
		{"a lease of 0", `lease_s = 10.0`, `lease_s = 0.0`, "lease_s"},
		{"a lease of another type", `lease_s = 10.0`, `lease_s = "ten"`, "parse"},
		{"a repeated name", `host_name = "node-1"`, `host_name = "node-0"`, "repeated"},
		{"no transaction limit", `txn_ops = 16`, ``, "txn_ops"},
	} {
		t.Run(tc.name, func(t *testing.T) { expectError(t, tc.old, tc.new, tc.want) })
	}
}

// TestInvalidSettings parses settings that are missing a required field, or have an invalid
// or inconsistent value. The error must name the field and what is expected of it.
func TestInvalidSettings(t *testing.T) {
	const peer = `[[peers]]
host_name = "node-1"
location = "west"
peer_addr = "127.0.0.2:8081"
`
	const team = `[[deployment.teams]]
name = "vision"
gpus = 1000.0
gpus_max = 100.0
`
	for _, tc := range []struct{ name, old, new, want string }{
		{"no zones", `zones = ["east", "west"]`, ``, "deployment.zones: missing, at least one zone is expected"},
		{"an empty list of zones", `zones = ["east", "west"]`, `zones = []`, "deployment.zones: missing"},
		{"a repeated zone", `zones = ["east", "west"]`, `zones = ["east", "west", "east"]`, `deployment.zones[2]: "east" is missing or repeated`},
		{"a zone without a name", `zones = ["east", "west"]`, `zones = ["east", "west", ""]`, `deployment.zones[2]: "" is missing or repeated`},
		{"a zone that is not a string", `zones = ["east", "west"]`, `zones = [1]`, "deployment.zones"},
		{"the controller's zone is not in the deployment", `location = "east"`, `location = "north"`, `location: "north" is not one of deployment.zones ["east" "west"]`},
		{"the controller has no zone", `location = "east"`, ``, `location: "" is not one of`},
		{"a peer's zone is not in the deployment", `location = "west"`, `location = "north"`, `peers[0].location: "north" is not one of`},
		{"no peers", peer, ``, "peers: missing, deployment.size is 3"},
		{"a repeated peer", peer, peer + peer, `peers[1].host_name: "node-1" is missing or repeated`},
		{"a peer that is the controller itself", `host_name = "node-1"`, `host_name = "node-0"`, `peers[0].host_name: "node-0" is missing or repeated`},
		{"a peer without an address", `peer_addr = "127.0.0.2:8081"`, ``, `peers[0].peer_addr: "" is not an IP address with a port`},
		{"no teams", team, ``, "deployment.teams: missing, at least one team is expected"},
		{"a repeated team", team, team + team, `deployment.teams[1].name: "vision" is missing or repeated`},
		{"a negative guarantee", `gpus = 1000.0`, `gpus = -1.0`, "deployment.teams[0].gpus: must be 0 or greater, is -1"},
		{"a guarantee that is not a number", `gpus = 1000.0`, `gpus = nan`, "deployment.teams[0].gpus: must be 0 or greater, is NaN"},
		{"a limit that is not a number", `gpus_max = 100.0`, `gpus_max = nan`, "deployment.teams[0].gpus_max: must be 0 or greater, is NaN"},
		{"an infinite limit", `gpus_max = 100.0`, `cpus_max = inf`, "deployment.teams[0].cpus_max: must be 0 or greater, is +Inf"},
		{"a limit of another type", `gpus_max = 100.0`, `gpus_max = "many"`, "deployment.teams.gpus_max"},
		{"a wait that is not a number", `within_s = 10.0`, `within_s = nan`, "deployment.objectives[0].within_s: must be 0 or greater, is NaN"},
		{"a negative share", `share = 0.9`, `share = -0.9`, "deployment.objectives[0].share: must be 0 or greater, is -0.9"},
		{"a lease of 0", `lease_s = 10.0`, `lease_s = 0.0`, "deployment.workers.lease_s: must be greater than 0"},
		{"a negative lease", `lease_s = 10.0`, `lease_s = -10.0`, "deployment.workers.lease_s: must be greater than 0"},
		{"a lease that is not a number", `lease_s = 10.0`, `lease_s = nan`, "deployment.workers.lease_s: must be greater than 0"},
		{"an infinite lease", `lease_s = 10.0`, `lease_s = inf`, "deployment.workers.lease_s: must be greater than 0 and at most"},
		{"a lease of another type", `lease_s = 10.0`, `lease_s = true`, "deployment.workers.lease_s"},
		{"a lease shorter than the heartbeat interval", `lease_s = 10.0`, `lease_s = 1.0`, "deployment.workers.lease_s: must be greater than 1.875"},
		{"a lease equal to the longest heartbeat interval", `lease_s = 10.0`, `lease_s = 1.875`, "deployment.workers.lease_s: must be greater than 1.875"},
		{"a cancellation time equal to the lease", `cancel_s = 35.0`, `cancel_s = 10.0`, "deployment.workers.cancel_s: must be greater than lease_s (10), is 10"},
		{"a cancellation time that is not a number", `cancel_s = 35.0`, `cancel_s = nan`, "deployment.workers.cancel_s: must be greater than 0"},
		{"a gang wait of 0", `gang_wait_s = 50.0`, `gang_wait_s = 0.0`, "deployment.workers.gang_wait_s: must be greater than 0"},
		{"a negative list lag", `list_lag_s = 10.0`, `list_lag_s = -1.0`, "deployment.cloud.list_lag_s: must be 0 or greater, is -1"},
		{"a list lag that is not a number", `list_lag_s = 10.0`, `list_lag_s = nan`, "deployment.cloud.list_lag_s: must be 0 or greater, is NaN"},
		{"a skew that is not a number", `skew_ms = 5.0`, `skew_ms = nan`, "deployment.skew_ms: must be 0 or greater, is NaN"},
		{"a negative share of a core", `cpu = 0.18`, `cpu = -0.18`, "deployment.machine_limits.cpu: must be 0 or greater, is -0.18"},
	} {
		t.Run(tc.name, func(t *testing.T) { expectError(t, tc.old, tc.new, tc.want) })
	}
}

// TestValidationError checks that one error lists all problems.
func TestValidationError(t *testing.T) {
	text := strings.Replace(validSettings, `lease_s = 10.0`, `lease_s = 0.0`, 1)
	text = strings.Replace(text, `ram_mb = 98.0`, ``, 1)
	_, err := Parse(text)
	var invalid *ValidationError
	if !errors.As(err, &invalid) {
		t.Fatalf("error %v: want a ValidationError", err)
	}
	if len(invalid.Problems) != 2 {
		t.Errorf("problems: got %q, want one for lease_s and one for ram_mb", invalid.Problems)
	}
}

func TestLoadOperatorSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "op.toml")
	for _, tc := range []struct{ text, want string }{
		{"warm_machines = 3\nidle_return_s = 20.0\nlog_level = \"debug\"", ""},
		{"warm_machine = 3", "warm_machine: unknown field"},
		{"warm_machines = -1", "warm_machines: must be 0 or greater"},
		{"idle_return_s = -1.0", "idle_return_s: must be 0 or greater"},
		{"regions_file = \"r.toml\"\nregion = \"north\"\nregion_listen = \"127.0.0.1:9301\"", ""},
		{"regions_file = \"r.toml\"\nregion_listen = \"127.0.0.1:9301\"", "region: missing; regions_file, region and region_listen must be set together"},
		{"region = \"north\"\nregion_listen = \"127.0.0.1:9301\"", "regions_file: missing"},
		{"regions_file = \"r.toml\"\nregion = \"north\"\nregion_listen = \"here\"", "region_listen"},
	} {
		t.Run(tc.text, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadOperatorSettings(path)
			if tc.want == "" && err != nil || tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)) {
				t.Errorf("got error %v, want one that contains %q, or none if that is empty", err, tc.want)
			}
		})
	}
}

// TestNextStoreLimits parses next limits of the key-value store. The controller must keep to the
// lower of the current and the next limits, and the error for an invalid one must name its field.
func TestNextStoreLimits(t *testing.T) {
	with := func(next string) string { return validSettings + "[deployment.state.next]\n" + next }
	for _, tc := range []struct {
		next string
		want StoreLimits
		bad  string
	}{
		{"", StoreLimits{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 16}, ""},
		{"value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 70.0", StoreLimits{RPS: 250, WriteRPS: 70, ValueKB: 2, TxnOps: 5}, ""},
		{"value_kb = 32.0\ntxn_ops = 40\nrps = 50.0\nlater = 1", StoreLimits{RPS: 50, WriteRPS: 100, ValueKB: 16, TxnOps: 16}, ""},
		{"value_kb = 2", StoreLimits{RPS: 250, WriteRPS: 100, ValueKB: 2, TxnOps: 16}, ""},
		{"value_kb = inf", StoreLimits{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 16}, ""},
		{"value_kb = -1.0", StoreLimits{}, "deployment.state.next.value_kb: must be greater than 0, is -1"},
		{"value_kb = 0.0", StoreLimits{}, "deployment.state.next.value_kb: must be greater than 0, is 0"},
		{"rps = 0", StoreLimits{}, "deployment.state.next.rps: must be greater than 0, is 0"},
		{"write_rps = 0.0", StoreLimits{}, "deployment.state.next.write_rps: must be greater than 0, is 0"},
		{"txn_ops = 0", StoreLimits{}, "deployment.state.next.txn_ops: must be greater than 0, is 0"},
		{"txn_ops = -5", StoreLimits{}, "deployment.state.next.txn_ops: must be greater than 0, is -5"},
		{"rps = -0.5", StoreLimits{}, "deployment.state.next.rps: must be greater than 0, is -0.5"},
		{"rps = nan", StoreLimits{}, "deployment.state.next.rps: must be greater than 0, is NaN"},
		{"write_rps = nan", StoreLimits{}, "deployment.state.next.write_rps: must be greater than 0, is NaN"},
		{"value_kb = -inf", StoreLimits{}, "deployment.state.next.value_kb: must be greater than 0, is -Inf"},
		{"txn_ops = 1", StoreLimits{}, "deployment.state.next.txn_ops: must be at least 2"},
		{"txn_ops = \"five\"", StoreLimits{}, "deployment.state.next.txn_ops|destination has type integer"},
		{"txn_ops = 5.0", StoreLimits{}, "deployment.state.next.txn_ops|destination has type integer"},
		{"txn_ops = [5]", StoreLimits{}, "deployment.state.next.txn_ops|destination has type integer"},
		{"value_kb = \"2\"", StoreLimits{}, "deployment.state.next.value_kb|destination has type float"},
		{"value_kb = true", StoreLimits{}, "deployment.state.next.value_kb|destination has type float"},
		{"rps = {a = 1}", StoreLimits{}, "deployment.state.next.rps|destination has type float"},
		{"write_rps = 2026-12-02", StoreLimits{}, "deployment.state.next.write_rps|destination has type float"},
		{"txn_ops = 5\nrps = \"x\"\nvalue_kb = 0", StoreLimits{}, "deployment.state.next.rps|destination has type float"},
		{"next = 1", StoreLimits{}, "deployment.state.next.next|expected table"},
		{"[deployment.state.next.next]", StoreLimits{}, "deployment.state.next.next: unexpected"},
	} {
		t.Run(tc.next, func(t *testing.T) {
			settings, err := Parse(with(tc.next))
			if tc.bad != "" {
				expectErrorTexts(t, err, tc.bad)
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := settings.Deployment.Store.Strictest(); got != tc.want {
				t.Errorf("strictest limits: got %+v, want %+v", got, tc.want)
			}
		})
	}
	for _, next := range []string{"5", "\"low\"", "[1]", "true"} {
		_, err := Parse(strings.Replace(validSettings, "txn_ops = 16", "txn_ops = 16\nnext = "+next, 1))
		if err == nil || !strings.Contains(err.Error(), "deployment.state.next") || !strings.Contains(err.Error(), "expected table") {
			t.Errorf("next = %s: got error %v, want one that names deployment.state.next and an expected table", next, err)
		}
	}
	settings, err := Parse(validSettings)
	if err != nil || settings.Deployment.Store.Strictest() != settings.Deployment.Store {
		t.Errorf("without next limits: got settings %+v, error %v, want the current limits as strictest", settings, err)
	}
}

// expectErrorTexts expects an error that contains each of the texts in parts, which are separated
// by a vertical bar.
func expectErrorTexts(t *testing.T, err error, parts string) {
	t.Helper()
	for part := range strings.SplitSeq(parts, "|") {
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("got error %v, want one that contains %s", err, part)
		}
	}
}
