package config

import (
	"fmt"
	"slices"
)

// isDefined reports whether a key is in the file. It distinguishes a limit of 0 from one that is left
// out.
type isDefined func(key ...string) bool

// validate returns an error with all missing and invalid fields.
func (s *Settings) validate(defined isDefined) error {
	var found problems
	if s.Name == "" {
		found.addf("host_name: missing")
	}
	found.address("listen", s.Listen)
	found.address("back", s.PeerListen)
	found.address("external.cloud", s.External.Cloud)
	found.address("external.state", s.External.Store)
	s.validatePeers(&found)
	s.validateZones(&found)
	s.Deployment.validate(&found, defined)
	return found.err()
}

// validate checks the settings that are the same for all controllers.
func (d *Deployment) validate(found *problems, defined isDefined) {
	d.validateTeams(found)
	d.validateObjectives(found)
	d.Workers.validate(found)
	d.Store.validate(found, defined)
	found.notNegative("deployment.skew_ms", d.SkewMs)
	found.positive("deployment.cloud.rps", d.Cloud.RPS)
	found.notNegative("deployment.cloud.list_lag_s", d.Cloud.ListLagS)
	found.notNegative("deployment.machine_limits.cpu", d.MachineLimits.CPU)
	found.positive("deployment.machine_limits.ram_mb", d.MachineLimits.RAMMB)
	found.positive("deployment.machine_limits.max_connections", float64(d.MachineLimits.MaxConnections))
}

// validatePeers checks that a deployment of several controllers has peers, and that each has a
// unique name and an address.
func (s *Settings) validatePeers(found *problems) {
	if len(s.Peers) == 0 && s.Deployment.Size > 1 {
		found.addf("peers: missing, deployment.size is %d", s.Deployment.Size)
	}
	seen := map[string]bool{s.Name: true}
	for i, peer := range s.Peers {
		if peer.Name == "" || seen[peer.Name] {
			found.addf("peers[%d].host_name: %q is missing or repeated", i, peer.Name)
		}
		seen[peer.Name] = true
		found.address(fmt.Sprintf("peers[%d].peer_addr", i), peer.Addr)
	}
}

// validateZones checks that the deployment has zones, each once, and that every controller is in
// one of them.
func (s *Settings) validateZones(found *problems) {
	zones := s.Deployment.Zones
	if len(zones) == 0 {
		found.addf("deployment.zones: missing, at least one zone is expected")
		return
	}
	for i, zone := range zones {
		if zone == "" || slices.Contains(zones[:i], zone) {
			found.addf("deployment.zones[%d]: %q is missing or repeated", i, zone)
		}
	}
	validateZone := func(field, zone string) {
		if !slices.Contains(zones, zone) {
			found.addf("%s: %q is not one of deployment.zones %q", field, zone, zones)
		}
	}
	validateZone("location", s.Zone)
	for i, peer := range s.Peers {
		validateZone(fmt.Sprintf("peers[%d].location", i), peer.Zone)
	}
}

// validateTeams checks the teams' names, guarantees and limits.
func (d *Deployment) validateTeams(found *problems) {
	if len(d.Teams) == 0 {
		found.addf("deployment.teams: missing, at least one team is expected")
	}
	seen := map[string]bool{}
	for i, team := range d.Teams {
		if team.Name == "" || seen[team.Name] {
			found.addf("deployment.teams[%d].name: %q is missing or repeated", i, team.Name)
		}
		seen[team.Name] = true
		prefix := fmt.Sprintf("deployment.teams[%d].", i)
		found.notNegative(prefix+"cpus", team.CPUs)
		found.notNegative(prefix+"cpus_max", team.CPUsMax)
		found.notNegative(prefix+"gpus", team.GPUs)
		found.notNegative(prefix+"gpus_max", team.GPUsMax)
	}
}

// validateObjectives checks the numbers of the service-level objectives.
func (d *Deployment) validateObjectives(found *problems) {
	for i, objective := range d.Objectives {
		prefix := fmt.Sprintf("deployment.objectives[%d].", i)
		found.notNegative(prefix+"within_s", objective.WithinS)
		found.notNegative(prefix+"share", objective.Share)
	}
}

// latestHeartbeatFactor is the longest time between two heartbeats that the protocol allows, as a
// multiple of report_s.
const latestHeartbeatFactor = 1.25

// validate checks that each timing is valid, that the lease is longer than the longest heartbeat
// interval, and that a cancellation may take longer than the lease.
func (w *WorkerTimings) validate(found *problems) {
	report := found.duration("deployment.workers.report_s", w.ReportS)
	lease := found.duration("deployment.workers.lease_s", w.LeaseS)
	found.duration("deployment.workers.gang_wait_s", w.GangWaitS)
	found.duration("deployment.workers.gang_peer_s", w.GangPeerS)
	cancel := found.duration("deployment.workers.cancel_s", w.CancelS)
	if report && lease && w.LeaseS <= latestHeartbeatFactor*w.ReportS {
		found.addf("deployment.workers.lease_s: must be greater than %v (report_s plus 25%% for a late heartbeat), is %v",
			latestHeartbeatFactor*w.ReportS, w.LeaseS)
	}
	if lease && cancel && w.CancelS <= w.LeaseS {
		// An unreachable worker terminates the tasks of a cancelled job only when its lease
		// expires.
		found.addf("deployment.workers.cancel_s: must be greater than lease_s (%v), is %v", w.LeaseS, w.CancelS)
	}
}

// minTxnOps is the lowest usable limit on the writes of a transaction: recording the end of a job
// takes two.
const minTxnOps = 2

// validate checks the current and the next limits.
func (s *StoreLimits) validate(found *problems, defined isDefined) {
	for _, limit := range s.namedLimits() {
		found.positive("deployment.state."+limit.name, limit.value)
	}
	if s.Next != nil {
		s.Next.validateNext(found, defined)
	}
	s.validateTxnOps(found, "deployment.state.txn_ops")
	if s.Next != nil {
		s.Next.validateTxnOps(found, "deployment.state.next.txn_ops")
	}
}

// validateNext checks the next limits. Any of them may be left out.
func (s *StoreLimits) validateNext(found *problems, defined isDefined) {
	for _, limit := range s.namedLimits() {
		if defined("deployment", "state", "next", limit.name) {
			found.positive("deployment.state.next."+limit.name, limit.value)
		}
	}
	if defined("deployment", "state", "next", "next") {
		found.addf("deployment.state.next.next: unexpected, next limits cannot be nested")
	}
}

// validateTxnOps rejects a limit of writes per transaction that is positive and below minTxnOps.
func (s *StoreLimits) validateTxnOps(found *problems, field string) {
	if s.TxnOps == minTxnOps-1 {
		found.addf("%s: must be at least %d, is %d", field, minTxnOps, s.TxnOps)
	}
}

// namedLimit is a limit of the key-value store with its name in the file.
type namedLimit struct {
	name  string
	value float64
}

// namedLimits returns the limits.
func (s *StoreLimits) namedLimits() []namedLimit {
	return []namedLimit{
		{"rps", s.RPS},
		{"write_rps", s.WriteRPS},
		{"value_kb", s.ValueKB},
		{"txn_ops", float64(s.TxnOps)},
	}
}
