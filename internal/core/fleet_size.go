package core

// failoverWorkerCapacity is how many workers the controllers serve while one of them is down.
func (c *Core) failoverWorkerCapacity() int {
	deployment := &c.settings.Deployment
	return deployment.MaxWorkers(deployment.Size - 1)
}

// checkFleetSize warns, once each time, when the fleet outgrows the sockets that the controllers
// have while one of them is down: the leases of the workers beyond them would expire.
func (l *leader) checkFleetSize() {
	machines, capacity := len(l.MachinesByName), l.core.failoverWorkerCapacity()
	outgrown := machines > capacity
	if outgrown && !l.fleetExceedsControllers {
		deployment := &l.core.settings.Deployment
		l.core.log.Warn("fleet outgrows the controllers' sockets", "machines", machines, "capacity_with_one_down", capacity,
			"max_connections", deployment.MachineLimits.MaxConnections, "controllers", deployment.Size)
	}
	l.fleetExceedsControllers = outgrown
}
