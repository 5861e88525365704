package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// checker judges the rules on what really happens in the world.
type checker struct {
	world              *World
	violations         []string
	waiting            map[string]*waitingJob // since the troubles are over
	reportedUnanswered map[string]bool        // jobs reported as unanswered
}

func newChecker(world *World) *checker {
	c := &checker{world: world, waiting: map[string]*waitingJob{}, reportedUnanswered: map[string]bool{}}
	world.after(time.Second, c.sweep)
	return c
}

func (c *checker) addViolation(rule, format string, a ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s at %.3f s: %s", rule, c.world.now.Seconds(), fmt.Sprintf(format, a...)))
}

// checkStart judges a task that has just come onto its machine.
func (c *checker) checkStart(machine *machine, task *task) {
	inZone := c.checkBesideOthers(machine, task)
	c.checkPlacement(machine, task, inZone)
	c.checkQuota(task.job.Team)
	if job := c.world.users.jobs[task.job.ID]; job != nil && job.toldCancelledAt != 0 {
		c.addViolation("started_cancelled", "%s on %s, %.3f s after its user was told, ordered %.3f s after", task.name, machine.name,
			(c.world.now - job.toldCancelledAt).Seconds(), (task.commandedAt - job.toldCancelledAt).Seconds())
	}
	if id := c.unfinishedDependency(task.job); id != "" {
		c.addViolation("too_early", "%s on %s, %s isn't done", task.name, machine.name, id)
	}
	c.checkCancelled(machine, task)
}

// checkBesideOthers judges a task beside the others of its job, and counts those in its
// zone, itself included.
func (c *checker) checkBesideOthers(machine *machine, task *task) (inZone int) {
	on := c.world.placementsByJob[task.job]
	for _, p := range on.byIndex[task.index] {
		if p.task != task {
			c.addViolation("ran_twice", "%s on %s and %s", task.name, machine.name, p.machine.name)
		}
	}
	if task.job.OneZone && on.byZone[machine.zone] < len(on.machines) {
		c.addViolation("wrong_place", "%s in zone %s and %d of its tasks in others", task.job.ID, machine.zone, len(on.machines)-on.byZone[machine.zone])
	}
	return on.byZone[machine.zone]
}

// checkPlacement judges where a task is, beside as many tasks of its job in the zone.
func (c *checker) checkPlacement(m *machine, t *task, inZone int) {
	truth := t.job
	if truth.SpreadZones && inZone > spreadLimit(truth) {
		c.addViolation("wrong_place", "%s: %d of %d tasks in %s", truth.ID, inZone, truth.Tasks, m.zone)
	}
	if !truth.eligibleOn(m) {
		c.addViolation("wrong_place", "%s on %s (%s, %s, spot %v)", t.name, m.name, m.machineType, m.zone, m.spot)
	}
}

// spreadLimit is how many tasks of a spread job may be in one zone.
func spreadLimit(truth *groundTruth) int { return (truth.Tasks + 1) / 2 }

// eligibleOn tells whether a job's tasks may be on a machine of this kind.
func (j *groundTruth) eligibleOn(m *machine) bool {
	return allows(j.MachineTypes, m.machineType) && (j.Zone == "" || j.Zone == m.zone) && (!m.spot || j.AllowSpot)
}

// checkQuota judges what a team's tasks use.
func (c *checker) checkQuota(team string) {
	gpus, cpus := c.world.teamUsage(team)
	if c.exceedsLimit(team, gpus, cpus) {
		c.addViolation("quota", "%s uses %v GPUs and %v CPUs", team, gpus, cpus)
	}
	if c.world.usageIncreased != nil {
		c.world.usageIncreased(team)
	}
}

// exceedsLimit tells whether amounts are more than a team may use.
func (c *checker) exceedsLimit(name string, gpus, cpus float64) bool {
	for _, team := range c.world.settings.Deployment.Teams {
		if team.Name == name {
			return team.GPUsMax > 0 && gpus > team.GPUsMax+amountTolerance ||
				team.CPUsMax > 0 && cpus > team.CPUsMax+amountTolerance
		}
	}
	return false
}

// unfinishedDependency names a job that a job awaits and that isn't done.
func (c *checker) unfinishedDependency(truth *groundTruth) string {
	for _, id := range truth.Dependencies {
		if b := c.world.jobs[id]; b == nil || len(b.doneTasks) < b.Tasks {
			return id
		}
	}
	return ""
}

// cancelledDependency names a job that a job needs and whose user was told more than
// cancel_s ago that it is cancelled. For a job submitted after that, the time
// counts from its acceptance.
func (c *checker) cancelledDependency(truth *groundTruth) string {
	job := c.world.users.jobs[truth.ID]
	if job == nil || !job.accepted {
		return ""
	}
	for _, b := range c.world.users.dependencies(truth) {
		if b.toldCancelledAt != 0 && c.world.now-max(b.toldCancelledAt, job.acceptedAt) > seconds(c.world.settings.Deployment.Workers.CancelS) {
			return b.id
		}
	}
	return ""
}

// checkOrphaned judges a job that is called neither done nor cancelled.
func (c *checker) checkOrphaned(job *userJob, status wire.JobState) {
	if id := c.cancelledDependency(c.world.jobs[job.id]); id != "" && job.finalStatus == "" {
		c.addViolation("orphaned", "%s is %s, %.3f s after the user of %s was told that it is cancelled", job.id, status,
			(c.world.now - c.world.users.jobs[id].toldCancelledAt).Seconds(), id)
	}
}

func (c *checker) checkCancelled(m *machine, t *task) {
	if id := c.cancelledDependency(t.job); id != "" {
		c.addViolation("ran_cancelled", "%s on %s, which needs %s", t.name, m.name, id)
	}
	job := c.world.users.jobs[t.job.ID]
	if job != nil && job.toldCancelledAt != 0 && c.world.now-job.toldCancelledAt > seconds(c.world.settings.Deployment.Workers.CancelS) {
		c.addViolation("ran_cancelled", "%s on %s", t.name, m.name)
	}
}

func (c *checker) sweep() {
	c.world.after(time.Second, c.sweep)
	for _, name := range c.world.cloud.machineNames() {
		m := c.world.cloud.machines[name]
		for _, t := range m.sortedTasks() {
			if t.placed {
				c.checkCancelled(m, t)
			}
		}
	}
	if c.world.now <= c.world.faultsEnd {
		return
	}
	var snapshot *fleetSnapshot
	if int(c.world.now/time.Second)%3 == 0 {
		snapshot = c.snapshotFleet()
	}
	for _, id := range c.world.users.sortedIDs() {
		if job := c.world.users.jobs[id]; job.accepted && job.finalStatus == "" {
			c.checkUnanswered(job)
			if snapshot != nil {
				c.checkStarvation(job, snapshot)
			}
		}
	}
}

// checkUnanswered judges that an accepted job is known once the troubles are over.
func (c *checker) checkUnanswered(job *userJob) {
	if c.world.now-max(job.lastAnswerAt, c.world.faultsEnd) > 75*time.Second && !c.reportedUnanswered[job.id] {
		c.reportedUnanswered[job.id] = true
		c.addViolation("unanswered", "%s: no answer since %.3f s", job.id, job.lastAnswerAt.Seconds())
	}
}

// allows tells whether a list names the value, or names none.
func allows(list []string, v string) bool { return len(list) == 0 || slices.Contains(list, v) }

func (c *checker) checkDone(j *userJob) {
	truth := c.world.jobs[j.id]
	if truth.Shape == wire.ShapeService || len(truth.doneTasks) < truth.Tasks {
		c.addViolation("not_done", "%s: %d of %d tasks", j.id, len(truth.doneTasks), truth.Tasks)
	}
}

// maxBodyBytes is the most that the body of a request may have, in bytes.
const maxBodyBytes = 64 << 10

// checkHeartbeatSize judges that a machine holds no more tasks than its report can name.
func (c *checker) checkHeartbeatSize(m *machine, size int) {
	if size > maxBodyBytes {
		c.addViolation("limits", "%s has a report of %d bytes", m.name, size)
	}
}
