package wake

import "time"

// ownership is the state that a replica's owner keeps for it under one epoch.
type ownership struct {
	epoch          uint64
	commandPending bool          // a command is in flight
	nextCommand    time.Duration // when the next command is due
	startToken     uint64        // to be sent with the next start; 0 for none
	lastAnswer     time.Duration // when the server last answered
	lastExecuted   time.Duration // latest time at which the server can have executed a command
	since          time.Duration // when this ownership began
	mayHaveReplica bool          // the server may have a replica whose lease commands renew
	serverClock    clockReading
	replicaSeen    bool // the server reported a loading or ready replica under this epoch
	closed         bool // the replica accepts no further requests
}

// reconcileReplica sends the next command for a replica that this controller owns, or fails the
// model over if the replica's lease has expired.
func (c *Controller) reconcileReplica(model *modelState) {
	if !c.registered() {
		return // another controller may own it by now
	}
	now, record := c.host.Now(), model.record.Value
	if model.ownership.epoch != record.Epoch {
		model.ownership = ownership{epoch: record.Epoch, since: now, mayHaveReplica: model.serverMayHaveReplica}
	}
	owned := &model.ownership
	if c.replicaExpired(model, now) {
		c.failOver(model)
		return
	}
	if owned.commandPending || now < owned.nextCommand || model.writePending || c.silentPastLease(owned, now) {
		return
	}
	owned.commandPending = true
	command := Command{
		Verb:          nextVerb(model),
		Model:         model.Name,
		Epoch:         record.Epoch,
		StartToken:    owned.startToken,
		ExpirySeconds: owned.serverClock.expiry(now, c.leaseDuration()).Seconds(),
	}
	if command.Verb == VerbStart {
		owned.mayHaveReplica = true
	}
	c.servers.Command(record.Server, command, func(status ReplicaStatus) { c.onStatus(model, command, status) })
}

// nextVerb returns the verb of the next command to the replica's server.
func nextVerb(model *modelState) Verb {
	owned := &model.ownership
	switch model.record.Value.Phase {
	case PhaseStarting:
		if owned.startToken != 0 {
			return VerbStart
		}
	case PhaseDraining:
		if owned.closed {
			return VerbStop
		}
		return VerbClose
	case PhaseServing, PhaseScaledToZero, phaseNoRecord:
	}
	return VerbProbe
}

// onStatus handles a model server's answer to a command.
func (c *Controller) onStatus(model *modelState, command Command, status ReplicaStatus) {
	owned, now := &model.ownership, c.host.Now()
	if owned.epoch != command.Epoch || !c.owns(model) {
		return // the owner or the epoch has changed since the command was sent
	}
	owned.commandPending = false
	owned.nextCommand = now + c.pollInterval()
	clockWasKnown := owned.serverClock.known()
	if status.ClockSeconds != 0 {
		owned.serverClock = clockReading{server: seconds(status.ClockSeconds), takenAt: now}
	}
	switch status.State {
	case ReplicaNotSent:
		return
	case ReplicaUnreachable:
		if owned.mayHaveReplica {
			owned.lastExecuted = now
		}
		return
	case ReplicaFenced:
		c.relist()
		return
	case ReplicaLate:
		owned.lastAnswer = now
		if !clockWasKnown && owned.serverClock.known() {
			owned.nextCommand = now
			c.reconcileReplica(model)
		}
		return
	default:
		c.onAnswer(model, status)
	}
}

// onAnswer handles the status of a replica after the server has executed a command.
func (c *Controller) onAnswer(model *modelState, status ReplicaStatus) {
	owned, now := &model.ownership, c.host.Now()
	owned.lastAnswer, owned.lastExecuted, owned.startToken = now, now, 0
	switch status.State {
	case ReplicaAbsent:
		c.onAbsent(model, status.StartToken)
	case ReplicaLoading:
		owned.replicaSeen = true
	case ReplicaReady:
		owned.replicaSeen = true
		c.onReady(model, status)
	case ReplicaClosed:
		c.onClosed(model, status)
	case ReplicaFailed:
		c.onFailed(model)
	case ReplicaFenced, ReplicaLate, ReplicaUnreachable, ReplicaNotSent: // handled by onStatus
	}
}

// onFailed handles that the replica failed to load.
func (c *Controller) onFailed(model *modelState) {
	record := model.record.Value
	failures := record.Failures + 1
	c.log.Warn("replica failed to load", "model", model.Name, "server", record.Server, "failures", failures)
	c.writeRecord(model, Record{Phase: PhaseScaledToZero, Epoch: record.Epoch, Failures: failures}, slotReleased)
}

// onAbsent handles that the server has no replica. The token permits one start.
func (c *Controller) onAbsent(model *modelState, startToken uint64) {
	record := model.record.Value
	switch record.Phase {
	case PhaseStarting:
		if model.ownership.replicaSeen {
			// The replica existed under this epoch and has ended, as after an aborted load.
			c.writeRecord(model, Record{Phase: PhaseScaledToZero, Epoch: record.Epoch, Failures: record.Failures + 1}, slotReleased)
			return
		}
		if startToken != 0 { // no replica was seen under this epoch: start it now
			model.ownership.startToken, model.ownership.nextCommand = startToken, c.host.Now()
			c.reconcileReplica(model)
		}
	case PhaseServing, PhaseDraining:
		c.log.Info("replica no longer exists on its model server", "model", model.Name, "server", record.Server, "phase", record.Phase)
		c.writeRecord(model, Record{Phase: PhaseScaledToZero, Epoch: record.Epoch}, slotUnchanged)
	case PhaseScaledToZero, phaseNoRecord: // without an owner, no command is sent
	}
}

// onReady handles that the replica can serve requests, and starts to drain it once it is idle.
func (c *Controller) onReady(model *modelState, status ReplicaStatus) {
	record := model.record.Value
	switch record.Phase {
	case PhaseStarting:
		record.Phase, record.Failures = PhaseServing, 0
		c.writeRecord(model, record, slotReleased)
	case PhaseServing:
		if model.idle(status) {
			record.Phase = PhaseDraining
			c.writeRecord(model, record, slotUnchanged)
		}
	case PhaseDraining, PhaseScaledToZero, phaseNoRecord: // while draining, the next command closes it
	}
}

// idle reports whether the model is to be scaled to zero: its server has served no request for
// IdleSeconds and has none in flight, and this controller has none queued or forwarded.
func (m *modelState) idle(status ReplicaStatus) bool {
	if m.IdleSeconds <= 0 || status.InFlight != 0 || status.IdleSeconds < m.IdleSeconds {
		return false
	}
	return len(m.queue.requests)+len(m.inFlight) == 0
}

// onClosed handles that the replica accepts no further requests.
func (c *Controller) onClosed(model *modelState, status ReplicaStatus) {
	model.ownership.closed = true
	if model.record.Value.Phase == PhaseStarting {
		// A previous owner closed it without recording that. The model is started again once
		// this replica has ended.
		record := model.record.Value
		record.Phase = PhaseDraining
		c.writeRecord(model, record, slotReleased)
		return
	}
	if status.InFlight == 0 {
		model.ownership.nextCommand = c.host.Now()
	}
}

// failOver starts a model on its next server after the lease of the replica on the unreachable
// server has expired. A model whose replica was draining is recorded as scaled to zero instead.
func (c *Controller) failOver(model *modelState) {
	record := model.record.Value
	if record.Phase == PhaseDraining {
		c.writeRecord(model, Record{Phase: PhaseScaledToZero, Epoch: record.Epoch}, slotUnchanged)
		return
	}
	slot := slotUnchanged // a model that was being started already holds a slot
	if record.Phase == PhaseServing {
		slot = slotAcquired
	}
	next := Record{
		Phase:       PhaseStarting,
		Epoch:       record.Epoch + 1,
		Owner:       c.name,
		Incarnation: c.incarnation,
		Server:      model.serverAfter(record.Server),
		Failures:    record.Failures,
	}
	c.log.Warn("model server unreachable past the replica's lease; starting the model on its next server", "model", model.Name, "server", record.Server, "next_server", next.Server)
	c.writeRecord(model, next, slot)
}

// serverAfter returns the server that follows the given one in a model's list, wrapping around
// at the end; the first one if the given one is not listed.
func (m *modelState) serverAfter(server string) string {
	for i, candidate := range m.Servers {
		if candidate == server {
			return m.Servers[(i+1)%len(m.Servers)]
		}
	}
	return m.Servers[0]
}
