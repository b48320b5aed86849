package quota

import "time"

// maxFallen bounds what a trend adds to the slots that the sums show as free. If the demand rises again at once,
// the fleet has up to this part of the slots too many requests in flight for two intervals of updates.
const maxFallen = 1.0 / 16

// trend estimates by how much the use of a pool fell since the reports that the fleet's latest sums contain.
// Without it, slots that are released while demand falls reach other routers two intervals of updates late.
type trend struct {
	// inFlight are the requests in flight in the latest sums, at is when these were received.
	inFlight float64
	at       time.Time
	// fallen are the slots that were probably released since.
	fallen float64
}

// observe takes the requests in flight of new sums, which contain this router's report as of a time.
func (t *trend) observe(inFlight float64, ownAsOf, now time.Time) {
	t.fallen = 0
	if since := now.Sub(t.at); since > 0 && since <= fleetTTL {
		rate := max(t.inFlight-inFlight, 0) / since.Seconds()
		t.fallen = rate * max(now.Sub(ownAsOf), 0).Seconds()
	}
	t.inFlight, t.at = inFlight, now
}

// shift returns by how much a router's limit changes: each gives up what it released itself, up to the fleet's
// mean, and gets an equal part of what all released. No more is divided than the sums show as free.
func (t *trend) shift(slots, reported, current float64, routers int) float64 {
	fallen := min(t.fallen, max(slots-t.inFlight, 0), maxFallen*slots)
	if fallen <= 0 {
		return 0
	}
	released := min(max(reported-current, 0), reported*ratio(fallen, t.inFlight))
	return fallen/float64(max(routers, 1)) - released
}
