package reconcile

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// Commands lists the commands that a worker is to get now, by the leader of a term. It records
// which starts go out with them.
func Commands(machine *cluster.Machine, jobs map[string]*cluster.Job, term uint64) []wire.Command {
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
			// A start that was overtaken, or an attempt that is over.
			commands = append(commands, immediateStop(listed.Task, listed.Attempt))
		case MayForget(machine, jobs, listed, term):
			commands = append(commands, wire.Command{Verb: wire.VerbForget, Task: listed.Task, Attempt: listed.Attempt})
		}
	}
	return commands
}

// appendPlaced appends the commands for a task that counts on the machine.
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
		// A copy of the start may still be under way. Starting and stopping the task here
		// pins the attempt, so that the copy has no effect when it arrives.
		commands = append(commands, immediateStop(name, task.Attempt))
	}
	return commands
}

// appendStop appends the command to stop a task that a heartbeat has shown, unless the task is
// to run on or saves its checkpoint within the grace period.
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

// immediateStop is the command that stops a task without a checkpoint.
func immediateStop(name string, attempt uint64) wire.Command {
	grace := 0.0
	return wire.Command{Verb: wire.VerbStop, Task: name, Attempt: attempt, GracePeriodS: &grace}
}

// MayForget reports whether an exited task may be removed from the worker's heartbeats: its
// outcome is on record, and no copy of its start can still arrive, which would start it again.
func MayForget(machine *cluster.Machine, jobs map[string]*cluster.Job, exited wire.TaskStatus, term uint64) bool {
	attempt := cluster.AttemptID{Task: exited.Task, Attempt: exited.Attempt}
	if machine.UnconfirmedStarts[attempt] > 0 || machine.FencingToken < term {
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

// startedAttempts lists the attempts that commands start.
func startedAttempts(commands []wire.Command) []cluster.AttemptID {
	var attempts []cluster.AttemptID
	for _, command := range commands {
		if command.Verb == wire.VerbStart {
			attempts = append(attempts, cluster.AttemptID{Task: command.Task, Attempt: command.Attempt})
		}
	}
	return attempts
}
