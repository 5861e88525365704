package sim

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// minSeeds is how many days of a scenario are played at the least: some that were played once
// passed by the luck of their seed.
const minSeeds = 5

// TestScenarios plays every scenario file. A file has a comment on what it guards, and a section
// for each variant.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, section := range txtar.Parse(data).Files {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar")+"/"+section.Name, func(t *testing.T) {
				t.Parallel()
				playSection(t, string(section.Data))
			})
		}
	}
}

// playSection plays a section of a scenario file with several seeds.
func playSection(t *testing.T, text string) {
	t.Helper()
	scenario := parseScenario(t, text)
	first := scenario.seed
	for ; scenario.seed < first+uint64(max(scenario.seedCount, minSeeds)); scenario.seed++ {
		_, faults := scenario.Run(testLog())
		for _, fault := range faults {
			t.Errorf("seed %d: %s", scenario.seed, fault)
		}
	}
}
