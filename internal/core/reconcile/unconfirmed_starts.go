package reconcile

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// This file tracks the start commands that are not known to have arrived and may still reach a worker.
// MayForget waits for them. Copies of a start that arrived before are a matter of fencing_token.go. Every
// start is sent in one of two messages and counts as unconfirmed from then on:
//
//   - In a direct call (BeginDirectCall). It is settled by the worker's response to that call, or by
//     the knowledge that the call was never sent. Without either it may be executed at any later time.
//   - In the answer to a heartbeat (RecordAnswer), which other controllers may pass on. The worker has
//     one heartbeat in flight: it sends the next one only after it has executed the answer, or has
//     given it up and drops it. The starts are settled by the worker's next heartbeat; its responses
//     to direct calls and probes say nothing about them.
//
// Both kinds end with the worker's incarnation, since it executes no commands that were sent to an
// earlier one, and when the worker has seen a higher fencing token than theirs. A new leader starts with
// no unconfirmed starts: those of earlier terms have no effect on a worker that has seen the new term, and
// MayForget requires that.

// addUnconfirmedStarts counts the start commands among the commands as sent. It returns the attempts that
// they start.
func addUnconfirmedStarts(machine *cluster.Machine, commands []wire.Command) []cluster.AttemptID {
	var attempts []cluster.AttemptID
	for _, command := range commands {
		if command.Verb == wire.VerbStart {
			attempt := cluster.AttemptID{Task: command.Task, Attempt: command.Attempt}
			machine.UnconfirmedStarts[attempt]++
			machine.StartToken = machine.CommandToken
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// settleStarts records that one start command of each attempt has arrived or can no longer arrive.
func settleStarts(machine *cluster.Machine, attempts []cluster.AttemptID) {
	for _, attempt := range attempts {
		if machine.UnconfirmedStarts[attempt]--; machine.UnconfirmedStarts[attempt] <= 0 {
			delete(machine.UnconfirmedStarts, attempt)
		}
	}
}

// settleAnsweredStarts records that the worker has executed or dropped the answer to its previous
// heartbeat.
func settleAnsweredStarts(machine *cluster.Machine) {
	settleStarts(machine, machine.AnsweredStarts)
	machine.AnsweredStarts = nil
}

// dropUnconfirmedStarts records that no start command that was sent to the worker so far can take effect.
func dropUnconfirmedStarts(machine *cluster.Machine) {
	machine.UnconfirmedStarts = map[cluster.AttemptID]int{}
	machine.AnsweredStarts = nil
}
