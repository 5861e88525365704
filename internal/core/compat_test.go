package core

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// During an upgrade controllers of two versions share the records of the state
// service. The types below are frozen copies of those of the version in
// production: what this version writes must lose nothing that they know.

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

func firstInts(n int) []int {
	var out []int
	for i := range n {
		out = append(out, i)
	}
	return out
}

// TestProductionRecords reads every kind of record as the version in production
// writes it, and has the frozen types read what this version makes of it.
func TestProductionRecords(t *testing.T) {
	due := 1234.5
	zones := []string{"east", "north", "west"}
	tests := map[string]struct {
		want   any // a value of this version's type
		frozen any // one of the production version's, empty
	}{
		"open": {openRecord{Job: wire.Job{ID: "job-000001", Class: "web", Team: "t", Shape: "array", Priority: "normal",
			Tasks: 12, CPUs: 2, MemGB: 1, Image: "img", ImageGB: 1, Types: []string{"small", "big"}, Zone: "east",
			OneZone: true, Spot: true, EstimateS: 20, CheckpointS: 5, SaveS: 3}, At: 1000000001004}, productionOpen{}},
		"open_every_field": {openRecord{Job: wire.Job{ID: "job-000007", Class: "train", Team: "vision", Shape: "group",
			Priority: "urgent", Tasks: 4, CPUs: 6.5, GPUs: 2, MemGB: 48, Image: "img-7", ImageGB: 12.25,
			Types: []string{"big", "small"}, Zone: "east", OneZone: true, Spread: true, Spot: true, EstimateS: 600,
			CheckpointS: 30, SaveS: 4.5, DeadlineS: &due}, At: 1764640000123}, productionOpen{}},
		"open_asked": {openRecord{Job: wire.Job{ID: "job-000002", Class: "web", Team: "t", Shape: "group",
			Priority: "urgent", Tasks: 3, CPUs: 2, GPUs: 2, MemGB: 16, Image: "img", ImageGB: 2, Spread: true,
			EstimateS: 300}, At: 1000000001004, Cancelled: true, AskedAt: 1000000060010}, productionOpen{}},
		"open_told": {openRecord{Job: wire.Job{ID: "job-000003", Class: "web", Team: "t", Shape: "daemon",
			Priority: "critical", Tasks: 3, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 2, Spread: true},
			At: 1000000001001, Cancelled: true, AskedAt: 1000000062006, CancelledAt: 1000000062132}, productionOpen{}},
		"final_done":      {finalRecord{Status: "done", Tasks: 240}, productionFinal{}},
		"final_cancelled": {finalRecord{Status: "withdrawn", Tasks: 3}, productionFinal{}},
		"place_tasks": {placeRecord{Next: 2, Tasks: []placeEntry{
			{Task: 0, Attempt: 1, Machine: "n-000018", Zone: "east", Session: 1},
			{Task: 1, Attempt: 1, Machine: "n-000018", Zone: "east", Session: 1},
			{Task: 2, Attempt: 1, Machine: "n-000017", Zone: "west", Session: 1}}}, productionPlace{}},
		"place_done_and_tasks": {placeRecord{Next: 13, Done: firstInts(8), Tasks: []placeEntry{
			{Task: 8, Attempt: 9, Machine: "n-000027", Zone: "east", Session: 1},
			{Task: 9, Attempt: 10, Machine: "n-000027", Zone: "east", Session: 1},
			{Task: 10, Attempt: 11, Machine: "n-000027", Zone: "east", Session: 1},
			{Task: 11, Attempt: 12, Machine: "n-000027", Zone: "east", Session: 1}}}, productionPlace{}},
		"place_done": {placeRecord{Next: 243, Done: firstInts(128)}, productionPlace{}},
		"leader":     {leaderValue{Name: "node-2", Term: 3}, productionLeader{}},
		"term":       {uint64(3), uint64(0)},
		"types": {wire.MachineTypes{Types: []wire.MachineType{
			{Name: "small", CPUs: 8, MemGB: 32, CacheGB: 200, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: zones},
			{Name: "big", CPUs: 32, GPUs: 8, MemGB: 256, CacheGB: 200, FetchGBPS: 4, Price: 10, SpotPrice: 3, BootS: 15,
				Zones: zones}}}, productionMachineTypes{}},
	}
	files, _ := filepath.Glob("testdata/production/*.json")
	if len(files) != len(tests) {
		t.Errorf("%d fixtures, %d tests", len(files), len(tests))
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
				t.Errorf("read as %+v, want %+v", got, tc.want)
			}
			before, after := decode(t, data, tc.frozen), decode(t, encode(got), tc.frozen)
			if !reflect.DeepEqual(before, after) {
				t.Errorf("the version in production reads %+v, of what this one writes %+v", before, after)
			}
		})
	}
}

// TestProductionKeys holds the keys under which both versions look for records.
func TestProductionKeys(t *testing.T) {
	for got, want := range map[string]string{keyLeader: "leader", keyTerm: "term", prefixOpen + "job-000001": "o/job-000001",
		prefixFinal + "job-000001": "f/job-000001", numberedKey("job-000001", 1): "p/job-000001/1"} {
		if got != want {
			t.Errorf("key %q, want %q", got, want)
		}
	}
}
