// Package scheduler decides which task runs on which machine.
//
// In each pass, a Scheduler iterates over the jobs that have tasks to place, the most urgent first
// (candidates.go). For each job a pass has these phases:
//
//  1. filter and score: which machines may take the tasks, and which of them are preferred
//     (filter.go);
//  2. bind: tasks are placed on machines with free capacity (binding.go);
//  3. make room for the remaining tasks: replicas are rescheduled (rescheduling.go,
//     defragmentation.go) or less urgent tasks are preempted (preempt.go, team_limit.go). The
//     machines are reserved for the job, and a later pass binds its tasks there.
//
// Tasks that are still not placed are left to provisioning. The package changes
// PriorityState.WithinQuota, PlacementState and Reservation of package cluster, and which images a
// machine pulls. Everything else that a decision changes goes through Host, which the leader of
// package core implements. The package has no clock, socket or goroutine.
package scheduler

import (
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/outlier"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/wire"
)

// Host is the leader whose jobs the scheduler places.
type Host interface {
	// Now returns the monotonic time.
	Now() time.Duration
	// WallClockMS returns the wall clock time, in ms.
	WallClockMS() int64

	// Usable reports whether a machine may take tasks at all.
	Usable(machine *cluster.Machine) bool
	// MachineType returns the type of a machine; nil if it is not known.
	MachineType(machine *cluster.Machine) *wire.MachineType
	// MachineTypes returns all types of the cloud, by name; none while they are not known.
	MachineTypes() map[string]*wire.MachineType
	// MachinePrice returns the hourly price of a machine.
	MachinePrice(machine *cluster.Machine) float64
	// PullsAreSequential reports whether a machine pulls one image at a time.
	PullsAreSequential() bool
	// AnyOfferFor reports whether the cloud may offer a machine for a job now.
	AnyOfferFor(job *wire.Job) bool
	// Limit returns what a team's tasks may use in this region now.
	Limit(team string) teamlimit.Limit
	// RunEstimate returns a job's expected run time, in seconds.
	RunEstimate(job *cluster.Job) float64
	// ThrottleFaultyJob returns which pending tasks may be tried now, for a job that fails on
	// every machine.
	ThrottleFaultyJob(job *cluster.Job, pending []int) []int

	// PlaceTask assigns a task to a machine, whose usage then includes it, and marks the
	// placement to be persisted.
	PlaceTask(job *cluster.Job, task int, machine *cluster.Machine)
	// Preempt stops a task, or all tasks of its gang, with a grace period in seconds.
	Preempt(task cluster.TaskReference, graceS float64)
	// Reschedule stops a replica that is to run on another machine.
	Reschedule(replica cluster.TaskReference)
}

// Scheduler places the tasks of a leader's jobs, for one term.
type Scheduler struct {
	state           *cluster.State
	host            Host
	deployment      *config.Deployment
	outliers        *outlier.Detector
	bestEffortTeams map[string]bool
	log             *slog.Logger

	evaluations  int                // machines evaluated so far
	machines     []*cluster.Machine // those that may take tasks in this pass
	resumeFrom   *cluster.Job       // where the last pass was truncated; nil if it was not
	victimBuffer []victim           // reused by victimsOn
}

// New creates the scheduler of a term.
func New(state *cluster.State, host Host, deployment *config.Deployment, outliers *outlier.Detector, log *slog.Logger) *Scheduler {
	return &Scheduler{
		state:           state,
		host:            host,
		deployment:      deployment,
		outliers:        outliers,
		bestEffortTeams: BestEffortTeams(deployment.Teams),
		log:             log,
	}
}

// heartbeatInterval returns the time between two heartbeats of a worker.
func (s *Scheduler) heartbeatInterval() time.Duration {
	return s.deployment.Workers.HeartbeatInterval()
}
