// Package config reads the settings the platform hands over and the
// operators' own, and checks both.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings is the file that the platform hands to every controller. Fields
// that are not known are ignored.
type Settings struct {
	Name       string     `toml:"host_name"`
	Zone       string     `toml:"location"`
	Listen     string     `toml:"listen"`
	PeerListen string     `toml:"back"`
	Peers      []Peer     `toml:"peers"`
	External   External   `toml:"external"`
	Deployment Deployment `toml:"deployment"`

	// IgnoredFields names the fields of the file that are not known.
	IgnoredFields []string `toml:"-"`
}

// Peer is another controller.
type Peer struct {
	Name string `toml:"host_name"`
	Zone string `toml:"location"`
	Addr string `toml:"peer_addr"`
}

// External names the services outside.
type External struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// Deployment describes what all controllers share.
type Deployment struct {
	Size          int           `toml:"size"`
	Zones         []string      `toml:"zones"`
	SkewMs        float64       `toml:"skew_ms"`
	Teams         []Team        `toml:"teams"`
	Objectives    []Objective   `toml:"objectives"`
	Workers       WorkerTimings `toml:"workers"`
	Store         StoreLimits   `toml:"state"`
	Cloud         CloudLimits   `toml:"cloud"`
	MachineLimits MachineLimits `toml:"machine_limits"`
}

// connectionsPerOutgoing is the part of a controller's sockets that is kept for the services, the
// peers and direct commands.
const connectionsPerOutgoing = 6

// MaxIncoming is how many incoming connections a controller takes. Workers come first: one
// controller may have to take the reports of all workers.
func (l MachineLimits) MaxIncoming() int {
	return max(1, l.MaxConnections-l.MaxConnections/connectionsPerOutgoing)
}

// MaxWorkers is how many workers can report at a time to that many controllers.
func (d *Deployment) MaxWorkers(controllers int) int {
	return max(1, controllers) * d.MachineLimits.MaxIncoming()
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is what is expected of a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// WorkerTimings holds the workers' timings, in seconds.
type WorkerTimings struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// StoreLimits holds the limits of the state service.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next are the limits from some later moment on, which comes without
	// notice. What it leaves out, and has as 0 here, stays as it is.
	Next *StoreLimits `toml:"next"`
}

// Strictest returns the limits that hold now and later: the smaller ones.
func (s StoreLimits) Strictest() StoreLimits {
	strictest := s
	strictest.Next = nil
	if n := s.Next; n != nil {
		lower := func(v *float64, next float64) {
			if next > 0 && next < *v {
				*v = next
			}
		}
		lower(&strictest.RPS, n.RPS)
		lower(&strictest.WriteRPS, n.WriteRPS)
		lower(&strictest.ValueKB, n.ValueKB)
		if n.TxnOps > 0 && n.TxnOps < strictest.TxnOps {
			strictest.TxnOps = n.TxnOps
		}
	}
	return strictest
}

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineLimits is what this machine grants a controller.
type MachineLimits struct {
	CPU            float64 `toml:"cpu"`
	RAMMB          float64 `toml:"ram_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// Load reads and checks the settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(string(data))
}

// Parse reads and checks settings.
func Parse(text string) (*Settings, error) {
	var settings Settings
	metadata, err := toml.Decode(text, &settings)
	if err != nil {
		return nil, fmt.Errorf("parse settings: %w", err)
	}
	if err := settings.validate(metadata.IsDefined); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for _, key := range metadata.Undecoded() {
		settings.IgnoredFields = append(settings.IgnoredFields, key.String())
	}
	return &settings, nil
}

// validate names all that is missing or impossible; given tells whether a key is in
// the file, for a limit of 0 is not one that is left out.
func (s *Settings) validate(isDefined func(key ...string) bool) error {
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
	deployment := &s.Deployment
	deployment.validateTeams(&found)
	deployment.validateObjectives(&found)
	deployment.Workers.validate(&found)
	deployment.Store.validate(&found, isDefined)
	found.notNegative("deployment.skew_ms", deployment.SkewMs)
	found.positive("deployment.cloud.rps", deployment.Cloud.RPS)
	found.notNegative("deployment.cloud.list_lag_s", deployment.Cloud.ListLagS)
	found.notNegative("deployment.machine_limits.cpu", deployment.MachineLimits.CPU)
	found.positive("deployment.machine_limits.ram_mb", deployment.MachineLimits.RAMMB)
	found.positive("deployment.machine_limits.max_connections", float64(deployment.MachineLimits.MaxConnections))
	return found.err()
}

// problems collects what is wrong with settings.
type problems []string

func (f *problems) addf(format string, a ...any) { *f = append(*f, fmt.Sprintf(format, a...)) }

// err is all faults as one error; nil if there are none.
func (f *problems) err() error {
	if len(*f) == 0 {
		return nil
	}
	return errors.New(strings.Join(*f, "; "))
}

func (f *problems) address(name, v string) {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		f.addf("%s: %q is not an IP address with a port", name, v)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		f.addf("%s: %q has no usable port", name, v)
	}
}

func (f *problems) positive(name string, v float64) {
	if !(v > 0) {
		f.addf("%s: must be greater than 0, is %v", name, v)
	}
}

// notNegative asks for a number that is 0 or more.
func (f *problems) notNegative(name string, v float64) {
	if !(v >= 0) || math.IsInf(v, 1) {
		f.addf("%s: must be 0 or greater, is %v", name, v)
	}
}

// duration asks for a finite number of seconds greater than 0. It tells whether
// it is one.
func (f *problems) duration(name string, v float64) bool {
	if !(v > 0) || v > maxSeconds {
		f.addf("%s: must be greater than 0 and at most %v seconds, is %v", name, float64(maxSeconds), v)
		return false
	}
	return true
}

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

// validateZones asks for the zones of the deployment, and that every controller is in
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
	checkZone := func(field, zone string) {
		if !slices.Contains(zones, zone) {
			found.addf("%s: %q is not one of deployment.zones %q", field, zone, zones)
		}
	}
	checkZone("location", s.Zone)
	for i, p := range s.Peers {
		checkZone(fmt.Sprintf("peers[%d].location", i), p.Zone)
	}
}

func (d *Deployment) validateTeams(found *problems) {
	if len(d.Teams) == 0 {
		found.addf("deployment.teams: missing, at least one team is expected")
	}
	seenNames := map[string]bool{}
	for i, team := range d.Teams {
		if team.Name == "" || seenNames[team.Name] {
			found.addf("deployment.teams[%d].name: %q is missing or repeated", i, team.Name)
		}
		seenNames[team.Name] = true
		prefix := fmt.Sprintf("deployment.teams[%d].", i)
		found.notNegative(prefix+"cpus", team.CPUs)
		found.notNegative(prefix+"cpus_max", team.CPUsMax)
		found.notNegative(prefix+"gpus", team.GPUs)
		found.notNegative(prefix+"gpus_max", team.GPUsMax)
	}
}

func (d *Deployment) validateObjectives(found *problems) {
	for i, objective := range d.Objectives {
		prefix := fmt.Sprintf("deployment.objectives[%d].", i)
		found.notNegative(prefix+"within_s", objective.WithinS)
		found.notNegative(prefix+"share", objective.Share)
	}
}

// maxSeconds bounds the workers' times: a time.Duration holds some more.
const maxSeconds = 1e9

// latestHeartbeatFactor is how long after the one before it a report may come, as a
// multiple of report_s, by the protocol.
const latestHeartbeatFactor = 1.25

func (w *WorkerTimings) validate(found *problems) {
	report := found.duration("deployment.workers.report_s", w.ReportS)
	lease := found.duration("deployment.workers.lease_s", w.LeaseS)
	found.duration("deployment.workers.gang_wait_s", w.GangWaitS)
	found.duration("deployment.workers.gang_peer_s", w.GangPeerS)
	cancel := found.duration("deployment.workers.cancel_s", w.CancelS)
	if report && lease && w.LeaseS <= latestHeartbeatFactor*w.ReportS {
		found.addf("deployment.workers.lease_s: must be greater than %v, report_s and the quarter by which a report may be late, is %v", latestHeartbeatFactor*w.ReportS, w.LeaseS)
	}
	if lease && cancel && w.CancelS <= w.LeaseS {
		// A worker that is out of reach drops a cancelled task when its lease ends.
		found.addf("deployment.workers.cancel_s: must be greater than lease_s, %v, is %v", w.LeaseS, w.CancelS)
	}
}

// minTxnOps is the least number of changes in a transaction: the end of a job takes
// two.
const minTxnOps = 2

func (s *StoreLimits) validate(found *problems, isDefined func(key ...string) bool) {
	for _, limit := range s.namedLimits() {
		found.positive("deployment.state."+limit.name, limit.value)
	}
	if s.Next != nil {
		for _, limit := range s.Next.namedLimits() {
			if isDefined("deployment", "state", "next", limit.name) {
				found.positive("deployment.state.next."+limit.name, limit.value)
			}
		}
		if isDefined("deployment", "state", "next", "next") {
			found.addf("deployment.state.next.next: unexpected")
		}
	}
	if s.TxnOps == minTxnOps-1 {
		found.addf("deployment.state.txn_ops: must be at least %d, is %d", minTxnOps, s.TxnOps)
	}
	if s.Next != nil && s.Next.TxnOps == minTxnOps-1 {
		found.addf("deployment.state.next.txn_ops: must be at least %d, is %d", minTxnOps, s.Next.TxnOps)
	}
}

// namedLimit is a limit of the state service by its name in the file.
type namedLimit struct {
	name  string
	value float64
}

func (s *StoreLimits) namedLimits() []namedLimit {
	return []namedLimit{{"rps", s.RPS}, {"write_rps", s.WriteRPS}, {"value_kb", s.ValueKB}, {"txn_ops", float64(s.TxnOps)}}
}

// Operator is the operators' own optional file.
type Operator struct {
	// LogLevel is the log level that holds when LOG_LEVEL is not set.
	LogLevel string `toml:"log_level"`
	// WarmMachines bounds how many idle machines stay rented for work to come.
	WarmMachines *int `toml:"warm_machines"`
	// IdleReturnS is how long a machine stays idle before it is returned.
	IdleReturnS *float64 `toml:"idle_return_s"`
	// RegionsFile names the file of the regions that share limits, Region is this one and
	// RegionListen where this controller takes the others' messages. All three or none.
	RegionsFile  string `toml:"regions_file"`
	Region       string `toml:"region"`
	RegionListen string `toml:"region_listen"`
}

// LoadOperator reads the operators' file; an unknown key is an error. An
// empty path gives the defaults.
func LoadOperator(path string) (*Operator, error) {
	var operator Operator
	if path == "" {
		return &operator, nil
	}
	metadata, err := toml.DecodeFile(path, &operator)
	if err != nil {
		return nil, fmt.Errorf("parse operators' settings: %w", err)
	}
	if undecoded := metadata.Undecoded(); len(undecoded) > 0 {
		return nil, fmt.Errorf("operators' settings %s: unknown key %q", path, undecoded[0].String())
	}
	if operator.WarmMachines != nil && *operator.WarmMachines < 0 {
		return nil, fmt.Errorf("operators' settings %s: warm_machines: below 0", path)
	}
	if operator.IdleReturnS != nil && *operator.IdleReturnS < 0 {
		return nil, fmt.Errorf("operators' settings %s: idle_return_s: below 0", path)
	}
	if err := operator.validateRegions(); err != nil {
		return nil, fmt.Errorf("operators' settings %s: %w", path, err)
	}
	return &operator, nil
}

// validateRegions asks for all of the fields of regions or none.
func (o *Operator) validateRegions() error {
	if o.RegionsFile == "" && o.Region == "" && o.RegionListen == "" {
		return nil
	}
	var found problems
	for _, field := range []struct{ name, value string }{{"regions_file", o.RegionsFile}, {"region", o.Region}} {
		if field.value == "" {
			found.addf("%s: missing, it goes with region_listen, region and regions_file", field.name)
		}
	}
	found.address("region_listen", o.RegionListen)
	return found.err()
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
