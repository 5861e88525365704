package reconcile

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// Commands returns the commands that the leader of a term should send to a worker now. It records
// the start commands among them as sent.
func Commands(machine *cluster.Machine, jobs map[string]*cluster.Job, tokens TokenRange) []wire.Command {
	commands := []wire.Command{}
	for _, placement := range machine.Placements {
		if task := placement.Task(); task.Incarnation == machine.Incarnation {
			commands = appendPlaced(commands, placement.Name, task)
		}
	}
	for _, listed := range machine.ReportedTasks {
		if task := machine.PlacementOf(listed.Task); task != nil && task.Attempt == listed.Attempt {
			continue
		}
		switch {
		case listed.State != wire.TaskExited:
			// A start that has been superseded, or an attempt that has ended.
			commands = append(commands, immediateStop(listed.Task, listed.Attempt))
		case MayForget(machine, jobs, listed, tokens):
			commands = append(commands, wire.Command{Verb: wire.VerbForget, Task: listed.Task, Attempt: listed.Attempt})
		}
	}
	return commands
}

// appendPlaced appends the commands for a task that occupies the machine.
func appendPlaced(commands []wire.Command, name string, task *cluster.Task) []wire.Command {
	if task.Observed {
		return appendStop(commands, name, task)
	}
	startable := task.Persisted && task.PlacedThisTerm
	if !startable || task.Stop != nil && !task.StartSent {
		return commands
	}
	task.StartSent = true
	commands = append(commands, wire.Command{Verb: wire.VerbStart, Task: name, Attempt: task.Attempt})
	if task.Stop != nil {
		// A duplicate of the start command may still be in flight. Starting and stopping the
		// attempt makes it known to the worker, so that the duplicate has no effect.
		commands = append(commands, immediateStop(name, task.Attempt))
	}
	return commands
}

// appendStop appends the command to stop a task that a heartbeat has listed, unless no stop was
// requested or the task is saving its checkpoint and is not to be killed.
func appendStop(commands []wire.Command, name string, task *cluster.Task) []wire.Command {
	if task.Stop == nil {
		return commands
	}
	grace := task.Stop.GracePeriodS
	if task.State == wire.TaskCheckpointing {
		if !task.Stop.Killed {
			return commands
		}
		grace = 0
	}
	return append(commands, wire.Command{Verb: wire.VerbStop, Task: name, Attempt: task.Attempt, GracePeriodS: &grace})
}

// immediateStop returns the command that stops a task without a grace period for a checkpoint.
func immediateStop(name string, attempt uint64) wire.Command {
	grace := 0.0
	return wire.Command{Verb: wire.VerbStop, Task: name, Attempt: attempt, GracePeriodS: &grace}
}

// MayForget reports whether the worker may be told to forget an exited task and stop listing it: its
// outcome is recorded, and its start commands, in whatever message, are known to have arrived or never
// to arrive. The token of the message protects from copies of them, see AnswerHeartbeat.
func MayForget(machine *cluster.Machine, jobs map[string]*cluster.Job, exited wire.TaskStatus, tokens TokenRange) bool {
	attempt := cluster.AttemptID{Task: exited.Task, Attempt: exited.Attempt}
	if machine.UnconfirmedStarts[attempt] > 0 || machine.FencingToken < tokens.First {
		return false
	}
	job := jobs[cluster.JobIDOf(exited.Task)]
	if job == nil {
		return true
	}
	for i := range job.PlacementRecords {
		record := &job.PlacementRecords[i]
		if record.Dirty || record.WritePending || record.VersionUnknown {
			return false
		}
	}
	return !job.EndWritePending
}
