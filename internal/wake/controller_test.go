package wake

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// ports are a state service, model servers and a process that answer at once, unless told not to.
type ports struct {
	now      time.Duration
	keys     map[string]wire.Item
	rev      uint64
	silent   bool   // renewals of leases get no answer
	before   func() // is called before each transaction is carried out
	refused  int    // transactions whose conditions did not hold
	commands []Command
}

func (p *ports) List(_ string, done Answer) {
	page := wire.Page{Revision: p.rev}
	for _, it := range p.keys {
		page.Items = append(page.Items, it)
	}
	body, _ := json.Marshal(page)
	done(storeOK, body)
}

func (p *ports) Commit(txn *wire.Txn, done Answer) {
	if p.before != nil {
		p.before()
	}
	for _, c := range txn.If {
		if p.keys[c.Key].Version != c.Version {
			p.refused++
			body, _ := json.Marshal(wire.TxnResult{Failed: []string{c.Key}, Revision: p.rev})
			done(storeConflict, body)
			return
		}
	}
	p.rev++
	for _, w := range txn.Writes {
		p.keys[w.Put] = wire.Item{Key: w.Put, Value: w.Value, Version: p.rev}
	}
	body, _ := json.Marshal(wire.TxnResult{Revision: p.rev})
	done(storeOK, body)
}

func (p *ports) Grant(_ time.Duration, done Answer) {
	body, _ := json.Marshal(wire.Grant{Lease: 1})
	done(storeOK, body)
}

func (p *ports) Extend(_ uint64, done Answer) {
	if !p.silent {
		done(storeOK, nil)
	}
}

func (p *ports) Watch(string, uint64, Answer) {}

func (p *ports) Command(_ string, c Command, done func(CopyReport)) {
	p.commands = append(p.commands, c)
	done(CopyReport{State: CopyLoading})
}

func (p *ports) Ask(string, *Request, func(Outcome, []byte)) {}
func (p *ports) Now() time.Duration                          { return p.now }
func (p *ports) Reply(uint64, Reply)                         {}

// put writes a key as another controller would.
func (p *ports) put(key string, value any) {
	p.rev++
	p.keys[key] = wire.Item{Key: key, Value: encode(value), Version: p.rev}
}

// controllerOf makes a controller of one model over ports.
func controllerOf(t *testing.T, p *ports) *Controller {
	t.Helper()
	reg, err := ParseRegistry("lease_s = 4\ncopy_lease_s = 12\nmax_waking = 2\nmax_waiting = 10\n" +
		"[[models]]\nname = \"a\"\nservers = [\"gpu-0\"]\nload_s = 10\n")
	if err != nil {
		t.Fatal(err)
	}
	return New("node-0", 1, reg, p, p, p, slog.New(slog.DiscardHandler))
}

// TestTakeoverDependsOnTheDriversKey has the driver of a copy come back between the moment at
// which its key was seen to be gone and the takeover: the driver keeps the copy.
func TestTakeoverDependsOnTheDriversKey(t *testing.T) {
	p := &ports{keys: map[string]wire.Item{}, rev: 1}
	p.put(modelKey("a"), Record{Phase: Awake, Epoch: 3, Driver: "node-1", Run: 7, Server: "gpu-0"})
	c := controllerOf(t, p)
	back := false
	p.before = func() {
		if c.registered() && !back {
			back = true
			p.put(driverKey("node-1"), liveness{Run: 7})
		}
	}
	c.Tick()
	p.now += time.Second
	c.Tick()
	if !back {
		t.Fatal("nothing was taken over")
	}
	var r Record
	json.Unmarshal(p.keys[modelKey("a")].Value, &r)
	if r.Driver != "node-1" || r.Epoch != 3 || p.refused == 0 {
		t.Errorf("the copy went to %s under epoch %d although its driver is alive", r.Driver, r.Epoch)
	}
}

// TestDriverStopsByItsOwnClock has a driver get no word of its lease's renewal: it commands the
// copy's server until the lease may have run out by its own clock, and no longer, since another
// controller may have taken over by then.
func TestDriverStopsByItsOwnClock(t *testing.T) {
	p := &ports{keys: map[string]wire.Item{}, rev: 1}
	c := controllerOf(t, p)
	c.Tick()
	c.Handle(&Request{ID: 1, Model: "a", Key: "k", Until: time.Hour})
	c.Tick()
	if len(p.commands) == 0 {
		t.Fatal("the copy's server got no command")
	}
	p.silent = true
	for p.now < c.leaseTime() {
		p.now += c.pace()
		c.Tick()
	}
	before := len(p.commands)
	for range 20 {
		p.now += c.pace()
		c.Tick()
	}
	if n := len(p.commands) - before; n > 0 {
		t.Errorf("%d commands after the lease may have run out", n)
	}
}
