package sim

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// placed is what the machines hold of jobs and teams.
type placed struct {
	free       []freeRoom         // of the machines that serve
	gpus, cpus map[string]float64 // by team
	on         map[*jobTruth]map[int]bool
	zones      map[*jobTruth]map[string]int
}

func (c *checker) placed() *placed {
	p := &placed{gpus: map[string]float64{}, cpus: map[string]float64{},
		on: map[*jobTruth]map[int]bool{}, zones: map[*jobTruth]map[string]int{}}
	for _, name := range c.w.cloud.names() {
		m := c.w.cloud.machines[name]
		if c.serves(m) {
			p.free = append(p.free, c.freeRoom(m))
		}
		for _, x := range m.tasks {
			if x.state == wire.TaskExited {
				continue
			}
			if p.on[x.job] == nil {
				p.on[x.job], p.zones[x.job] = map[int]bool{}, map[string]int{}
			}
			p.gpus[x.job.Team] += x.job.GPUs
			p.cpus[x.job.Team] += x.job.CPUs
			p.on[x.job][x.index] = true
			p.zones[x.job][m.zone]++
		}
	}
	return p
}

// waitingJob is a job that waits although there is room.
type waitingJob struct {
	missing map[int]bool             // tasks neither done nor on a machine
	since   map[string]time.Duration // by machine with room, or wholeGang
	from    time.Duration            // since when there is always room on one
	told    bool
}

// wholeGang stands for the room of a gang, which is not that of one machine.
const wholeGang = ""

const (
	// longestWait is how long a job may wait although there is room.
	longestWait = 90 * time.Second
	// steadyRoom is from when on room counts: others may take it again at once.
	steadyRoom = 6 * time.Second
)

// leftWaiting judges that no job waits for 90 s while there is room for it: for
// one more task on some machine, or for all that a gang lacks.
// A job of which a task has begun meanwhile isn't left, nor is one that awaits
// others or is to be cancelled with one of them.
func (c *checker) leftWaiting(u *userJob, p *placed) {
	t := c.w.jobs[u.id]
	missing := map[int]bool{}
	if !c.w.users.calledOff(u) && !t.fail && c.awaited(t) == "" {
		missing = p.missing(t)
	}
	if len(missing) == 0 {
		delete(c.waiting, u.id)
		return
	}
	waiting := c.waiting[u.id]
	if waiting == nil {
		waiting = &waitingJob{since: map[string]time.Duration{}}
		c.waiting[u.id] = waiting
	}
	waiting.noteMissing(missing)
	waiting.noteRoom(c.roomFor(t, len(missing), p), c.w.now)
	if waiting.from != 0 && c.w.now-waiting.from > longestWait && !waiting.told {
		waiting.told = true
		c.broken("left_waiting", "%s lacks %d tasks, room since %.0f s: %v", u.id, len(missing), waiting.from.Seconds(), waiting.since)
	}
}

// missing lists a job's tasks that are neither done nor on a machine.
func (p *placed) missing(t *jobTruth) map[int]bool {
	missing := map[int]bool{}
	for i := range t.Tasks {
		if !t.done[i] && !p.on[t][i] {
			missing[i] = true
		}
	}
	return missing
}

// noteMissing takes in which tasks are missing now. If one of those that were has
// begun, the job is not left.
func (j *waitingJob) noteMissing(missing map[int]bool) {
	for i := range j.missing {
		if !missing[i] {
			clear(j.since)
			j.from = 0
		}
	}
	j.missing = missing
}

// noteRoom takes in where there is room now.
func (j *waitingJob) noteRoom(room map[string]bool, now time.Duration) {
	for name := range j.since {
		if !room[name] {
			delete(j.since, name)
		}
	}
	for name, ok := range room {
		if ok && j.since[name] == 0 {
			j.since[name] = now
		}
	}
	steady := false
	for name, since := range j.since {
		steady = steady || name == wholeGang || now-since >= steadyRoom
	}
	if !steady {
		j.from = 0
	} else if j.from == 0 {
		j.from = now
	}
}

// roomFor tells which machines have room for a task of a job that lacks some, or
// whether there is room for all that a gang lacks.
func (c *checker) roomFor(t *jobTruth, missing int, p *placed) map[string]bool {
	need := 1
	if t.Shape == wire.ShapeGang {
		need = missing
	}
	k := float64(need)
	gpus, cpus := p.gpus[t.Team], p.cpus[t.Team]
	if c.w.heldElsewhere != nil {
		gpus += c.w.heldElsewhere(t.Team)
	}
	if c.beyondLimit(t.Team, gpus+k*t.GPUs, cpus+k*t.CPUs) {
		return nil
	}
	room, inZone := map[string]bool{}, map[string]int{}
	for i := range p.free {
		f := &p.free[i]
		if n := c.roomBeside(f, t, p.zones[t]); n > 0 {
			inZone[f.machine.zone] += n
			room[f.machine.name] = true
		}
	}
	if t.Shape != wire.ShapeGang {
		return room
	}
	return map[string]bool{wholeGang: gangRoom(t, inZone, p.zones[t]) >= need}
}

// roomBeside is how many tasks of a job a machine has room for, given how many of
// them each zone holds.
func (c *checker) roomBeside(f *freeRoom, t *jobTruth, zones map[string]int) int {
	m, n := f.machine, f.room(t)
	if n == 0 {
		return 0
	}
	for zone, on := range zones {
		if t.OneZone && on > 0 && zone != m.zone {
			n = 0
		}
	}
	if t.Spread {
		n = min(n, spreadLimit(t)-zones[m.zone])
	}
	return n
}

// gangRoom is how many tasks of a gang there is room for, given the room in each
// zone and how many of its tasks each zone holds.
func gangRoom(t *jobTruth, inZone, zones map[string]int) int {
	all, most := 0, 0
	for zone, n := range inZone {
		if t.Spread {
			n = min(n, spreadLimit(t)-zones[zone])
		}
		all, most = all+n, max(most, n)
	}
	if t.OneZone {
		return most
	}
	return all
}

// freeRoom is what is free on a machine that serves.
type freeRoom struct {
	machine         *machine
	cpus, gpus, mem float64
}

func (c *checker) freeRoom(m *machine) freeRoom {
	typ := c.w.cloud.typ(m.typ)
	f := freeRoom{m, typ.CPUs, typ.GPUs, typ.MemGB}
	for _, o := range m.sorted() {
		if o.state != wire.TaskExited {
			f.cpus, f.gpus, f.mem = f.cpus-o.job.CPUs, f.gpus-o.job.GPUs, f.mem-o.job.MemGB
		}
	}
	return f
}

// room is how many tasks of the job the machine has room for.
func (f *freeRoom) room(t *jobTruth) int {
	n := t.Tasks
	for _, r := range [][2]float64{{f.cpus, t.CPUs}, {f.gpus, t.GPUs}, {f.mem, t.MemGB}} {
		if r[1] > 0 {
			n = min(n, int((r[0]+amountTolerance)/r[1]))
		}
	}
	if n <= 0 || !t.eligible(f.machine) {
		return 0
	}
	return n
}

// serves tells whether a machine is up and well, and heard by the controllers.
func (c *checker) serves(m *machine) bool {
	now := c.w.now
	switch {
	case m.gone, m.upAt > now, m.faulty, m.warning != 0, now < m.hangUntil, now < m.muteUntil:
		return false
	}
	return now-m.answered <= seconds(2*c.w.cfg.Deployment.Workers.ReportS)
}
