package directory

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// Evacuations keeps the list of evacuated data centres. Set the exported fields before the
// first call.
type Evacuations struct {
	// OnChange takes each new list, one call at a time.
	OnChange func([]string)
	// Within is the time that routers have to follow an evacuation.
	Within time.Duration

	mu sync.Mutex
	// known are those that the store lists, kept those that a copy of it lacked, by the
	// names of their objects.
	listed, retained map[string]string
	graceUntil       time.Time
	graceTimer       *time.Timer
}

// NewEvacuations makes an empty list.
func NewEvacuations(within time.Duration, onChange func([]string)) *Evacuations {
	return &Evacuations{
		OnChange: onChange,
		Within:   within,
		listed:   make(map[string]string),
		retained: make(map[string]string),
	}
}

// FellBack notes that the store came back from a copy of itself; steady is how long ago the
// fleet knew. An evacuation that the copy lacks may not have been taken back, but be about
// to be written again: it holds for as long as taking it back may take. To send nothing to a
// data centre for that long costs less than to send to one that is to be empty.
func (e *Evacuations) FellBack(steady time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	within := e.Within - steady
	e.graceUntil = clock.Now().Add(within)
	if e.graceTimer != nil {
		e.graceTimer.Stop()
	}
	e.graceTimer = time.AfterFunc(within, e.dropRetained)
}

func (e *Evacuations) dropRetained() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.retained) > 0 {
		clear(e.retained)
		e.publishLocked()
	}
}

// Change takes changes. An object that can't be read leaves what it said before.
func (e *Evacuations) Change(changes []Change[string]) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range changes {
		if c.Invalid {
			continue
		}
		if dataCentre, ok := e.listed[c.Name]; ok && c.Gone && clock.Now().Before(e.graceUntil) {
			e.retained[c.Name] = dataCentre
		}
		delete(e.listed, c.Name)
		if !c.Gone {
			e.listed[c.Name] = c.Value
			delete(e.retained, c.Name)
		}
	}
	e.publishLocked()
}

func (e *Evacuations) publishLocked() {
	all := slices.AppendSeq(slices.Collect(maps.Values(e.listed)), maps.Values(e.retained))
	slices.Sort(all)
	e.OnChange(slices.Compact(all))
}
