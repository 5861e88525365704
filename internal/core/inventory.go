package core

import (
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

const (
	listPeriod    = 2 * time.Second // between two readings of the list, at least
	listPageSize  = 500             // machines in a page
	listCallShare = 4               // of the cloud's calls, one in so many may read the list
)

// listInterval is the time between two readings of the list: the more pages it has, the
// longer, so that rentals and returns find room beside them.
func (l *leader) listInterval() time.Duration {
	pages := (len(l.fleet.listedMachines) + listPageSize - 1) / listPageSize
	return max(listPeriod, config.Seconds(float64(pages*listCallShare)/l.core.settings.Deployment.Cloud.RPS))
}

// startListing reads the cloud's list, for machines that came or went unnoticed.
func (l *leader) startListing() {
	f := &l.fleet
	if f.listInFlight || l.core.now < f.nextListAt {
		return
	}
	f.listInFlight = true
	f.listedMachines = map[string]bool{}
	l.listPage("")
}

// listPage reads the page of the list that follows a machine's name.
func (l *leader) listPage(after string) {
	f := &l.fleet
	path := "/machines?limit=" + strconv.Itoa(listPageSize)
	if after != "" {
		path += "&since=" + after
	}
	l.core.call(Call{Destination: DestinationCloud, Method: "GET", Path: path, Timeout: cloudTimeout}, func(r Result) {
		if l.steppedDown {
			return
		}
		page, ok := parseMachineList(r.Body)
		if r.Status != 200 || !ok {
			f.listInFlight = false
			f.nextListAt = l.core.now + cloudRetryDelay
			return
		}
		for i := range page.Machines {
			row := &page.Machines[i]
			after = row.Name
			f.listedMachines[row.Name] = true
			l.recordListed(row)
		}
		if page.More && len(page.Machines) > 0 {
			l.listPage(after)
			return
		}
		f.listInFlight = false
		f.nextListAt = l.core.now + l.listInterval()
		l.returnUnlisted()
	})
}

// listLag is how old the cloud's list may be.
func (l *leader) listLag() time.Duration {
	return time.Duration(l.core.settings.Deployment.Cloud.ListLagS * float64(time.Second))
}

// returnUnlisted returns machines that a whole reading of the list did not
// name. A machine stays listed until it is gone, but lists may be old. Its
// absence proves nothing, so the return makes it certain.
func (l *leader) returnUnlisted() {
	for _, m := range l.MachinesByName {
		if l.fleet.listedMachines[m.Name] {
			m.ListedAt = l.core.now
			continue
		}
		// One that only the records know was there before this leader: an
		// earlier one may have returned it when it could not record the ends
		// of its tasks. Taken for cut off, it held up those for minutes.
		listed := m.ListedAt
		if listed == 0 && m.LastHeartbeat == 0 && len(m.Placements) > 0 {
			listed = l.recordsLoadedAt
		}
		if listed != 0 && l.core.now-listed > 3*l.listLag() && l.core.now-m.LastHeartbeat > 3*l.core.heartbeatInterval() && !m.Returning {
			l.returnMachine(m, cluster.DrainUnlisted)
		}
	}
}

// recordListed takes in a machine that the cloud lists.
func (l *leader) recordListed(row *wire.Machine) {
	if at, ok := l.returnedMachines[row.Name]; ok {
		// Listed long after its return was confirmed: return it again.
		if l.core.now-at > 4*l.listLag() {
			l.returnedMachines[row.Name] = l.core.now
			l.fleet.pendingReturns[row.Name] = true
		}
		return
	}
	m := l.Machines[row.Name]
	isNew := m == nil
	if isNew {
		m = l.machineNamed(row.Name)
		l.core.log.Info("machine listed", "machine", row.Name, "type", row.Type, "zone", row.Zone, "status", row.Status)
	}
	// A machine known from records or reports counted from when this leader learned
	// of it, and was kept for the least time that is charged once more. One known
	// from records that has not reported yet would pass for one that boots for too
	// long, and its room would be rented a second time.
	if isNew || m.LastHeartbeat != 0 {
		m.CreatedAt = min(m.CreatedAt, l.core.now-time.Duration(row.AgeS*float64(time.Second)))
	}
	if !m.Described {
		l.describe(m, row.Addr, row.Type, row.Zone, row.Spot)
	} else if m.Address == "" {
		m.Address = row.Addr
	}
	m.ListedAs = row.Status
}

// parseMachineList decodes a page of the cloud's list.
func parseMachineList(body []byte) (*wire.MachineList, bool) {
	var list wire.MachineList
	if json.Unmarshal(body, &list) != nil {
		return nil, false
	}
	return &list, true
}
