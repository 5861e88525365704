//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is a type of machine that the cloud rents.
type machineType struct {
	Label       string   `json:"label"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"accelerators"`
	MemGB       float64  `json:"memGb"`
	LocalGB     float64  `json:"localGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Rate        float64  `json:"rate"`
	LowPrice    float64  `json:"lowPrice"`
	BootS       float64  `json:"bootS"`
	Berths      []string `json:"berths"`
}

type rented struct {
	Name    string  `json:"nameId"`
	Addr    string  `json:"endpoint"`
	Hull    string  `json:"hull"`
	Berth   string  `json:"berth"`
	Standby bool    `json:"standby"`
	Status  string  `json:"status"`
	HeldS   float64 `json:"heldS"`

	since  time.Time
	worker *worker
}

// cloud rents machines. The capacity is the number of ordinary machines for each type and zone.
type cloud struct {
	fleet    *fleet
	types    []machineType
	capacity map[string]int // by type and zone
	bootTime time.Duration
	prepared func(*worker) // called with each new worker; may be nil

	mu       sync.Mutex
	machines map[string]*rented
	granted  map[string][]string // by request name
	last     int
}

func (c *cloud) listen() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.machines, c.granted = map[string]*rented{}, map[string][]string{}
	go http.Serve(listener, http.HandlerFunc(c.serve)) //nolint:errcheck // ends with the process
	return listener.Addr().String(), nil
}

func (c *cloud) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.Method + r.URL.Path {
	case "GET/machine_types":
		writeJSON(w, 200, map[string]any{"hulls": c.types})
	case "GET/machines":
		writeJSON(w, 200, map[string]any{"hosts": c.list(r.URL.Query().Get("since"), r.URL.Query().Get("limit")), "truncated": false})
	case "POST/machines":
		c.rent(w, body)
	case "POST/machines/return":
		c.giveBack(w, body)
	default:
		writeJSON(w, 400, map[string]any{})
	}
}

func (c *cloud) list(after, limit string) []*rented {
	most, err := strconv.Atoi(limit)
	if err != nil {
		most = 500
	}
	hosts := []*rented{}
	for name, machine := range c.machines {
		if name > after {
			machine.HeldS = time.Since(machine.since).Seconds()
			hosts = append(hosts, machine)
		}
	}
	sort.Slice(hosts, func(a, b int) bool { return hosts[a].Name < hosts[b].Name })
	return hosts[:min(len(hosts), most)]
}

func (c *cloud) rent(w http.ResponseWriter, body []byte) {
	var request struct {
		Charter string `json:"charter"`
		Hull    string `json:"hull"`
		Berth   string `json:"berth"`
		Standby bool   `json:"standby"`
		Count   int    `json:"count"`
	}
	if json.Unmarshal(body, &request) != nil || request.Count < 1 || request.Count > 50 {
		writeJSON(w, 400, map[string]any{})
		return
	}
	if hosts, ok := c.granted[request.Charter]; ok {
		writeJSON(w, 200, map[string]any{"hosts": hosts})
		return
	}
	kind := request.Hull + " " + request.Berth
	count := min(request.Count, c.capacity[kind])
	if request.Standby || count == 0 {
		writeJSON(w, 503, map[string]any{"error": "no capacity"})
		return
	}
	c.capacity[kind] -= count
	var hosts []string
	for range count {
		hosts = append(hosts, c.add(request.Hull, request.Berth))
	}
	c.granted[request.Charter] = hosts
	writeJSON(w, 200, map[string]any{"hosts": hosts})
}

// add rents a machine, whose worker starts after the boot time.
func (c *cloud) add(hull, zone string) string {
	c.last++
	machine := &rented{Name: fmt.Sprintf("n-%06d", c.last), Hull: hull, Berth: zone, Status: "booting", since: time.Now()}
	c.machines[machine.Name] = machine
	c.fleet.record.line("cloud: %s rented (%s in %s)", machine.Name, hull, zone)
	time.AfterFunc(c.bootTime, func() { c.boot(machine) })
	return machine.Name
}

func (c *cloud) boot(machine *rented) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines[machine.Name] != machine {
		return
	}
	for _, kind := range c.types {
		if kind.Label != machine.Hull {
			continue
		}
		w, err := c.fleet.startWorker(machine.Name, machine.Hull, machine.Berth, false, kind.CPUs, kind.GPUs, kind.MemGB)
		if err != nil {
			c.fleet.record.line("%s: %v", machine.Name, err)
			return
		}
		if c.prepared != nil {
			c.prepared(w)
		}
		machine.worker, machine.Addr, machine.Status = w, w.address, "running"
	}
}

func (c *cloud) giveBack(w http.ResponseWriter, body []byte) {
	var request struct {
		Hosts []string `json:"hosts"`
	}
	if json.Unmarshal(body, &request) != nil || len(request.Hosts) > 100 {
		writeJSON(w, 400, map[string]any{})
		return
	}
	for _, name := range request.Hosts {
		machine := c.machines[name]
		if machine == nil {
			continue
		}
		delete(c.machines, name)
		c.capacity[machine.Hull+" "+machine.Berth]++
		if machine.worker != nil {
			machine.worker.stop()
		}
		c.fleet.record.line("cloud: %s returned", name)
	}
	writeJSON(w, 200, map[string]any{})
}
