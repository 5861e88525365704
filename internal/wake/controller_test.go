package wake

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// fakeBackends is a store, model servers and a host. Calls are answered at once, except watches,
// forwarded requests and, if dropRenewals is set, renewals of leases.
type fakeBackends struct {
	now          time.Duration
	items        map[string]wire.Item
	revision     uint64
	dropRenewals bool   // renewals of leases get no answer
	beforeCommit func() // called before each transaction, if set
	conflicts    int    // transactions that failed with a conflict
	commands     []Command
	commandTimes []time.Duration                                 // when each of the commands was sent
	onCommand    func(command Command, done func(ReplicaStatus)) // handles commands, if set
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
	f.commandTimes = append(f.commandTimes, f.now)
	if f.onCommand != nil {
		f.onCommand(command, done)
		return
	}
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

// newTestController creates a controller of one model.
func newTestController(t *testing.T, backends *fakeBackends) *Controller {
	t.Helper()
	registry, err := ParseRegistry("lease_s = 4\ncopy_lease_s = 12\nmax_waking = 2\nmax_waiting = 10\n" +
		"[[models]]\nname = \"a\"\nservers = [\"gpu-0\"]\nload_s = 10\n")
	if err != nil {
		t.Fatal(err)
	}
	return New("node-0", 1, registry, backends, backends, backends, slog.New(slog.DiscardHandler))
}

// TestTakeoverRequiresOwnerKeyDeleted lets the owner of a replica register again after another
// controller has found its key deleted and before that controller commits the takeover: the
// takeover must fail, and the owner keep the replica.
func TestTakeoverRequiresOwnerKeyDeleted(t *testing.T) {
	backends := newFakeBackends()
	backends.put(modelKey("a"), Record{Phase: PhaseServing, Epoch: 3, Owner: "node-1", Incarnation: 7, Server: "gpu-0"})
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
		t.Errorf("replica owned by %s under epoch %d, want node-1 under epoch 3 and a takeover that fails with a conflict", record.Owner, record.Epoch)
	}
}

// TestOwnerStopsOnceLeaseMayHaveExpired leaves the renewals of an owner's lease unanswered. Once
// the lease may have expired by the owner's clock, it must send no further commands to the model
// server, since another controller may have taken over by then.
func TestOwnerStopsOnceLeaseMayHaveExpired(t *testing.T) {
	backends := newFakeBackends()
	controller := newTestController(t, backends)
	controller.Tick()
	controller.Handle(&Request{ID: 1, Model: "a", IdempotencyKey: "k", Deadline: time.Hour})
	controller.Tick()
	if len(backends.commands) == 0 {
		t.Fatal("the owner sent no command to the model server before its lease expired")
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
		t.Errorf("got %d commands after the lease may have expired, want 0", n)
	}
}

// TestMalformedRecord lists a record that cannot be decoded. Its version is known all the same,
// so the next write must replace it.
func TestMalformedRecord(t *testing.T) {
	backends := newFakeBackends()
	backends.items[modelKey("a")] = wire.Item{Key: modelKey("a"), Value: []byte("{"), Version: 1}
	controller := newTestController(t, backends)
	controller.Tick()
	controller.Handle(&Request{ID: 1, Model: "a", IdempotencyKey: "k", Deadline: time.Hour})
	var record Record
	if err := json.Unmarshal(backends.items[modelKey("a")].Value, &record); err != nil || record.Owner != "node-0" {
		t.Errorf("got record %+v, decode error %v, want a record owned by node-0", record, err)
	}
}
