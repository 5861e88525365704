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

// TestFleetSizeWarning checks that a warning is logged once when the fleet exceeds the
// controllers' connections, and once more when it does so again after it has been smaller.
func TestFleetSizeWarning(t *testing.T) {
	_, leader := newLeadingHarness(t, func(s *config.Settings) {
		s.Deployment.Size, s.Deployment.MachineLimits.MaxConnections = 3, 12 // 10 workers each
	})
	var logged bytes.Buffer
	leader.core.log = slog.New(slog.NewTextHandler(&logged, nil))
	var last *cluster.Machine
	for i := range 21 {
		leader.checkFleetSize()
		if logged.Len() > 0 {
			t.Fatalf("logged with %d machines, want no log line: %s", i, logged.String())
		}
		last = leader.getOrAddMachine(fmt.Sprintf("n-%06d", i))
	}
	leader.checkFleetSize()
	leader.checkFleetSize()
	if n := strings.Count(logged.String(), "machines=21 capacity_with_one_down=20"); n != 1 {
		t.Errorf("got %d warnings with 21 machines, want 1: %s", n, logged.String())
	}
	leader.dropMachine(last)
	leader.checkFleetSize()
	leader.getOrAddMachine(last.Name)
	leader.checkFleetSize()
	if n := strings.Count(logged.String(), "fleet has more machines"); n != 2 {
		t.Errorf("got %d warnings after the fleet has been smaller, want 2: %s", n, logged.String())
	}
}
