package core

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// TestFleetOutgrowsSockets lets a fleet outgrow the sockets of the controllers: that is logged once,
// and again once the fleet has been smaller.
func TestFleetOutgrowsSockets(t *testing.T) {
	_, leader := newLeadingHarness(t, func(s *config.Settings) {
		s.Deployment.Size, s.Deployment.MachineLimits.MaxConnections = 3, 12 // 10 workers each
	})
	var logged bytes.Buffer
	leader.core.log = slog.New(slog.NewTextHandler(&logged, nil))
	var last *cluster.Machine
	for i := range 21 {
		leader.checkFleetSize()
		if logged.Len() > 0 {
			t.Fatalf("logged with %d machines: %s", i, logged.String())
		}
		last = leader.machineNamed(fmt.Sprintf("n-%06d", i))
	}
	leader.checkFleetSize()
	leader.checkFleetSize()
	if n := strings.Count(logged.String(), "machines=21 capacity_with_one_down=20"); n != 1 {
		t.Errorf("%d lines: %s", n, logged.String())
	}
	leader.dropMachine(last)
	leader.checkFleetSize()
	leader.machineNamed(last.Name)
	leader.checkFleetSize()
	if n := strings.Count(logged.String(), "outgrows"); n != 2 {
		t.Errorf("%d lines after the fleet has been smaller: %s", n, logged.String())
	}
}
