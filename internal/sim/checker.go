package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// checker checks what really happens in the world against the rules of the protocol. A
// violation begins with the name of its rule.
type checker struct {
	world              *World
	violations         []string
	waiting            map[string]*waitingJob // see starvation.go
	reportedUnanswered map[string]bool        // jobs
}

// sweepInterval is the time between two checks of all tasks and jobs.
const sweepInterval = time.Second

// snapshotInterval is the number of sweeps between two checks of waiting jobs.
const snapshotInterval = 3

func newChecker(world *World) *checker {
	c := &checker{world: world, waiting: map[string]*waitingJob{}, reportedUnanswered: map[string]bool{}}
	world.after(sweepInterval, c.sweep)
	return c
}

func (c *checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s at %.3f s: %s", rule, c.world.now.Seconds(), fmt.Sprintf(format, args...)))
}

// checkStart checks a task that has just been placed on its machine.
func (c *checker) checkStart(m *machine, t *task) {
	c.checkBesideOthers(m, t)
	c.checkPlacement(m, t)
	c.checkQuota(t.job.Team)
	if job := c.world.users.jobs[t.job.ID]; job != nil && job.toldCancelledAt != 0 {
		c.addViolation("started_cancelled", "%s on %s, %.3f s after its user was told, ordered %.3f s after", t.name, m.name,
			(c.world.now - job.toldCancelledAt).Seconds(), (t.commandedAt - job.toldCancelledAt).Seconds())
	}
	if id := c.unfinishedDependency(t.job); id != "" {
		c.addViolation("too_early", "%s on %s, %s is not done", t.name, m.name, id)
	}
	c.checkCancelled(m, t)
}

// checkBesideOthers checks a task against the others of its job: it may not run twice, and the
// tasks of a job for one zone may not be in two.
func (c *checker) checkBesideOthers(m *machine, t *task) {
	placed := c.world.placementsByJob[t.job]
	for _, p := range placed.byIndex[t.index] {
		if p.task != t {
			c.addViolation("ran_twice", "%s on %s and %s", t.name, m.name, p.machine.name)
		}
	}
	if elsewhere := len(placed.machines) - placed.byZone[m.zone]; t.job.OneZone && elsewhere > 0 {
		c.addViolation("wrong_place", "%s in zone %s and %d of its tasks in others", t.job.ID, m.zone, elsewhere)
	}
}

// checkPlacement checks whether a task may be on its machine.
func (c *checker) checkPlacement(m *machine, t *task) {
	job := t.job
	if inZone := c.world.placementsByJob[job].byZone[m.zone]; job.SpreadZones && inZone > spreadLimit(job) {
		c.addViolation("wrong_place", "%s: %d of %d tasks in %s", job.ID, inZone, job.Tasks, m.zone)
	}
	if !job.eligibleOn(m) {
		c.addViolation("wrong_place", "%s on %s (%s, %s, spot %v)", t.name, m.name, m.machineType, m.zone, m.spot)
	}
}

// spreadLimit is how many tasks of a job that is spread over zones may be in one zone.
func spreadLimit(job *groundTruth) int { return (job.Tasks + 1) / 2 }

// eligibleOn reports whether the job's tasks may be on a machine of this kind.
func (j *groundTruth) eligibleOn(m *machine) bool {
	typeAllowed := len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, m.machineType)
	zoneAllowed := j.Zone == "" || j.Zone == m.zone
	return typeAllowed && zoneAllowed && (!m.spot || j.AllowSpot)
}

// checkQuota checks that a team's tasks use no more than its limit.
func (c *checker) checkQuota(team string) {
	gpus, cpus := c.world.teamUsage(team)
	if c.exceedsLimit(team, gpus, cpus) {
		c.addViolation("quota", "%s uses %v GPUs and %v CPUs", team, gpus, cpus)
	}
	if c.world.usageIncreased != nil {
		c.world.usageIncreased(team)
	}
}

// exceedsLimit reports whether amounts are above a team's limit. A limit of 0 is none.
func (c *checker) exceedsLimit(name string, gpus, cpus float64) bool {
	for _, team := range c.world.settings.Deployment.Teams {
		if team.Name == name {
			return team.GPUsMax > 0 && gpus > team.GPUsMax+amountTolerance ||
				team.CPUsMax > 0 && cpus > team.CPUsMax+amountTolerance
		}
	}
	return false
}

// unfinishedDependency returns the ID of a job's direct dependency that is not done; empty if
// there is none.
func (c *checker) unfinishedDependency(job *groundTruth) string {
	for _, id := range job.Dependencies {
		if dependency := c.world.jobs[id]; dependency == nil || len(dependency.doneTasks) < dependency.Tasks {
			return id
		}
	}
	return ""
}

// cancelTimeout is how long after its user was told of the cancellation a job may still have
// tasks.
func (c *checker) cancelTimeout() time.Duration {
	return seconds(c.world.settings.Deployment.Workers.CancelS)
}

// cancelledDependency returns the ID of a dependency whose user was told longer than the
// cancellation timeout ago that it is cancelled; empty if there is none. For a job that was
// accepted after that, the time counts from its acceptance.
func (c *checker) cancelledDependency(truth *groundTruth) string {
	job := c.world.users.jobs[truth.ID]
	if job == nil || !job.accepted {
		return ""
	}
	for _, dependency := range c.world.users.dependencies(truth) {
		since := max(dependency.toldCancelledAt, job.acceptedAt)
		if dependency.toldCancelledAt != 0 && c.world.now-since > c.cancelTimeout() {
			return dependency.id
		}
	}
	return ""
}

// checkOrphaned checks a job that is said to be neither done nor cancelled: its dependencies
// may not be cancelled.
func (c *checker) checkOrphaned(job *userJob, status wire.JobState) {
	if id := c.cancelledDependency(c.world.jobs[job.id]); id != "" && job.finalStatus == "" {
		c.addViolation("orphaned", "%s is %s, %.3f s after the user of %s was told that it is cancelled", job.id, status,
			(c.world.now - c.world.users.jobs[id].toldCancelledAt).Seconds(), id)
	}
}

// checkCancelled checks that a placed task's job is not cancelled, nor one of its dependencies,
// for longer than the cancellation timeout.
func (c *checker) checkCancelled(m *machine, t *task) {
	if id := c.cancelledDependency(t.job); id != "" {
		c.addViolation("ran_cancelled", "%s on %s, which depends on %s", t.name, m.name, id)
	}
	job := c.world.users.jobs[t.job.ID]
	if job != nil && job.toldCancelledAt != 0 && c.world.now-job.toldCancelledAt > c.cancelTimeout() {
		c.addViolation("ran_cancelled", "%s on %s", t.name, m.name)
	}
}

// sweep checks the rules that can be broken by the passing of time.
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

// sweepJobs checks that jobs get answers and machines once all faults are over.
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

// maxUnanswered is how long after the faults' end an accepted job may be without an answer.
const maxUnanswered = 75 * time.Second

// checkUnanswered checks that questions about an accepted job are answered.
func (c *checker) checkUnanswered(job *userJob) {
	if c.world.now-max(job.lastAnswerAt, c.world.faultsEnd) > maxUnanswered && !c.reportedUnanswered[job.id] {
		c.reportedUnanswered[job.id] = true
		c.addViolation("unanswered", "%s: no answer since %.3f s", job.id, job.lastAnswerAt.Seconds())
	}
}

// checkDone checks that all tasks of a job are done whose user is told so.
func (c *checker) checkDone(job *userJob) {
	truth := c.world.jobs[job.id]
	if truth.Shape == wire.ShapeService || len(truth.doneTasks) < truth.Tasks {
		c.addViolation("not_done", "%s: %d of %d tasks", job.id, len(truth.doneTasks), truth.Tasks)
	}
}

// maxHeartbeatBytes is the largest heartbeat that a controller accepts.
const maxHeartbeatBytes = 64 << 10

// checkHeartbeatSize checks that a machine has no more tasks than its heartbeat can name.
func (c *checker) checkHeartbeatSize(m *machine, size int) {
	if size > maxHeartbeatBytes {
		c.addViolation("limits", "%s has a heartbeat of %d bytes", m.name, size)
	}
}
