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

	// Ignored names the fields of the file that are not known.
	Ignored []string `toml:"-"`
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
	State string `toml:"state"`
}

// Deployment describes what all controllers share.
type Deployment struct {
	Size       int         `toml:"size"`
	Zones      []string    `toml:"zones"`
	SkewMs     float64     `toml:"skew_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"machine_limits"`
}

// outgoingShare is the part of a controller's sockets that is kept for the services, the
// peers and direct commands.
const outgoingShare = 6

// Incoming is how many incoming connections a controller takes. Workers come first: one
// controller may have to take the reports of all workers.
func (l Limits) Incoming() int {
	return max(1, l.MaxConnections-l.MaxConnections/outgoingShare)
}

// WorkersCarried is how many workers can report at a time to that many controllers.
func (d *Deployment) WorkersCarried(controllers int) int {
	return max(1, controllers) * d.Limits.Incoming()
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

// Workers holds the workers' timings, in seconds.
type Workers struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next are the limits from some later moment on, which comes without
	// notice. What it leaves out, and has as 0 here, stays as it is.
	Next *State `toml:"next"`
}

// Bound returns the limits that hold now and later: the smaller ones.
func (s State) Bound() State {
	b := s
	b.Next = nil
	if n := s.Next; n != nil {
		lower := func(v *float64, next float64) {
			if next > 0 && next < *v {
				*v = next
			}
		}
		lower(&b.RPS, n.RPS)
		lower(&b.WriteRPS, n.WriteRPS)
		lower(&b.ValueKB, n.ValueKB)
		if n.TxnOps > 0 && n.TxnOps < b.TxnOps {
			b.TxnOps = n.TxnOps
		}
	}
	return b
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits is what this machine grants a controller.
type Limits struct {
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
	var s Settings
	md, err := toml.Decode(text, &s)
	if err != nil {
		return nil, fmt.Errorf("parse settings: %w", err)
	}
	if err := s.check(md.IsDefined); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for _, key := range md.Undecoded() {
		s.Ignored = append(s.Ignored, key.String())
	}
	return &s, nil
}

// check names all that is missing or impossible; given tells whether a key is in
// the file, for a limit of 0 is not one that is left out.
func (s *Settings) check(given func(key ...string) bool) error {
	var f faults
	if s.Name == "" {
		f.add("host_name: missing")
	}
	f.addr("listen", s.Listen)
	f.addr("back", s.PeerListen)
	f.addr("external.cloud", s.External.Cloud)
	f.addr("external.state", s.External.State)
	s.checkPeers(&f)
	s.checkZones(&f)
	d := &s.Deployment
	d.checkTeams(&f)
	d.checkObjectives(&f)
	d.Workers.check(&f)
	d.State.check(&f, given)
	f.notNegative("deployment.skew_ms", d.SkewMs)
	f.positive("deployment.cloud.rps", d.Cloud.RPS)
	f.notNegative("deployment.cloud.list_lag_s", d.Cloud.ListLagS)
	f.notNegative("deployment.machine_limits.cpu", d.Limits.CPU)
	f.positive("deployment.machine_limits.ram_mb", d.Limits.RAMMB)
	f.positive("deployment.machine_limits.max_connections", float64(d.Limits.MaxConnections))
	return f.err()
}

// faults collects what is wrong with settings.
type faults []string

func (f *faults) add(format string, a ...any) { *f = append(*f, fmt.Sprintf(format, a...)) }

// err is all faults as one error; nil if there are none.
func (f *faults) err() error {
	if len(*f) == 0 {
		return nil
	}
	return errors.New(strings.Join(*f, "; "))
}

func (f *faults) addr(name, v string) {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		f.add("%s: %q is not an IP address with a port", name, v)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		f.add("%s: %q has no usable port", name, v)
	}
}

func (f *faults) positive(name string, v float64) {
	if !(v > 0) {
		f.add("%s: must be greater than 0, is %v", name, v)
	}
}

// notNegative asks for a number that is 0 or more.
func (f *faults) notNegative(name string, v float64) {
	if !(v >= 0) || math.IsInf(v, 1) {
		f.add("%s: must be 0 or greater, is %v", name, v)
	}
}

// duration asks for a finite number of seconds greater than 0. It tells whether
// it is one.
func (f *faults) duration(name string, v float64) bool {
	if !(v > 0) || v > maxSeconds {
		f.add("%s: must be greater than 0 and at most %v seconds, is %v", name, float64(maxSeconds), v)
		return false
	}
	return true
}

func (s *Settings) checkPeers(f *faults) {
	if len(s.Peers) == 0 && s.Deployment.Size > 1 {
		f.add("peers: missing, deployment.size is %d", s.Deployment.Size)
	}
	seen := map[string]bool{s.Name: true}
	for i, p := range s.Peers {
		if p.Name == "" || seen[p.Name] {
			f.add("peers[%d].host_name: %q is missing or repeated", i, p.Name)
		}
		seen[p.Name] = true
		f.addr(fmt.Sprintf("peers[%d].peer_addr", i), p.Addr)
	}
}

// checkZones asks for the zones of the deployment, and that every controller is in
// one of them.
func (s *Settings) checkZones(f *faults) {
	zones := s.Deployment.Zones
	if len(zones) == 0 {
		f.add("deployment.zones: missing, at least one zone is expected")
		return
	}
	for i, zone := range zones {
		if zone == "" || slices.Contains(zones[:i], zone) {
			f.add("deployment.zones[%d]: %q is missing or repeated", i, zone)
		}
	}
	checkZone := func(field, zone string) {
		if !slices.Contains(zones, zone) {
			f.add("%s: %q is not one of deployment.zones %q", field, zone, zones)
		}
	}
	checkZone("location", s.Zone)
	for i, p := range s.Peers {
		checkZone(fmt.Sprintf("peers[%d].location", i), p.Zone)
	}
}

func (d *Deployment) checkTeams(f *faults) {
	if len(d.Teams) == 0 {
		f.add("deployment.teams: missing, at least one team is expected")
	}
	seen := map[string]bool{}
	for i, t := range d.Teams {
		if t.Name == "" || seen[t.Name] {
			f.add("deployment.teams[%d].name: %q is missing or repeated", i, t.Name)
		}
		seen[t.Name] = true
		field := fmt.Sprintf("deployment.teams[%d].", i)
		f.notNegative(field+"cpus", t.CPUs)
		f.notNegative(field+"cpus_max", t.CPUsMax)
		f.notNegative(field+"gpus", t.GPUs)
		f.notNegative(field+"gpus_max", t.GPUsMax)
	}
}

func (d *Deployment) checkObjectives(f *faults) {
	for i, o := range d.Objectives {
		field := fmt.Sprintf("deployment.objectives[%d].", i)
		f.notNegative(field+"within_s", o.WithinS)
		f.notNegative(field+"share", o.Share)
	}
}

// maxSeconds bounds the workers' times: a time.Duration holds some more.
const maxSeconds = 1e9

// latestReport is how long after the one before it a report may come, as a
// multiple of report_s, by the protocol.
const latestReport = 1.25

func (w *Workers) check(f *faults) {
	report := f.duration("deployment.workers.report_s", w.ReportS)
	lease := f.duration("deployment.workers.lease_s", w.LeaseS)
	f.duration("deployment.workers.gang_wait_s", w.GangWaitS)
	f.duration("deployment.workers.gang_peer_s", w.GangPeerS)
	cancel := f.duration("deployment.workers.cancel_s", w.CancelS)
	if report && lease && w.LeaseS <= latestReport*w.ReportS {
		f.add("deployment.workers.lease_s: must be greater than %v, report_s and the quarter by which a report may be late, is %v", latestReport*w.ReportS, w.LeaseS)
	}
	if lease && cancel && w.CancelS <= w.LeaseS {
		// A worker that is out of reach drops a cancelled task when its lease ends.
		f.add("deployment.workers.cancel_s: must be greater than lease_s, %v, is %v", w.LeaseS, w.CancelS)
	}
}

// minTxnOps is the least number of changes in a transaction: the end of a job takes
// two.
const minTxnOps = 2

func (s *State) check(f *faults, given func(key ...string) bool) {
	for _, limit := range s.named() {
		f.positive("deployment.state."+limit.name, limit.value)
	}
	if s.Next != nil {
		for _, limit := range s.Next.named() {
			if given("deployment", "state", "next", limit.name) {
				f.positive("deployment.state.next."+limit.name, limit.value)
			}
		}
		if given("deployment", "state", "next", "next") {
			f.add("deployment.state.next.next: unexpected")
		}
	}
	if s.TxnOps == minTxnOps-1 {
		f.add("deployment.state.txn_ops: must be at least %d, is %d", minTxnOps, s.TxnOps)
	}
	if s.Next != nil && s.Next.TxnOps == minTxnOps-1 {
		f.add("deployment.state.next.txn_ops: must be at least %d, is %d", minTxnOps, s.Next.TxnOps)
	}
}

// namedLimit is a limit of the state service by its name in the file.
type namedLimit struct {
	name  string
	value float64
}

func (s *State) named() []namedLimit {
	return []namedLimit{{"rps", s.RPS}, {"write_rps", s.WriteRPS}, {"value_kb", s.ValueKB}, {"txn_ops", float64(s.TxnOps)}}
}

// Operator is the operators' own optional file.
type Operator struct {
	// Log is the log level that holds when LOG_LEVEL is not set.
	Log string `toml:"log_level"`
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
	var o Operator
	if path == "" {
		return &o, nil
	}
	md, err := toml.DecodeFile(path, &o)
	if err != nil {
		return nil, fmt.Errorf("parse operators' settings: %w", err)
	}
	if un := md.Undecoded(); len(un) > 0 {
		return nil, fmt.Errorf("operators' settings %s: unknown key %q", path, un[0].String())
	}
	if o.WarmMachines != nil && *o.WarmMachines < 0 {
		return nil, fmt.Errorf("operators' settings %s: warm_machines: below 0", path)
	}
	if o.IdleReturnS != nil && *o.IdleReturnS < 0 {
		return nil, fmt.Errorf("operators' settings %s: idle_return_s: below 0", path)
	}
	if err := o.checkRegions(); err != nil {
		return nil, fmt.Errorf("operators' settings %s: %w", path, err)
	}
	return &o, nil
}

// checkRegions asks for all of the fields of regions or none.
func (o *Operator) checkRegions() error {
	if o.RegionsFile == "" && o.Region == "" && o.RegionListen == "" {
		return nil
	}
	var f faults
	for _, field := range []struct{ name, value string }{{"regions_file", o.RegionsFile}, {"region", o.Region}} {
		if field.value == "" {
			f.add("%s: missing, it goes with region_listen, region and regions_file", field.name)
		}
	}
	f.addr("region_listen", o.RegionListen)
	return f.err()
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
