package sim

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/wire"
)

// cloudService stands in for the cloud that rents machines.
type cloudService struct {
	w           *World
	types       []wire.MachineType
	capacity    map[string]int // by type, zone, kind
	machines    map[string]*machine
	sortedNames []string // of machines, see names
	byAddr      map[string]*machine
	granted     map[string][]string
	next        int
	outage      time.Duration
	reqs        *budget.Bucket
	noBoot      bootTrouble // machines that never come up
	lateBoot    bootTrouble // machines that come up late

	workerAddr  func(machine string) string // if not nil, gives a worker\'s address
	machineGone func(machine string)        // if not nil, is told of machines that are gone
}

// bootTrouble befalls machines that are rented while it lasts.
type bootTrouble struct {
	late
	typ, zone string  // only machines of these; all if empty
	factor    float64 // how many times as long a late machine takes
}

// befalls tells by chance whether the trouble befalls a machine that is rented now.
func (b bootTrouble) befalls(m *machine) bool {
	if b.typ != "" && b.typ != m.typ || b.zone != "" && b.zone != m.zone {
		return false
	}
	return b.strikes(m.w)
}

func newCloud(w *World) *cloudService {
	return &cloudService{w: w, capacity: map[string]int{}, machines: map[string]*machine{}, byAddr: map[string]*machine{}, granted: map[string][]string{},
		reqs: budget.New(w.cfg.Deployment.Cloud.RPS, 2*w.cfg.Deployment.Cloud.RPS)}
}

func offer(typ, zone string, spot bool) string { return fmt.Sprint(typ, "/", zone, "/", spot) }

// rented is how many machines of a type, or of all if it is empty, are rented now.
func (c *cloudService) rented(typ string) int {
	n := 0
	for _, m := range c.machines {
		if !m.gone && (typ == "" || typ == m.typ) {
			n++
		}
	}
	return n
}

// names lists all machines that were ever rented, by name. The list is shared:
// callers leave it as it is.
func (c *cloudService) names() []string {
	if len(c.sortedNames) == len(c.machines) {
		return c.sortedNames
	}
	names := make([]string, 0, len(c.machines))
	for n := range c.machines {
		names = append(names, n)
	}
	sort.Strings(names)
	c.sortedNames = names
	return names
}

// The most machines that a rental, a return or a page of the list may name.
const (
	maxRentedAtOnce   = 50
	maxReturnedAtOnce = 100
	maxListed         = 500
)

// handle serves a request of a controller.
func (c *cloudService) handle(method, path string, body []byte, reply func(int, []byte)) {
	send := func(status int, v any) {
		b, _ := json.Marshal(v)
		c.w.after(100*time.Millisecond, func() { reply(status, b) })
	}
	if c.w.now < c.outage {
		send(503, map[string]string{"error": "trouble"})
		return
	}
	if _, ok := c.reqs.TakeAt(c.w.clock(), 1, false, 0); !ok {
		send(429, struct{}{})
		return
	}
	switch {
	case path == "/machine_types":
		send(200, wire.MachineTypes{Types: c.types})
	case path == "/machines/return":
		c.takeBack(body)
		send(200, struct{}{})
	case method == "POST":
		var r wire.RentRequest
		json.Unmarshal(body, &r)
		if r.Count > maxRentedAtOnce {
			c.w.check.broken("limits", "a rental of %d machines", r.Count)
		}
		c.rent(&r, send)
	case strings.HasPrefix(path, "/machines"):
		u, _ := url.Parse(path)
		send(200, c.list(u.Query()))
	default:
		send(400, struct{}{})
	}
}

// takeBack takes returned machines away.
func (c *cloudService) takeBack(body []byte) {
	var r wire.MachineNames
	json.Unmarshal(body, &r)
	if len(r.Machines) > maxReturnedAtOnce {
		c.w.check.broken("limits", "a return of %d machines", len(r.Machines))
	}
	for _, name := range r.Machines {
		c.remove(name)
	}
}

// list is a page of the machines as they were a while ago.
func (c *cloudService) list(q url.Values) wire.MachineList {
	then := c.w.now - seconds(c.w.cfg.Deployment.Cloud.ListLagS)
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit < 1 || limit > maxListed {
		c.w.check.broken("limits", "a list of %d machines", limit)
	}
	list := wire.MachineList{Machines: []wire.Machine{}}
	for _, name := range c.names() {
		if name <= q.Get("since") {
			continue
		}
		if len(list.Machines) >= limit {
			list.More = true
			break
		}
		m := c.machines[name]
		if m.rentedAt > then || m.gone && m.goneAt <= then {
			continue
		}
		status := wire.MachineBooting
		if m.upAt <= then {
			status = wire.MachineRunning
		}
		list.Machines = append(list.Machines, wire.Machine{Name: name, Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot,
			Status: status, AgeS: (then - m.rentedAt).Seconds()})
	}
	return list
}

func (c *cloudService) rent(r *wire.RentRequest, send func(int, any)) {
	if names, ok := c.granted[r.Request]; ok {
		send(200, wire.MachineNames{Machines: names})
		return
	}
	k := offer(r.Type, r.Zone, r.Spot)
	n := min(r.Count, c.capacity[k])
	if n == 0 {
		send(503, map[string]string{"error": "no capacity"})
		return
	}
	c.capacity[k] -= n
	var names []string
	for ; n > 0; n-- {
		m := c.add(r.Type, r.Zone, r.Spot)
		m.boot()
		names = append(names, m.name)
	}
	c.granted[r.Request] = names
	send(200, wire.MachineNames{Machines: names})
}

// add adds a machine that is not up yet.
func (c *cloudService) add(typ, zone string, spot bool) *machine {
	c.next++
	m := newMachine(c.w, fmt.Sprintf("n-%06d", c.next), typ, zone, spot)
	c.machines[m.name] = m
	c.byAddr[m.addr] = m
	return m
}

// remove takes a machine away, with all that is on it.
func (c *cloudService) remove(name string) {
	m := c.machines[name]
	if m == nil || m.gone {
		return
	}
	m.gone, m.goneAt = true, c.w.now
	c.capacity[offer(m.typ, m.zone, m.spot)]++
	for _, t := range m.sorted() {
		m.off(t)
	}
	m.clear()
	if c.machineGone != nil {
		c.machineGone(name)
	}
}

func (c *cloudService) typ(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}
