package reconcile

import (
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// This file chooses the fencing tokens of messages to workers. A start command that was executed and
// answered may be delivered once more at any later time. The worker ignores it while it lists the
// attempt, and refuses it once it has seen a higher token. So a command to forget an attempt travels
// only under a higher token than every start that was sent to the worker before: whoever executes it
// refuses all copies of those starts from then on, however late they are.
//
// A worker drops messages under a lower token than the highest one it has seen, and an answer that it
// drops does not renew its lease. Therefore only the answer to a heartbeat raises the token, as the
// worker awaits no other one, and not while a direct call under the lower token is open.

// TokenRange is the range of the fencing tokens of a term.
type TokenRange struct{ First, Last uint64 }

// Message is the fencing token and the commands of a message to a worker.
type Message struct {
	Token    uint64
	Commands []wire.Command
}

// AnswerHeartbeat returns the message with which a heartbeat is answered, given the commands for the
// worker. usedUp is true if a command to forget is left out because the term has no higher token.
func AnswerHeartbeat(machine *cluster.Machine, commands []wire.Command, tokens TokenRange) (message Message, usedUp bool) {
	if !slices.ContainsFunc(commands, isForget) || currentToken(machine, tokens) > machine.StartToken {
		return Message{Token: currentToken(machine, tokens), Commands: commands}, false
	}
	if machine.OpenDirectCalls > 0 && machine.ReportedExited < cluster.MaxExitedRows {
		return Message{Token: machine.CommandToken, Commands: withoutForgets(commands)}, false
	}
	if machine.CommandToken >= tokens.Last {
		return Message{Token: machine.CommandToken, Commands: withoutForgets(commands)}, true
	}
	machine.CommandToken++
	return Message{Token: machine.CommandToken, Commands: commands}, false
}

// DirectMessage returns the message of a direct call, given the commands for the worker.
func DirectMessage(machine *cluster.Machine, commands []wire.Command, tokens TokenRange) Message {
	token := currentToken(machine, tokens)
	if token <= machine.StartToken {
		commands = withoutForgets(commands)
	}
	return Message{Token: token, Commands: commands}
}

// currentToken returns the token of messages that do not raise it. Starts may have been sent under a token
// that the leader learns from the worker, and under the first one of the term: the leader may have dropped
// the machine and added it again.
func currentToken(machine *cluster.Machine, tokens TokenRange) uint64 {
	if known := max(machine.FencingToken, tokens.First); known > machine.CommandToken {
		machine.CommandToken, machine.StartToken = known, known
	}
	return machine.CommandToken
}

func isForget(command wire.Command) bool { return command.Verb == wire.VerbForget }

// withoutForgets returns the commands without those to forget an attempt.
func withoutForgets(commands []wire.Command) []wire.Command {
	return slices.DeleteFunc(slices.Clone(commands), isForget)
}
