package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

const (
	minListInterval  = 2 * time.Second // between two reads of the machine list
	callsPerListCall = 4               // at most one in callsPerListCall calls to the cloud reads the list
)

// inventory is the state of reading the cloud's machine list. The list reveals machines that the
// leader does not know of and, by their absence, machines that no longer exist. Only this file
// changes this state.
type inventory struct {
	listInFlight   bool
	nextListAt     time.Duration
	listedMachines map[string]bool // listed by the read in progress or the last one
}

// listInterval returns the time between two reads of the machine list. It grows with the number of
// pages, to leave enough of the cloud's rate limit for provisioning and returns.
func (l *leader) listInterval() time.Duration {
	pages := (len(l.fleet.listedMachines) + cloudapi.ListPageSize - 1) / cloudapi.ListPageSize
	return max(minListInterval, config.Seconds(float64(pages*callsPerListCall)/l.core.settings.Deployment.Cloud.RPS))
}

// listLag returns the maximum age of the cloud's machine list.
func (l *leader) listLag() time.Duration {
	return time.Duration(l.core.settings.Deployment.Cloud.ListLagS * float64(time.Second))
}

// startListing starts to read the machine list if it is due.
func (l *leader) startListing() {
	if l.fleet.listInFlight || l.core.now < l.fleet.nextListAt {
		return
	}
	l.fleet.listInFlight = true
	l.fleet.listedMachines = map[string]bool{}
	l.listPage("")
}

// listPage reads the page of the machine list that starts after the given machine name.
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

// recordListPage records the machines of a page, and reads the next page if there is one.
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

// returnUnlisted returns the machines that are missing from a complete read of the list, unless the
// list's lag may be the reason.
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

// recordListed records a machine from the cloud's list.
func (l *leader) recordListed(listed *wire.Machine) {
	if returnedAt, ok := l.returnedMachines[listed.Name]; ok {
		l.returnAgain(listed.Name, returnedAt)
		return
	}
	machine, known := l.Machines[listed.Name]
	if !known {
		machine = l.getOrAddMachine(listed.Name)
		l.core.log.Info("unknown machine found in the cloud's list", "machine", listed.Name, "type", listed.Type, "zone", listed.Zone, "status", listed.Status)
	}
	// The leader first takes a machine known from records or heartbeats to be as old as its own
	// knowledge of it. If the listed age did not correct that, the machine would be kept for the
	// minimum billed time once more. A machine known from records that has sent no heartbeat yet
	// is not corrected: by its listed age it would be late in booting, and a second machine would
	// be provisioned for its tasks.
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

// returnAgain returns a machine once more if it is still listed more than four list lags after its
// return was confirmed.
func (l *leader) returnAgain(name string, returnedAt time.Duration) {
	if l.core.now-returnedAt > 4*l.listLag() {
		l.returnedMachines[name] = l.core.now
		l.fleet.pendingReturns[name] = true
	}
}
