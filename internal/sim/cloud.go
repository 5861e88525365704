package sim

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/wire"
)

// cloudService simulates the cloud that rents out machines.
type cloudService struct {
	world         *World
	types         []wire.MachineType
	capacity      map[offer]int // machines that can still be rented
	machines      map[string]*machine
	sortedCache   []string // see machineNames
	byAddress     map[string]*machine
	rentals       map[string][]string // names of machines by the ID of the request that rented them
	rentedTotal   int                 // machines that were ever rented or added
	requestBudget *budget.Bucket

	outageUntil  time.Duration
	failedBoots  bootFault // machines that never boot
	delayedBoots bootFault // machines that boot late

	workerAddress  func(machine string) string // if not nil, chooses a worker's address
	machineRemoved func(machine string)        // if not nil, is called with each machine that is removed
}

// offer is a kind of machine that the cloud rents out.
type offer struct {
	machineType, zone string
	spot              bool
}

// bootFault is a fault that affects machines rented while it lasts.
type bootFault struct {
	randomFault
	machineType, zone string  // restrict the fault to a type and a zone; all if empty
	factor            float64 // how many times as long a delayed machine takes to boot
}

// affects reports, at random, whether the fault affects a machine that is rented now.
func (f bootFault) affects(m *machine) bool {
	if f.machineType != "" && f.machineType != m.machineType || f.zone != "" && f.zone != m.zone {
		return false
	}
	return f.occurs(m.world)
}

func newCloud(world *World) *cloudService {
	rate := world.settings.Deployment.Cloud.RPS
	return &cloudService{
		world: world, capacity: map[offer]int{}, machines: map[string]*machine{},
		byAddress: map[string]*machine{}, rentals: map[string][]string{}, requestBudget: budget.New(rate, 2*rate),
	}
}

// rentedMachines returns how many machines of a type are rented now; of all types if it is empty.
func (c *cloudService) rentedMachines(machineType string) int {
	count := 0
	for _, m := range c.machines {
		if !m.removed && (machineType == "" || machineType == m.machineType) {
			count++
		}
	}
	return count
}

// machineNames returns the sorted names of all machines that were ever rented. Callers must not
// modify the slice: it is cached.
func (c *cloudService) machineNames() []string {
	if len(c.sortedCache) != len(c.machines) {
		c.sortedCache = slices.Sorted(maps.Keys(c.machines))
	}
	return c.sortedCache
}

// Limits on the number of machines in one rental, one return and one page of the list.
const (
	maxMachinesPerRental = 50
	maxMachinesPerReturn = 100
	maxMachinesPerPage   = 500
)

// cloudLatency is the time that the cloud takes for a request.
const cloudLatency = 100 * time.Millisecond

// cloudError is the body of an answer to a request that the cloud rejects.
type cloudError struct {
	Error string `json:"error"`
}

// handle serves a request of a controller. It calls reply after cloudLatency.
func (c *cloudService) handle(method, path string, body []byte, reply func(int, []byte)) {
	if method == "POST" {
		reply = c.world.repeatWhenAnswered(cloudEndpoint, reply, func(reply func(int, []byte)) { c.serve(method, path, body, reply) })
	}
	c.serve(method, path, body, reply)
}

// serve is handle without copies of the request.
func (c *cloudService) serve(method, path string, body []byte, reply func(int, []byte)) {
	send := func(status int, message any) {
		encoded := encode(message)
		c.world.after(cloudLatency, func() { reply(status, encoded) })
	}
	if c.world.now < c.outageUntil {
		send(httpstatus.ServiceUnavailable, cloudError{"trouble"})
		return
	}
	if _, ok := c.requestBudget.ReserveAt(c.world.wallClock(), 1, 0); !ok {
		send(httpstatus.TooManyRequests, emptyBody)
		return
	}
	switch {
	case path == "/machine_types":
		send(httpstatus.OK, wire.MachineTypes{Types: c.types})
	case path == "/machines/return":
		c.returnMachines(body)
		send(httpstatus.OK, emptyBody)
	case method == "POST":
		c.rentMachines(body, send)
	case strings.HasPrefix(path, "/machines"):
		target, err := url.Parse(path)
		if err != nil {
			send(httpstatus.BadRequest, emptyBody)
			return
		}
		send(httpstatus.OK, c.listMachines(target.Query()))
	default:
		send(httpstatus.BadRequest, emptyBody)
	}
}

// returnMachines removes the machines that a controller returns.
func (c *cloudService) returnMachines(body []byte) {
	var request wire.MachineNames
	decode(body, &request)
	if len(request.Machines) > maxMachinesPerReturn {
		c.world.checker.addViolation("limits", "a request to return %d machines", len(request.Machines))
	}
	for _, name := range request.Machines {
		c.removeMachine(name)
	}
}

// listMachines returns a page of the list of machines as of the list lag ago.
func (c *cloudService) listMachines(query url.Values) wire.MachineList {
	then := c.world.now - seconds(c.world.settings.Deployment.Cloud.ListLagS)
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxMachinesPerPage {
		c.world.checker.addViolation("limits", "a request to list %d machines", limit)
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
		m := c.machines[name]
		if m.rentedAt > then || m.removed && m.removedAt <= then {
			continue
		}
		status := wire.MachineBooting
		if m.upAt <= then {
			status = wire.MachineRunning
		}
		list.Machines = append(list.Machines, wire.Machine{
			Name: name, Addr: m.address, Type: m.machineType, Zone: m.zone, Spot: m.spot,
			Status: status, AgeS: (then - m.rentedAt).Seconds(),
		})
	}
	return list
}

// rentMachines rents out as many of the requested machines as the capacity allows. It is
// idempotent: a repeated request gets the machines of the first one.
func (c *cloudService) rentMachines(body []byte, send responder) {
	var request wire.ProvisionRequest
	decode(body, &request)
	if request.Count > maxMachinesPerRental {
		c.world.checker.addViolation("limits", "a request to rent %d machines", request.Count)
	}
	if names, repeated := c.rentals[request.ID]; repeated {
		send(httpstatus.OK, wire.MachineNames{Machines: names})
		return
	}
	wanted := offer{request.Type, request.Zone, request.Spot}
	count := min(request.Count, c.capacity[wanted])
	if count == 0 {
		send(httpstatus.ServiceUnavailable, cloudError{"no capacity"})
		return
	}
	c.capacity[wanted] -= count
	var names []string
	for range count {
		m := c.addMachine(wanted)
		m.boot()
		names = append(names, m.name)
	}
	c.rentals[request.ID] = names
	send(httpstatus.OK, wire.MachineNames{Machines: names})
}

// addMachine adds a machine whose worker is not started yet.
func (c *cloudService) addMachine(kind offer) *machine {
	c.rentedTotal++
	m := newMachine(c.world, fmt.Sprintf("%s%06d", machinePrefix, c.rentedTotal), kind)
	c.machines[m.name] = m
	c.byAddress[m.address] = m
	return m
}

// removeMachine removes a machine and terminates its tasks. Its capacity can be rented again.
func (c *cloudService) removeMachine(name string) {
	m := c.machines[name]
	if m == nil || m.removed {
		return
	}
	m.removed, m.removedAt = true, c.world.now
	c.capacity[m.offer]++
	for _, t := range m.sortedTasks() {
		m.terminate(t)
	}
	m.clearTasks()
	if c.machineRemoved != nil {
		c.machineRemoved(name)
	}
}

// machineType returns the machine type of a name; nil if there is none.
func (c *cloudService) machineType(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}
