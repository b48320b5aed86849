package quarantine

import (
	"slices"
	"time"
)

const (
	// partThreshold is how often servers have to crash under a prompt part, with nothing completed in
	// between, before it is quarantined.
	partThreshold = 3
	// crashInterval is the time within which crashes count once. Servers that fail together, as in a
	// rack failure, crash under every popular part at the same moment.
	crashInterval = 100 * time.Millisecond
)

// suspect is a prompt part under which servers crashed.
type suspect struct {
	key Key
	// crashes are those since which no request with the part has completed.
	crashes []Crash
	// completedAt is when a request with the part last completed, zero if this router knows of none.
	completedAt time.Time
}

// attribute returns the parts that account for the crashes. At each crash, all parts of the requests
// that ran there are suspects; the one at fault is a suspect at all of its crashes, and others are by
// chance or because its requests have them too. So the likeliest suspect is taken first, and its
// crashes no longer count against the others.
func attribute(suspects []suspect) []Key {
	var causes []Key
	var explained []Crash
	for {
		best, bestOpen := -1, 0
		for i := range suspects {
			open := withoutIncarnations(suspects[i].crashes, explained)
			if countIntervals(open) < partThreshold {
				continue
			}
			if best < 0 || suspects[i].isLikelier(&suspects[best], len(open), bestOpen) {
				best, bestOpen = i, len(open)
			}
		}
		if best < 0 {
			return causes
		}
		causes = append(causes, suspects[best].key)
		explained = append(explained, suspects[best].crashes...)
	}
}

// isLikelier reports whether the suspect is more likely at fault than the other one, given their
// numbers of crashes that are not explained yet. A part that was never seen to complete goes before
// one that was, such as the first part of all prompts of a workspace.
func (s *suspect) isLikelier(other *suspect, crashes, otherCrashes int) bool {
	hasCompleted, otherHasCompleted := !s.completedAt.IsZero(), !other.completedAt.IsZero()
	switch {
	case hasCompleted != otherHasCompleted:
		return otherHasCompleted
	case crashes != otherCrashes:
		return crashes > otherCrashes
	case !s.completedAt.Equal(other.completedAt):
		return s.completedAt.Before(other.completedAt)
	}
	return s.key < other.key
}

// withoutIncarnations returns the crashes whose incarnations are not among the others.
func withoutIncarnations(crashes, others []Crash) []Crash {
	var left []Crash
	for i := range crashes {
		isSame := func(other Crash) bool { return crashes[i].isSameIncarnation(&other) }
		if !slices.ContainsFunc(others, isSame) {
			left = append(left, crashes[i])
		}
	}
	return left
}

// countIntervals counts the crashes, those within crashInterval as one.
func countIntervals(crashes []Crash) int {
	times := make([]time.Time, 0, len(crashes))
	for i := range crashes {
		times = append(times, crashes[i].SeenAt)
	}
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var last time.Time
	for i, at := range times {
		if i == 0 || at.Sub(last) >= crashInterval {
			count++
			last = at
		}
	}
	return count
}
