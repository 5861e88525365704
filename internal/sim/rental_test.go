package sim

import (
	"fmt"
	"strings"
	"testing"
)

// TestExpensiveTypeIsRented has thousands of tasks wait while the cheap type has no machine
// and a dearer one plenty. The plan has to ask for the dearer one as fast as the cloud
// allows. Plans that looked at each machine for each task were so far apart that the
// cheap type's refusal was forgotten before each, so it was asked for again and again
// and of the other one next to nothing was rented for minutes.
func TestExpensiveTypeIsRented(t *testing.T) {
	const jobs, tasksOfJob, tasksOfMachine = 100, 100, 8
	var text strings.Builder
	text.WriteString("seed 1\nuntil 30\nteam t cpus=20000 cpus_max=20000\ncloud rps=80\nstate rps=2000 write_rps=1000\n")
	text.WriteString("type cheap cpus=16 mem=64 price=1 spot_price=0.5 cap=0 spot=0\n")
	fmt.Fprintf(&text, "type dear cpus=%d mem=64 price=20 spot_price=10 boot=5 cap=600 spot=0\n", tasksOfMachine)
	for i := range jobs {
		fmt.Fprintf(&text, "at 1 submit job-%06d tasks=%d run=300 image=i%d\n", i, tasksOfJob, i%4)
	}
	s, err := ParseScenario(text.String())
	if err != nil {
		t.Fatal(err)
	}
	world, faults := s.Run(testLog())
	for _, f := range faults {
		t.Error(f)
	}
	if want := jobs * tasksOfJob / tasksOfMachine; world.cloud.rentedTotal < want {
		t.Errorf("%d machines rented within 30 s, %d wanted", world.cloud.rentedTotal, want)
	}
}
