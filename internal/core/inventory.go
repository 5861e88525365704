package core

import (
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

const (
	listPeriod = 2 * time.Second // between two readings of the list, at least
	listLimit  = 500             // machines in a page
	listShare  = 4               // of the cloud's calls, one in so many may read the list
)

// listPause is the time between two readings of the list: the more pages it has, the
// longer, so that rentals and returns find room beside them.
func (l *leader) listPause() time.Duration {
	pages := (len(l.fleet.listSeen) + listLimit - 1) / listLimit
	return max(listPeriod, config.Seconds(float64(pages*listShare)/l.c.cfg.Deployment.Cloud.RPS))
}

// list reads the cloud's list, for machines that came or went unnoticed.
func (l *leader) list() {
	f := &l.fleet
	if f.listBusy || l.c.now < f.listNext {
		return
	}
	f.listBusy = true
	f.listSeen = map[string]bool{}
	l.listPage("")
}

// listPage reads the page of the list that follows a machine's name.
func (l *leader) listPage(after string) {
	f := &l.fleet
	path := "/machines?limit=" + strconv.Itoa(listLimit)
	if after != "" {
		path += "&since=" + after
	}
	l.c.call(Call{Dest: DestCloud, Method: "GET", Path: path, Timeout: cloudTimeout}, func(r Result) {
		if l.deposed {
			return
		}
		page, ok := parseList(r.Body)
		if r.Status != 200 || !ok {
			f.listBusy = false
			f.listNext = l.c.now + cloudRetry
			return
		}
		for i := range page.Machines {
			row := &page.Machines[i]
			after = row.Name
			f.listSeen[row.Name] = true
			l.noteListed(row)
		}
		if page.More && len(page.Machines) > 0 {
			l.listPage(after)
			return
		}
		f.listBusy = false
		f.listNext = l.c.now + l.listPause()
		l.returnUnlisted()
	})
}

// listLag is how old the cloud's list may be.
func (l *leader) listLag() time.Duration {
	return time.Duration(l.c.cfg.Deployment.Cloud.ListLagS * float64(time.Second))
}

// returnUnlisted returns machines that a whole reading of the list did not
// name. A machine stays listed until it is gone, but lists may be old. Its
// absence proves nothing, so the return makes it certain.
func (l *leader) returnUnlisted() {
	for _, m := range l.byName {
		if l.fleet.listSeen[m.name] {
			m.listedAt = l.c.now
			continue
		}
		// One that only the records know was there before this leader: an
		// earlier one may have returned it when it could not record the ends
		// of its tasks. Taken for cut off, it held up those for minutes.
		listed := m.listedAt
		if listed == 0 && m.heard == 0 && len(m.placed) > 0 {
			listed = l.loadedAt
		}
		if listed != 0 && l.c.now-listed > 3*l.listLag() && l.c.now-m.heard > 3*l.c.report() && !m.returning {
			l.returnMachine(m, drainUnlisted)
		}
	}
}

// noteListed takes in a machine that the cloud lists.
func (l *leader) noteListed(row *wire.Machine) {
	if at, ok := l.returned[row.Name]; ok {
		// Listed long after its return was confirmed: return it again.
		if l.c.now-at > 4*l.listLag() {
			l.returned[row.Name] = l.c.now
			l.fleet.returns[row.Name] = true
		}
		return
	}
	m := l.machines[row.Name]
	isNew := m == nil
	if isNew {
		m = l.machine(row.Name)
		l.c.log.Info("machine listed", "machine", row.Name, "type", row.Type, "zone", row.Zone, "status", row.Status)
	}
	// A machine known from records or reports counted from when this leader learned
	// of it, and was kept for the least time that is charged once more. One known
	// from records that has not reported yet would pass for one that boots for too
	// long, and its room would be rented a second time.
	if isNew || m.heard != 0 {
		m.createdAt = min(m.createdAt, l.c.now-time.Duration(row.AgeS*float64(time.Second)))
	}
	if !m.known {
		l.describe(m, row.Addr, row.Type, row.Zone, row.Spot)
	} else if m.addr == "" {
		m.addr = row.Addr
	}
	m.listedAs = row.Status
}

// parseList decodes a page of the cloud's list.
func parseList(body []byte) (*wire.MachineList, bool) {
	var p wire.MachineList
	if json.Unmarshal(body, &p) != nil {
		return nil, false
	}
	return &p, true
}
