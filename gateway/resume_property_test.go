package gateway

import (
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestResumedStreamsAreWholeInAnyCut breaks a stream at random bytes, over and
// over; each backend server that goes on begins at or before the event that the
// caller has last. The caller has to get every event once, in order.
func TestResumedStreamsAreWholeInAnyCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "events")
		end := rapid.SampledFrom([]string{"\n\n", "\r\n\r\n"}).Draw(t, "line ends")
		events := make([]string, 0, count)
		for i := range count {
			lineEnd := end[:len(end)/2]
			events = append(events, "id: "+strconv.Itoa(i+1)+lineEnd+"data: d"+strconv.Itoa(i+1)+end)
		}
		p := &passedOn{}
		var got strings.Builder
		for last := 0; last < count; {
			overlap := rapid.IntRange(0, last).Draw(t, "overlap")
			rest := strings.Join(events[last-overlap:], "")
			// An early end has to leave room for progress now and then.
			cut := rapid.IntRange(0, len(rest)).Draw(t, "cut")
			if rapid.Bool().Draw(t, "whole") {
				cut = len(rest)
			}
			feed(t, p, rest[:cut], &got)
			if p.lastID != "" {
				last, _ = strconv.Atoi(p.lastID)
			}
		}
		if want := strings.Join(events, ""); got.String() != want {
			t.Fatalf("got %q, want %q", got.String(), want)
		}
		if p.events != count {
			t.Fatalf("got %d events counted, want %d", p.events, count)
		}
	})
}

// feed hands bytes in pieces, as a connection brings them, and drops what is
// left of an event at the end.
func feed(t *rapid.T, p *passedOn, bytes string, got *strings.Builder) {
	held := ""
	for len(bytes) > 0 {
		n := rapid.IntRange(1, len(bytes)).Draw(t, "piece")
		held += bytes[:n]
		bytes = bytes[n:]
		size := wholeEvents([]byte(held))
		got.Write(p.take([]byte(held[:size])))
		held = held[size:]
	}
}
