package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

const (
	minListInterval = 2 * time.Second // between two readings of the machine list
	listCallShare   = 4               // at most one in so many calls to the cloud reads the list
)

// inventory is the state of reading the cloud's machine list, which shows machines that came or
// went unnoticed. This file changes it.
type inventory struct {
	listInFlight   bool
	nextListAt     time.Duration
	listedMachines map[string]bool // by the present or the last reading
}

// listInterval is the time between two readings of the list: the more pages it has, the longer, to
// leave calls for provisioning and returns.
func (l *leader) listInterval() time.Duration {
	pages := (len(l.fleet.listedMachines) + cloudapi.ListPageSize - 1) / cloudapi.ListPageSize
	return max(minListInterval, config.Seconds(float64(pages*listCallShare)/l.core.settings.Deployment.Cloud.RPS))
}

// listLag is how old the list may be.
func (l *leader) listLag() time.Duration {
	return time.Duration(l.core.settings.Deployment.Cloud.ListLagS * float64(time.Second))
}

// startListing begins to read the list when it is due.
func (l *leader) startListing() {
	if l.fleet.listInFlight || l.core.now < l.fleet.nextListAt {
		return
	}
	l.fleet.listInFlight = true
	l.fleet.listedMachines = map[string]bool{}
	l.listPage("")
}

// listPage reads the page of the list that begins after a machine's name.
func (l *leader) listPage(after string) {
	l.core.cloud.ListMachines(after, func(result cloudapi.ListResult) {
		switch {
		case l.steppedDown:
		case result.Status == cloudapi.Done:
			l.recordListPage(&result.Page)
		default:
			l.fleet.listInFlight = false
			l.fleet.nextListAt = l.core.now + cloudRetryDelay
		}
	})
}

// recordListPage records the machines of a page, and reads the next one if there is one.
func (l *leader) recordListPage(page *wire.MachineList) {
	for i := range page.Machines {
		listed := &page.Machines[i]
		l.fleet.listedMachines[listed.Name] = true
		l.recordListed(listed)
	}
	if count := len(page.Machines); page.More && count > 0 {
		l.listPage(page.Machines[count-1].Name)
		return
	}
	l.fleet.listInFlight = false
	l.fleet.nextListAt = l.core.now + l.listInterval()
	l.returnUnlisted()
}

// returnUnlisted returns machines that a whole reading of the list did not show, if that is not
// due to its lag.
func (l *leader) returnUnlisted() {
	policy := l.scaleInPolicy()
	for _, machine := range l.MachinesByName {
		if l.fleet.listedMachines[machine.Name] {
			machine.ListedAt = l.core.now
			continue
		}
		if policy.UnlistedTooLong(machine) {
			l.returnMachine(machine, cluster.DrainUnlisted)
		}
	}
}

// recordListed records a machine that the cloud lists.
func (l *leader) recordListed(listed *wire.Machine) {
	if returnedAt, ok := l.returnedMachines[listed.Name]; ok {
		l.returnAgain(listed.Name, returnedAt)
		return
	}
	machine, known := l.Machines[listed.Name]
	if !known {
		machine = l.machineNamed(listed.Name)
		l.core.log.Info("machine listed", "machine", listed.Name, "type", listed.Type, "zone", listed.Zone, "status", listed.Status)
	}
	// Without its listed age, a machine that is known from records or heartbeats was as old as
	// this leader's knowledge of it, and was kept for the least billed time once more. One that
	// is known from records and has not sent a heartbeat yet keeps that age: by the listed one it
	// would count as late in booting, and a second machine would be provisioned for its work.
	if !known || machine.LastHeartbeat != 0 {
		machine.CreatedAt = min(machine.CreatedAt, l.core.now-config.Seconds(listed.AgeS))
	}
	if !machine.Described {
		l.describe(machine, listed.Addr, listed.Type, listed.Zone, listed.Spot)
	} else if machine.Address == "" {
		machine.Address = listed.Addr
	}
	machine.ListedAs = listed.Status
}

// returnAgain returns a machine once more if it is still listed long after its return was
// confirmed.
func (l *leader) returnAgain(name string, returnedAt time.Duration) {
	if l.core.now-returnedAt > 4*l.listLag() {
		l.returnedMachines[name] = l.core.now
		l.fleet.pendingReturns[name] = true
	}
}
