package directory

import "time"

const (
	// lapseHeartbeats is the number of heartbeats after which the store removes an entry that
	// nobody renews.
	lapseHeartbeats = 3
	// heartbeat / removalDivisor is the time in which all routers know that the store has removed
	// an entry.
	removalDivisor = 2
	// expiryHeartbeats is the number of heartbeats after a restore by which the store has
	// removed entries that nobody renews, and routers know it: three for the expiry, three more
	// if an interruption of the store just before had restarted the expiry time, and
	// outageHeartbeats for an interruption too short to notice. The sum, 7.25, is rounded up.
	expiryHeartbeats = 8
)

// suspicion is the time until the store has removed the entries that it lists after a restore and
// that nobody renews. An interruption of the store may restart the expiry time of the entries that it
// still lists.
type suspicion struct {
	// since is the end of the restore, or of the latest outage after it.
	since time.Time
	// lapsesAt is when the store removes entries that nobody renews, as far as its known
	// interruptions show.
	lapsesAt time.Time
}

// begin starts the suspicion when the store responds after a restore or an outage.
func (s *suspicion) begin(now time.Time, heartbeat time.Duration) {
	s.since, s.lapsesAt = now, now.Add(lapseHeartbeats*heartbeat)
}

// interrupt records that the store may have been interrupted, for less than an outage, between two
// times at which it is known to have responded. That delays the removal of entries that it still
// listed when the interruption began, which may be up to a watch earlier than the first time. The
// suspicion does not start again: expiryHeartbeats includes one such interruption, and routers whose
// watchers the store rejects for a moment see the same.
func (s *suspicion) interrupt(from, to time.Time, heartbeat time.Duration) {
	if from.Before(s.lapsesAt.Add(heartbeat)) {
		s.lapsesAt = to.Add(lapseHeartbeats * heartbeat)
	}
}

// end returns when entries that the store still lists are trusted.
func (s *suspicion) end(heartbeat time.Duration) time.Time {
	end := s.since.Add(expiryHeartbeats * heartbeat)
	if known := s.lapsesAt.Add(heartbeat / removalDivisor); known.After(end) {
		return known
	}
	return end
}
