package sim

import (
	"fmt"
	"strings"
	"testing"
)

// TestExpensiveTypeIsRented submits thousands of tasks while the cloud has no machines of the cheap
// type but plenty of an expensive one, which must be rented as fast as the cloud's rate limit
// allows. When planning evaluated each machine for each task, it ran so rarely that the refusal of
// the cheap type had expired before each run: the cheap type was requested again and again, and
// almost no machine of the expensive type was rented for minutes.
func TestExpensiveTypeIsRented(t *testing.T) {
	const jobs, tasksOfJob, tasksOfMachine = 100, 100, 8
	var text strings.Builder
	text.WriteString("seed 1\nuntil 30\nteam t cpus=20000 cpus_max=20000\ncloud rps=80\nstate rps=2000 write_rps=1000\n")
	text.WriteString("type cheap cpus=16 mem=64 price=1 spot_price=0.5 cap=0 spot=0\n")
	fmt.Fprintf(&text, "type dear cpus=%d mem=64 price=20 spot_price=10 boot=5 cap=600 spot=0\n", tasksOfMachine)
	for i := range jobs {
		fmt.Fprintf(&text, "at 1 submit job-%06d tasks=%d run=300 image=i%d\n", i, tasksOfJob, i%4)
	}
	world := runScenario(t, text.String())
	if want := jobs * tasksOfJob / tasksOfMachine; world.cloud.rentedTotal < want {
		t.Errorf("machines rented within 30 s: got %d, want at least %d", world.cloud.rentedTotal, want)
	}
}
