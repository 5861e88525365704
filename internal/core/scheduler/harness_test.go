package scheduler

import (
	"log/slog"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/outlier"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// harness is a scheduler with a fake host that applies its decisions immediately.
type harness struct {
	*Scheduler
	state       cluster.State
	now         time.Duration
	wallClockMS int64
	types       map[string]*wire.MachineType
	sequential  bool // machines pull one image at a time
}

// newHarness creates a scheduler with machine types, teams and objectives.
func newHarness(tb testing.TB, types map[string]*wire.MachineType, teams []config.Team, objectives ...config.Objective) *harness {
	tb.Helper()
	h := &harness{state: cluster.NewState(), now: 1000 * time.Second, wallClockMS: 1e12, types: types}
	deployment := &config.Deployment{
		Zones:         []string{"a", "b", "c"},
		Teams:         teams,
		Objectives:    objectives,
		Workers:       config.WorkerTimings{ReportS: 1.5, LeaseS: 10, GangWaitS: 50},
		MachineLimits: config.MachineLimits{CPU: 0.2},
	}
	h.Scheduler = New(&h.state, harnessHost{h}, deployment, outlier.New(), slog.New(slog.DiscardHandler))
	return h
}

// addMachine adds a machine that may take tasks.
func (h *harness) addMachine(name, machineType, zone string) *cluster.Machine {
	m := h.state.GetOrAddMachine(name, h.now)
	m.TypeName, m.Zone, m.Described, m.Incarnation = machineType, zone, true, 1
	return m
}

// cachedMachine is a machine and the images that it has cached.
type cachedMachine struct {
	name, zone string
	images     []string
}

// addCachedMachines adds machines with cached images of a size.
func (h *harness) addCachedMachines(machines []cachedMachine, machineType string, imageGB float64) {
	for _, cached := range machines {
		m := h.addMachine(cached.name, machineType, cached.zone)
		for _, image := range cached.images {
			m.CachedImages = append(m.CachedImages, cluster.Image{Name: image, GB: imageGB})
		}
	}
}

// addJob adds a job with tasks to place.
func (h *harness) addJob(spec wire.Job) *cluster.Job {
	job := cluster.NewJob(records.Open{Job: spec}, uint64(len(h.state.Jobs)+1))
	job.Loaded, job.WaitingSinceMS = true, h.wallClockMS
	h.state.AddJob(job)
	return job
}

// addArray adds an array that saves checkpoints.
func (h *harness) addArray(id, team, class string, tasks int, gpus float64) *cluster.Job {
	return h.addJob(wire.Job{
		ID: id, Team: team, Class: class, Shape: wire.ShapeArray, Priority: wire.PriorityIdle,
		Tasks: tasks, CPUs: 1, GPUs: gpus, MemGB: 1, EstimatedRunS: 50, CheckpointIntervalS: 30, CheckpointDurationS: 3,
	})
}

// candidateOf returns a candidate with all unplaced tasks of a job.
func candidateOf(job *cluster.Job) *Candidate {
	return &Candidate{Job: job, Pending: job.UnplacedTasks(), PreemptionPriority: job.Level}
}

// runningJob is a running job; machines names the machine of each task.
type runningJob struct {
	wire.Job
	machines    []string
	withinQuota bool
	ranFor      time.Duration
}

// addRunning adds running jobs to their machines.
func (h *harness) addRunning(jobs []runningJob) []*cluster.Job {
	var running []*cluster.Job
	for _, r := range jobs {
		job := cluster.NewJob(records.Open{Job: r.Job}, 1)
		job.WithinQuota = r.withinQuota
		for i, name := range r.machines {
			m := h.state.Machines[name]
			job.TaskStates[i] = cluster.Task{
				Attempt: 1, Zone: m.Zone, Incarnation: 1, Observed: true, Persisted: true,
				StartSent: true, State: wire.TaskRunning, RunningSince: h.now - r.ranFor,
			}
			harnessHost{h}.PlaceTask(job, i, m)
		}
		running = append(running, job)
	}
	return running
}

// usage refreshes the machines and returns what each team uses.
func (h *harness) usage() map[string]topology.Resources {
	usage := map[string]topology.Resources{}
	for _, m := range h.state.MachinesByName {
		m.Refresh()
		for _, ref := range m.Placements {
			usage[ref.Job.Team] = usage[ref.Job.Team].Add(ref.Size())
		}
	}
	return usage
}

// place runs a pass for a single job.
func (h *harness) place(job *cluster.Job) {
	h.newPass(h.usage()).placeCandidate(candidateOf(job))
}

// stoppedTasks returns the names of the tasks of jobs that are being stopped.
func stoppedTasks(jobs []*cluster.Job) []string {
	var stopped []string
	for _, job := range jobs {
		for i := range job.TaskStates {
			if job.TaskStates[i].Stop != nil {
				stopped = append(stopped, cluster.TaskName(job.ID, i))
			}
		}
	}
	return stopped
}

// reservedMachines returns the names of the machines that are reserved for a job.
func (h *harness) reservedMachines(job *cluster.Job) []string {
	var reserved []string
	for _, m := range h.state.MachinesByName {
		if m.ReservedFor == job {
			reserved = append(reserved, m.Name)
		}
	}
	return reserved
}

// harnessHost is the fake Host of a harness.
type harnessHost struct{ h *harness }

func (host harnessHost) Now() time.Duration                         { return host.h.now }
func (host harnessHost) WallClockMS() int64                         { return host.h.wallClockMS }
func (host harnessHost) Usable(m *cluster.Machine) bool             { return m.DrainReason == "" }
func (host harnessHost) MachineTypes() map[string]*wire.MachineType { return host.h.types }
func (host harnessHost) PullsAreSequential() bool                   { return host.h.sequential }
func (host harnessHost) RunEstimate(job *cluster.Job) float64       { return job.EstimatedRunS }

func (host harnessHost) MachineType(m *cluster.Machine) *wire.MachineType {
	return host.h.types[m.TypeName]
}

func (host harnessHost) MachinePrice(m *cluster.Machine) float64 {
	return host.h.types[m.TypeName].Price
}

func (host harnessHost) AnyOfferFor(job *wire.Job) bool {
	for name, t := range host.h.types {
		for _, zone := range t.Zones {
			if Allows(job, name, zone, false) && cluster.TypeCapacity(t).Holds(cluster.TaskSize(job)) {
				return true
			}
		}
	}
	return false
}

func (host harnessHost) Limit(team string) teamlimit.Limit {
	for _, t := range host.h.deployment.Teams {
		if t.Name == team {
			return teamlimit.FromSettings(t.CPUsMax, t.GPUsMax)
		}
	}
	return teamlimit.UnknownTeamLimit
}

func (host harnessHost) ThrottleFaultyJob(_ *cluster.Job, pending []int) []int { return pending[:1] }

func (host harnessHost) PlaceTask(job *cluster.Job, task int, m *cluster.Machine) {
	job.TaskStates[task].Machine = m
	m.AddTask(cluster.NewTaskReference(job, task))
	m.AdjustUsage(job, 1)
	job.TasksPlaced++
}

func (host harnessHost) Preempt(task cluster.TaskReference, graceS float64) {
	if task.Job.Shape != wire.ShapeGang {
		host.stopTask(task.Task(), graceS)
		return
	}
	for i := range task.Job.TaskStates {
		if t := &task.Job.TaskStates[i]; t.Machine != nil {
			host.stopTask(t, graceS)
		}
	}
}

func (host harnessHost) Reschedule(replica cluster.TaskReference) { host.stopTask(replica.Task(), 0) }

// stopTask requests the stop of a task, unless it is already being stopped.
func (host harnessHost) stopTask(t *cluster.Task, graceS float64) {
	if t.Stop == nil {
		t.Stop = &cluster.StopRequest{GracePeriodS: graceS, RequestedAt: host.h.now, Killed: graceS == 0}
		t.Machine.NeedsRefresh = true
	}
}
