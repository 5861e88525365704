package wake

import "time"

// ownership is what the driver of a copy knows of it.
type ownership struct {
	epoch          uint64        // what is below holds for this epoch
	commandPending bool          // a command is under way
	nextCommand    time.Duration // when the copy is asked about again
	startToken     uint64        // that allows to start the copy; 0 for none
	lastAnswer     time.Duration // when it last answered
	since          time.Duration // when driving under this epoch began
	replicaSeen    bool          // a copy was seen under this epoch
	closed         bool          // the copy takes no further requests
}

// reconcileReplica does what is due for a copy that this controller drives.
func (c *Controller) reconcileReplica(model *modelState) {
	if !c.registered() {
		return // another one may drive it by now
	}
	now, record := c.host.Now(), model.record.value
	if model.ownership.epoch != record.Epoch {
		model.ownership = ownership{epoch: record.Epoch, since: now}
	}
	ownership := &model.ownership
	if c.replicaExpired(model, now) {
		c.failOver(model)
		return
	}
	if ownership.commandPending || now < ownership.nextCommand || model.writePending {
		return
	}
	ownership.commandPending = true
	command := Command{Verb: c.nextVerb(model), Model: model.Name, Epoch: record.Epoch, StartToken: ownership.startToken}
	c.servers.Command(record.Server, command, func(status ReplicaStatus) { c.onStatus(model, command, status) })
}

// nextVerb is what the copy's server is to do next.
func (c *Controller) nextVerb(model *modelState) Verb {
	ownership := &model.ownership
	switch model.record.value.Phase {
	case PhaseWaking:
		if ownership.startToken != 0 {
			return VerbStart
		}
	case PhaseDraining:
		if ownership.closed {
			return VerbStop
		}
		return VerbClose
	}
	return VerbProbe
}

// replicaExpired tells whether the copy has certainly ended by itself: its server has not
// been reached for longer than the copy's lease, with a margin for the clocks' drift. A
// driver that has just taken over counts from then, since the one before may have renewed
// the lease until its own ran out.
func (c *Controller) replicaExpired(model *modelState, now time.Duration) bool {
	since := max(model.ownership.lastAnswer, model.ownership.since)
	lease := seconds(c.registry.ReplicaLeaseSeconds)
	return now-since > lease+lease/20+c.leaseDuration()
}

// onStatus takes in what a server says of the copy.
func (c *Controller) onStatus(model *modelState, command Command, status ReplicaStatus) {
	ownership, now := &model.ownership, c.host.Now()
	if ownership.epoch != command.Epoch || !c.owns(model) {
		return // the driver has changed meanwhile
	}
	ownership.commandPending = false
	ownership.nextCommand = now + c.pollInterval()
	switch status.State {
	case ReplicaUnreachable:
		return
	case ReplicaFenced:
		c.relist()
		return
	}
	ownership.lastAnswer, ownership.startToken = now, 0
	switch status.State {
	case ReplicaAbsent:
		c.onAbsent(model, status.StartToken)
	case ReplicaLoading:
		ownership.replicaSeen = true
	case ReplicaReady:
		ownership.replicaSeen = true
		c.onReady(model, status)
	case ReplicaClosed:
		c.onClosed(model, status)
	case ReplicaFailed:
		c.log.Warn("copy does not come up", "model", model.Name, "server", model.record.value.Server, "fails", model.record.value.Failures+1)
		c.writeRecord(model, Record{Phase: PhaseAsleep, Epoch: model.record.value.Epoch, Failures: model.record.value.Failures + 1}, slotReleased)
	}
}

// onAbsent takes in that the server holds no copy, and the ticket to start one.
func (c *Controller) onAbsent(model *modelState, startToken uint64) {
	record := model.record.value
	switch record.Phase {
	case PhaseWaking:
		if model.ownership.replicaSeen {
			// It was there and has ended: a load that broke off.
			c.writeRecord(model, Record{Phase: PhaseAsleep, Epoch: record.Epoch, Failures: record.Failures + 1}, slotReleased)
			return
		}
		if startToken != 0 { // nobody has started one: start it now
			model.ownership.startToken, model.ownership.nextCommand = startToken, c.host.Now()
			c.reconcileReplica(model)
		}
	case PhaseAwake, PhaseDraining:
		c.log.Info("copy is gone", "model", model.Name, "server", record.Server, "phase", record.Phase)
		c.writeRecord(model, Record{Phase: PhaseAsleep, Epoch: record.Epoch}, slotUnchanged)
	}
}

// onReady takes in that the copy can take requests.
func (c *Controller) onReady(model *modelState, status ReplicaStatus) {
	record := model.record.value
	switch record.Phase {
	case PhaseWaking:
		record.Phase, record.Failures = PhaseAwake, 0
		c.writeRecord(model, record, slotReleased)
	case PhaseAwake:
		if model.IdleSeconds > 0 && status.InFlight == 0 && status.IdleSeconds >= model.IdleSeconds && len(model.queue.requests)+len(model.inFlight) == 0 {
			record.Phase = PhaseDraining
			c.writeRecord(model, record, slotUnchanged)
		}
	}
}

// onClosed takes in that the copy takes no further requests.
func (c *Controller) onClosed(model *modelState, status ReplicaStatus) {
	model.ownership.closed = true
	if model.record.value.Phase == PhaseWaking {
		// A driver before this one closed it and did not record that: it wakes anew once
		// that copy has ended.
		record := model.record.value
		record.Phase = PhaseDraining
		c.writeRecord(model, record, slotReleased)
		return
	}
	if status.InFlight == 0 {
		model.ownership.nextCommand = c.host.Now()
	}
}

// failOver wakes a model on its next server, once the copy on the one out of reach has
// certainly ended; a copy that was about to sleep just has.
func (c *Controller) failOver(model *modelState) {
	record := model.record.value
	if record.Phase == PhaseDraining {
		c.writeRecord(model, Record{Phase: PhaseAsleep, Epoch: record.Epoch}, slotUnchanged)
		return
	}
	slot := slotUnchanged
	if record.Phase == PhaseAwake {
		slot = slotAcquired
	}
	next := Record{Phase: PhaseWaking, Epoch: record.Epoch + 1, Owner: c.name, Incarnation: c.incarnation, Server: model.serverAfter(record.Server), Failures: record.Failures}
	c.log.Warn("model server out of reach", "model", model.Name, "server", record.Server, "next", next.Server)
	c.writeRecord(model, next, slot)
}

// serverAfter is the server that follows one in a model's list.
func (m *modelState) serverAfter(server string) string {
	for i, s := range m.Servers {
		if s == server {
			return m.Servers[(i+1)%len(m.Servers)]
		}
	}
	return m.Servers[0]
}
