package sim

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// fleetSnapshot is what the machines hold of jobs and teams.
type fleetSnapshot struct {
	free        []freeCapacity     // of the machines that serve
	gpus, cpus  map[string]float64 // by team
	placedTasks map[*groundTruth]map[int]bool
	tasksByZone map[*groundTruth]map[string]int
}

func (c *checker) snapshotFleet() *fleetSnapshot {
	snapshot := &fleetSnapshot{gpus: map[string]float64{}, cpus: map[string]float64{},
		placedTasks: map[*groundTruth]map[int]bool{}, tasksByZone: map[*groundTruth]map[string]int{}}
	for _, name := range c.world.cloud.machineNames() {
		machine := c.world.cloud.machines[name]
		if c.isServing(machine) {
			snapshot.free = append(snapshot.free, c.world.cloud.freeCapacityOf(machine))
		}
		for _, task := range machine.tasks {
			if task.state == wire.TaskExited {
				continue
			}
			if snapshot.placedTasks[task.job] == nil {
				snapshot.placedTasks[task.job], snapshot.tasksByZone[task.job] = map[int]bool{}, map[string]int{}
			}
			snapshot.gpus[task.job.Team] += task.job.GPUs
			snapshot.cpus[task.job.Team] += task.job.CPUs
			snapshot.placedTasks[task.job][task.index] = true
			snapshot.tasksByZone[task.job][machine.zone]++
		}
	}
	return snapshot
}

// waitingJob is a job that waits although there is room.
type waitingJob struct {
	missing         map[int]bool             // tasks neither done nor on a machine
	roomSince       map[string]time.Duration // by machine with room, or wholeGang
	steadyRoomSince time.Duration            // since when there is always room on one
	reported        bool
}

// wholeGang stands for the room of a gang, which is not that of one machine.
const wholeGang = ""

const (
	// starvationLimit is how long a job may wait although there is room.
	starvationLimit = 90 * time.Second
	// steadyRoomTime is from when on room counts: others may take it again at once.
	steadyRoomTime = 6 * time.Second
)

// checkStarvation judges that no job waits for 90 s while there is room for it: for
// one more task on some machine, or for all that a gang lacks.
// A job of which a task has begun meanwhile isn't left, nor is one that awaits
// others or is to be cancelled with one of them.
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
		c.addViolation("left_waiting", "%s lacks %d tasks, room since %.0f s: %v", job.id, len(missing), waiting.steadyRoomSince.Seconds(), waiting.roomSince)
	}
}

// missingTasks lists a job's tasks that are neither done nor on a machine.
func (s *fleetSnapshot) missingTasks(truth *groundTruth) map[int]bool {
	missing := map[int]bool{}
	for i := range truth.Tasks {
		if !truth.doneTasks[i] && !s.placedTasks[truth][i] {
			missing[i] = true
		}
	}
	return missing
}

// updateMissing takes in which tasks are missing now. If one of those that were has
// begun, the job is not left.
func (j *waitingJob) updateMissing(missing map[int]bool) {
	for i := range j.missing {
		if !missing[i] {
			clear(j.roomSince)
			j.steadyRoomSince = 0
		}
	}
	j.missing = missing
}

// updateRoom takes in where there is room now.
func (j *waitingJob) updateRoom(room map[string]bool, now time.Duration) {
	for name := range j.roomSince {
		if !room[name] {
			delete(j.roomSince, name)
		}
	}
	for name, ok := range room {
		if ok && j.roomSince[name] == 0 {
			j.roomSince[name] = now
		}
	}
	steady := false
	for name, since := range j.roomSince {
		steady = steady || name == wholeGang || now-since >= steadyRoomTime
	}
	if !steady {
		j.steadyRoomSince = 0
	} else if j.steadyRoomSince == 0 {
		j.steadyRoomSince = now
	}
}

// roomFor tells which machines have room for a task of a job that lacks some, or
// whether there is room for all that a gang lacks.
func (c *checker) roomFor(truth *groundTruth, missing int, snapshot *fleetSnapshot) map[string]bool {
	need := 1
	if truth.Shape == wire.ShapeGang {
		need = missing
	}
	k := float64(need)
	gpus, cpus := snapshot.gpus[truth.Team], snapshot.cpus[truth.Team]
	if c.world.reservedElsewhere != nil {
		gpus += c.world.reservedElsewhere(truth.Team)
	}
	if c.exceedsLimit(truth.Team, gpus+k*truth.GPUs, cpus+k*truth.CPUs) {
		return nil
	}
	room, inZone := map[string]bool{}, map[string]int{}
	for i := range snapshot.free {
		f := &snapshot.free[i]
		if n := c.roomBesideOthers(f, truth, snapshot.tasksByZone[truth]); n > 0 {
			inZone[f.machine.zone] += n
			room[f.machine.name] = true
		}
	}
	if truth.Shape != wire.ShapeGang {
		return room
	}
	return map[string]bool{wholeGang: gangRoom(truth, inZone, snapshot.tasksByZone[truth]) >= need}
}

// roomBesideOthers is how many tasks of a job a machine has room for, given how many of
// them each zone holds.
func (c *checker) roomBesideOthers(f *freeCapacity, truth *groundTruth, zones map[string]int) int {
	machine, n := f.machine, f.tasksThatFit(truth)
	if n == 0 {
		return 0
	}
	for zone, on := range zones {
		if truth.OneZone && on > 0 && zone != machine.zone {
			n = 0
		}
	}
	if truth.SpreadZones {
		n = min(n, spreadLimit(truth)-zones[machine.zone])
	}
	return n
}

// gangRoom is how many tasks of a gang there is room for, given the room in each
// zone and how many of its tasks each zone holds.
func gangRoom(truth *groundTruth, inZone, zones map[string]int) int {
	all, most := 0, 0
	for zone, n := range inZone {
		if truth.SpreadZones {
			n = min(n, spreadLimit(truth)-zones[zone])
		}
		all, most = all+n, max(most, n)
	}
	if truth.OneZone {
		return most
	}
	return all
}

// isServing tells whether a machine is up and well, and heard by the controllers.
func (c *checker) isServing(m *machine) bool {
	now := c.world.now
	switch {
	case m.removed, m.upAt > now, m.faulty, m.preemptionAt != 0, now < m.hangUntil, now < m.outboundBlockedUntil:
		return false
	}
	return now-m.acknowledgedAt <= seconds(2*c.world.settings.Deployment.Workers.ReportS)
}
