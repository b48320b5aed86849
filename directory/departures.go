package directory

import (
	"maps"
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
)

const (
	// departureTTL is how long departures are remembered. It is longer than the age of backups
	// that a store is restored from.
	departureTTL = time.Minute
	// sweepInterval is the least time between two removals of outdated departures. Without it,
	// each of many servers that leave at once would cause a pass over all of them.
	sweepInterval = time.Second
)

// departures records which incarnations of servers have left, disappeared or been replaced. A
// store that was restored from a backup may list them as ready again, until their servers
// announce once more that they leave, or until it removes entries that nobody renews. Such an
// entry is suspect: its server gets no new requests until the entry has outlasted that time.
type departures struct {
	departed map[string]departure
	sweptAt  time.Time
	// suspect has the names of suspect entries.
	suspect map[string]bool
}

// departure is when an incarnation was last known to leave. announced is true if it said so
// itself: it will not come back, whereas an entry can also expire while its server lives.
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

// record remembers that an incarnation has left.
func (d *departures) record(listed *balance.Entry) {
	now := clock.Now()
	if now.Sub(d.sweptAt) > sweepInterval {
		d.sweptAt = now
		maps.DeleteFunc(d.departed, func(_ string, departed departure) bool { return now.Sub(departed.at) > departureTTL })
	}
	d.departed[listed.Incarnation()] = departure{
		at:        now,
		announced: listed.Leaving || d.departed[listed.Incarnation()].announced,
	}
}

// recordRemoval handles the removal of an entry.
func (d *departures) recordRemoval(name string, listed *balance.Entry) {
	d.record(listed)
	delete(d.suspect, name)
}

// checkRestored marks an entry of a restored store as suspect or as trusted. Known is the entry
// before the restore, nil if there was none; an incarnation that started before the known one
// has ended. A trusted incarnation that differs from the known one has replaced it, so that the
// known one has ended: a later restore may list it again.
func (d *departures) checkRestored(name string, known, received *balance.Entry) {
	if known != nil && received.StartTime != 0 && received.StartTime < known.StartTime {
		d.suspect[name] = true
		return
	}
	if received.Leaving {
		d.record(received)
	}
	departed, ok := d.departed[received.Incarnation()]
	if ok && !received.Leaving && clock.Since(departed.at) <= departureTTL {
		d.suspect[name] = true
		return
	}
	if known != nil && known.Incarnation() != received.Incarnation() {
		d.record(known)
	}
	delete(d.suspect, name)
}

// checkWritten handles an entry that its server wrote, as opposed to one that a restore brought
// back. The incarnation that it replaces has ended.
func (d *departures) checkWritten(name string, known, received *balance.Entry) {
	if known != nil && known.Incarnation() != received.Incarnation() {
		d.recordRemoval(name, known)
	}
	switch {
	case received.Leaving:
		d.record(received)
		delete(d.suspect, name)
	case !d.departed[received.Incarnation()].announced:
		delete(d.departed, received.Incarnation())
		delete(d.suspect, name)
	}
}
