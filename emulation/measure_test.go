package emulation

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
)

var (
	measure       = flag.Bool("measure", false, "run and print all measurements")
	onlyAdmission = flag.String("policy", "", "run only the admission with this name: owner, hash, local or two-choices")
	onlyCase      = flag.String("case", "", "run only the case with this name")
)

// TestMeasure prints the measurements of admission by owners, which has the name
// owner, and of each baseline in each case, as Go benchmark output. It is a test
// because synctest is not available in benchmarks.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run with make measure")
	}
	variants := []struct {
		name     string
		baseline Baseline
	}{
		{
			name: "owner",
		},
		{
			name:     "hash",
			baseline: HashOnly,
		},
		{
			name:     "local",
			baseline: LocalLimit,
		},
		{
			name:     "two-choices",
			baseline: TwoChoices,
		},
	}
	for _, c := range Cases() {
		if *onlyCase != "" && *onlyCase != c.Name {
			continue
		}
		for _, variant := range variants {
			if *onlyAdmission != "" && *onlyAdmission != variant.name {
				continue
			}
			synctest.Test(t, func(*testing.T) {
				setup := c.Setup
				setup.Baseline = variant.baseline
				w := NewWorld(setup)
				w.StartChats()
				w.WarmUp()
				c.Run(w)
				report := w.Report()
				w.Close()
				fmt.Println(report.Benchmark("BenchmarkPlacement/" + variant.name + "/" + c.Name))
			})
		}
	}
}
