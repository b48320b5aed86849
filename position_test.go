package slipwick

import "testing"

func TestPositionsAreOrderedByTimelineFirst(t *testing.T) {
	position := func(timeline, revision uint64) Position {
		return Position{
			Timeline: timeline,
			Revision: revision,
		}
	}
	for _, tc := range []struct {
		name         string
		first, other Position
		want         bool
	}{
		{"revisions of one timeline", position(2, 5), position(2, 6), true},
		{"the same position", position(2, 5), position(2, 5), false},
		{"a lower revision of a later timeline", position(1, 9), position(2, 5), true},
		{"a higher revision of an earlier timeline", position(2, 5), position(1, 9), false},
		{"unknown timeline, higher revision", position(2, 5), position(0, 6), true},
		{"unknown timeline, lower revision", position(0, 4), position(2, 5), true},
		{"zero position", Position{}, position(1, 1), true},
	} {
		if got := tc.first.Before(tc.other); got != tc.want {
			t.Errorf("%s: got %t, want %t", tc.name, got, tc.want)
		}
	}
}
