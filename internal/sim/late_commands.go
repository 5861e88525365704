package sim

import (
	"encoding/json"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
)

// Bounds of the delays of commands and of the answers to them.
const (
	// minCommandDelay and commandDelayRange bound how late a delayed direct command is executed.
	minCommandDelay   = 2 * time.Second
	commandDelayRange = 14 * time.Second
	// directAnswerDelayRange bounds how late a worker's answer to direct commands is delivered: some
	// answers come in time, others after the controller's timeout.
	directAnswerDelayRange = 2 * time.Second
)

// delayDirectCommands makes a share of direct commands reach the worker late and without an answer.
func (w *World) delayDirectCommands(line scenarioLine) {
	w.delayedDirectCommands = randomFault{line.number("share", defaultDelayedShare), w.now + line.duration()}
}

// delayCommandAnswers makes a share of two kinds of answers late: answers to heartbeats that contain
// commands, and workers' answers to direct commands.
func (w *World) delayCommandAnswers(line scenarioLine) {
	w.delayedCommandAnswers = randomFault{line.number("share", defaultDelayedShare), w.now + line.duration()}
}

// defaultDelayedShare is the default share of commands, or of their answers, that are delayed.
const defaultDelayedShare = 0.5

// directCommandDelay returns how long a controller's request to a worker is delayed on its way; 0 if
// it is not. Probes are never delayed.
func (w *World) directCommandDelay(path string) time.Duration {
	if path != commandsPath || !w.delayedDirectCommands.occurs(w) {
		return 0
	}
	return minCommandDelay + w.randomDuration(commandDelayRange)
}

// directAnswerDelay returns how long a worker's answer to a controller's request is delayed; 0 if it
// is not. Answers to probes are never delayed.
func (w *World) directAnswerDelay(path string) time.Duration {
	if path != commandsPath || !w.delayedCommandAnswers.occurs(w) {
		return 0
	}
	return w.randomDuration(directAnswerDelayRange)
}

// heartbeatAnswerDelay returns how long the answer to a heartbeat that was sent at a time is delayed; 0
// if it is not. The worker accepts the answer until its timeout, so it is delayed no longer.
func (w *World) heartbeatAnswerDelay(sentAt time.Duration, status int, answer []byte) time.Duration {
	remaining := sentAt + heartbeatTimeout - w.now
	if status != httpstatus.OK || remaining <= 0 || !containsCommands(answer) || !w.delayedCommandAnswers.occurs(w) {
		return 0
	}
	return w.randomDuration(remaining)
}

// containsCommands reports whether the answer to a heartbeat contains commands.
func containsCommands(answer []byte) bool {
	var list wire.CommandList
	return json.Unmarshal(answer, &list) == nil && len(list.Commands) > 0
}
