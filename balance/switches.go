package balance

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Switches turn decisions to the other way that was tried, so that both can be
// compared on the same days without another build. None is on in use.
type Switches struct {
	// ColdAsOthers has cold engines be chosen like the others, within their limit,
	// and not only while these are pressed.
	ColdAsOthers bool
	// WaitForHomes has requests that meet a router that has just started wait for
	// their prompt's home for as long as they can still be in time.
	WaitForHomes bool
	// ForgetEvacuated has prompts be read again that only evacuated engines keep, and
	// not fetched from there.
	ForgetEvacuated bool
}

// byName gives each switch by its name on the command line.
func (s *Switches) byName() map[string]*bool {
	return map[string]*bool{
		"cold-as-others":   &s.ColdAsOthers,
		"forget-evacuated": &s.ForgetEvacuated,
		"wait-for-homes":   &s.WaitForHomes,
	}
}

// ParseSwitches reads the names of those that are on.
func ParseSwitches(names []string) (Switches, error) {
	var s Switches
	known := s.byName()
	for _, name := range names {
		on := known[name]
		if on == nil {
			return Switches{}, errors.Errorf("there is no switch %s; name one of %s",
				name, strings.Join(slices.Sorted(maps.Keys(known)), ", "))
		}
		*on = true
	}
	return s, nil
}
