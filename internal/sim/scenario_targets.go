package sim

import (
	"strings"

	"github.com/brookwalk/brookwalk/wire"
)

// busyTarget is the word in scenarios for the machine with the most tasks.
const busyTarget = "busy"

// controllersNamed returns the controllers that a target selects: a controller's name, "leader",
// "follower" or "all". Without a leader, "leader" is the first controller.
func (w *World) controllersNamed(target string) []*controller {
	leader := w.leader()
	switch target {
	case "all":
		return w.controllers
	case "leader":
		if leader == nil {
			return w.controllers[:1]
		}
		return []*controller{leader}
	case "follower":
		for _, c := range w.controllers {
			if c != leader {
				return []*controller{c}
			}
		}
	}
	for _, c := range w.controllers {
		if c.name == target {
			return []*controller{c}
		}
	}
	panic("scenario: no such controller: " + target)
}

// endpointName returns the endpoint or pattern of endpoints that a target selects.
func (w *World) endpointName(target string) string {
	switch target {
	case "leader", "follower":
		return w.controllersNamed(target)[0].name
	case busyTarget:
		if m := w.busiestMachine(); m != nil {
			return m.name
		}
	}
	return target
}

// busiestMachine returns the machine with the most tasks, of equal ones the first by name; nil if
// there is no machine.
func (w *World) busiestMachine() *machine {
	var busiest *machine
	mostTasks := -1
	for _, name := range w.cloud.machineNames() {
		m := w.cloud.machines[name]
		if tasks := m.taskCount(); !m.removed && tasks > mostTasks {
			busiest, mostTasks = m, tasks
		}
	}
	return busiest
}

// taskCount returns how many of the machine's tasks have not exited.
func (m *machine) taskCount() int {
	count := 0
	for _, t := range m.tasks {
		if t.state != wire.TaskExited {
			count++
		}
	}
	return count
}

func (w *World) machineNamed(target string) *machine {
	if target == busyTarget {
		return w.busiestMachine()
	}
	if m := w.cloud.machines[target]; m != nil {
		return m
	}
	panic("scenario: no such machine: " + target)
}

// defaultShare is the share of machines that "some" selects by default.
const defaultShare = 0.1

// selectMachines returns the machines that a line selects: one by its name, or a count or share
// of all machines that are up ("some") or that are up in a zone ("zone:" with its name). The
// default share is defaultShare for "some" and all machines for a zone.
func (w *World) selectMachines(line scenarioLine) []*machine {
	target := line.arg(0)
	zone, inZone := strings.CutPrefix(target, zonePattern)
	if target != "some" && !inZone {
		return []*machine{w.machineNamed(target)}
	}
	share := defaultShare
	if inZone {
		share = 1
	} else {
		zone = "" // all zones
	}
	machines := w.machinesUp(zone)
	count := int(line.number("share", share) * float64(len(machines)))
	if line.options["count"] != "" {
		count = min(len(machines), int(line.number("count", 0)))
	}
	return machines[:count]
}

// machinesUp returns the machines that are up in a zone, or in all zones if it is empty, in random
// order.
func (w *World) machinesUp(zone string) []*machine {
	var up []*machine
	for _, name := range w.cloud.machineNames() {
		m := w.cloud.machines[name]
		if !m.removed && m.upAt <= w.now && (zone == "" || m.zone == zone) {
			up = append(up, m)
		}
	}
	w.rng.Shuffle(len(up), func(a, b int) { up[a], up[b] = up[b], up[a] })
	return up
}
