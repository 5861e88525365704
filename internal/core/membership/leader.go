package membership

// HasLeaderContact reports whether this controller is the leader, or has had contact with the leader
// within the duration of a leader's lease.
func (m *Membership) HasLeaderContact() bool {
	if m.host.IsLeader() {
		return true
	}
	return m.election.Leader() != "" && m.since(m.election.LeaderLastContact()) < m.config.LeaderLease
}

// otherHoldsLeaderKey reports whether the leader key, as read recently from the key-value store,
// names another controller.
func (m *Membership) otherHoldsLeaderKey() bool {
	leader, keyRead := m.election.Leader(), m.election.LeaderKeyReadAt()
	if leader == "" || leader == m.config.Name || keyRead == 0 {
		return false
	}
	return m.since(keyRead) < m.config.LeaderLease
}

// LeaderLost reports whether the leader is to be replaced although it may still renew its key: neither
// this controller nor any peer that it has contact with has contact with the leader. A controller
// without contact with any peer is more likely partitioned itself, and must not replace a working
// leader. It considers the leader lost only if a worker could not reach the leader either.
func (m *Membership) LeaderLost() bool {
	if m.HasLeaderContact() {
		return false
	}
	peerAgrees := false
	for _, p := range m.peers {
		if p.name == m.election.Leader() || !m.hasContact(p) {
			continue
		}
		if p.hasLeaderContact {
			return false
		}
		peerAgrees = true
	}
	return peerAgrees || m.workerReturnedFromLeader()
}

// workerReturnedFromLeader reports whether a worker that was redirected to the leader came back
// recently, while this controller has had no contact with the leader for two worker leases.
func (m *Membership) workerReturnedFromLeader() bool {
	if m.since(m.election.LeaderLastContact()) <= 2*m.config.WorkerLease {
		return false
	}
	for _, worker := range m.workers {
		if worker.returnedAt != 0 && m.since(worker.returnedAt) < m.config.WorkerLease {
			return true
		}
	}
	return false
}
