package config

import "time"

// Settings is the file that the platform gives every controller. Unknown fields are ignored.
type Settings struct {
	// Name is the controller's name, and Zone is the zone that it runs in.
	Name string `toml:"host_name"`
	Zone string `toml:"location"`
	// Listen is the address for users and workers, and PeerListen the address for the other
	// controllers of the region.
	Listen     string     `toml:"listen"`
	PeerListen string     `toml:"back"`
	Peers      []Peer     `toml:"peers"`
	External   External   `toml:"external"`
	Deployment Deployment `toml:"deployment"`

	// IgnoredFields lists the unknown fields of the file.
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

// Deployment holds the settings that are the same for all controllers of the region.
type Deployment struct {
	// Size is the number of controllers.
	Size  int      `toml:"size"`
	Zones []string `toml:"zones"`
	// SkewMs bounds the error of a controller's wall clock, in milliseconds.
	SkewMs        float64       `toml:"skew_ms"`
	Teams         []Team        `toml:"teams"`
	Objectives    []Objective   `toml:"objectives"`
	Workers       WorkerTimings `toml:"workers"`
	Store         StoreLimits   `toml:"state"`
	Cloud         CloudLimits   `toml:"cloud"`
	MachineLimits MachineLimits `toml:"machine_limits"`
}

// MaxWorkers returns how many workers can send heartbeats to the given number of controllers.
func (d *Deployment) MaxWorkers(controllers int) int {
	return max(1, controllers) * d.MachineLimits.MaxIncoming()
}

// Team holds a team's guarantees (CPUs, GPUs) and limits (CPUsMax, GPUsMax); 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective for a class of jobs: the share of them that must meet a
// time limit.
type Objective struct {
	Kind  string `toml:"kind"`
	Class string `toml:"class"`
	// WithinS is the time limit, in seconds.
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// WorkerTimings holds the workers' timings, in seconds.
type WorkerTimings struct {
	// ReportS is the time between two heartbeats of a worker.
	ReportS float64 `toml:"report_s"`
	// LeaseS is how long after its last answered heartbeat a worker terminates its tasks.
	LeaseS float64 `toml:"lease_s"`
	// GangWaitS is how long a task waits for the other tasks of its gang before it exits.
	GangWaitS float64 `toml:"gang_wait_s"`
	// GangPeerS is the time within which the tasks of a gang detect that one of them has ended.
	GangPeerS float64 `toml:"gang_peer_s"`
	// CancelS is how soon after a confirmed cancellation no task of the job may run.
	CancelS float64 `toml:"cancel_s"`
}

// Lease returns how long a worker keeps its tasks without an answer to a heartbeat.
func (w *WorkerTimings) Lease() time.Duration { return Seconds(w.LeaseS) }

// HeartbeatInterval returns the time between two heartbeats of a worker, which varies by up to 25%.
func (w *WorkerTimings) HeartbeatInterval() time.Duration { return Seconds(w.ReportS) }

// CancelTime returns the time within which all tasks of a cancelled job must have terminated.
func (w *WorkerTimings) CancelTime() time.Duration { return Seconds(w.CancelS) }

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	// RPS limits requests a second, and WriteRPS puts and deletes a second.
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	// ValueKB bounds a value, in KiB.
	ValueKB float64 `toml:"value_kb"`
	// TxnOps bounds the puts and deletes of a transaction.
	TxnOps int `toml:"txn_ops"`
	// Next holds limits that will take effect at an unknown later time, without notice. A field
	// that the file leaves out is 0 here and does not change.
	Next *StoreLimits `toml:"next"`
}

// Strictest returns the lower value of the current and the next limits, field by field.
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

// lowerLimit returns the lower of a current and a next limit. A next limit of 0 means no change.
func lowerLimit[T int | float64](current, next T) T {
	if next > 0 && next < current {
		return next
	}
	return current
}

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	// RPS limits requests a second.
	RPS float64 `toml:"rps"`
	// ListLagS is by how many seconds the cloud's list of machines may be out of date.
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineLimits holds the resources that a controller may use on its machine.
type MachineLimits struct {
	// CPU is in cores, and RAMMB in MiB.
	CPU   float64 `toml:"cpu"`
	RAMMB float64 `toml:"ram_mb"`
	// MaxConnections limits the open connections, incoming and outgoing.
	MaxConnections int `toml:"max_connections"`
}

// connectionsPerOutgoing is the ratio of the connection limit to the connections that are reserved
// for outgoing ones: to the key-value store, the cloud, the peers, and workers (direct commands).
const connectionsPerOutgoing = 6

// MaxIncoming returns how many incoming connections a controller accepts. It is most of the limit,
// since one controller may have to handle the heartbeats of all workers.
func (l MachineLimits) MaxIncoming() int {
	return max(1, l.MaxConnections-l.MaxConnections/connectionsPerOutgoing)
}
