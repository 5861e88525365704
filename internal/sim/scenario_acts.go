package sim

import (
	"fmt"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// nodesOf names controllers: a name, "leader", "follower" or "all".
func (w *World) nodesOf(what string) []*node {
	lead := w.leader()
	switch what {
	case "all":
		return w.nodes
	case "leader":
		if lead == nil {
			return w.nodes[:1]
		}
		return []*node{lead}
	case "follower":
		for _, n := range w.nodes {
			if n != lead {
				return []*node{n}
			}
		}
	}
	for _, n := range w.nodes {
		if n.name == what {
			return []*node{n}
		}
	}
	panic("no such node: " + what)
}

// endpoint turns the names of a scenario into those of the network.
func (w *World) endpoint(what string) string {
	switch what {
	case "leader", "follower":
		return w.nodesOf(what)[0].name
	case "busy":
		if m := w.busiest(); m != nil {
			return m.name
		}
	}
	return what
}

// busiest is the machine with the most tasks.
func (w *World) busiest() *machine {
	var best *machine
	n := -1
	for _, name := range w.cloud.names() {
		m := w.cloud.machines[name]
		on := 0
		for _, t := range m.tasks {
			if t.state != wire.TaskExited {
				on++
			}
		}
		if !m.gone && on > n {
			best, n = m, on
		}
	}
	return best
}

func (w *World) machineOf(what string) *machine {
	if what == "busy" {
		return w.busiest()
	}
	if m := w.cloud.machines[what]; m != nil {
		return m
	}
	panic("no such machine: " + what)
}

// strike has a trouble befall a machine.
func (w *World) strike(what string, m *machine, d time.Duration) {
	switch what {
	case "kill": // gone without notice
		w.cloud.remove(m.name)
	case "take": // the cloud takes it back after a notice
		m.warning = w.now + d
		m.changed = true
		w.after(d, func() { w.cloud.remove(m.name) })
	case "hang":
		m.hangUntil = w.now + d
	case "faulty":
		m.faulty = true
	case "deaf": // its reports arrive, answers and commands don't reach it
		w.cuts = append(w.cuts, &cut{"nodes", m.name, w.now + d, false})
	case "mute": // it reaches no controller, direct commands reach it
		m.muteUntil = w.now + d
	}
}

// machinesOf names the machines of a trouble: one, or of all that are up
// ("some") or of those in a zone ("zone:Z") a count or a share: a tenth of all
// and the whole of a zone unless said.
func (w *World) machinesOf(l line) []*machine {
	zone, inZone := strings.CutPrefix(l.arg(0), "zone:")
	if l.arg(0) != "some" && !inZone {
		return []*machine{w.machineOf(l.arg(0))}
	}
	var up []*machine
	for _, name := range w.cloud.names() {
		if m := w.cloud.machines[name]; !m.gone && m.upAt <= w.now && (!inZone || m.zone == zone) {
			up = append(up, m)
		}
	}
	w.rng.Shuffle(len(up), func(a, b int) { up[a], up[b] = up[b], up[a] })
	share := 0.1
	if inZone {
		share = 1
	}
	n := int(l.num("share", share) * float64(len(up)))
	if l.opt["count"] != "" {
		n = min(len(up), int(l.num("count", 0)))
	}
	return up[:n]
}

// longestBoot is about the longest time, in seconds, that a machine of a scenario
// usually takes to boot.
const longestBoot = 60

// trouble tells how long after it began the trouble of a line may be felt;
// false for what is none.
func (l *line) trouble(lease time.Duration) (time.Duration, bool) {
	d := seconds(l.num("for", 10))
	switch l.word {
	case "submit", "cancel":
		return 0, false
	case "late_writes":
		d += 12 * time.Second
	case "late_reports":
		d += 2*time.Second + lease + lease/2
	case "copies":
		d += seconds(l.num("delay", 15))
	case "cancel_now":
		d = seconds(l.num("hang", 0))
	case "lateboot":
		d += seconds(longestBoot * l.num("factor", 3))
	}
	return d, true
}

// act brings about what a line says.
func (w *World) act(l line) {
	if l.has("busy") && w.busiest() == nil {
		return // no machine is up to suffer it
	}
	d := seconds(l.num("for", 10))
	w.trace("act %s %v", l.word, l.args)
	if !w.actOfUsers(l, d) && !w.actOnControllers(l, d) && !w.actOnServices(l, d) && !w.actOnMachines(l, d) {
		panic(fmt.Sprintf("line %d: unknown act %q", l.no, l.word))
	}
}

// actOfUsers has users do something; false if the line is of another kind.
func (w *World) actOfUsers(l line, d time.Duration) bool {
	switch l.word {
	case "submit":
		when := whenAccepted
		if l.has("early") {
			when = whenever
		} else if l.has("after") {
			when = whenOver
		}
		w.users.submit(w.job(l), when)
	case "cancel":
		w.users.cancel(l.arg(0))
	case "cancel_now":
		w.users.cancelNow(int(l.num("count", 1)), seconds(l.num("hang", 0)))
	case "cancel_at_end":
		w.endCancels = late{l.num("share", 0.5), w.now + d}
	case "odd_requests":
		w.users.odd(w.now + d)
	case "poll_storm":
		w.users.storm, w.users.stormFactor = late{1, w.now + d}, l.num("factor", 8)
	default:
		return false
	}
	return true
}

// actOnControllers ends controllers or cuts connections; false if the line is of
// another kind.
func (w *World) actOnControllers(l line, d time.Duration) bool {
	switch l.word {
	case "crash":
		for _, n := range w.nodesOf(l.arg(0)) {
			n.crash(seconds(l.num("for", 3)))
		}
	case "cut": // both ways, or only the first to the second
		a, b := w.endpoint(l.arg(0)), w.endpoint(l.arg(1))
		w.cuts = append(w.cuts, &cut{a, b, w.now + d, l.has("hold")})
		if !l.has("oneway") {
			w.cuts = append(w.cuts, &cut{b, a, w.now + d, l.has("hold")})
		}
	case "pause": // a controller stands still and goes on as if nothing had been
		for _, n := range w.nodesOf(l.arg(0)) {
			n.pause(d)
		}
		if l.arg(0) == "all" {
			w.standstills = append(w.standstills, span{w.now, w.now + d})
		}
	case "isolate": // a controller loses state service and peers, both ways
		for _, n := range w.nodesOf(l.arg(0)) {
			for _, other := range []string{"state", "nodes"} {
				w.cuts = append(w.cuts, &cut{n.name, other, w.now + d, false}, &cut{other, n.name, w.now + d, false})
			}
		}
	default:
		return false
	}
	return true
}

// actOnServices troubles the state service or the cloud; false if the line is of
// another kind.
func (w *World) actOnServices(l line, d time.Duration) bool {
	switch l.word {
	case "outage":
		if l.arg(0) == "state" {
			w.store.beginOutage(d)
		} else {
			w.cloud.outage = w.now + d
		}
	case "slow": // the state service takes its time over every request but watches
		w.store.slow, w.store.slowUntil = seconds(l.num("by", 0.3)), w.now+d
	case "refuse": // the state service refuses one controller
		w.store.refuse[w.endpoint(l.arg(0))] = w.now + d
	case "late_writes": // transactions without an answer, carried out late
		w.store.late = late{l.num("share", 0.1), w.now + d}
	case "limits": // the state service has lower limits from now on
		w.store.limit(l.limits(w.cfg.Deployment.State))
	case "noboot":
		w.cloud.noBoot = l.bootTrouble(w.now + d)
	case "lateboot":
		w.cloud.lateBoot = l.bootTrouble(w.now + d)
	default:
		return false
	}
	return true
}

// bootTrouble is the trouble that the line describes, until a time.
func (l *line) bootTrouble(until time.Duration) bootTrouble {
	return bootTrouble{late: late{l.num("share", 1), until}, typ: l.opt["type"], zone: l.opt["zone"], factor: l.num("factor", 3)}
}

// actOnMachines troubles machines or their reports; false if the line is of another
// kind.
func (w *World) actOnMachines(l line, d time.Duration) bool {
	switch l.word {
	case "kill", "take", "hang", "faulty", "deaf", "mute":
		for _, m := range w.machinesOf(l) {
			w.strike(l.word, m, d)
		}
	case "late_reports": // copies of reports that come again
		w.lateReports = late{l.num("share", 0.1), w.now + d}
	case "copies": // late copies of a machine's reports
		for _, name := range w.cloud.names() {
			m := w.cloud.machines[name]
			m.copyUntil, m.copyDelay = w.now+d, seconds(l.num("delay", 15))
		}
	default:
		return false
	}
	return true
}
