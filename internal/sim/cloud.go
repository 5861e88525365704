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
	world         *World
	types         []wire.MachineType
	capacity      map[string]int // by type, zone, kind
	machines      map[string]*machine
	sortedCache   []string // of machines, see names
	byAddress     map[string]*machine
	rentals       map[string][]string
	rentedTotal   int
	outageUntil   time.Duration
	requestBudget *budget.Bucket
	failedBoots   bootFault // machines that never come up
	delayedBoots  bootFault // machines that come up late

	workerAddress  func(machine string) string // if not nil, gives a worker\'s address
	machineRemoved func(machine string)        // if not nil, is told of machines that are gone
}

// bootFault befalls machines that are rented while it lasts.
type bootFault struct {
	randomFault
	machineType, zone string  // only machines of these; all if empty
	factor            float64 // how many times as long a late machine takes
}

// affects tells by chance whether the trouble befalls a machine that is rented now.
func (b bootFault) affects(m *machine) bool {
	if b.machineType != "" && b.machineType != m.machineType || b.zone != "" && b.zone != m.zone {
		return false
	}
	return b.occurs(m.world)
}

func newCloud(world *World) *cloudService {
	return &cloudService{world: world, capacity: map[string]int{}, machines: map[string]*machine{}, byAddress: map[string]*machine{}, rentals: map[string][]string{},
		requestBudget: budget.New(world.settings.Deployment.Cloud.RPS, 2*world.settings.Deployment.Cloud.RPS)}
}

func offerKey(typ, zone string, spot bool) string { return fmt.Sprint(typ, "/", zone, "/", spot) }

// rentedMachines is how many machines of a type, or of all if it is empty, are rented now.
func (c *cloudService) rentedMachines(typ string) int {
	n := 0
	for _, m := range c.machines {
		if !m.removed && (typ == "" || typ == m.machineType) {
			n++
		}
	}
	return n
}

// machineNames lists all machines that were ever rented, by name. The list is shared:
// callers leave it as it is.
func (c *cloudService) machineNames() []string {
	if len(c.sortedCache) == len(c.machines) {
		return c.sortedCache
	}
	names := make([]string, 0, len(c.machines))
	for n := range c.machines {
		names = append(names, n)
	}
	sort.Strings(names)
	c.sortedCache = names
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
		c.world.after(100*time.Millisecond, func() { reply(status, b) })
	}
	if c.world.now < c.outageUntil {
		send(503, map[string]string{"error": "trouble"})
		return
	}
	if _, ok := c.requestBudget.ReserveAt(c.world.wallClock(), 1, 0); !ok {
		send(429, struct{}{})
		return
	}
	switch {
	case path == "/machine_types":
		send(200, wire.MachineTypes{Types: c.types})
	case path == "/machines/return":
		c.returnMachines(body)
		send(200, struct{}{})
	case method == "POST":
		var request wire.ProvisionRequest
		json.Unmarshal(body, &request)
		if request.Count > maxRentedAtOnce {
			c.world.checker.addViolation("limits", "a rental of %d machines", request.Count)
		}
		c.rentMachines(&request, send)
	case strings.HasPrefix(path, "/machines"):
		target, _ := url.Parse(path)
		send(200, c.listMachines(target.Query()))
	default:
		send(400, struct{}{})
	}
}

// returnMachines takes returned machines away.
func (c *cloudService) returnMachines(body []byte) {
	var r wire.MachineNames
	json.Unmarshal(body, &r)
	if len(r.Machines) > maxReturnedAtOnce {
		c.world.checker.addViolation("limits", "a return of %d machines", len(r.Machines))
	}
	for _, name := range r.Machines {
		c.removeMachine(name)
	}
}

// listMachines is a page of the machines as they were a while ago.
func (c *cloudService) listMachines(query url.Values) wire.MachineList {
	then := c.world.now - seconds(c.world.settings.Deployment.Cloud.ListLagS)
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit < 1 || limit > maxListed {
		c.world.checker.addViolation("limits", "a list of %d machines", limit)
	}
	list := wire.MachineList{Machines: []wire.Machine{}}
	for _, name := range c.machineNames() {
		if name <= query.Get("since") {
			continue
		}
		if len(list.Machines) >= limit {
			list.More = true
			break
		}
		machine := c.machines[name]
		if machine.rentedAt > then || machine.removed && machine.removedAt <= then {
			continue
		}
		status := wire.MachineBooting
		if machine.upAt <= then {
			status = wire.MachineRunning
		}
		list.Machines = append(list.Machines, wire.Machine{Name: name, Addr: machine.address, Type: machine.machineType, Zone: machine.zone, Spot: machine.spot,
			Status: status, AgeS: (then - machine.rentedAt).Seconds()})
	}
	return list
}

func (c *cloudService) rentMachines(request *wire.ProvisionRequest, send func(int, any)) {
	if names, ok := c.rentals[request.ID]; ok {
		send(200, wire.MachineNames{Machines: names})
		return
	}
	k := offerKey(request.Type, request.Zone, request.Spot)
	n := min(request.Count, c.capacity[k])
	if n == 0 {
		send(503, map[string]string{"error": "no capacity"})
		return
	}
	c.capacity[k] -= n
	var names []string
	for ; n > 0; n-- {
		m := c.addMachine(request.Type, request.Zone, request.Spot)
		m.boot()
		names = append(names, m.name)
	}
	c.rentals[request.ID] = names
	send(200, wire.MachineNames{Machines: names})
}

// addMachine adds a machine that is not up yet.
func (c *cloudService) addMachine(typ, zone string, spot bool) *machine {
	c.rentedTotal++
	m := newMachine(c.world, fmt.Sprintf("n-%06d", c.rentedTotal), typ, zone, spot)
	c.machines[m.name] = m
	c.byAddress[m.address] = m
	return m
}

// removeMachine takes a machine away, with all that is on it.
func (c *cloudService) removeMachine(name string) {
	machine := c.machines[name]
	if machine == nil || machine.removed {
		return
	}
	machine.removed, machine.removedAt = true, c.world.now
	c.capacity[offerKey(machine.machineType, machine.zone, machine.spot)]++
	for _, t := range machine.sortedTasks() {
		machine.terminate(t)
	}
	machine.clearTasks()
	if c.machineRemoved != nil {
		c.machineRemoved(name)
	}
}

func (c *cloudService) machineType(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}
