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
	departedKept = time.Minute
	// sweepPause lies between two looks for what need not be remembered any more: when
	// many servers go at once, each would go through all of them.
	sweepPause = time.Second
	// lapseBeats heartbeats after its return a store has dropped what nobody renews, and
	// routers know it: three of them, three more if it was interrupted just before, and
	// the time of an interruption too short to be noticed.
	lapseBeats = 8
)

// departures remember which lives of servers left, were gone or were replaced. A store that
// comes back from a copy may list them as ready once more, until their servers say again that
// they leave, or until it drops what nobody renews. Such an entry is doubted: its server gets
// nothing new until it has outlived that.
type departures struct {
	left    map[string]departure
	sweptAt time.Time
	// doubted has the names of entries.
	doubted map[string]bool
}

// departure is when a life was known to leave last. Said tells that it said so itself: it
// does not come back, while an entry may lapse whose server lives.
type departure struct {
	at   time.Time
	said bool
}

func newDepartures() departures {
	return departures{
		left:    make(map[string]departure),
		doubted: make(map[string]bool),
	}
}

// note remembers that a life left.
func (d *departures) note(listed *balance.Listed) {
	now := clock.Now()
	if now.Sub(d.sweptAt) > sweepPause {
		d.sweptAt = now
		maps.DeleteFunc(d.left, func(_ string, departed departure) bool { return now.Sub(departed.at) > departedKept })
	}
	d.left[listed.Life()] = departure{
		at:   now,
		said: listed.Leaving || d.left[listed.Life()].said,
	}
}

// gone notes that an entry is.
func (d *departures) gone(name string, listed *balance.Listed) {
	d.note(listed)
	delete(d.doubted, name)
}

// judge doubts an entry of the copy, or takes it as it is. The entry that was known before is
// nil if there was none; a life that began earlier than the known one is over.
func (d *departures) judge(name string, known, told *balance.Listed) {
	if known != nil && told.Born != 0 && told.Born < known.Born {
		d.doubted[name] = true
		return
	}
	if told.Leaving {
		d.note(told)
	}
	departed, ok := d.left[told.Life()]
	if ok && !told.Leaving && clock.Since(departed.at) <= departedKept {
		d.doubted[name] = true
		return
	}
	delete(d.doubted, name)
}

// written takes an entry that its server wrote. The life that it takes the place of is over.
func (d *departures) written(name string, known, told *balance.Listed) {
	if known != nil && known.Life() != told.Life() {
		d.gone(name, known)
	}
	switch {
	case told.Leaving:
		d.note(told)
		delete(d.doubted, name)
	case !d.left[told.Life()].said:
		delete(d.left, told.Life())
		delete(d.doubted, name)
	}
}
