package hollow

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/loopback"
	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/wire"
)

const (
	// serviceHost is the IP address of the key-value store, the cloud and the region links. They
	// listen during the whole run.
	serviceHost = "127.0.0.1"
	// unservedAddress is the address of a worker that could not listen. Nothing listens on it.
	unservedAddress = serviceHost + ":9"
	// machinePrefix is the prefix of machine names. A number follows.
	machinePrefix = "n-"
	// skewMs is the maximum clock skew between controllers. It is small because all processes use the
	// clock of one machine.
	skewMs = 10
)

// prepare creates the simulation, starts the servers of the key-value store and the cloud, and
// writes the controllers' settings.
func (r *runner) prepare() error {
	settings := r.settings()
	r.live = sim.NewLive(sim.LiveConfig{
		Settings: settings, Types: r.machineTypes(), Capacity: r.capacity(), Seed: r.experiment.Seed,
		Observer: r.observer, Log: r.options.Log, WorkerAddress: r.serveWorker, MachineRemoved: r.stopWorker, UsageChanged: r.usageObserver(),
	})
	store, err := r.serve("key-value store", &r.storeTraffic, r.live.ServeStore)
	if err != nil {
		return err
	}
	cloud, err := r.serve("cloud", &r.cloudTraffic, r.live.ServeCloud)
	if err != nil {
		return err
	}
	settings.External = config.External{Store: store.Addr(), Cloud: cloud.Addr()}
	listen, err := controllerAddresses(r.addresses, r.experiment.Controllers)
	if err != nil {
		return err
	}
	peerListen, err := controllerAddresses(r.addresses, r.experiment.Controllers)
	if err != nil {
		return err
	}
	for i := range r.experiment.Controllers {
		if err := r.addController(i, *settings, listen, peerListen); err != nil {
			return err
		}
	}
	return nil
}

// usageObserver returns the function that records changes of the teams' usage; nil in an experiment
// with a single region.
func (r *runner) usageObserver() func(team string, cpus, gpus float64) {
	if r.region == nil {
		return nil
	}
	return func(team string, cpus, gpus float64) { r.region.run.usage.add(r.region.name, team, cpus, gpus) }
}

// A requestHandler handles a request of a controller. It is called with the simulation locked and
// may call reply later.
type requestHandler func(method, path string, body []byte, reply func(status int, body []byte))

// listen starts a server for a simulated service or worker on the address. It counts the traffic
// and runs until the runner is closed.
func (r *runner) listen(name, address string, traffic *httpserve.Traffic, handle requestHandler) (*httpserve.Server, error) {
	server, err := httpserve.Listen(address, traffic, func(request *httpwire.Request, reply func(httpserve.Response)) {
		r.live.Do(func() {
			handle(request.Method, httpserve.RequestTarget(request), request.Body, func(status int, body []byte) {
				reply(httpserve.Response{Status: status, Body: body})
			})
		})
	})
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners[name] = server
	return server, nil
}

// serve starts the server of the key-value store or the cloud on a free port.
func (r *runner) serve(name string, traffic *httpserve.Traffic, handle requestHandler) (*httpserve.Server, error) {
	return r.listen(name, serviceHost+":0", traffic, handle)
}

// serveWorker starts the server of a machine's worker on an IP address of its own and returns the
// address. A worker that cannot listen receives no direct commands.
func (r *runner) serveWorker(machine string) string {
	server, err := r.listen(machine, workerIP(machine)+":0", &r.commandTraffic,
		func(method, path string, body []byte, reply func(int, []byte)) {
			r.live.ServeWorker(machine, method, path, body, reply)
		})
	if err != nil {
		r.options.Log.Error("worker cannot listen; it receives no direct commands", "machine", machine, "error", err)
		return unservedAddress
	}
	return server.Addr()
}

// stopWorker closes the server and the client connections of a removed machine's worker.
func (r *runner) stopWorker(machine string) {
	r.mu.Lock()
	listener := r.listeners[machine]
	delete(r.listeners, machine)
	r.mu.Unlock()
	if listener != nil {
		closeLogged(r.options.Log, machine, listener)
	}
	for _, c := range r.controllers {
		c.closeClient(machine)
	}
}

// workerIP returns the loopback IP address of a machine's worker: 127.128.0.0 plus the machine's
// number.
func workerIP(machine string) string {
	number, _ := strconv.Atoi(strings.TrimPrefix(machine, machinePrefix)) // package sim names machines by number
	var ip [net.IPv4len]byte
	binary.BigEndian.PutUint32(ip[:], 127<<24|128<<16|uint32(number))
	return net.IP(ip[:]).String()
}

// controllerAddresses returns a claimed address for each controller.
func controllerAddresses(claim *loopback.Claim, controllers int) ([]string, error) {
	addresses := make([]string, controllers)
	for i := range addresses {
		var err error
		if addresses[i], err = claim.Address(); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// addController writes the settings of controller i and attaches its process to the simulation,
// which starts it. listen and peerListen contain the addresses of all controllers.
func (r *runner) addController(i int, settings config.Settings, listen, peerListen []string) error {
	settings.Name, settings.Zone = r.live.Name(i), r.live.Zone(i)
	settings.Listen, settings.PeerListen = listen[i], peerListen[i]
	settings.Peers = nil
	for k := range r.experiment.Controllers {
		if k != i {
			settings.Peers = append(settings.Peers, config.Peer{Name: r.live.Name(k), Zone: r.live.Zone(k), Addr: peerListen[k]})
		}
	}
	settingsPath := filepath.Join(r.options.Dir, settings.Name+".toml")
	if err := writeTOML(settingsPath, settings); err != nil {
		return err
	}
	operatorPath, err := r.writeOperatorSettings(i)
	if err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(r.options.Dir, settings.Name+".log"))
	if err != nil {
		return err
	}
	c := &controllerProcess{
		name: settings.Name, listen: settings.Listen, command: append(slices.Clone(r.options.Command), settingsPath),
		output: output, operatorPath: operatorPath, log: r.options.Log, withLock: r.live.Do, userTraffic: &r.userTraffic, workerTraffic: &r.workerTraffic,
	}
	r.controllers = append(r.controllers, c)
	r.live.Attach(i, c)
	return nil
}

// writeTOML writes a value to a file, which it creates or truncates.
func writeTOML(path string, value any) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := errors.Join(toml.NewEncoder(file).Encode(value), file.Close()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// writeOperatorSettings writes the operators' settings file of controller i and returns its path.
// Without such settings it writes no file and returns an empty path.
func (r *runner) writeOperatorSettings(i int) (string, error) {
	var text []byte
	if r.experiment.Operator.IdleReturnS != 0 {
		text = fmt.Appendf(text, "idle_return_s = %g\n", r.experiment.Operator.IdleReturnS)
	}
	if r.region != nil {
		text = fmt.Appendf(text, "regions_file = %q\nregion = %q\nregion_listen = %q\n", r.region.regionsFilePath, r.region.name, r.region.regionListen[i])
	}
	if text == nil {
		return "", nil
	}
	path := filepath.Join(r.options.Dir, fmt.Sprintf("operator-%d.toml", i))
	return path, os.WriteFile(path, text, 0o644)
}

// settings returns the settings that all controllers of the deployment share.
func (r *runner) settings() *config.Settings {
	e := r.experiment
	deployment := config.Deployment{
		Size: e.Controllers, Zones: e.Zones, SkewMs: skewMs, Workers: e.Workers,
		Store: e.Store, Cloud: e.Cloud, MachineLimits: e.ControllerLimits,
	}
	for i := range e.Teams.Count {
		team := e.teamLimit()
		team.Name = teamName(i)
		deployment.Teams = append(deployment.Teams, team)
	}
	for _, objective := range e.Objectives {
		deployment.Objectives = append(deployment.Objectives, config.Objective(objective))
	}
	return &config.Settings{Deployment: deployment}
}

func (r *runner) machineTypes() []wire.MachineType {
	var types []wire.MachineType
	for _, t := range r.experiment.Types {
		types = append(types, wire.MachineType{
			Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemoryGB, CacheGB: t.CacheGB,
			PullGBPerS: t.FetchGBPS, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, Zones: r.experiment.Zones,
		})
	}
	return types
}

// capacity returns how many machines of each type the cloud has in each zone. The machines of a type
// are spread evenly over the zones.
func (r *runner) capacity() []sim.Capacity {
	var capacity []sim.Capacity
	zones := len(r.experiment.Zones)
	for _, t := range r.experiment.Types {
		for i, zone := range r.experiment.Zones {
			inZone := func(count int) int { return count*(i+1)/zones - count*i/zones }
			onDemand := inZone(t.OnDemandCount)
			capacity = append(capacity, sim.Capacity{Type: t.Name, Zone: zone, Count: onDemand, Up: int(t.UpShare * float64(onDemand))},
				sim.Capacity{Type: t.Name, Zone: zone, Spot: true, Count: inZone(t.SpotCount)})
		}
	}
	return capacity
}
