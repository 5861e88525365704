package core

import (
	"context"
	"hash/fnv"
	"log/slog"
	"strconv"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/reconcile"
	"github.com/brookwalk/brookwalk/wire"
)

// commandCarrier is the message in which commands travel to a worker. Its text appears in log lines.
type commandCarrier string

// Messages that carry commands.
const (
	inDirectCall      commandCarrier = "direct call"
	inHeartbeatAnswer commandCarrier = "heartbeat answer"
)

// logCommands logs the commands that are sent to a worker, with the message that carries them and its
// fencing token. Commands that are repeated unchanged, for example to a worker that they do not reach,
// are logged at level debug, so that there is one line at level info per change.
func (l *leader) logCommands(machine *cluster.Machine, carrier commandCarrier, message reconcile.Message) {
	if len(message.Commands) == 0 || !l.core.log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	text := commandList(message.Commands)
	level := slog.LevelInfo
	if hash := hashOf(text); hash != machine.LoggedCommands {
		machine.LoggedCommands = hash
	} else {
		level = slog.LevelDebug
	}
	l.core.log.Log(context.Background(), level, "commands sent", "machine", machine.Name, "in", carrier,
		"token", message.Token, "incarnation", machine.Incarnation, "sequence", machine.Sequence, "commands", text)
}

// commandList formats commands as verb, task and attempt.
func commandList(commands []wire.Command) string {
	var text []byte
	for i := range commands {
		if i > 0 {
			text = append(text, ' ')
		}
		text = append(text, commands[i].Verb...)
		text = append(text, ' ')
		text = appendAttempt(text, commands[i].Task, commands[i].Attempt)
	}
	return string(text)
}

// appendAttempt appends an attempt at a task, as TASK@ATTEMPT.
func appendAttempt(text []byte, task string, attempt uint64) []byte {
	text = append(text, task...)
	text = append(text, '@')
	return strconv.AppendUint(text, attempt, 10)
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // never fails
	return hash.Sum64()
}
