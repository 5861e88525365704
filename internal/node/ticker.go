package node

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

const (
	// ticksPerHeartbeat is the number of ticks in a worker's heartbeat interval.
	ticksPerHeartbeat = 20
	// idleCheckInterval is the least time between two checks for idle connections.
	idleCheckInterval = time.Second
)

// runTicker sends the core its ticks, and closes idle connections every idleCheckInterval.
func (n *Node) runTicker() {
	period := config.Seconds(n.cfg.Deployment.Workers.ReportS / ticksPerHeartbeat)
	lastIdleCheck := time.Now()
	for range time.Tick(period) {
		n.mu.Lock()
		n.step(core.Tick{}, nil)
		if now := time.Now(); now.Sub(lastIdleCheck) > idleCheckInterval {
			lastIdleCheck = now
			n.closeIdleConnections(now)
		}
		n.mu.Unlock()
	}
}
