package daemon

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestMetricsPageAgreesWithCode checks that docs/METRICS.md lists exactly the metrics that a router
// serves.
func TestMetricsPageAgreesWithCode(t *testing.T) {
	f := newFixture(t, 1)
	f.post(t, chatPath, streamedChat)
	page, err := os.ReadFile("../../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, found := range regexp.MustCompile("(?m)^\\| `(slipwick_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		want = append(want, found[1])
	}
	families, err := f.router.frontend.metrics.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, family := range families {
		if strings.HasPrefix(family.GetName(), "slipwick_") {
			got = append(got, family.GetName())
		}
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("got metrics %v, the page lists %v", got, want)
	}
}
