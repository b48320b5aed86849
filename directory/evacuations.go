package directory

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// Evacuations maintains the list of evacuated data centres. Set the exported fields before the
// first call. It is safe for concurrent use.
type Evacuations struct {
	// OnChange receives each new list, sorted. Calls do not overlap, and must not call back
	// into the list.
	OnChange func([]string)
	// EvacuationTime is the time in which routers have to follow the start or the end of an
	// evacuation.
	EvacuationTime time.Duration

	mu sync.Mutex
	// listed has the data centres that the store lists, retained those that a restored store
	// lacked, both by the name of their object.
	listed, retained map[string]string
	// graceUntil is until when evacuations that disappear from the store are retained;
	// graceTimer ends that.
	graceUntil time.Time
	graceTimer *time.Timer
}

// NewEvacuations returns an empty list that reports its changes to onChange.
func NewEvacuations(evacuationTime time.Duration, onChange func([]string)) *Evacuations {
	return &Evacuations{
		OnChange:       onChange,
		EvacuationTime: evacuationTime,
		listed:         make(map[string]string),
		retained:       make(map[string]string),
	}
}

// StoreRestored starts a grace period after the store was restored from a backup; stableFor is how
// long ago the fleet noticed the restore. An evacuation that the backup lacks may not have been
// ended but be about to be written again, so it stays in force for EvacuationTime. To send no
// requests to a data centre for that long costs less than to send some to one that has to be empty.
func (e *Evacuations) StoreRestored(stableFor time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	period := e.EvacuationTime - stableFor
	e.graceUntil = clock.Now().Add(period)
	if e.graceTimer != nil {
		e.graceTimer.Stop()
	}
	e.graceTimer = time.AfterFunc(period, e.dropRetained)
}

func (e *Evacuations) dropRetained() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.retained) > 0 {
		clear(e.retained)
		e.publishLocked()
	}
}

// Apply applies changes and reports the resulting list. An object that cannot be decoded keeps
// its previous value.
func (e *Evacuations) Apply(changes []Change[string]) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range changes {
		if c.Invalid {
			continue
		}
		if dataCentre, ok := e.listed[c.Name]; ok && c.Removed && clock.Now().Before(e.graceUntil) {
			e.retained[c.Name] = dataCentre
		}
		delete(e.listed, c.Name)
		if !c.Removed {
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
