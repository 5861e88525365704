package sim

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// minSeeds is the minimum number of seeds with which a scenario is run: some scenarios that were
// run with one seed passed by chance.
const minSeeds = 5

// TestScenarios runs every scenario file. A file has a comment that describes what it tests, and a
// section for each variant.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("found no scenario files in testdata; error: ", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, section := range txtar.Parse(data).Files {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar")+"/"+section.Name, func(t *testing.T) {
				t.Parallel()
				runSection(t, string(section.Data))
			})
		}
	}
}

// runSection runs a section of a scenario file with several seeds.
func runSection(t *testing.T, text string) {
	t.Helper()
	scenario := parseScenario(t, text)
	first := scenario.seed
	for ; scenario.seed < first+uint64(max(scenario.seedCount, minSeeds)); scenario.seed++ {
		_, failures := scenario.Run(testLog())
		for _, failure := range failures {
			t.Errorf("seed %d: %s", scenario.seed, failure)
		}
	}
}
