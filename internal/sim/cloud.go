package sim

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// cloud stands in for the cloud that rents machines.
type cloud struct {
	w        *World
	types    []wire.MachineType
	capacity map[string]int // by type, zone, kind
	machines map[string]*machine
	byAddr   map[string]*machine
	granted  map[string][]string
	next     int
	outage   time.Duration
	noBoot   time.Duration // until then new machines never come up
}

func newCloud(w *World) *cloud {
	return &cloud{w: w, capacity: map[string]int{}, machines: map[string]*machine{}, byAddr: map[string]*machine{}, granted: map[string][]string{}}
}

func offer(typ, zone string, spot bool) string { return fmt.Sprint(typ, "/", zone, "/", spot) }

func (c *cloud) names() []string {
	names := make([]string, 0, len(c.machines))
	for n := range c.machines {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (c *cloud) handle(method, path string, body []byte, reply func(int, []byte)) {
	send := func(status int, v any) {
		b, _ := json.Marshal(v)
		c.w.after(100*time.Millisecond, func() { reply(status, b) })
	}
	if c.w.now < c.outage {
		send(503, map[string]string{"error": "trouble"})
		return
	}
	switch {
	case path == "/machine_types":
		send(200, wire.MachineTypes{Types: c.types})
	case path == "/machines/return":
		var r wire.MachineNames
		json.Unmarshal(body, &r)
		for _, n := range r.Machines {
			c.remove(n)
		}
		send(200, struct{}{})
	case method == "POST":
		var r wire.RentRequest
		json.Unmarshal(body, &r)
		c.rent(&r, send)
	case strings.HasPrefix(path, "/machines"):
		lag := seconds(c.w.cfg.Deployment.Cloud.ListLagS)
		then := c.w.now - lag
		list := wire.MachineList{Machines: []wire.Machine{}}
		for _, n := range c.names() {
			m := c.machines[n]
			if m.rentedAt > then || m.gone && m.goneAt <= then {
				continue
			}
			status := wire.MachineBooting
			if m.upAt <= then {
				status = wire.MachineRunning
			}
			list.Machines = append(list.Machines, wire.Machine{Name: n, Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot,
				Status: status, AgeS: (then - m.rentedAt).Seconds()})
		}
		send(200, list)
	default:
		send(400, struct{}{})
	}
}

func (c *cloud) rent(r *wire.RentRequest, send func(int, any)) {
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
		c.next++
		name := fmt.Sprintf("n-%06d", c.next)
		m := newMachine(c.w, name, r.Type, r.Zone, r.Spot)
		c.machines[name] = m
		c.byAddr[m.addr] = m
		names = append(names, name)
	}
	c.granted[r.Request] = names
	send(200, wire.MachineNames{Machines: names})
}

// remove takes a machine away, with all that is on it.
func (c *cloud) remove(name string) {
	m := c.machines[name]
	if m == nil || m.gone {
		return
	}
	m.gone, m.goneAt = true, c.w.now
	c.capacity[offer(m.typ, m.zone, m.spot)]++
	for _, t := range m.sorted() {
		m.off(t)
	}
	m.tasks = map[string]*task{}
}

func (c *cloud) typ(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}
