package core

// failoverWorkerCapacity returns how many workers the controllers can serve while one of them is
// down.
func (c *Core) failoverWorkerCapacity() int {
	deployment := &c.settings.Deployment
	return deployment.MaxWorkers(deployment.Size - 1)
}

// checkFleetSize logs a warning when the fleet grows beyond the number of workers that the
// controllers have connections for while one of them is down: the leases of the workers without a
// connection would expire. It warns again only after the fleet has been smaller.
func (l *leader) checkFleetSize() {
	machines, capacity := len(l.MachinesByName), l.core.failoverWorkerCapacity()
	outgrown := machines > capacity
	if outgrown && !l.fleetExceedsControllers {
		deployment := &l.core.settings.Deployment
		l.core.log.Warn("fleet has more machines than the controllers can serve with one of them down", "machines", machines, "capacity_with_one_down", capacity,
			"max_connections", deployment.MachineLimits.MaxConnections, "controllers", deployment.Size)
	}
	l.fleetExceedsControllers = outgrown
}
