package core

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/reconcile"
	"github.com/brookwalk/brookwalk/wire"
)

// loggingLeader returns a leader that writes its log lines of level info and above to a writer.
func loggingLeader(to io.Writer) *leader {
	log := slog.New(slog.NewTextHandler(to, nil))
	return &leader{core: &Core{log: log}, leadership: testLeadership(5)}
}

// TestCommandLog checks that commands are logged with what decided on them, once per change.
func TestCommandLog(t *testing.T) {
	var log bytes.Buffer
	leader, machine := loggingLeader(&log), cluster.NewMachine("n-1", 0)
	machine.Incarnation, machine.Sequence = 2, 77
	commands := []wire.Command{{Verb: wire.VerbStart, Task: "job-1/0", Attempt: 3}, {Verb: wire.VerbForget, Task: "job-2/1", Attempt: 9}}
	for range 3 {
		leader.logCommands(machine, inHeartbeatAnswer, reconcile.Message{Token: 5, Commands: commands})
	}
	leader.logCommands(machine, inDirectCall, reconcile.Message{Token: 6, Commands: commands[1:]})
	leader.logCommands(machine, inDirectCall, reconcile.Message{Token: 6})
	want := []string{
		`msg="commands sent" machine=n-1 in="heartbeat answer" token=5 incarnation=2 sequence=77 commands="run job-1/0@3 reap job-2/1@9"`,
		`msg="commands sent" machine=n-1 in="direct call" token=6 incarnation=2 sequence=77 commands="reap job-2/1@9"`,
	}
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	if len(lines) != len(want) {
		t.Fatalf("got %d lines, want %d:\n%s", len(lines), len(want), log.String())
	}
	for i, line := range lines {
		if !strings.HasSuffix(line, want[i]) {
			t.Errorf("line %d: got %s, want it to end in %s", i, line, want[i])
		}
	}
}

// BenchmarkCommandLog measures the cost of the log line of one message with two commands.
func BenchmarkCommandLog(b *testing.B) {
	leader, machine := loggingLeader(io.Discard), cluster.NewMachine("n-000001", 0)
	commands := []wire.Command{{Verb: wire.VerbStart, Task: "job-000001/0"}, {Verb: wire.VerbForget, Task: "job-000002/1"}}
	for i := range b.N {
		commands[0].Attempt = uint64(i)
		leader.logCommands(machine, inDirectCall, reconcile.Message{Token: 5, Commands: commands})
	}
}
