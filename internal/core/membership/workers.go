package membership

import (
	"hash/fnv"
	"time"
)

// A worker is redirected to a controller of its own zone: when the zone is cut off, it need
// not look for one while its lease runs out. It is redirected only right after it was
// answered, and seldom, so that a controller which cannot be reached from there costs it
// little of its lease.

// The limits of redirection and memory. The first two are in heartbeat intervals, the others
// in worker leases.
const (
	reconnectIntervals      = 3 // a worker that was silent for longer is logged as connected anew
	recentAnswerIntervals   = 2 // an answer is recent for so long
	redirectPauseLeases     = 6 // between two redirections of a worker
	returnedFromLeaderLease = 2 // a worker that comes back within it did not reach the leader
	forgetWorkerLeases      = 8 // a worker that was silent for longer is forgotten
)

// Worker is a worker that sends its heartbeats to this controller. The zero value is one that
// was not heard before.
type Worker struct {
	lastHeartbeat time.Duration
	idle          bool // it has no tasks
	lastAnswered  time.Duration
	redirectedAt  time.Duration // when it was last redirected
	redirectedTo  string        // the leader that it was redirected to
	returnedAt    time.Duration // when it came back from there
}

// Heartbeat is what this package needs of a worker's heartbeat.
type Heartbeat struct {
	Machine string
	Zone    string
	Idle    bool // the worker has no tasks
}

// RecordHeartbeat records a worker's heartbeat. It returns the worker, and the controller that
// the worker is to be redirected to; empty if it stays here.
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

// RecordAnswer records that the leader's answer was passed on to a worker now.
func (m *Membership) RecordAnswer(worker *Worker) { worker.lastAnswered = m.host.Now() }

// answeredRecently reports whether a worker has been answered a short time ago.
func (m *Membership) answeredRecently(worker *Worker) bool {
	return worker.lastAnswered != 0 && m.since(worker.lastAnswered) <= recentAnswerIntervals*m.config.HeartbeatInterval
}

// mayRedirect reports whether a worker has not been redirected for a while.
func (m *Membership) mayRedirect(worker *Worker) bool {
	return worker.redirectedAt == 0 || m.since(worker.redirectedAt) > redirectPauseLeases*m.config.WorkerLease
}

// RedirectWithoutLeader names the controller that a worker is to be redirected to while this
// one does not hear the leader; empty if there is none.
func (m *Membership) RedirectWithoutLeader(worker *Worker) string {
	if name := m.peerHearingLeader(); name != "" {
		return name
	}
	leader := m.election.Leader()
	if m.otherHoldsLeaderKey() && m.mayRedirect(worker) && (worker.idle || !m.mayExtendLeases()) {
		// Only the controllers may be cut off from each other: the worker asks the leader
		// itself, and comes back if it does not reach it either. One that has tasks is not
		// risked while its lease can be extended.
		worker.redirectedAt, worker.redirectedTo = m.host.Now(), leader
		return leader
	}
	if worker.redirectedTo == leader && m.since(worker.redirectedAt) < returnedFromLeaderLease*m.config.WorkerLease {
		worker.returnedAt = m.host.Now()
	}
	return ""
}

// preferredController names the controller of a zone that a machine's worker should send its
// heartbeats to: one that leads or hears the leader; empty if the zone has none. Where it has
// several, the machines are spread over them by rendezvous hashing, so that every controller
// makes the same choice.
func (m *Membership) preferredController(machine, zone string) string {
	preferred, highest := "", uint64(0)
	for _, name := range m.controllersHearingLeader(zone) {
		hash := fnv.New64a()
		hash.Write([]byte(machine + " " + name))
		if score := hash.Sum64(); preferred == "" || score > highest {
			preferred, highest = name, score
		}
	}
	return preferred
}

// controllersHearingLeader lists the controllers of a zone that lead or hear the leader. This
// controller counts as one: it asks only after it has passed on an answer of the leader.
func (m *Membership) controllersHearingLeader(zone string) []string {
	var names []string
	if m.config.Zone == zone {
		names = append(names, m.config.Name)
	}
	for _, p := range m.peers {
		if p.zone == zone && m.heardRecently(p) && p.hearsLeader {
			names = append(names, p.name)
		}
	}
	return names
}

// ForgetSilentWorkers forgets workers that send their heartbeats elsewhere.
func (m *Membership) ForgetSilentWorkers() {
	for machine, worker := range m.workers {
		if m.since(worker.lastHeartbeat) > forgetWorkerLeases*m.config.WorkerLease {
			delete(m.workers, machine)
		}
	}
}
