package config

import "time"

// Settings is the file that the platform hands to every controller. Unknown fields are ignored.
type Settings struct {
	// Name is the controller's name and Zone the one that it runs in.
	Name string `toml:"host_name"`
	Zone string `toml:"location"`
	// Listen is the address for users and workers, PeerListen the one for the other controllers
	// of the region.
	Listen     string     `toml:"listen"`
	PeerListen string     `toml:"back"`
	Peers      []Peer     `toml:"peers"`
	External   External   `toml:"external"`
	Deployment Deployment `toml:"deployment"`

	// IgnoredFields names the unknown fields of the file.
	IgnoredFields []string `toml:"-"`
}

// Peer is another controller of the region.
type Peer struct {
	Name string `toml:"host_name"`
	Zone string `toml:"location"`
	Addr string `toml:"peer_addr"`
}

// External holds the addresses of the services that controllers depend on.
type External struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"` // the key-value store
}

// Deployment describes what all controllers share.
type Deployment struct {
	// Size is the number of controllers.
	Size  int      `toml:"size"`
	Zones []string `toml:"zones"`
	// SkewMs bounds how far a controller's time of day is from true time, in milliseconds.
	SkewMs        float64       `toml:"skew_ms"`
	Teams         []Team        `toml:"teams"`
	Objectives    []Objective   `toml:"objectives"`
	Workers       WorkerTimings `toml:"workers"`
	Store         StoreLimits   `toml:"state"`
	Cloud         CloudLimits   `toml:"cloud"`
	MachineLimits MachineLimits `toml:"machine_limits"`
}

// MaxWorkers is how many workers can send heartbeats to that many controllers.
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

// Objective is a service-level objective of a class of jobs: a share of them within a time.
type Objective struct {
	Kind  string `toml:"kind"`
	Class string `toml:"class"`
	// WithinS is in seconds.
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// WorkerTimings holds the workers' timings, in seconds.
type WorkerTimings struct {
	// ReportS is the time between two heartbeats of a worker.
	ReportS float64 `toml:"report_s"`
	// LeaseS is how long after its last answered heartbeat a worker kills its tasks.
	LeaseS float64 `toml:"lease_s"`
	// GangWaitS is how long a task waits for its gang to be complete.
	GangWaitS float64 `toml:"gang_wait_s"`
	// GangPeerS is how soon the tasks of a gang notice that one of them has ended.
	GangPeerS float64 `toml:"gang_peer_s"`
	// CancelS is how soon after a confirmed cancellation no task of the job may run.
	CancelS float64 `toml:"cancel_s"`
}

// Lease is how long a worker keeps its tasks without an answer to a heartbeat.
func (w *WorkerTimings) Lease() time.Duration { return Seconds(w.LeaseS) }

// HeartbeatInterval is the time between two heartbeats of a worker, plus or minus a quarter.
func (w *WorkerTimings) HeartbeatInterval() time.Duration { return Seconds(w.ReportS) }

// CancelTime is within what time a cancelled job's tasks have to have terminated.
func (w *WorkerTimings) CancelTime() time.Duration { return Seconds(w.CancelS) }

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	// RPS is requests a second, WriteRPS puts and deletes a second.
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	// ValueKB bounds a value, in KiB.
	ValueKB float64 `toml:"value_kb"`
	// TxnOps bounds the puts and deletes of a transaction.
	TxnOps int `toml:"txn_ops"`
	// Next are the limits from some later moment on, which comes without
	// notice. What it leaves out, and has as 0 here, stays as it is.
	Next *StoreLimits `toml:"next"`
}

// Strictest returns the lower of the present and the next limits.
func (s StoreLimits) Strictest() StoreLimits {
	strictest := s
	strictest.Next = nil
	if s.Next == nil {
		return strictest
	}
	strictest.RPS = lowerLimit(s.RPS, s.Next.RPS)
	strictest.WriteRPS = lowerLimit(s.WriteRPS, s.Next.WriteRPS)
	strictest.ValueKB = lowerLimit(s.ValueKB, s.Next.ValueKB)
	strictest.TxnOps = lowerLimit(s.TxnOps, s.Next.TxnOps)
	return strictest
}

// lowerLimit is the lower of a present and a next limit, which is 0 if it stays as it is.
func lowerLimit[T int | float64](present, next T) T {
	if next > 0 && next < present {
		return next
	}
	return present
}

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	// RPS is requests a second.
	RPS float64 `toml:"rps"`
	// ListLagS is by how many seconds the list of machines lags.
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineLimits is what this machine grants a controller.
type MachineLimits struct {
	// CPU is in cores, RAMMB in MiB.
	CPU   float64 `toml:"cpu"`
	RAMMB float64 `toml:"ram_mb"`
	// MaxConnections bounds the open connections, incoming and outgoing.
	MaxConnections int `toml:"max_connections"`
}

// connectionsPerOutgoing is how many connections there are for each one that is reserved for the
// key-value store, the cloud, the peers and direct commands.
const connectionsPerOutgoing = 6

// MaxIncoming is how many incoming connections a controller accepts. Workers come first: one
// controller may have to handle the heartbeats of all workers.
func (l MachineLimits) MaxIncoming() int {
	return max(1, l.MaxConnections-l.MaxConnections/connectionsPerOutgoing)
}
