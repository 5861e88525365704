package sim

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// fleetSnapshot is the free capacity of machines and the placed tasks of jobs and teams at one
// time.
type fleetSnapshot struct {
	free        []freeCapacity     // of machines that are serving, see isServing
	gpus, cpus  map[string]float64 // by team
	placedTasks map[*groundTruth]map[int]bool
	tasksByZone map[*groundTruth]map[string]int
}

func (c *checker) snapshotFleet() *fleetSnapshot {
	snapshot := &fleetSnapshot{
		gpus: map[string]float64{}, cpus: map[string]float64{},
		placedTasks: map[*groundTruth]map[int]bool{}, tasksByZone: map[*groundTruth]map[string]int{},
	}
	for _, name := range c.world.cloud.machineNames() {
		m := c.world.cloud.machines[name]
		if c.isServing(m) {
			snapshot.free = append(snapshot.free, c.world.cloud.freeCapacityOf(m))
		}
		for _, t := range m.tasks {
			if t.state != wire.TaskExited {
				snapshot.addTask(t, m.zone)
			}
		}
	}
	return snapshot
}

func (s *fleetSnapshot) addTask(t *task, zone string) {
	job := t.job
	if s.placedTasks[job] == nil {
		s.placedTasks[job], s.tasksByZone[job] = map[int]bool{}, map[string]int{}
	}
	s.gpus[job.Team] += job.GPUs
	s.cpus[job.Team] += job.CPUs
	s.placedTasks[job][t.index] = true
	s.tasksByZone[job][zone]++
}

// missingTasks returns the indices of a job's tasks that are neither done nor on a machine.
func (s *fleetSnapshot) missingTasks(job *groundTruth) map[int]bool {
	missing := map[int]bool{}
	for i := range job.Tasks {
		if !job.doneTasks[i] && !s.placedTasks[job][i] {
			missing[i] = true
		}
	}
	return missing
}

// waitingJob is a job with tasks that are on no machine.
type waitingJob struct {
	missing         map[int]bool             // indices of tasks neither done nor on a machine
	roomSince       map[string]time.Duration // by machine with room, or wholeGang
	steadyRoomSince time.Duration            // start of the present steady room; 0 if there is none
	reported        bool
}

// wholeGang is the key in roomSince for the room of a gang, which spans several machines.
const wholeGang = ""

const (
	// starvationLimit is how long a job may wait while there is room for it.
	starvationLimit = 90 * time.Second
	// steadyRoomTime is how long a machine must have had room before the room counts: shorter
	// room may be taken by other jobs right away.
	steadyRoomTime = 6 * time.Second
)

// checkStarvation checks that no job waits for longer than starvationLimit while there is room
// for it: for one more task on some machine, or for all missing tasks of a gang. The start of a
// task resets the time. Jobs are exempt if their tasks all fail, if they wait for dependencies,
// or if their cancellation, or that of a dependency, was requested.
func (c *checker) checkStarvation(job *userJob, snapshot *fleetSnapshot) {
	truth := c.world.jobs[job.id]
	missing := map[int]bool{}
	if !c.world.users.cancelRequested(job) && !truth.fails && c.unfinishedDependency(truth) == "" {
		missing = snapshot.missingTasks(truth)
	}
	if len(missing) == 0 {
		delete(c.waiting, job.id)
		return
	}
	waiting := c.waiting[job.id]
	if waiting == nil {
		waiting = &waitingJob{roomSince: map[string]time.Duration{}}
		c.waiting[job.id] = waiting
	}
	waiting.updateMissing(missing)
	waiting.updateRoom(c.roomFor(truth, len(missing), snapshot), c.world.now)
	if waiting.steadyRoomSince != 0 && c.world.now-waiting.steadyRoomSince > starvationLimit && !waiting.reported {
		waiting.reported = true
		c.addViolation("left_waiting",
			"%s: %d tasks are on no machine though there is room since %.0f s (start of room by machine: %v)",
			job.id, len(missing), waiting.steadyRoomSince.Seconds(), waiting.roomSince)
	}
}

// updateMissing records which tasks are missing now. If a task that was missing has started, the
// times since when there is room are reset.
func (j *waitingJob) updateMissing(missing map[int]bool) {
	for i := range j.missing {
		if !missing[i] {
			clear(j.roomSince)
			j.steadyRoomSince = 0
		}
	}
	j.missing = missing
}

// updateRoom records where there is room now.
func (j *waitingJob) updateRoom(room map[string]bool, now time.Duration) {
	for name := range j.roomSince {
		if !room[name] {
			delete(j.roomSince, name)
		}
	}
	for name, hasRoom := range room {
		if hasRoom && j.roomSince[name] == 0 {
			j.roomSince[name] = now
		}
	}
	isSteady := false
	for name, since := range j.roomSince {
		isSteady = isSteady || name == wholeGang || now-since >= steadyRoomTime
	}
	if !isSteady {
		j.steadyRoomSince = 0
	} else if j.steadyRoomSince == 0 {
		j.steadyRoomSince = now
	}
}

// roomFor returns the machines with room for a missing task of a job; for a gang, under the key
// wholeGang, whether there is room for all its missing tasks. It returns nil if the team's limit
// does not allow these tasks.
func (c *checker) roomFor(job *groundTruth, missing int, snapshot *fleetSnapshot) map[string]bool {
	needed := 1
	if job.Shape == wire.ShapeGang {
		needed = missing
	}
	gpus, cpus := snapshot.gpus[job.Team], snapshot.cpus[job.Team]
	if c.world.reservedElsewhere != nil {
		gpus += c.world.reservedElsewhere(job.Team)
	}
	if c.exceedsLimit(job.Team, gpus+float64(needed)*job.GPUs, cpus+float64(needed)*job.CPUs) {
		return nil
	}
	onMachine, inZone := map[string]bool{}, map[string]int{}
	for _, free := range snapshot.free {
		if count := placeableTasks(free, job, snapshot.tasksByZone[job]); count > 0 {
			inZone[free.machine.zone] += count
			onMachine[free.machine.name] = true
		}
	}
	if job.Shape != wire.ShapeGang {
		return onMachine
	}
	return map[string]bool{wholeGang: gangRoom(job, inZone, snapshot.tasksByZone[job]) >= needed}
}

// placeableTasks returns how many more tasks of a job may be placed on a machine, given how many
// of the job's tasks are in each zone.
func placeableTasks(free freeCapacity, job *groundTruth, tasksByZone map[string]int) int {
	count := free.tasksThatFit(job)
	if count == 0 {
		return 0
	}
	zone := free.machine.zone
	for other, tasks := range tasksByZone {
		if job.OneZone && tasks > 0 && other != zone {
			count = 0
		}
	}
	if job.SpreadZones {
		count = min(count, spreadLimit(job)-tasksByZone[zone])
	}
	return count
}

// gangRoom returns for how many tasks of a gang there is room, given the room in each zone and
// how many of the gang's tasks are there.
func gangRoom(job *groundTruth, roomByZone, tasksByZone map[string]int) int {
	sum, largest := 0, 0
	for zone, room := range roomByZone {
		if job.SpreadZones {
			room = min(room, spreadLimit(job)-tasksByZone[zone])
		}
		sum, largest = sum+room, max(largest, room)
	}
	if job.OneZone {
		return largest
	}
	return sum
}

// isServing reports whether a machine is up, without a fault, and has sent its last answered
// heartbeat no longer than two heartbeat intervals ago.
func (c *checker) isServing(m *machine) bool {
	now := c.world.now
	switch {
	case m.removed, m.upAt > now, m.faulty, m.preemptionAt != 0, now < m.hangUntil, now < m.outboundBlockedUntil:
		return false
	}
	return now-m.acknowledgedAt <= seconds(2*c.world.settings.Deployment.Workers.ReportS)
}
