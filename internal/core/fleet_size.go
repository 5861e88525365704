package core

// failoverWorkerCapacity is how many workers can report while one controller is away.
func (c *Core) failoverWorkerCapacity() int {
	d := &c.settings.Deployment
	return d.MaxWorkers(d.Size - 1)
}

// checkFleetSize warns, once for each time, when the fleet outgrows the sockets that the
// controllers have while one of them is away: workers beyond them would lose their leases.
func (l *leader) checkFleetSize() {
	outgrown := len(l.MachinesByName) > l.core.failoverWorkerCapacity()
	if outgrown && !l.controllersOutgrown {
		l.core.log.Warn("fleet outgrows the controllers' sockets", "machines", len(l.MachinesByName), "carried_with_one_away", l.core.failoverWorkerCapacity(),
			"max_connections", l.core.settings.Deployment.MachineLimits.MaxConnections, "controllers", l.core.settings.Deployment.Size)
	}
	l.controllersOutgrown = outgrown
}
