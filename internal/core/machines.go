package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// getOrAddMachine returns the machine of the given name, and adds it if it is not known.
func (l *leader) getOrAddMachine(name string) *cluster.Machine {
	return l.GetOrAddMachine(name, l.core.now)
}

// dropMachine removes a machine and the evidence about its task failures.
func (l *leader) dropMachine(machine *cluster.Machine) {
	l.outliers.ForgetMachine(machine.Name)
	l.DropMachine(machine)
}

// describe sets a machine's address, type, zone and whether it is a spot machine. An empty address
// leaves the known one unchanged.
func (l *leader) describe(machine *cluster.Machine, address, typeName, zone string, spot bool) {
	if address != "" {
		machine.Address = address
	}
	machine.TypeName, machine.Zone, machine.Spot, machine.Described = typeName, zone, spot, true
}

// capacityOf returns the total capacity of a machine; false if its type is not known.
func (l *leader) capacityOf(machine *cluster.Machine) (topology.Resources, bool) {
	machineType := l.typeOf(machine)
	if machineType == nil || !machine.Described {
		return topology.Resources{}, false
	}
	return cluster.TypeCapacity(machineType), true
}

// typeOf returns the type of a machine as the cloud last described it; nil if it is not known. The
// lookup by name is cached until the cloud's next response.
func (l *leader) typeOf(machine *cluster.Machine) *wire.MachineType {
	if machine.MachineType == nil || machine.MachineType.Name != machine.TypeName || machine.MachineTypeGeneration != l.core.machineTypesGeneration {
		machine.MachineType, machine.MachineTypeGeneration = l.core.machineTypes[machine.TypeName], l.core.machineTypesGeneration
	}
	return machine.MachineType
}

// usable reports whether a machine accepts tasks: it is not leaving the fleet, commands reach it,
// it has been in contact recently, and its worker has reported this term's fencing token, which a
// delayed heartbeat of an earlier term cannot contain. A worker that answers probes but whose lease
// has expired is not usable either: its heartbeats reach no controller, so that tasks placed there
// would end when the next lease expires.
func (l *leader) usable(machine *cluster.Machine) bool {
	switch {
	case machine.FencingToken < l.leadership.FirstToken:
		return false
	case machine.DrainReason != "" || machine.Returning || machine.PreemptionAt != 0:
		return false
	case machine.LeaseExpired || machine.NewerIncarnationAt > machine.LastHeartbeat || machine.UnreachableSince != 0:
		return false
	}
	silence := l.core.now - max(machine.LastHeartbeat, machine.LastContact)
	return silence < 3*l.core.heartbeatInterval()+l.core.heartbeatInterval()/2
}
