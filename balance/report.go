package balance

import (
	"math"
	"strconv"
	"time"
)

// recordReportLocked takes the slots and the pace in the load report of a server. An invalid pace is
// ignored, and passed to OnInvalidPace once for each incarnation.
func (b *Balancer) recordReportLocked(s *server, load *Load, now time.Time) {
	if load.Slots > 0 && load.Slots <= maxReportedSlots {
		s.reportedSlots = load.Slots
	}
	text := load.InvalidPace
	if text == "" && load.Pace != 0 && !isValidPace(load.Pace) {
		text = strconv.FormatFloat(load.Pace, 'g', -1, 64)
	}
	switch {
	case text != "" && !s.hasInvalidPace:
		s.hasInvalidPace = true
		b.OnInvalidPace(s.Backend, text)
	case text == "" && load.Pace > 0:
		s.reportedPace, s.paceReportedAt = load.Pace, now
		b.countSpeedLocked(s, &SpeedCounts{
			Reports: 1,
			LogPace: int(math.Round(logUnits * math.Log(load.Pace/usualPace))),
		}, now)
	}
}

// slots returns the slots that the server reported, or else those of its entry.
func (s *server) slots() int {
	if s.reportedSlots > 0 {
		return s.reportedSlots
	}
	return s.EffectiveSlots()
}
