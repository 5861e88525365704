package membership

import (
	"hash/fnv"
	"time"
)

// A worker is redirected to a controller of its own zone, so that it does not have to find one while
// its lease is running out if the zone becomes partitioned. It is redirected rarely, and only right
// after it was answered, so that it loses little of its lease if it cannot reach the new controller.

// Limits of redirection and worker retention. The first two are in heartbeat intervals, the others in
// worker leases.
const (
	reconnectIntervals        = 3 // a worker that was silent for longer is logged as connected again
	recentAnswerIntervals     = 2 // how long a response counts as recent
	minRedirectIntervalLeases = 6 // minimum time between two redirections of a worker
	returnedFromLeaderLeases  = 2 // a worker that comes back within this time did not reach the leader
	workerRetentionLeases     = 8 // a worker that was silent for longer is removed
)

// Worker is the state of a worker that sends its heartbeats to this controller. The zero value is a
// worker that has sent none yet.
type Worker struct {
	lastHeartbeat time.Duration
	idle          bool          // it has no tasks
	lastAnswered  time.Duration // when the leader's last response was sent to it
	redirectedAt  time.Duration // when it was last redirected
	redirectedTo  string        // the leader to which it was last redirected; empty for never
	returnedAt    time.Duration // when it last came back from that leader
}

// Heartbeat holds the fields of a worker's heartbeat that this package uses.
type Heartbeat struct {
	Machine string
	Zone    string
	Idle    bool // the worker has no tasks
}

// RecordHeartbeat records a worker's heartbeat. It returns the worker and the name of the controller
// to redirect it to; the name is empty if the worker is not to be redirected.
func (m *Membership) RecordHeartbeat(heartbeat Heartbeat) (worker *Worker, redirectTo string) {
	worker = m.workers[heartbeat.Machine]
	if worker == nil {
		worker = &Worker{}
		m.workers[heartbeat.Machine] = worker
	}
	if worker.lastHeartbeat == 0 || m.since(worker.lastHeartbeat) > reconnectIntervals*m.config.HeartbeatInterval {
		m.log.Debug("worker connected", "machine", heartbeat.Machine, "zone", heartbeat.Zone)
	}
	worker.lastHeartbeat = m.host.Now()
	worker.idle = heartbeat.Idle
	if !m.answeredRecently(worker) || !m.mayRedirect(worker) {
		return worker, ""
	}
	preferred := m.preferredController(heartbeat.Machine, heartbeat.Zone)
	if preferred == "" || preferred == m.config.Name {
		return worker, ""
	}
	worker.redirectedAt = m.host.Now()
	m.log.Debug("worker redirected", "machine", heartbeat.Machine, "controller", preferred)
	return worker, preferred
}

// RecordAnswer records that a response of the leader was sent to a worker now.
func (m *Membership) RecordAnswer(worker *Worker) { worker.lastAnswered = m.host.Now() }

// answeredRecently reports whether a response of the leader was sent to a worker within
// recentAnswerIntervals.
func (m *Membership) answeredRecently(worker *Worker) bool {
	return worker.lastAnswered != 0 && m.since(worker.lastAnswered) <= recentAnswerIntervals*m.config.HeartbeatInterval
}

// mayRedirect reports whether the last redirection of a worker, if any, was long enough ago.
func (m *Membership) mayRedirect(worker *Worker) bool {
	return worker.redirectedAt == 0 || m.since(worker.redirectedAt) > minRedirectIntervalLeases*m.config.WorkerLease
}

// RedirectWithoutLeader returns the name of the controller to redirect a worker to while this
// controller has no contact with the leader; empty if there is none.
func (m *Membership) RedirectWithoutLeader(worker *Worker) string {
	if name := m.peerWithLeaderContact(); name != "" {
		return name
	}
	leader := m.election.Leader()
	if m.otherHoldsLeaderKey() && m.mayRedirect(worker) && (worker.idle || !m.mayExtendLeases()) {
		// The partition may affect only the connections between controllers, so the worker is
		// sent to the leader and comes back if it cannot reach it either. A worker with tasks
		// is not redirected while its lease can be extended here, since it could lose its
		// lease on the way.
		worker.redirectedAt, worker.redirectedTo = m.host.Now(), leader
		return leader
	}
	if worker.redirectedTo == leader && m.since(worker.redirectedAt) < returnedFromLeaderLeases*m.config.WorkerLease {
		worker.returnedAt = m.host.Now()
	}
	return ""
}

// preferredController returns the name of the controller of a zone to which a machine's worker should
// send its heartbeats: one that is the leader or has contact with it; empty if the zone has none. If
// there are several, the machines are distributed over them by rendezvous hashing, so that every
// controller makes the same choice.
func (m *Membership) preferredController(machine, zone string) string {
	preferred, highest := "", uint64(0)
	for _, name := range m.controllersWithLeaderContact(zone) {
		hash := fnv.New64a()
		hash.Write([]byte(machine + " " + name))
		if score := hash.Sum64(); preferred == "" || score > highest {
			preferred, highest = name, score
		}
	}
	return preferred
}

// controllersWithLeaderContact lists the controllers of a zone that are the leader or have contact
// with it. This controller is included without a check, since it only calls this after it has sent a
// response of the leader to the worker.
func (m *Membership) controllersWithLeaderContact(zone string) []string {
	var names []string
	if m.config.Zone == zone {
		names = append(names, m.config.Name)
	}
	for _, p := range m.peers {
		if p.zone == zone && m.hasContact(p) && p.hasLeaderContact {
			names = append(names, p.name)
		}
	}
	return names
}

// ForgetSilentWorkers removes workers that no longer send their heartbeats to this controller.
func (m *Membership) ForgetSilentWorkers() {
	for machine, worker := range m.workers {
		if m.since(worker.lastHeartbeat) > workerRetentionLeases*m.config.WorkerLease {
			delete(m.workers, machine)
		}
	}
}
