package balance

import (
	"math"
	"strconv"
)

// A pace says how long work takes at a backend server: usualPace is the usual value, and twice the
// value means twice the time. Values below MinPace and above MaxPace are not plausible.
const (
	usualPace = 100.0
	MinPace   = 10.0
	MaxPace   = 10_000.0
)

// maxReportedSlots bounds the slots that a backend server may report, as in its entry.
const maxReportedSlots = 100_000

// Load is what a backend server reports about its load and speed.
type Load struct {
	Running int
	Waiting int
	// Slots is how many requests the server works on at once, 0 if it doesn't report it.
	Slots int
	// Pace says how long work takes there at this moment, 0 if the server doesn't report it.
	Pace float64
	// InvalidPace is the text of a reported pace that isn't valid.
	InvalidPace string
}

// ParsePace parses a reported pace. ok is false if it isn't a number from MinPace to MaxPace.
func ParsePace(text string) (pace float64, ok bool) {
	const bits = 64
	pace, err := strconv.ParseFloat(text, bits)
	if err != nil || !isValidPace(pace) {
		return 0, false
	}
	return pace, true
}

// isValidPace reports whether the pace is in the valid range, which NaN is not.
func isValidPace(pace float64) bool {
	return pace >= MinPace && pace <= MaxPace && !math.IsNaN(pace)
}
