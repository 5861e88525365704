package core

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// During a rolling upgrade, controllers of two versions share the records in the key-value store.
// The types below are frozen copies of the record types of the version in production: this version
// must preserve all of their fields when it rewrites a record. The types whose names begin with
// "later" are copies from the later of the two old versions (testdata/chains), which may run as
// well.

type productionJob struct {
	ID          string   `json:"nameId"`
	Class       string   `json:"jobclass"`
	Team        string   `json:"crew"`
	Shape       string   `json:"shape"`
	Priority    string   `json:"urgency"`
	Tasks       int      `json:"shards"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"accelerators"`
	MemGB       float64  `json:"memGb"`
	Image       string   `json:"bundle"`
	ImageGB     float64  `json:"pullGb"`
	Types       []string `json:"hulls,omitempty"`
	Zone        string   `json:"berth,omitempty"`
	OneZone     bool     `json:"together,omitempty"`
	Spread      bool     `json:"apart,omitempty"`
	Spot        bool     `json:"standby,omitempty"`
	EstimateS   float64  `json:"guessS"`
	CheckpointS float64  `json:"markS"`
	SaveS       float64  `json:"stowS"`
	DeadlineS   *float64 `json:"dueS,omitempty"`
}

type productionOpen struct {
	Job         productionJob `json:"j"`
	At          int64         `json:"at"`
	Cancelled   bool          `json:"c,omitempty"`
	AskedAt     int64         `json:"ak,omitempty"`
	CancelledAt int64         `json:"ca,omitempty"`
}

type productionFinal struct {
	Status string `json:"s"`
	Tasks  int    `json:"n"`
}

type productionPlace struct {
	Next  uint64                 `json:"n"`
	Done  []int                  `json:"d,omitempty"`
	Tasks []productionPlaceEntry `json:"t,omitempty"`
}

type productionPlaceEntry struct {
	Task    int    `json:"i"`
	Attempt uint64 `json:"a"`
	Machine string `json:"m"`
	Zone    string `json:"z"`
	Session uint64 `json:"s"`
}

type productionLeader struct {
	Name string `json:"name"`
	Term uint64 `json:"term"`
}

type productionMachineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"accelerators"`
	MemGB     float64  `json:"memGb"`
	CacheGB   float64  `json:"localGb"`
	FetchGBPS float64  `json:"fetchGbPerS"`
	Price     float64  `json:"rate"`
	SpotPrice float64  `json:"lowPrice"`
	BootS     float64  `json:"bootS"`
	Zones     []string `json:"berths"`
}

type productionMachineTypes struct {
	Types []productionMachineType `json:"hulls"`
}

type laterJob struct {
	productionJob
	Awaits []string `json:"awaits,omitempty"`
}

type laterOpen struct {
	Job         laterJob `json:"j"`
	At          int64    `json:"at"`
	Cancelled   bool     `json:"c,omitempty"`
	AskedAt     int64    `json:"ak,omitempty"`
	CancelledAt int64    `json:"ca,omitempty"`
	Needed      bool     `json:"nd,omitempty"`
	ReadyAt     int64    `json:"ra,omitempty"`
}

func firstInts(n int) []int {
	var out []int
	for i := range n {
		out = append(out, i)
	}
	return out
}

// TestProductionRecords checks that this version decodes every kind of record written by the
// version in production, and that its own encoding decodes into the frozen types without loss.
func TestProductionRecords(t *testing.T) {
	due := 1234.5
	zones := []string{"east", "north", "west"}
	tests := map[string]struct {
		want   any // the record as decoded by this version
		frozen any // zero value of the frozen type
	}{
		"open": {records.Open{Job: wire.Job{
			ID: "job-000001", Class: "web", Team: "t", Shape: "array", Priority: "normal",
			Tasks: 12, CPUs: 2, MemGB: 1, Image: "img", ImageGB: 1, MachineTypes: []string{"small", "big"}, Zone: "east",
			OneZone: true, AllowSpot: true, EstimatedRunS: 20, CheckpointIntervalS: 5, CheckpointDurationS: 3,
		}, SubmittedAt: 1000000001004}, productionOpen{}},
		"open_every_field": {records.Open{Job: wire.Job{
			ID: "job-000007", Class: "train", Team: "vision", Shape: "group",
			Priority: "urgent", Tasks: 4, CPUs: 6.5, GPUs: 2, MemGB: 48, Image: "img-7", ImageGB: 12.25,
			MachineTypes: []string{"big", "small"}, Zone: "east", OneZone: true, SpreadZones: true, AllowSpot: true, EstimatedRunS: 600,
			CheckpointIntervalS: 30, CheckpointDurationS: 4.5, DeadlineS: &due,
		}, SubmittedAt: 1764640000123}, productionOpen{}},
		"open_asked": {records.Open{Job: wire.Job{
			ID: "job-000002", Class: "web", Team: "t", Shape: "group",
			Priority: "urgent", Tasks: 3, CPUs: 2, GPUs: 2, MemGB: 16, Image: "img", ImageGB: 2, SpreadZones: true,
			EstimatedRunS: 300,
		}, SubmittedAt: 1000000001004, Cancelled: true, CancelRequestedAt: 1000000060010}, productionOpen{}},
		"open_told": {records.Open{
			Job: wire.Job{
				ID: "job-000003", Class: "web", Team: "t", Shape: "daemon",
				Priority: "critical", Tasks: 3, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 2, SpreadZones: true,
			},
			SubmittedAt: 1000000001001, Cancelled: true, CancelRequestedAt: 1000000062006, CancelAcknowledgedAt: 1000000062132,
		}, productionOpen{}},
		"final_done":      {records.Final{Status: "done", Tasks: 240}, productionFinal{}},
		"final_cancelled": {records.Final{Status: "withdrawn", Tasks: 3}, productionFinal{}},
		"place_tasks": {records.Placement{NextAttempt: 2, Tasks: []records.PlacedTask{
			{Task: 0, Attempt: 1, Machine: "n-000018", Zone: "east", Incarnation: 1},
			{Task: 1, Attempt: 1, Machine: "n-000018", Zone: "east", Incarnation: 1},
			{Task: 2, Attempt: 1, Machine: "n-000017", Zone: "west", Incarnation: 1},
		}}, productionPlace{}},
		"place_done_and_tasks": {records.Placement{NextAttempt: 13, Done: firstInts(8), Tasks: []records.PlacedTask{
			{Task: 8, Attempt: 9, Machine: "n-000027", Zone: "east", Incarnation: 1},
			{Task: 9, Attempt: 10, Machine: "n-000027", Zone: "east", Incarnation: 1},
			{Task: 10, Attempt: 11, Machine: "n-000027", Zone: "east", Incarnation: 1},
			{Task: 11, Attempt: 12, Machine: "n-000027", Zone: "east", Incarnation: 1},
		}}, productionPlace{}},
		"place_done": {records.Placement{NextAttempt: 243, Done: firstInts(128)}, productionPlace{}},
		"leader":     {election.LeaderValue{Name: "node-2", Term: 3}, productionLeader{}},
		"term":       {uint64(3), uint64(0)},
		"types": {wire.MachineTypes{Types: []wire.MachineType{
			{Name: "small", CPUs: 8, MemGB: 32, CacheGB: 200, PullGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: zones},
			{
				Name: "big", CPUs: 32, GPUs: 8, MemGB: 256, CacheGB: 200, PullGBPerS: 4, Price: 10, SpotPrice: 3, BootS: 15,
				Zones: zones,
			},
		}}, productionMachineTypes{}},
	}
	files, _ := filepath.Glob("testdata/production/*.json")
	if len(files) != len(tests) {
		t.Errorf("got %d fixture files, want one for each of %d tests", len(files), len(tests))
	}
	decode := func(t *testing.T, data []byte, like any) any {
		t.Helper()
		p := reflect.New(reflect.TypeOf(like))
		if err := json.Unmarshal(data, p.Interface()); err != nil {
			t.Fatalf("%s: %v", data, err)
		}
		return p.Elem().Interface()
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("testdata/production/" + name + ".json")
			if err != nil {
				t.Fatal(err)
			}
			got := decode(t, data, tc.want)
			if !reflect.DeepEqual(got, tc.want) {
				t.Errorf("decoded record: got %+v, want %+v", got, tc.want)
			}
			before, after := decode(t, data, tc.frozen), decode(t, kv.Encode(got), tc.frozen)
			if !reflect.DeepEqual(before, after) {
				t.Errorf("record decoded by the version in production: want %+v, got %+v after this version rewrote it", before, after)
			}
		})
	}
}

// TestLaterVersionRecord checks that this version decodes an open record in which the later of the
// two old versions has set every field, and that its own encoding decodes into the frozen types of
// both old versions without loss.
func TestLaterVersionRecord(t *testing.T) {
	data, err := os.ReadFile("testdata/chains/open_every_field.json")
	if err != nil {
		t.Fatal(err)
	}
	due := 1234.5
	want := records.Open{
		Job: wire.Job{
			ID: "job-000007", Class: "train", Team: "vision", Shape: "group",
			Priority: "urgent", Tasks: 4, CPUs: 6.5, GPUs: 2, MemGB: 48, Image: "img-7", ImageGB: 12.25,
			MachineTypes: []string{"big", "small"}, Zone: "east", OneZone: true, SpreadZones: true, AllowSpot: true, EstimatedRunS: 600,
			CheckpointIntervalS: 30, CheckpointDurationS: 4.5, DeadlineS: &due, Dependencies: []string{"job-000005", "job-000006"},
		}, SubmittedAt: 1764640000123,
		Cancelled: true, CancelRequestedAt: 1764640000124, CancelAcknowledgedAt: 1764640000125, HasDependents: true, ReadyAt: 1764640000126,
	}
	var got records.Open
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded record: got %+v, want %+v", got, want)
	}
	for _, layout := range []func() any{func() any { return &laterOpen{} }, func() any { return &productionOpen{} }} {
		before, after := layout(), layout()
		if json.Unmarshal(data, before) != nil || json.Unmarshal(kv.Encode(got), after) != nil {
			t.Fatalf("record cannot be decoded as %T", before)
		}
		if !reflect.DeepEqual(before, after) {
			t.Errorf("record decoded as %T: want %+v, got %+v after this version rewrote it", before, before, after)
		}
	}
	expectSameJSON(t, data, kv.Encode(got))
}

// expectSameJSON checks that this version's encoding has the same JSON fields as an old version's.
func expectSameJSON(t *testing.T, old, current []byte) {
	t.Helper()
	var a, b any
	if json.Unmarshal(old, &a) != nil || json.Unmarshal(current, &b) != nil {
		t.Fatalf("invalid JSON in one of %s and %s", old, current)
	}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("an old version encoded\n%s\nthis version encodes it as\n%s", old, current)
	}
}

// recordKind returns the kind of record that this version stores under a key, with a pointer to a
// zero value of its type; empty for an unknown key.
func recordKind(key string) (string, any) {
	place, isPlace := records.ParsePlacementKey(key, 1)
	switch {
	case key == election.KeyLeader:
		return "leader", &election.LeaderValue{}
	case key == election.KeyTerm:
		return "term", new(uint64)
	case key == records.KeyMachineTypes:
		return "types", &wire.MachineTypes{}
	case strings.HasPrefix(key, records.PrefixOpen):
		return "open", &records.Open{}
	case strings.HasPrefix(key, records.PrefixFinal):
		return "final", &records.Final{}
	case strings.HasPrefix(key, records.PrefixPlacement) && isPlace && place.Numbered:
		return "numbered", &records.Placement{}
	case strings.HasPrefix(key, records.PrefixPlacement) && isPlace && records.RangeKey("job-000001", place.From, place.To)[len("p/job-000001"):] == key[len("p/job-000001"):]:
		return "range", &records.Placement{}
	}
	return "", nil
}

// TestOldTransactions checks that this version knows the keys in transactions that old versions
// sent, one of each kind, and encodes the decoded records identically.
func TestOldTransactions(t *testing.T) {
	for dir, kinds := range map[string][]string{
		"production": {"final", "leader", "numbered", "open", "term", "types"},
		"chains":     {"final", "leader", "numbered", "open", "range", "term", "types"},
	} {
		data, err := os.ReadFile("testdata/" + dir + "/transactions.jsonl")
		if err != nil {
			t.Fatal(err)
		}
		seen := map[string]bool{}
		for _, line := range bytes.Split(bytes.TrimSpace(data), []byte("\n")) {
			var txn wire.Txn
			if err := json.Unmarshal(line, &txn); err != nil {
				t.Fatal(err)
			}
			for i, w := range txn.Writes {
				kind, value := recordKind(w.Put + w.Delete)
				if kind == "" {
					t.Fatalf("%s: unknown key %q", dir, w.Put+w.Delete)
				}
				if w.Delete != "" {
					continue
				}
				seen[kind] = true
				if err := json.Unmarshal(w.Value, value); err != nil {
					t.Fatalf("%s: %s: %v", dir, w.Put, err)
				}
				txn.Writes[i].Value = kv.Encode(value)
				if (w.Lease != 0) != (kind == "leader") {
					t.Errorf("%s: %s has lease %d, want a lease only for the leader key", dir, w.Put, w.Lease)
				}
			}
			for _, cond := range txn.Conditions {
				if kind, _ := recordKind(cond.Key); kind == "" {
					t.Errorf("%s: unknown key %q", dir, cond.Key)
				}
			}
			expectSameJSON(t, line, kv.Encode(txn))
		}
		if got := sortedKeys(seen); !slices.Equal(got, kinds) {
			t.Errorf("%s: kinds of records: got %q, want %q", dir, got, kinds)
		}
	}
}

// TestOldElection checks that this version encodes an election's transaction, which attaches the
// leader key to a lease, exactly as the old versions do.
func TestOldElection(t *testing.T) {
	want := wire.Txn{Conditions: []wire.Condition{{Key: election.KeyLeader}, {Key: election.KeyTerm, Version: 101}}, Writes: []wire.Write{
		{Put: election.KeyLeader, Value: kv.Encode(election.LeaderValue{Name: "node-1", Term: 2}), Lease: 2}, {Put: election.KeyTerm, Value: kv.Encode(2)},
	}}
	for _, dir := range []string{"production", "chains"} {
		data, err := os.ReadFile("testdata/" + dir + "/transactions.jsonl")
		if err != nil {
			t.Fatal(err)
		}
		first, _, _ := bytes.Cut(data, []byte("\n"))
		if got := kv.Encode(want); !bytes.Equal(got, first) {
			t.Errorf("%s wrote\n%s\nthis version writes\n%s", dir, first, got)
		}
	}
	if got := string(kv.Encode(wire.GrantRequest{TTLMs: 2000})); got != `{"ttlMs":2000}` {
		t.Errorf("lease request: got %s, want {\"ttlMs\":2000}", got)
	}
}

// TestProductionKeys checks that records have the same keys as in the version in production.
func TestProductionKeys(t *testing.T) {
	for got, want := range map[string]string{
		election.KeyLeader: "leader", election.KeyTerm: "term", records.KeyMachineTypes: "types", records.OpenKey("job-000001"): "o/job-000001",
		records.FinalKey("job-000001"): "f/job-000001", records.NumberedKey("job-000001", 1): "p/job-000001/1", records.RangeKey("job-000001", 12, 24): "p/job-000001/12-24",
	} {
		if got != want {
			t.Errorf("key: got %q, want %q", got, want)
		}
	}
}
