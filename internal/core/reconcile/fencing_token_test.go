package reconcile

import (
	"fmt"
	"slices"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// fencedWorker is a worker as the protocol defines it, which gets the messages of a leader.
type fencedWorker struct {
	token    uint64
	attempts map[cluster.AttemptID]bool // listed; true if exited
	starts   map[cluster.AttemptID]int
}

// receive executes a message, unless its token is lower than one that the worker has seen.
func (w *fencedWorker) receive(message Message) (executed bool) {
	if message.Token < w.token {
		return false
	}
	w.token = message.Token
	for _, command := range message.Commands {
		attempt := cluster.AttemptID{Task: command.Task, Attempt: command.Attempt}
		_, listed := w.attempts[attempt]
		switch {
		case command.Verb == wire.VerbStart && !listed:
			w.attempts[attempt] = false
			w.starts[attempt]++
		case command.Verb == wire.VerbForget:
			delete(w.attempts, attempt)
		}
	}
	return true
}

func startOf(attempt uint64) wire.Command {
	return wire.Command{Verb: wire.VerbStart, Task: "job-1/0", Attempt: attempt}
}

func forgetOf(attempt uint64) wire.Command {
	return wire.Command{Verb: wire.VerbForget, Task: "job-1/0", Attempt: attempt}
}

// TestForgottenAttemptStartsAgain guards against a worker that starts an attempt again which it has
// forgotten, when a copy of any earlier message arrives.
func TestForgottenAttemptStartsAgain(t *testing.T) {
	machine := cluster.NewMachine("n-1", 0)
	tokens := TokenRange{First: testTerm, Last: testTerm + 1000}
	worker := &fencedWorker{attempts: map[cluster.AttemptID]bool{}, starts: map[cluster.AttemptID]int{}}
	var sent []Message
	receive := func(message Message) {
		sent = append(sent, message)
		if !worker.receive(message) {
			t.Fatalf("message %+v refused: the worker has seen token %d", message, worker.token)
		}
	}
	for attempt := uint64(1); attempt <= 100; attempt++ {
		message := DirectMessage(machine, []wire.Command{startOf(attempt)}, tokens)
		call := BeginDirectCall(machine, message.Commands)
		receive(message)
		call.End()
		if attempt%2 == 0 {
			message, _ = AnswerHeartbeat(machine, []wire.Command{startOf(attempt + 1000)}, tokens)
			RecordAnswer(machine, message.Commands, 0)
			receive(message)
		}
		message, _ = AnswerHeartbeat(machine, []wire.Command{forgetOf(attempt), forgetOf(attempt + 1000)}, tokens)
		receive(message)
		for _, copied := range sent {
			worker.receive(copied)
		}
	}
	for attempt, count := range worker.starts {
		if count != 1 {
			t.Errorf("attempt %+v: started %d times, want once", attempt, count)
		}
	}
	if len(worker.attempts) != 0 {
		t.Errorf("attempts listed in the end: got %d, want none", len(worker.attempts))
	}
}

// TestMessageTokens checks under which token commands are sent, and when commands to forget an attempt
// are left out.
func TestMessageTokens(t *testing.T) {
	forgets := []wire.Command{immediateStop("job-2/0", 1), forgetOf(1)}
	for _, tc := range []struct {
		name       string
		change     func(machine *cluster.Machine)
		answer     bool // to a heartbeat; else a direct call
		wantToken  uint64
		wantForget bool
		wantUsedUp bool
	}{
		{"first answer: starts of this term may be unknown", nil, true, testTerm + 1, true, false},
		{"first direct call", nil, false, testTerm, false, false},
		{"answer, no start since the token was raised", func(m *cluster.Machine) { m.CommandToken, m.StartToken = 8, 7 }, true, 8, true, false},
		{"direct call, no start since the token was raised", func(m *cluster.Machine) { m.CommandToken, m.StartToken = 8, 7 }, false, 8, true, false},
		{"answer after a start", func(m *cluster.Machine) { m.CommandToken, m.StartToken = 8, 8 }, true, 9, true, false},
		{"direct call after a start", func(m *cluster.Machine) { m.CommandToken, m.StartToken = 8, 8 }, false, 8, false, false},
		{"answer, direct call open", func(m *cluster.Machine) { m.CommandToken, m.StartToken, m.OpenDirectCalls = 8, 8, 1 }, true, 8, false, false},
		{"answer, direct call open, many exited tasks", func(m *cluster.Machine) {
			m.CommandToken, m.StartToken, m.OpenDirectCalls, m.ReportedExited = 8, 8, 1, cluster.MaxExitedRows
		}, true, 9, true, false},
		{"worker that has seen a higher token of this term", func(m *cluster.Machine) { m.FencingToken = 9 }, true, 10, true, false},
		{"last token", func(m *cluster.Machine) { m.CommandToken, m.StartToken = testTokens.Last, testTokens.Last-1 }, true, testTokens.Last, true, false},
		{"tokens used up", func(m *cluster.Machine) { m.CommandToken, m.StartToken = testTokens.Last, testTokens.Last }, true, testTokens.Last, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machine := cluster.NewMachine("n-1", 0)
			if tc.change != nil {
				tc.change(machine)
			}
			message, usedUp := Message{}, false
			if tc.answer {
				message, usedUp = AnswerHeartbeat(machine, forgets, testTokens)
			} else {
				message = DirectMessage(machine, forgets, testTokens)
			}
			forget := slices.ContainsFunc(message.Commands, isForget)
			if message.Token != tc.wantToken || forget != tc.wantForget || usedUp != tc.wantUsedUp {
				t.Errorf("token, forget, used up: got %d, %v, %v; want %d, %v, %v", message.Token, forget, usedUp, tc.wantToken, tc.wantForget, tc.wantUsedUp)
			}
			if !slices.ContainsFunc(message.Commands, func(c wire.Command) bool { return c.Verb == wire.VerbStop }) {
				t.Error(fmt.Sprint("the stop command is missing: ", message.Commands))
			}
		})
	}
}
