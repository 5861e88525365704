package core

// carriedAlways is how many workers can report while one controller is away.
func (c *Core) carriedAlways() int {
	d := &c.cfg.Deployment
	return d.WorkersCarried(d.Size - 1)
}

// checkFleetSize warns, once for each time, when the fleet outgrows the sockets that the
// controllers have while one of them is away: workers beyond them would lose their leases.
func (l *leader) checkFleetSize() {
	outgrown := len(l.byName) > l.c.carriedAlways()
	if outgrown && !l.outgrown {
		l.c.log.Warn("fleet outgrows the controllers' sockets", "machines", len(l.byName), "carried_with_one_away", l.c.carriedAlways(),
			"max_connections", l.c.cfg.Deployment.Limits.MaxConnections, "controllers", l.c.cfg.Deployment.Size)
	}
	l.outgrown = outgrown
}
