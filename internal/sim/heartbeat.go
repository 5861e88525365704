package sim

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
)

// Timing of heartbeats, besides the interval in the settings.
const (
	// heartbeatTimeout is how long a worker waits for a connection and an answer.
	heartbeatTimeout = 4 * time.Second
	// retryDelay is how long a worker waits before it tries the next controller.
	retryDelay = time.Second
	// maxRedirectDelay bounds how long a worker waits before it follows a redirect.
	maxRedirectDelay = time.Second / 2
	// minDuplicateDelay is the minimum delay of a random copy of a heartbeat.
	minDuplicateDelay = 2 * time.Second

	// An interval is the one in the settings times a random factor from 0.75 to 1.25.
	minIntervalFactor   = 0.75
	intervalFactorRange = 0.5
)

// heartbeat returns the worker's next heartbeat, with the state of all its tasks.
func (m *machine) heartbeat() *wire.Heartbeat {
	m.sequence++
	heartbeat := &wire.Heartbeat{
		Machine: m.name, Addr: m.address, Type: m.machineType, Zone: m.zone, Spot: m.spot,
		Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: []wire.TaskStatus{},
	}
	if m.preemptionAt != 0 {
		notice := (m.preemptionAt - m.world.now).Seconds()
		heartbeat.PreemptionNoticeS = &notice
	}
	shuffled := slices.Clone(m.sortedTasks()) // the protocol defines no order
	m.world.rng.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
	for _, t := range shuffled {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Cause: t.cause, Checkpointed: t.checkpointed})
	}
	return heartbeat
}

// sendHeartbeat sends a heartbeat, and copies of it if a fault duplicates it.
func (m *machine) sendHeartbeat() {
	world := m.world
	m.awaitsAnswer, m.statusChanged = true, false
	m.lastHeartbeat = world.now
	sentAt, incarnation := world.now, m.incarnation
	heartbeat := m.heartbeat()
	body := encode(heartbeat)
	world.workerTraffic.recordHeartbeat(heartbeat, len(body))
	world.checker.checkHeartbeatSize(m, len(body))
	m.duplicateHeartbeat(body)
	done := func(status int, answer []byte) {
		handle := func() { m.heartbeatAnswered(sentAt, incarnation, status, answer) }
		if delay := world.heartbeatAnswerDelay(sentAt, status, answer); delay > 0 {
			world.after(delay, handle)
			return
		}
		handle()
	}
	if world.now < m.outboundBlockedUntil {
		// The connection is not established. A partition cannot simulate this fault because
		// controllers can still connect to the worker.
		world.after(heartbeatTimeout, func() { done(httpstatus.NoAnswer, nil) })
		return
	}
	world.controllers[m.controllerIndex].request(m.name, "POST", heartbeatPath, body, heartbeatTimeout, done)
}

// duplicateHeartbeat sends delayed copies of a heartbeat to random controllers, if a fault
// duplicates it.
func (m *machine) duplicateHeartbeat(body []byte) {
	world := m.world
	if world.now < m.outboundBlockedUntil {
		return
	}
	send := func(to *controller) {
		to.request(m.name, "POST", heartbeatPath, body, heartbeatTimeout, func(int, []byte) {})
	}
	if world.now < m.duplicateUntil {
		to := world.randomController()
		world.after(m.duplicateDelay, func() { send(to) })
	}
	if world.duplicateHeartbeats.occurs(world) {
		lease := seconds(world.settings.Deployment.Workers.LeaseS)
		world.after(minDuplicateDelay+world.randomDuration(lease+lease/2), func() { send(world.randomController()) })
	}
}

func (w *World) randomController() *controller { return w.controllers[w.rng.IntN(len(w.controllers))] }

// heartbeatAnswered handles the answer to a heartbeat that an incarnation sent. The status is 0 if
// there was no answer.
func (m *machine) heartbeatAnswered(sentAt time.Duration, incarnation uint64, status int, answer []byte) {
	if m.removed {
		return
	}
	world := m.world
	m.awaitsAnswer = false
	interval := seconds(world.settings.Deployment.Workers.ReportS)
	m.nextHeartbeat = world.now + time.Duration(float64(interval)*(minIntervalFactor+intervalFactorRange*world.rng.Float64()))
	hangs := world.now < m.hangUntil
	if status == httpstatus.MisdirectedRequest && !hangs && m.followRedirect(answer) {
		return
	}
	if status != httpstatus.OK || hangs {
		m.controllerIndex = (m.controllerIndex + 1) % len(world.controllers)
		m.nextHeartbeat = world.now + retryDelay
		return
	}
	var list wire.CommandList
	if json.Unmarshal(answer, &list) != nil || incarnation != m.incarnation {
		return
	}
	if list.FencingToken < m.fencingToken {
		world.workerTraffic.droppedAnswers++
		return
	}
	m.observeToken(list.FencingToken)
	m.acknowledgedAt = max(m.acknowledgedAt, sentAt)
	m.execute(list.Commands)
}

// followRedirect directs the next heartbeats to the controller named in the answer. It returns
// false if there is no such controller, or if heartbeats already go to it.
func (m *machine) followRedirect(answer []byte) bool {
	var redirect wire.Redirect
	decode(answer, &redirect)
	for i, c := range m.world.controllers {
		if c.name == redirect.Controller && i != m.controllerIndex {
			m.controllerIndex = i
			m.nextHeartbeat = m.world.now + m.world.randomDuration(maxRedirectDelay)
			return true
		}
	}
	return false
}

// observeToken records a fencing token if it is the highest so far.
func (m *machine) observeToken(token uint64) {
	if token > m.fencingToken {
		first := m.fencingToken == 0
		m.fencingToken = token
		m.statusChanged = m.statusChanged || first || !m.world.hideRaisedTokens
	}
}
