package wake

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// fakeBackends are a state service, model servers and a process that answer at once, unless told not to.
type fakeBackends struct {
	now          time.Duration
	items        map[string]wire.Item
	revision     uint64
	dropRenewals bool   // renewals of leases get no answer
	beforeCommit func() // is called before each transaction is carried out
	conflicts    int    // transactions whose conditions did not hold
	commands     []Command
}

func (p *fakeBackends) List(_ string, done Answer) {
	page := wire.Page{Revision: p.revision}
	for _, it := range p.items {
		page.Items = append(page.Items, it)
	}
	body, _ := json.Marshal(page)
	done(storeOK, body)
}

func (p *fakeBackends) Commit(txn *wire.Txn, done Answer) {
	if p.beforeCommit != nil {
		p.beforeCommit()
	}
	for _, c := range txn.Conditions {
		if p.items[c.Key].Version != c.Version {
			p.conflicts++
			body, _ := json.Marshal(wire.TxnResult{Conflicts: []string{c.Key}, Revision: p.revision})
			done(storeConflict, body)
			return
		}
	}
	p.revision++
	for _, w := range txn.Writes {
		p.items[w.Put] = wire.Item{Key: w.Put, Value: w.Value, Version: p.revision}
	}
	body, _ := json.Marshal(wire.TxnResult{Revision: p.revision})
	done(storeOK, body)
}

func (p *fakeBackends) Grant(_ time.Duration, done Answer) {
	body, _ := json.Marshal(wire.Grant{Lease: 1})
	done(storeOK, body)
}

func (p *fakeBackends) Extend(_ uint64, done Answer) {
	if !p.dropRenewals {
		done(storeOK, nil)
	}
}

func (p *fakeBackends) Watch(string, uint64, Answer) {}

func (p *fakeBackends) Command(_ string, c Command, done func(ReplicaStatus)) {
	p.commands = append(p.commands, c)
	done(ReplicaStatus{State: ReplicaLoading})
}

func (p *fakeBackends) Forward(string, *Request, func(Outcome, []byte)) {}
func (p *fakeBackends) Now() time.Duration                              { return p.now }
func (p *fakeBackends) Reply(uint64, Reply)                             {}

// put writes a key as another controller would.
func (p *fakeBackends) put(key string, value any) {
	p.revision++
	p.items[key] = wire.Item{Key: key, Value: encode(value), Version: p.revision}
}

// newTestController makes a controller of one model over ports.
func newTestController(t *testing.T, backends *fakeBackends) *Controller {
	t.Helper()
	registry, err := ParseRegistry("lease_s = 4\ncopy_lease_s = 12\nmax_waking = 2\nmax_waiting = 10\n" +
		"[[models]]\nname = \"a\"\nservers = [\"gpu-0\"]\nload_s = 10\n")
	if err != nil {
		t.Fatal(err)
	}
	return New("node-0", 1, registry, backends, backends, backends, slog.New(slog.DiscardHandler))
}

// TestTakeoverRequiresOwnerKeyGone has the driver of a copy come back between the moment at
// which its key was seen to be gone and the takeover: the driver keeps the copy.
func TestTakeoverRequiresOwnerKeyGone(t *testing.T) {
	backends := &fakeBackends{items: map[string]wire.Item{}, revision: 1}
	backends.put(modelKey("a"), Record{Phase: PhaseAwake, Epoch: 3, Owner: "node-1", Incarnation: 7, Server: "gpu-0"})
	controller := newTestController(t, backends)
	back := false
	backends.beforeCommit = func() {
		if controller.registered() && !back {
			back = true
			backends.put(controllerKey("node-1"), registration{Incarnation: 7})
		}
	}
	controller.Tick()
	backends.now += time.Second
	controller.Tick()
	if !back {
		t.Fatal("nothing was taken over")
	}
	var record Record
	json.Unmarshal(backends.items[modelKey("a")].Value, &record)
	if record.Owner != "node-1" || record.Epoch != 3 || backends.conflicts == 0 {
		t.Errorf("the copy went to %s under epoch %d although its driver is alive", record.Owner, record.Epoch)
	}
}

// TestOwnerStopsOnceLeaseMayHaveExpired has a driver get no word of its lease's renewal: it commands the
// copy's server until the lease may have run out by its own clock, and no longer, since another
// controller may have taken over by then.
func TestOwnerStopsOnceLeaseMayHaveExpired(t *testing.T) {
	backends := &fakeBackends{items: map[string]wire.Item{}, revision: 1}
	controller := newTestController(t, backends)
	controller.Tick()
	controller.Handle(&Request{ID: 1, Model: "a", IdempotencyKey: "k", Deadline: time.Hour})
	controller.Tick()
	if len(backends.commands) == 0 {
		t.Fatal("the copy's server got no command")
	}
	backends.dropRenewals = true
	for backends.now < controller.leaseDuration() {
		backends.now += controller.pollInterval()
		controller.Tick()
	}
	before := len(backends.commands)
	for range 20 {
		backends.now += controller.pollInterval()
		controller.Tick()
	}
	if n := len(backends.commands) - before; n > 0 {
		t.Errorf("%d commands after the lease may have run out", n)
	}
}
