package balance

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Switches select alternative decisions, so that they can be compared under the same conditions
// without another build. None is set in production.
type Switches struct {
	// ColdAsOthers chooses cold engines like the others, within their limit, and not only while
	// the others are busy.
	ColdAsOthers bool
	// WaitForCacheHolder makes requests on a router that has just started wait until it knows
	// which engine has their prompt cached, for as long as they can still meet the latency
	// objective. Otherwise they wait no longer than an engine takes to prefill the prompt.
	WaitForCacheHolder bool
	// ForgetEvacuated makes engines prefill prompts that only evacuated engines have cached,
	// and not fetch them from there.
	ForgetEvacuated bool
}

// byName returns each switch by its name on the command line.
func (s *Switches) byName() map[string]*bool {
	return map[string]*bool{
		"cold-as-others":   &s.ColdAsOthers,
		"forget-evacuated": &s.ForgetEvacuated,
		"wait-for-homes":   &s.WaitForCacheHolder,
	}
}

// ParseSwitches returns the switches with the given names set.
func ParseSwitches(names []string) (Switches, error) {
	var s Switches
	known := s.byName()
	for _, name := range names {
		on := known[name]
		if on == nil {
			return Switches{}, errors.Errorf("unknown switch %q; known switches: %s",
				name, strings.Join(slices.Sorted(maps.Keys(known)), ", "))
		}
		*on = true
	}
	return s, nil
}
