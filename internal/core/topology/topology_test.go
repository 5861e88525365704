package topology

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// newTree builds a tree of machines, each given as "zone/name/free GPUs".
func newTree(specs ...string) (*Tree, []*Machine) {
	var machines []*Machine
	for _, spec := range specs {
		parts := strings.Split(spec, "/")
		free := Resources{GPUs: float64(parts[2][0] - '0')}
		machines = append(machines, &Machine{Zone: parts[0], Name: parts[1], Free: free})
	}
	return New(machines), machines
}

func names(machines []*Machine) string {
	var names []string
	for _, m := range machines {
		names = append(names, m.Name)
	}
	return strings.Join(names, " ")
}

func TestPlace(t *testing.T) {
	one := Resources{GPUs: 1}
	for _, tc := range []struct {
		name    string
		tree    []string
		request Request
		want    string
	}{
		{"the machine with the least free resources that fits all", []string{"a/x/8", "a/y/3", "b/z/2"}, Request{TaskSize: one, Count: 3, RequiredLevel: LevelRoot}, "y y y"},
		{"the zone with the least free resources when no machine fits all", []string{"a/x/4", "a/y/4", "b/z/3", "b/w/3"}, Request{TaskSize: one, Count: 6, RequiredLevel: LevelRoot}, "w w w z z z"},
		{"within a zone, the machine that takes the most tasks first", []string{"a/x/4", "a/y/2", "a/z/1"}, Request{TaskSize: one, Count: 6, RequiredLevel: LevelZone}, "x x x x y y"},
		{"no placement over two zones when one zone is required", []string{"a/x/2", "b/y/2"}, Request{TaskSize: one, Count: 3, RequiredLevel: LevelZone}, ""},
		{"with no required zone, the zone that fits the most tasks first", []string{"a/x/2", "b/y/2", "b/w/1"}, Request{TaskSize: one, Count: 4, RequiredLevel: LevelRoot}, "y y w x"},
		{"nothing fits", []string{"a/x/1"}, Request{TaskSize: Resources{GPUs: 2}, Count: 1, RequiredLevel: LevelRoot}, ""},
		{"a zone's bound", []string{"a/x/8", "b/y/8", "c/z/8"}, Request{TaskSize: one, Count: 4, RequiredLevel: LevelRoot, ZoneBound: func(string) int { return 2 }}, "x x y y"},
		{"the lower penalty among machines that fit all", []string{"a/x/2", "a/y/4"}, Request{
			TaskSize: one, Count: 1, RequiredLevel: LevelRoot,
			Penalty: func(m *Machine) int { return strings.Index("yx", m.Name) },
		}, "y"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tree, machines := newTree(tc.tree...)
			before := map[string]Resources{}
			for _, m := range machines {
				before[m.Name] = m.Free
			}
			got := tree.Place(tc.request)
			if names(got) != tc.want {
				t.Fatalf("machines: got %q, want %q", names(got), tc.want)
			}
			for _, m := range got {
				before[m.Name] = before[m.Name].Sub(tc.request.TaskSize)
			}
			for _, m := range machines {
				if m.Free != before[m.Name] {
					t.Errorf("free resources of %s: got %v, want %v", m.Name, m.Free, before[m.Name])
				}
			}
		})
	}
}

func TestFit(t *testing.T) {
	for _, tc := range []struct {
		free, task Resources
		want       int
	}{
		{Resources{8, 2, 16}, Resources{1, 1, 1}, 2},
		{Resources{8, 2, 16}, Resources{1, 0, 4}, 4},
		{Resources{8, 2, 16}, Resources{}, 100},
		{Resources{8, 2, 16}, Resources{CPUs: 1e-20}, 100},
		{Resources{8, 2, 16}, Resources{CPUs: 5e-324, GPUs: 1}, 2},
		{Resources{8, 2, 16}, Resources{CPUs: 1e9}, 0},
		{Resources{-1, 2, 16}, Resources{CPUs: 1}, 0},
	} {
		if got := tc.free.Fit(tc.task, 100); got != tc.want {
			t.Errorf("tasks of %v that fit into %v: got %d, want %d", tc.task, tc.free, got, tc.want)
		}
	}
}

// randomTree builds a random tree; the same seed gives the same tree.
func randomTree(seed uint64) *Tree {
	random := rand.New(rand.NewPCG(seed, 1))
	var machines []*Machine
	for i := range 1 + random.IntN(30) {
		machines = append(machines, &Machine{
			Name:  fmt.Sprintf("m%02d", i),
			Zone:  string(rune('a' + random.IntN(3))),
			Price: float64(random.IntN(2)),
			Free:  Resources{CPUs: float64(random.IntN(12)) / 2, GPUs: float64(random.IntN(5)), MemGB: float64(random.IntN(9))},
			Index: random.IntN(3),
		})
	}
	return New(machines)
}

// placeOneByOne places tasks of a request with one call of Place each, at most bound in a zone.
func placeOneByOne(tree *Tree, request Request, tasks, bound int) []*Machine {
	var placed []*Machine
	inZone := map[string]int{}
	request.ZoneBound = func(zone string) int { return bound - inZone[zone] }
	for range tasks {
		got := tree.Place(request)
		if got == nil {
			break
		}
		inZone[got[0].Zone]++
		placed = append(placed, got[0])
	}
	return placed
}

// TestPlaceEachMatchesPlace checks that PlaceEach chooses the same machines for random tasks as one
// call of Place for each task.
func TestPlaceEachMatchesPlace(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		one, each := randomTree(seed), randomTree(seed)
		for range 5 {
			task := Resources{CPUs: float64(1+random.IntN(3)) / 2, GPUs: float64(random.IntN(2)), MemGB: 1}
			bound, forbidden, tasks := random.IntN(6), random.IntN(4), 1+random.IntN(20)
			request := Request{
				TaskSize:      task,
				Count:         1,
				RequiredLevel: LevelRoot,
				Penalty:       func(m *Machine) int { return m.Index },
				Allowed:       func(m *Machine) bool { return m.Index != forbidden },
			}
			want := placeOneByOne(one, request, tasks, bound)
			request.ZoneBound = func(string) int { return bound }
			if got := each.PlaceEach(request, tasks); names(got) != names(want) {
				t.Fatalf("seed %d: machines for %d tasks of %v: PlaceEach got %q, Place one by one %q", seed, tasks, task, names(got), names(want))
			}
		}
	}
}
