package wake

import "time"

// driving is what the driver of a copy knows of it.
type driving struct {
	epoch     uint64        // what is below holds for this epoch
	busy      bool          // a command is under way
	next      time.Duration // when the copy is asked about again
	ticket    uint64        // that allows to start the copy; 0 for none
	heard     time.Duration // when it last answered
	since     time.Duration // when driving under this epoch began
	confirmed bool          // a copy was seen under this epoch
	closed    bool          // the copy takes no further requests
}

// driveOn does what is due for a copy that this controller drives.
func (c *Controller) driveOn(m *model) {
	if !c.registered() {
		return // another one may drive it by now
	}
	now, r := c.host.Now(), m.record.value
	if m.drive.epoch != r.Epoch {
		m.drive = driving{epoch: r.Epoch, since: now}
	}
	d := &m.drive
	if c.copyIsGone(m, now) {
		c.moveOn(m)
		return
	}
	if d.busy || now < d.next || m.busy {
		return
	}
	d.busy = true
	command := Command{Verb: c.verbFor(m), Model: m.Name, Epoch: r.Epoch, Ticket: d.ticket}
	c.servers.Command(r.Server, command, func(report CopyReport) { c.onReport(m, command, report) })
}

// verbFor is what the copy's server is to do next.
func (c *Controller) verbFor(m *model) Verb {
	d := &m.drive
	switch m.record.value.Phase {
	case Waking:
		if d.ticket != 0 {
			return VerbStart
		}
	case Draining:
		if d.closed {
			return VerbStop
		}
		return VerbClose
	}
	return VerbLook
}

// copyIsGone tells whether the copy has certainly ended by itself: its server has not
// been reached for longer than the copy's lease, with a margin for the clocks' drift. A
// driver that has just taken over counts from then, since the one before may have renewed
// the lease until its own ran out.
func (c *Controller) copyIsGone(m *model, now time.Duration) bool {
	since := max(m.drive.heard, m.drive.since)
	lease := seconds(c.reg.CopyLeaseS)
	return now-since > lease+lease/20+c.leaseTime()
}

// onReport takes in what a server says of the copy.
func (c *Controller) onReport(m *model, command Command, report CopyReport) {
	d, now := &m.drive, c.host.Now()
	if d.epoch != command.Epoch || !c.drives(m) {
		return // the driver has changed meanwhile
	}
	d.busy = false
	d.next = now + c.pace()
	switch report.State {
	case CopyUnreached:
		return
	case CopyFenced:
		c.relist()
		return
	}
	d.heard, d.ticket = now, 0
	switch report.State {
	case CopyNone:
		c.onNoCopy(m, report.Ticket)
	case CopyLoading:
		d.confirmed = true
	case CopyReady:
		d.confirmed = true
		c.onReady(m, report)
	case CopyClosed:
		c.onClosed(m, report)
	case CopyFailed:
		c.log.Warn("copy does not come up", "model", m.Name, "server", m.record.value.Server, "fails", m.record.value.Fails+1)
		c.change(m, Record{Phase: Asleep, Epoch: m.record.value.Epoch, Fails: m.record.value.Fails + 1}, slotFreed)
	}
}

// onNoCopy takes in that the server holds no copy, and the ticket to start one.
func (c *Controller) onNoCopy(m *model, ticket uint64) {
	r := m.record.value
	switch r.Phase {
	case Waking:
		if m.drive.confirmed {
			// It was there and has ended: a load that broke off.
			c.change(m, Record{Phase: Asleep, Epoch: r.Epoch, Fails: r.Fails + 1}, slotFreed)
			return
		}
		if ticket != 0 { // nobody has started one: start it now
			m.drive.ticket, m.drive.next = ticket, c.host.Now()
			c.driveOn(m)
		}
	case Awake, Draining:
		c.log.Info("copy is gone", "model", m.Name, "server", r.Server, "phase", r.Phase)
		c.change(m, Record{Phase: Asleep, Epoch: r.Epoch}, slotKept)
	}
}

// onReady takes in that the copy can take requests.
func (c *Controller) onReady(m *model, report CopyReport) {
	r := m.record.value
	switch r.Phase {
	case Waking:
		r.Phase, r.Fails = Awake, 0
		c.change(m, r, slotFreed)
	case Awake:
		if m.IdleS > 0 && report.Busy == 0 && report.IdleS >= m.IdleS && len(m.line.requests)+len(m.asking) == 0 {
			r.Phase = Draining
			c.change(m, r, slotKept)
		}
	}
}

// onClosed takes in that the copy takes no further requests.
func (c *Controller) onClosed(m *model, report CopyReport) {
	m.drive.closed = true
	if m.record.value.Phase == Waking {
		// A driver before this one closed it and did not record that: it wakes anew once
		// that copy has ended.
		r := m.record.value
		r.Phase = Draining
		c.change(m, r, slotFreed)
		return
	}
	if report.Busy == 0 {
		m.drive.next = c.host.Now()
	}
}

// moveOn wakes a model on its next server, once the copy on the one out of reach has
// certainly ended; a copy that was about to sleep just has.
func (c *Controller) moveOn(m *model) {
	r := m.record.value
	if r.Phase == Draining {
		c.change(m, Record{Phase: Asleep, Epoch: r.Epoch}, slotKept)
		return
	}
	slot := slotKept
	if r.Phase == Awake {
		slot = slotTaken
	}
	next := Record{Phase: Waking, Epoch: r.Epoch + 1, Driver: c.name, Run: c.run, Server: m.serverAfter(r.Server), Fails: r.Fails}
	c.log.Warn("model server out of reach", "model", m.Name, "server", r.Server, "next", next.Server)
	c.change(m, next, slot)
}

// serverAfter is the server that follows one in a model's list.
func (m *model) serverAfter(server string) string {
	for i, s := range m.Servers {
		if s == server {
			return m.Servers[(i+1)%len(m.Servers)]
		}
	}
	return m.Servers[0]
}
