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

// describe notes what kind of machine one is; the address may be unknown.
func (l *leader) describe(m *cluster.Machine, addr, typ, zone string, spot bool) {
	if addr != "" {
		m.Address = addr
	}
	m.TypeName, m.Zone, m.Spot, m.Described = typ, zone, spot, true
}

// capacityOf is all that a machine offers, if that is known.
func (l *leader) capacityOf(m *cluster.Machine) (topology.Resources, bool) {
	t := l.typeOf(m)
	if t == nil || !m.Described {
		return topology.Resources{}, false
	}
	return cluster.TypeCapacity(t), true
}

// typeOf is the type of a machine as the cloud last described it; nil if that is not
// known. It is looked up by name once for each answer of the cloud.
func (l *leader) typeOf(m *cluster.Machine) *wire.MachineType {
	if m.MachineType == nil || m.MachineType.Name != m.TypeName || m.MachineTypeGeneration != l.core.machineTypesGeneration {
		m.MachineType, m.MachineTypeGeneration = l.core.machineTypes[m.TypeName], l.core.machineTypesGeneration
	}
	return m.MachineType
}

// usable tells whether a machine may take tasks. It must have shown that it
// hears this term: a late copy of a machine's report never does. One that is
// reached but loses its lease reports to nobody: whatever it is given ends with
// the next lease.
func (l *leader) usable(m *cluster.Machine) bool {
	return m.FencingToken >= l.leadership.Term && m.NewerIncarnationAt <= m.LastHeartbeat && m.DrainReason == "" && !m.Returning && !m.LeaseExpired && m.PreemptionAt == 0 &&
		l.core.now-max(m.LastHeartbeat, m.LastContact) < 3*l.core.heartbeatInterval()+l.core.heartbeatInterval()/2 && m.UnreachableSince == 0
}
