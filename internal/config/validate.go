package config

import (
	"fmt"
	"slices"
)

// isDefined reports whether a key is in the file: a limit of 0 is not one that is left out.
type isDefined func(key ...string) bool

// validate names all that is missing or impossible.
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

// validate checks what all controllers share.
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

// validatePeers checks that there are other controllers where there should be, each with a name
// of its own.
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

// validateZones checks that the deployment has zones and that every controller is in one of them.
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

// latestHeartbeatFactor is how long after the one before it a heartbeat may come, as a
// multiple of report_s, by the protocol.
const latestHeartbeatFactor = 1.25

// validate checks the timings and that they leave time for each other.
func (w *WorkerTimings) validate(found *problems) {
	report := found.duration("deployment.workers.report_s", w.ReportS)
	lease := found.duration("deployment.workers.lease_s", w.LeaseS)
	found.duration("deployment.workers.gang_wait_s", w.GangWaitS)
	found.duration("deployment.workers.gang_peer_s", w.GangPeerS)
	cancel := found.duration("deployment.workers.cancel_s", w.CancelS)
	if report && lease && w.LeaseS <= latestHeartbeatFactor*w.ReportS {
		found.addf("deployment.workers.lease_s: must be greater than %v, report_s and the quarter by which a report may be late, is %v",
			latestHeartbeatFactor*w.ReportS, w.LeaseS)
	}
	if lease && cancel && w.CancelS <= w.LeaseS {
		// An unreachable worker kills the task of a cancelled job when its lease expires.
		found.addf("deployment.workers.cancel_s: must be greater than lease_s, %v, is %v", w.LeaseS, w.CancelS)
	}
}

// minTxnOps is the least number of changes in a transaction: the end of a job takes
// two.
const minTxnOps = 2

// validate checks the present and the next limits.
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

// validateNext checks next limits, of which any may be left out.
func (s *StoreLimits) validateNext(found *problems, defined isDefined) {
	for _, limit := range s.namedLimits() {
		if defined("deployment", "state", "next", limit.name) {
			found.positive("deployment.state.next."+limit.name, limit.value)
		}
	}
	if defined("deployment", "state", "next", "next") {
		found.addf("deployment.state.next.next: unexpected")
	}
}

// validateTxnOps checks for a number of changes that is positive, but too small.
func (s *StoreLimits) validateTxnOps(found *problems, field string) {
	if s.TxnOps == minTxnOps-1 {
		found.addf("%s: must be at least %d, is %d", field, minTxnOps, s.TxnOps)
	}
}

// namedLimit is a limit of the key-value store by its name in the file.
type namedLimit struct {
	name  string
	value float64
}

// namedLimits lists the limits.
func (s *StoreLimits) namedLimits() []namedLimit {
	return []namedLimit{
		{"rps", s.RPS},
		{"write_rps", s.WriteRPS},
		{"value_kb", s.ValueKB},
		{"txn_ops", float64(s.TxnOps)},
	}
}
