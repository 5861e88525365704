package wake

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// fakeBackends is a store, model servers and a host that answer at once, unless told not to.
type fakeBackends struct {
	now          time.Duration
	items        map[string]wire.Item
	revision     uint64
	dropRenewals bool   // renewals of leases get no answer
	beforeCommit func() // is called before each transaction
	conflicts    int    // transactions whose conditions did not hold
	commands     []Command
}

func newFakeBackends() *fakeBackends {
	return &fakeBackends{items: map[string]wire.Item{}, revision: 1}
}

func (f *fakeBackends) List(_ string, done func(kv.ListResult)) {
	page := wire.Page{Revision: f.revision}
	for _, item := range f.items {
		page.Items = append(page.Items, item)
	}
	done(kv.ListResult{Status: kv.OK, Page: page})
}

func (f *fakeBackends) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	if f.beforeCommit != nil {
		f.beforeCommit()
	}
	for _, condition := range txn.Conditions {
		if f.items[condition.Key].Version != condition.Version {
			f.conflicts++
			done(kv.TxnResult{Status: kv.Conflict, Revision: f.revision, Conflicts: []string{condition.Key}})
			return
		}
	}
	f.revision++
	for _, write := range txn.Writes {
		f.items[write.Put] = wire.Item{Key: write.Put, Value: write.Value, Version: f.revision}
	}
	done(kv.TxnResult{Status: kv.OK, Revision: f.revision})
}

func (f *fakeBackends) Grant(_ time.Duration, done func(kv.GrantResult)) {
	done(kv.GrantResult{Status: kv.OK, Lease: 1})
}

func (f *fakeBackends) Renew(_ uint64, done func(kv.Status)) {
	if !f.dropRenewals {
		done(kv.OK)
	}
}

func (f *fakeBackends) Watch(string, uint64, func(kv.WatchResult)) {}

func (f *fakeBackends) Command(_ string, command Command, done func(ReplicaStatus)) {
	f.commands = append(f.commands, command)
	done(ReplicaStatus{State: ReplicaLoading})
}

func (f *fakeBackends) Forward(string, *Request, func(Outcome, []byte)) {}
func (f *fakeBackends) Now() time.Duration                              { return f.now }
func (f *fakeBackends) Reply(uint64, Reply)                             {}

// put writes a key as another controller would.
func (f *fakeBackends) put(key string, value any) {
	f.revision++
	f.items[key] = wire.Item{Key: key, Value: kv.Encode(value), Version: f.revision}
}

// newTestController makes a controller of one model.
func newTestController(t *testing.T, backends *fakeBackends) *Controller {
	t.Helper()
	registry, err := ParseRegistry("lease_s = 4\ncopy_lease_s = 12\nmax_waking = 2\nmax_waiting = 10\n" +
		"[[models]]\nname = \"a\"\nservers = [\"gpu-0\"]\nload_s = 10\n")
	if err != nil {
		t.Fatal(err)
	}
	return New("node-0", 1, registry, backends, backends, backends, slog.New(slog.DiscardHandler))
}

// TestTakeoverRequiresOwnerKeyDeleted lets the owner of a replica return between the moment at which
// its key was seen to be deleted and the takeover: the owner keeps the replica.
func TestTakeoverRequiresOwnerKeyDeleted(t *testing.T) {
	backends := newFakeBackends()
	backends.put(modelKey("a"), Record{Phase: PhaseAwake, Epoch: 3, Owner: "node-1", Incarnation: 7, Server: "gpu-0"})
	controller := newTestController(t, backends)
	returned := false
	backends.beforeCommit = func() {
		if controller.registered() && !returned {
			returned = true
			backends.put(controllerKey("node-1"), registration{Incarnation: 7})
		}
	}
	controller.Tick()
	backends.now += time.Second
	controller.Tick()
	if !returned {
		t.Fatal("no takeover was attempted")
	}
	var record Record
	if err := json.Unmarshal(backends.items[modelKey("a")].Value, &record); err != nil {
		t.Fatal(err)
	}
	if record.Owner != "node-1" || record.Epoch != 3 || backends.conflicts == 0 {
		t.Errorf("%s owns the replica under epoch %d although the previous owner is alive", record.Owner, record.Epoch)
	}
}

// TestOwnerStopsOnceLeaseMayHaveExpired leaves the renewals of an owner's lease unanswered: it
// commands the model server until the lease may have expired by its own clock, and no longer,
// since another controller may have taken over by then.
func TestOwnerStopsOnceLeaseMayHaveExpired(t *testing.T) {
	backends := newFakeBackends()
	controller := newTestController(t, backends)
	controller.Tick()
	controller.Handle(&Request{ID: 1, Model: "a", IdempotencyKey: "k", Deadline: time.Hour})
	controller.Tick()
	if len(backends.commands) == 0 {
		t.Fatal("the model server got no command")
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
		t.Errorf("%d commands after the lease may have expired", n)
	}
}

// TestMalformedRecord lists a record that cannot be decoded: its version is known, so that the
// next write replaces it.
func TestMalformedRecord(t *testing.T) {
	backends := newFakeBackends()
	backends.items[modelKey("a")] = wire.Item{Key: modelKey("a"), Value: []byte("{"), Version: 1}
	controller := newTestController(t, backends)
	controller.Tick()
	controller.Handle(&Request{ID: 1, Model: "a", IdempotencyKey: "k", Deadline: time.Hour})
	var record Record
	if err := json.Unmarshal(backends.items[modelKey("a")].Value, &record); err != nil || record.Owner != "node-0" {
		t.Errorf("the record is %+v, %v", record, err)
	}
}
