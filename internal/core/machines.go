package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// machineNamed finds a machine; one that is not known is added.
func (l *leader) machineNamed(name string) *cluster.Machine { return l.MachineNamed(name, l.core.now) }

// dropMachine forgets a machine.
func (l *leader) dropMachine(m *cluster.Machine) {
	l.outliers.ForgetMachine(m.Name)
	l.DropMachine(m)
}

// describe sets what kind of machine one is. An empty address leaves the one that is known.
func (l *leader) describe(m *cluster.Machine, address, typeName, zone string, spot bool) {
	if address != "" {
		m.Address = address
	}
	m.TypeName, m.Zone, m.Spot, m.Described = typeName, zone, spot, true
}

// capacityOf is all that a machine offers; false if its type is not known.
func (l *leader) capacityOf(m *cluster.Machine) (topology.Resources, bool) {
	t := l.typeOf(m)
	if t == nil || !m.Described {
		return topology.Resources{}, false
	}
	return cluster.TypeCapacity(t), true
}

// typeOf is the type of a machine as the cloud last described it; nil if that is not known. It
// is looked up by name once for each answer of the cloud.
func (l *leader) typeOf(m *cluster.Machine) *wire.MachineType {
	if m.MachineType == nil || m.MachineType.Name != m.TypeName || m.MachineTypeGeneration != l.core.machineTypesGeneration {
		m.MachineType, m.MachineTypeGeneration = l.core.machineTypes[m.TypeName], l.core.machineTypesGeneration
	}
	return m.MachineType
}

// usable reports whether a machine may take tasks. Its worker must have heard of this term: a
// late copy of a heartbeat never shows that. A worker that answers but whose lease expired
// reaches no controller with its heartbeats: whatever it is given ends with the next lease.
func (l *leader) usable(m *cluster.Machine) bool {
	switch {
	case m.FencingToken < l.leadership.Term:
		return false
	case m.DrainReason != "" || m.Returning || m.PreemptionAt != 0:
		return false
	case m.LeaseExpired || m.NewerIncarnationAt > m.LastHeartbeat || m.UnreachableSince != 0:
		return false
	}
	silence := l.core.now - max(m.LastHeartbeat, m.LastContact)
	return silence < 3*l.core.heartbeatInterval()+l.core.heartbeatInterval()/2
}
