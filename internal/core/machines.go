package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// machineNamed finds a machine; one that is not known is added.
func (l *leader) machineNamed(name string) *cluster.Machine {
	return l.GetOrAddMachine(name, l.core.now)
}

// dropMachine forgets a machine.
func (l *leader) dropMachine(machine *cluster.Machine) {
	l.outliers.ForgetMachine(machine.Name)
	l.DropMachine(machine)
}

// describe sets what kind of machine one is. An empty address leaves the one that is known.
func (l *leader) describe(machine *cluster.Machine, address, typeName, zone string, spot bool) {
	if address != "" {
		machine.Address = address
	}
	machine.TypeName, machine.Zone, machine.Spot, machine.Described = typeName, zone, spot, true
}

// capacityOf is all that a machine offers; false if its type is not known.
func (l *leader) capacityOf(machine *cluster.Machine) (topology.Resources, bool) {
	machineType := l.typeOf(machine)
	if machineType == nil || !machine.Described {
		return topology.Resources{}, false
	}
	return cluster.TypeCapacity(machineType), true
}

// typeOf is the type of a machine as the cloud last described it; nil if that is not known. It
// is looked up by name once for each answer of the cloud.
func (l *leader) typeOf(machine *cluster.Machine) *wire.MachineType {
	if machine.MachineType == nil || machine.MachineType.Name != machine.TypeName || machine.MachineTypeGeneration != l.core.machineTypesGeneration {
		machine.MachineType, machine.MachineTypeGeneration = l.core.machineTypes[machine.TypeName], l.core.machineTypesGeneration
	}
	return machine.MachineType
}

// usable reports whether a machine may take tasks. Its worker must have heard of this term: a
// late copy of a heartbeat never shows that. A worker that answers but whose lease expired
// reaches no controller with its heartbeats: whatever it is given ends with the next lease.
func (l *leader) usable(machine *cluster.Machine) bool {
	switch {
	case machine.FencingToken < l.leadership.Term:
		return false
	case machine.DrainReason != "" || machine.Returning || machine.PreemptionAt != 0:
		return false
	case machine.LeaseExpired || machine.NewerIncarnationAt > machine.LastHeartbeat || machine.UnreachableSince != 0:
		return false
	}
	silence := l.core.now - max(machine.LastHeartbeat, machine.LastContact)
	return silence < 3*l.core.heartbeatInterval()+l.core.heartbeatInterval()/2
}
