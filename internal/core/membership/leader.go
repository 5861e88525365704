package membership

// HearsLeader reports whether this controller leads or hears the one that does.
func (m *Membership) HearsLeader() bool {
	if m.host.IsLeader() {
		return true
	}
	return m.election.Leader() != "" && m.since(m.election.LeaderHeard()) < m.config.LeaderLease
}

// otherHoldsLeaderKey reports whether the key-value store showed lately that another
// controller leads.
func (m *Membership) otherHoldsLeaderKey() bool {
	leader, keyRead := m.election.Leader(), m.election.LeaderKeyRead()
	if leader == "" || leader == m.config.Name || keyRead == 0 {
		return false
	}
	return m.since(keyRead) < m.config.LeaderLease
}

// LeaderLost reports whether the leader, though it may still renew its key, is not heard by
// this controller and by one that agrees. A controller that hears no peer is more likely cut
// off itself, and must not replace a leader that works; it counts as lost only if workers did
// not reach the leader either.
func (m *Membership) LeaderLost() bool {
	if m.HearsLeader() {
		return false
	}
	peerAgrees := false
	for _, p := range m.peers {
		if p.name == m.election.Leader() || !m.heardRecently(p) {
			continue
		}
		if p.hearsLeader {
			return false
		}
		peerAgrees = true
	}
	return peerAgrees || m.workerMissedLeader()
}

// workerMissedLeader reports whether a worker that was redirected to the leader came back
// lately, while the leader has not been heard for long.
func (m *Membership) workerMissedLeader() bool {
	if m.since(m.election.LeaderHeard()) <= 2*m.config.WorkerLease {
		return false
	}
	for _, worker := range m.workers {
		if worker.returnedAt != 0 && m.since(worker.returnedAt) < m.config.WorkerLease {
			return true
		}
	}
	return false
}
