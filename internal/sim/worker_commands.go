package sim

import (
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
)

// handleDirect serves a controller's request to the worker's own address: direct commands or a
// probe.
func (m *machine) handleDirect(method, path string, body []byte, reply func(int, []byte)) {
	if path == commandsPath {
		reply = m.world.repeatWhenAnswered(m.name, reply, func(reply func(int, []byte)) { m.serveDirect(method, path, body, reply) })
	}
	m.serveDirect(method, path, body, reply)
}

// serveDirect is handleDirect without copies of the request.
func (m *machine) serveDirect(method, path string, body []byte, reply func(int, []byte)) {
	if m.removed || m.world.now < m.upAt {
		return
	}
	if m.world.now < m.hangUntil {
		m.heldCommands = append(m.heldCommands, func() { m.serveDirect(method, path, body, reply) })
		return
	}
	status := httpstatus.OK
	if path == commandsPath {
		var list wire.CommandList
		decode(body, &list)
		if list.FencingToken < m.fencingToken || list.Incarnation != m.incarnation {
			status = httpstatus.Conflict
			if list.Incarnation == m.incarnation && len(list.Commands) > 0 {
				m.world.workerTraffic.refusedCalls++
			}
		} else {
			m.observeToken(list.FencingToken)
			m.execute(list.Commands)
		}
	}
	reply(status, encode(m.heartbeat()))
}

// execute executes commands in order.
func (m *machine) execute(commands []wire.Command) {
	for _, command := range commands {
		m.executeOne(command)
	}
}

func (m *machine) executeOne(command wire.Command) {
	if exited := exitedKey(command.Task, command.Attempt); m.tasks[exited] != nil {
		// An earlier attempt that has exited: only a forget command applies to it.
		if command.Verb == wire.VerbForget {
			m.forgetTask(exited)
		}
		return
	}
	t := m.tasks[command.Task]
	isHere := t != nil && t.attempt == command.Attempt
	switch command.Verb {
	case wire.VerbStart:
		if !isHere {
			m.startTask(command)
		}
	case wire.VerbStop:
		if isHere && t.state != wire.TaskExited {
			m.stopTask(t, command.GracePeriodS)
		}
	case wire.VerbForget:
		if isHere && t.state == wire.TaskExited {
			m.forgetTask(command.Task)
		}
	}
}

// forgetTask removes an exited task, so that heartbeats no longer report it.
func (m *machine) forgetTask(key string) {
	delete(m.tasks, key)
	m.sortedCache = nil
	m.statusChanged = true
}

// stopTask stops a task. If the task can save a checkpoint within the grace period in seconds, it
// does so first. A checkpoint that is already being saved is completed, unless the grace period
// is 0.
func (m *machine) stopTask(t *task, gracePeriodS *float64) {
	m.statusChanged = true
	if t.state == wire.TaskCheckpointing {
		if gracePeriodS != nil && *gracePeriodS == 0 {
			m.exit(t, wire.CauseStopped)
		}
		return
	}
	canSave := t.state == wire.TaskRunning && t.job.CheckpointIntervalS > 0 && t.peerLostAt == 0
	if canSave && gracePeriodS != nil && *gracePeriodS >= t.job.CheckpointDurationS {
		t.state = wire.TaskCheckpointing
		t.checkpointEnd = m.world.now + seconds(t.job.CheckpointDurationS)
		return
	}
	m.exit(t, wire.CauseStopped)
}

// startTask executes a start command: the worker pulls the image, or reports why it does not
// start the task. It ignores the command if another attempt of the task has not exited.
func (m *machine) startTask(command wire.Command) {
	world := m.world
	world.taskStarts++
	world.checker.checkAttempt(m, command)
	m.statusChanged = true
	t := &task{name: command.Task, attempt: command.Attempt, state: wire.TaskExited, commandedAt: world.now}
	jobID, index := splitTaskName(command.Task)
	t.job, t.index = world.jobs[jobID], index
	if earlier := m.tasks[command.Task]; earlier != nil {
		if earlier.state != wire.TaskExited {
			return
		}
		m.tasks[exitedKey(command.Task, earlier.attempt)] = earlier // reported until a forget command
	}
	m.tasks[command.Task], m.sortedCache = t, nil
	if t.job == nil || t.index >= t.job.Tasks {
		t.job = newGroundTruth(wire.Job{ID: command.Task})
		t.cause = wire.CauseUnknownTask
		return
	}
	if !world.cloud.freeCapacityOf(m).holds(t.job) {
		t.cause = wire.CauseInsufficientResources
		return
	}
	t.state = wire.TaskPulling
	t.imageReadyAt = world.now
	if !m.cachedImages[t.job.Image] {
		t.imageReadyAt += seconds(t.job.ImageGB / world.cloud.machineType(m.machineType).PullGBPerS)
	}
}
