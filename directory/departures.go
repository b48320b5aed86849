package directory

import (
	"maps"
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
)

const (
	// departedKept is for how long it is remembered that a server left: longer than the
	// copies are old that a store comes back from.
	departureTTL = time.Minute
	// sweepPause lies between two looks for what need not be remembered any more: when
	// many servers go at once, each would go through all of them.
	sweepInterval = time.Second
	// lapseBeats heartbeats after its return a store has dropped what nobody renews, and
	// routers know it: three of them, three more if it was interrupted just before, and
	// the time of an interruption too short to be noticed.
	expiryHeartbeats = 8
)

// departures remember which lives of servers left, were gone or were replaced. A store that
// comes back from a copy may list them as ready once more, until their servers say again that
// they leave, or until it drops what nobody renews. Such an entry is doubted: its server gets
// nothing new until it has outlived that.
type departures struct {
	departed map[string]departure
	sweptAt  time.Time
	// doubted has the names of entries.
	suspect map[string]bool
}

// departure is when a life was known to leave last. Said tells that it said so itself: it
// does not come back, while an entry may lapse whose server lives.
type departure struct {
	at        time.Time
	announced bool
}

func newDepartures() departures {
	return departures{
		departed: make(map[string]departure),
		suspect:  make(map[string]bool),
	}
}

// note remembers that a life left.
func (d *departures) record(listed *balance.Listed) {
	now := clock.Now()
	if now.Sub(d.sweptAt) > sweepInterval {
		d.sweptAt = now
		maps.DeleteFunc(d.departed, func(_ string, departed departure) bool { return now.Sub(departed.at) > departureTTL })
	}
	d.departed[listed.Life()] = departure{
		at:        now,
		announced: listed.Leaving || d.departed[listed.Life()].announced,
	}
}

// gone notes that an entry is.
func (d *departures) removed(name string, listed *balance.Listed) {
	d.record(listed)
	delete(d.suspect, name)
}

// judge doubts an entry of the copy, or takes it as it is. The entry that was known before is
// nil if there was none; a life that began earlier than the known one is over.
func (d *departures) checkRestored(name string, known, received *balance.Listed) {
	if known != nil && received.Born != 0 && received.Born < known.Born {
		d.suspect[name] = true
		return
	}
	if received.Leaving {
		d.record(received)
	}
	departed, ok := d.departed[received.Life()]
	if ok && !received.Leaving && clock.Since(departed.at) <= departureTTL {
		d.suspect[name] = true
		return
	}
	delete(d.suspect, name)
}

// written takes an entry that its server wrote. The life that it takes the place of is over.
func (d *departures) checkWritten(name string, known, received *balance.Listed) {
	if known != nil && known.Life() != received.Life() {
		d.removed(name, known)
	}
	switch {
	case received.Leaving:
		d.record(received)
		delete(d.suspect, name)
	case !d.departed[received.Life()].announced:
		delete(d.departed, received.Life())
		delete(d.suspect, name)
	}
}
