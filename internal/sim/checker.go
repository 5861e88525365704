package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// checker checks what happens in the world against the rules of the protocol. The text of a
// violation begins with the name of the rule.
type checker struct {
	world              *World
	violations         []string
	waiting            map[string]*waitingJob // by job ID, see starvation.go
	reportedUnanswered map[string]bool        // IDs of jobs that were reported as unanswered
	startedAttempts    map[startedAttempt]bool
}

// startedAttempt identifies an attempt that a worker has started.
type startedAttempt struct {
	machine     string
	incarnation uint64
	task        string
	attempt     uint64
}

// sweepInterval is the time between two sweeps, which check all tasks and jobs.
const sweepInterval = time.Second

// snapshotInterval is how many sweeps pass from one starvation check to the next.
const snapshotInterval = 3

func newChecker(world *World) *checker {
	c := &checker{world: world, waiting: map[string]*waitingJob{}, reportedUnanswered: map[string]bool{}, startedAttempts: map[startedAttempt]bool{}}
	world.after(sweepInterval, c.sweep)
	return c
}

func (c *checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s at %.3f s: %s", rule, c.world.now.Seconds(), fmt.Sprintf(format, args...)))
}

// checkStart checks a task that has just been placed on its machine.
func (c *checker) checkStart(m *machine, t *task) {
	c.checkAgainstOtherTasks(m, t)
	c.checkPlacement(m, t)
	c.checkQuota(t.job.Team)
	if job := c.world.users.jobs[t.job.ID]; job != nil && job.cancelReportedAt != 0 {
		c.addViolation("started_cancelled",
			"%s started on %s %.3f s after its user was told of the cancellation; the start command arrived %.3f s after that answer",
			t.name, m.name,
			(c.world.now - job.cancelReportedAt).Seconds(), (t.commandedAt - job.cancelReportedAt).Seconds())
	}
	if id := c.unfinishedDependency(t.job); id != "" {
		c.addViolation("too_early", "%s started on %s, but its dependency %s is not done", t.name, m.name, id)
	}
	c.checkCancelled(m, t)
}

// checkAttempt checks that an incarnation of a worker starts an attempt at a task once only: a worker
// that has forgotten an attempt starts it again on a copy of the start command.
func (c *checker) checkAttempt(m *machine, command wire.Command) {
	id := startedAttempt{m.name, m.incarnation, command.Task, command.Attempt}
	if c.startedAttempts[id] {
		c.addViolation("started_again", "attempt %d of %s on %s", command.Attempt, command.Task, m.name)
	}
	c.startedAttempts[id] = true
}

// checkAgainstOtherTasks checks a task against the others of its job: a task may not run twice,
// and the tasks of a one-zone job may not be in several zones.
func (c *checker) checkAgainstOtherTasks(m *machine, t *task) {
	placed := c.world.placementsByJob[t.job]
	for _, p := range placed.byIndex[t.index] {
		if p.task != t {
			c.addViolation("ran_twice", "%s is on %s and on %s", t.name, m.name, p.machine.name)
		}
	}
	if elsewhere := len(placed.machines) - placed.byZone[m.zone]; t.job.OneZone && elsewhere > 0 {
		c.addViolation("wrong_place", "%s must be in one zone: a task is in zone %s, %d tasks are in other zones",
			t.job.ID, m.zone, elsewhere)
	}
}

// checkPlacement checks that a task may be on its machine and that its job is spread over zones
// if the job requires it.
func (c *checker) checkPlacement(m *machine, t *task) {
	job := t.job
	if inZone := c.world.placementsByJob[job].byZone[m.zone]; job.SpreadZones && inZone > spreadLimit(job) {
		c.addViolation("wrong_place", "%s must be spread over zones: %d of %d tasks are in zone %s",
			job.ID, inZone, job.Tasks, m.zone)
	}
	if !job.eligibleOn(m) {
		c.addViolation("wrong_place", "%s may not be on machine %s (type %s, zone %s, spot %v)",
			t.name, m.name, m.machineType, m.zone, m.spot)
	}
}

// spreadLimit returns how many tasks of a job that is spread over zones may be in one zone.
func spreadLimit(job *groundTruth) int { return (job.Tasks + 1) / 2 }

// eligibleOn reports whether the job's tasks may be on a machine of this type and zone, and on a
// spot machine if it is one.
func (j *groundTruth) eligibleOn(m *machine) bool {
	typeAllowed := len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, m.machineType)
	zoneAllowed := j.Zone == "" || j.Zone == m.zone
	return typeAllowed && zoneAllowed && (!m.spot || j.AllowSpot)
}

// checkQuota checks that a team's tasks use no more than its limit.
func (c *checker) checkQuota(team string) {
	gpus, cpus := c.world.teamUsage(team)
	if c.exceedsLimit(team, gpus, cpus) {
		c.addViolation("quota", "team %s exceeds its limit with %v GPUs and %v CPUs", team, gpus, cpus)
	}
	if c.world.usageIncreased != nil {
		c.world.usageIncreased(team)
	}
}

// exceedsLimit reports whether amounts are above a team's limit. A limit of 0 means no limit.
func (c *checker) exceedsLimit(name string, gpus, cpus float64) bool {
	for _, team := range c.world.settings.Deployment.Teams {
		if team.Name == name {
			return team.GPUsMax > 0 && gpus > team.GPUsMax+amountTolerance ||
				team.CPUsMax > 0 && cpus > team.CPUsMax+amountTolerance
		}
	}
	return false
}

// unfinishedDependency returns the ID of a direct dependency of a job that is not done; empty if
// all are done.
func (c *checker) unfinishedDependency(job *groundTruth) string {
	for _, id := range job.Dependencies {
		if dependency := c.world.jobs[id]; dependency == nil || len(dependency.doneTasks) < dependency.Tasks {
			return id
		}
	}
	return ""
}

// cancelTimeout returns how long a job may still have tasks after its user was told of the
// cancellation.
func (c *checker) cancelTimeout() time.Duration {
	return seconds(c.world.settings.Deployment.Workers.CancelS)
}

// cancelledDependency returns the ID of a dependency, direct or indirect, whose user was told
// of its cancellation more than the cancellation timeout ago; empty if there is none. For a job
// that was accepted after that answer, the time counts from the acceptance.
func (c *checker) cancelledDependency(truth *groundTruth) string {
	job := c.world.users.jobs[truth.ID]
	if job == nil || !job.accepted {
		return ""
	}
	for _, dependency := range c.world.users.dependencies(truth) {
		since := max(dependency.cancelReportedAt, job.acceptedAt)
		if dependency.cancelReportedAt != 0 && c.world.now-since > c.cancelTimeout() {
			return dependency.id
		}
	}
	return ""
}

// checkOrphaned checks a job that an answer reported as neither done nor cancelled: none of its
// dependencies may be cancelled.
func (c *checker) checkOrphaned(job *userJob, status wire.JobState) {
	if id := c.cancelledDependency(c.world.jobs[job.id]); id != "" && job.finalStatus == "" {
		c.addViolation("orphaned", "%s has status %s %.3f s after the user of its dependency %s was told of the cancellation",
			job.id, status, (c.world.now - c.world.users.jobs[id].cancelReportedAt).Seconds(), id)
	}
}

// checkCancelled checks a placed task: its user, or that of a dependency of its job, must not have
// been told of a cancellation longer than the cancellation timeout ago.
func (c *checker) checkCancelled(m *machine, t *task) {
	if id := c.cancelledDependency(t.job); id != "" {
		c.addViolation("ran_cancelled", "%s is on %s, but its dependency %s is cancelled", t.name, m.name, id)
	}
	job := c.world.users.jobs[t.job.ID]
	if job != nil && job.cancelReportedAt != 0 && c.world.now-job.cancelReportedAt > c.cancelTimeout() {
		c.addViolation("ran_cancelled", "%s is on %s, but its job is cancelled", t.name, m.name)
	}
}

// sweep checks the rules that can be violated without an event, as time passes.
func (c *checker) sweep() {
	c.world.after(sweepInterval, c.sweep)
	for _, name := range c.world.cloud.machineNames() {
		m := c.world.cloud.machines[name]
		for _, t := range m.sortedTasks() {
			if t.placed {
				c.checkCancelled(m, t)
			}
		}
	}
	if c.world.now > c.world.faultsEnd {
		c.sweepJobs()
	}
}

// sweepJobs checks that no accepted job stays unanswered or starves once all faults are over.
func (c *checker) sweepJobs() {
	var snapshot *fleetSnapshot
	if int(c.world.now/sweepInterval)%snapshotInterval == 0 {
		snapshot = c.snapshotFleet()
	}
	for _, id := range c.world.users.sortedIDs() {
		job := c.world.users.jobs[id]
		if !job.accepted || job.finalStatus != "" {
			continue
		}
		c.checkUnanswered(job)
		if snapshot != nil {
			c.checkStarvation(job, snapshot)
		}
	}
}

// maxUnanswered is how long an accepted job may be without an answer after the last one, or
// after the end of all faults if that is later.
const maxUnanswered = 75 * time.Second

// checkUnanswered checks that queries for the status of an accepted job are answered.
func (c *checker) checkUnanswered(job *userJob) {
	if c.world.now-max(job.lastAnswerAt, c.world.faultsEnd) > maxUnanswered && !c.reportedUnanswered[job.id] {
		c.reportedUnanswered[job.id] = true
		c.addViolation("unanswered", "%s: last answer at %.3f s", job.id, job.lastAnswerAt.Seconds())
	}
}

// checkDone checks a job whose user was told that it is done: all its tasks must be done, and
// a service is never done.
func (c *checker) checkDone(job *userJob) {
	truth := c.world.jobs[job.id]
	if truth.Shape == wire.ShapeService || len(truth.doneTasks) < truth.Tasks {
		c.addViolation("not_done", "%s is reported as done with %d of %d tasks done", job.id, len(truth.doneTasks), truth.Tasks)
	}
}

// maxHeartbeatBytes is the size of the largest heartbeat that a controller accepts.
const maxHeartbeatBytes = 64 << 10

// checkHeartbeatSize checks that a machine's heartbeat, which lists its tasks, is not too large.
func (c *checker) checkHeartbeatSize(m *machine, size int) {
	if size > maxHeartbeatBytes {
		c.addViolation("limits", "heartbeat of %s has %d bytes", m.name, size)
	}
}
