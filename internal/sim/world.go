// Package sim runs the controllers' core in virtual time against a simulated key-value store,
// cloud, workers and users, and injects faults. A checker verifies that what happens follows the
// rules of the protocol. All randomness comes from a seed, so that a run can be reproduced.
//
// The tests of this package run scenarios. Package hollow runs the same world in real time
// around controller processes, see Live. The tests of model activation use ModelServer.
// Nothing here is part of a controller.
package sim

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/eventqueue"
	"github.com/brookwalk/brookwalk/wire"
)

// World is one simulated deployment.
type World struct {
	now      time.Duration
	events   eventqueue.Queue
	rng      *rand.Rand
	settings *config.Settings
	log      *slog.Logger

	controllers []*controller
	store       *keyValueStore
	cloud       *cloudService
	users       *users
	checker     *checker
	observer    Observer // may be nil

	jobs            map[string]*groundTruth
	placementsByJob map[*groundTruth]*jobPlacements  // see placements.go
	jobsByTeam      map[string]map[*groundTruth]bool // jobs with tasks on machines
	taskStarts      int                              // start commands that workers executed
	expiredTasks    int                              // tasks that a worker killed at its lease expiry
	workerTraffic   workerTraffic

	// hideRaisedTokens makes workers report a fencing token other than the first one only with their next
	// regular heartbeat.
	hideRaisedTokens bool

	partitions          []*partition
	pauses              []interval    // during which all controllers are paused
	faultsEnd           time.Duration // when the last fault ends, with its delayed effects
	duplicateHeartbeats randomFault   // heartbeats of which a delayed copy is delivered too
	cancellationsAtEnd  randomFault   // jobs that are cancelled at the moment they complete

	delayedDirectCommands randomFault // direct commands that are executed late, without an answer
	delayedCommandAnswers randomFault // answers with commands, and answers to commands, that are late
	repeatedCalls         repeatedCalls

	// mutate, if set, may change the output of a core. Tests use it to simulate a broken core or
	// to record outputs.
	mutate func(c *controller, out *core.Output)
	// newCore, if set, makes the core of a starting controller; otherwise it is a core of this
	// version.
	newCore func(c *controller, incarnation uint64) stepper

	// sendToRegion, if set, delivers a message to another region.
	sendToRegion func(c *controller, s core.RegionSend)
	// reservedElsewhere, if set, returns how many GPUs of a team's limit this region cannot use:
	// the sum, over the other regions, of the larger of the team's usage and its guarantee there.
	reservedElsewhere func(team string) float64
	// usageChanged, if set, is called with each change of a team's usage.
	usageChanged func(team string, cpus, gpus float64)
	// usageIncreased, if set, is called with a team whose usage has increased.
	usageIncreased func(team string)
}

// workerTraffic counts what workers sent, and what they refused because they had seen a higher fencing
// token.
type workerTraffic struct {
	heartbeats       int
	largestHeartbeat int // in bytes
	mostExited       int // exited tasks in one heartbeat
	manyExited       int // heartbeats with at least cluster.MaxExitedRows exited tasks
	refusedCalls     int // direct calls with commands
	droppedAnswers   int // answers to heartbeats
}

// recordHeartbeat counts a heartbeat.
func (t *workerTraffic) recordHeartbeat(heartbeat *wire.Heartbeat, size int) {
	t.heartbeats++
	t.largestHeartbeat = max(t.largestHeartbeat, size)
	exited := cluster.CountExited(heartbeat.Tasks)
	t.mostExited = max(t.mostExited, exited)
	if exited >= cluster.MaxExitedRows {
		t.manyExited++
	}
}

// stepper is the core that a controller runs: one of this version, or a child process that runs
// one of another version.
type stepper interface {
	Step(now time.Duration, wall time.Time, in core.Input) core.Output
}

// groundTruth is the actual state of a job in the simulation, whatever the controllers have
// recorded of it.
type groundTruth struct {
	wire.Job
	runS          float64 // run time of a task in seconds
	fails         bool    // every task exits with an error
	doneTasks     map[int]bool
	savedProgress map[int]float64 // seconds of checkpointed work, by task; a gang uses task 0
	submittedAt   time.Duration   // time of the first attempt to submit it
	startedTasks  map[int]bool    // tasks that have run, for the observer
}

func newGroundTruth(job wire.Job) *groundTruth {
	return &groundTruth{Job: job, doneTasks: map[int]bool{}, savedProgress: map[int]float64{}}
}

// controllerStartInterval is the time between the starts of two controllers of a new world.
const controllerStartInterval = 30 * time.Millisecond

func newWorld(settings *config.Settings, seed uint64, log *slog.Logger) *World {
	world := &World{
		settings: settings, rng: rand.New(rand.NewPCG(seed, 1)), log: log, jobs: map[string]*groundTruth{},
		placementsByJob: map[*groundTruth]*jobPlacements{}, jobsByTeam: map[string]map[*groundTruth]bool{},
	}
	world.store = newKeyValueStore(world)
	world.cloud = newCloud(world)
	world.users = newUsers(world)
	world.checker = newChecker(world)
	for i := range settings.Deployment.Size {
		c := &controller{world: world, index: i, name: controllerPrefix + strconv.Itoa(i)}
		world.controllers = append(world.controllers, c)
		world.after(time.Duration(i)*controllerStartInterval, c.start)
	}
	return world
}

// after schedules a function to run after a delay.
func (w *World) after(delay time.Duration, run func()) {
	w.events.Add(w.now+max(delay, 0), run)
}

// run executes all events up to a time.
func (w *World) run(until time.Duration) {
	for {
		event, ok := w.events.TakeUntil(until)
		if !ok {
			break
		}
		w.now = event.At
		event.Run()
	}
	w.now = until
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// randomDuration returns a random duration below a bound.
func (w *World) randomDuration(bound time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(bound)))
}

// wallClock returns the simulated time of day, for rate limits and the cores.
func (w *World) wallClock() time.Time { return time.UnixMilli(1e12).Add(w.now) }

// leader returns the controller that holds the leader key, or nil.
func (w *World) leader() *controller {
	entry := w.store.keys["leader"]
	if entry == nil {
		return nil
	}
	for _, c := range w.controllers {
		if strings.Contains(string(entry.value), strconv.Quote(c.name)) {
			return c
		}
	}
	return nil
}

func (w *World) debugf(format string, args ...any) {
	w.log.Debug(fmt.Sprintf(format, args...), "at", w.now.Seconds())
}
