package activator

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/loopback/loopbacktest"
)

// buildProgram builds the program as the build of the deploy file does, without its linker flags.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "brookwalk")
	build := exec.Command("go", "build", "-o", program, "github.com/brookwalk/brookwalk/cmd/brookwalk")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// writeSettings writes the settings file of a controller that uses the given key-value store, and
// returns the file's path.
func writeSettings(t *testing.T, dir, name, store string) string {
	t.Helper()
	settings := config.Settings{
		Name:       name,
		Zone:       "a",
		Listen:     "127.0.0.1:1",
		PeerListen: "127.0.0.1:2",
		External:   config.External{Store: store, Cloud: store},
		Deployment: config.Deployment{
			Size:          1,
			Zones:         []string{"a"},
			Teams:         []config.Team{{Name: "t"}},
			Workers:       config.WorkerTimings{ReportS: 1, LeaseS: 10, GangWaitS: 10, GangPeerS: 5, CancelS: 20},
			Store:         config.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 16},
			Cloud:         config.CloudLimits{RPS: 1},
			MachineLimits: config.MachineLimits{CPU: 1, RAMMB: 100, MaxConnections: 100},
		},
	}
	return writeTOML(t, filepath.Join(dir, name+".toml"), settings)
}

func writeTOML(t *testing.T, path string, value any) string {
	t.Helper()
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(value); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

func kill(t *testing.T, process *exec.Cmd) {
	t.Helper()
	if err := process.Process.Kill(); err != nil {
		t.Error(err)
	}
}

// TestWakeByProcesses runs the wake command as three processes and kills two of them one after
// the other while the replica loads: only one replica must be started, and it must serve all
// requests.
func TestWakeByProcesses(t *testing.T) {
	t.Parallel()
	program, dir := buildProgram(t), t.TempDir()
	cluster := newTestCluster(t, 3, time.Second, 5*time.Millisecond)
	registry := writeTOML(t, filepath.Join(dir, "wake.toml"), cluster.registry)
	var processes []*exec.Cmd
	addresses := loopbacktest.Addresses(t, len(cluster.storeProxies))
	for i, store := range cluster.storeProxies {
		settings := writeSettings(t, dir, fmt.Sprint("node-", i), store.Addr())
		process := exec.Command(program, "wake", "--config", settings,
			"--registry", registry, "--listen", addresses[i], "--patience", requestTimeout.String())
		if err := process.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = process.Process.Kill() // fails if the process has been killed already
			_ = process.Wait()         // reports the kill as an error
		})
		processes = append(processes, process)
	}
	cluster.addresses = addresses
	var clients sync.WaitGroup
	for i := range 60 {
		clients.Go(func() {
			if answers, status := cluster.request(i, fmt.Sprint("k", i)); answers != 1 || status != httpstatus.OK {
				t.Errorf("request k%d: got %d answers, status %d, want 1 answer, status OK", i, answers, status)
			}
		})
	}
	for start := time.Now(); cluster.replicaStarts() == 0 && time.Since(start) < 10*time.Second; {
		time.Sleep(5 * time.Millisecond)
	}
	// Two of the three processes are killed while the replica loads, whichever of them owns it.
	kill(t, processes[0])
	time.Sleep(300 * time.Millisecond)
	kill(t, processes[1])
	clients.Wait()
	if n := cluster.replicaStarts(); n != 1 {
		t.Errorf("%d replicas were started, want 1", n)
	}
}
