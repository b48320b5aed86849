package membership

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// TestRumoursAreSentTheLeastOftenFirst passes on the news of a fleet, with newer news of one box
// in between, until nothing is left.
func TestRumoursAreSentTheLeastOftenFirst(t *testing.T) {
	const boxes, perPacket = 20, 8
	var r rumours
	for i := range boxes {
		r.add(&memberpb.News{
			Id: fmt.Sprint("r", i),
		})
	}
	sent := make(map[string]int)
	newer := &memberpb.News{
		Id:          "r3",
		Incarnation: 1,
	}
	takes := 0
	for ; len(r.byID) > 0; takes++ {
		if takes == 1 {
			r.add(newer)
			sent["r3"] = 0
		}
		least, most := boxes*perPacket, 0
		for _, news := range r.take(perPacket, boxes) {
			if news.GetId() == "r3" && takes >= 1 && news != newer {
				t.Error("got older news of a box than was added")
			}
			sent[news.GetId()]++
		}
		for i := range boxes {
			n := sent[fmt.Sprint("r", i)]
			least, most = min(least, n), max(most, n)
		}
		if most-least > 2 {
			t.Errorf("take %d: got news sent %d times before other news was %d times", takes, most, least)
		}
	}
	limit := rumourFactor * 5
	for id, n := range sent {
		if n != limit {
			t.Errorf("%s: got %d times sent, want %d", id, n, limit)
		}
	}
	if got := r.take(perPacket, boxes); len(got) > 0 {
		t.Errorf("got %d more, want none", len(got))
	}
}

// TestTakingRumoursCostsByThePacket counts what a packet's news allocate while those of fleets of
// several sizes wait.
func TestTakingRumoursCostsByThePacket(t *testing.T) {
	var costs []float64
	for _, size := range []int{250, 500, 1000} {
		var r rumours
		for i := range size {
			r.add(&memberpb.News{
				Id: fmt.Sprint("r", i),
			})
		}
		costs = append(costs, testing.AllocsPerRun(20, func() { r.take(8, size) }))
	}
	for _, cost := range costs {
		if cost > costs[0]+2 {
			t.Errorf("got %v allocations at 250, 500 and 1000 rumours, want the same", costs)
		}
	}
}
