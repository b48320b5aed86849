package membership

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// TestQueueSendsLeastSentUpdatesFirst empties a queue with updates of several boxes, one of which
// is replaced by a newer update meanwhile.
func TestQueueSendsLeastSentUpdatesFirst(t *testing.T) {
	const boxes, perPacket = 20, 8
	var q updateQueue
	for i := range boxes {
		q.add(&memberpb.News{
			Id: fmt.Sprint("r", i),
		})
	}
	sent := make(map[string]int)
	newer := &memberpb.News{
		Id:          "r3",
		Incarnation: 1,
	}
	takes := 0
	for ; len(q.byID) > 0; takes++ {
		if takes == 1 {
			q.add(newer)
			sent["r3"] = 0
		}
		least, most := boxes*perPacket, 0
		for _, update := range q.take(perPacket, boxes) {
			if update.GetId() == "r3" && takes >= 1 && update != newer {
				t.Error("got an older update of a box than the one added last")
			}
			sent[update.GetId()]++
		}
		for i := range boxes {
			n := sent[fmt.Sprint("r", i)]
			least, most = min(least, n), max(most, n)
		}
		if most-least > 2 {
			t.Errorf("take %d: got an update sent %d times while another was sent %d times", takes, most, least)
		}
	}
	// take rounds the logarithm of the fleet's size up, here to 5.
	limit := sendFactor * 5
	for id, n := range sent {
		if n != limit {
			t.Errorf("%s: got %d times sent, want %d", id, n, limit)
		}
	}
	if got := q.take(perPacket, boxes); len(got) > 0 {
		t.Errorf("got %d more updates, want none", len(got))
	}
}

// TestTakeAllocationsDoNotGrowWithQueue counts the allocations of filling a packet from queues of
// several sizes.
func TestTakeAllocationsDoNotGrowWithQueue(t *testing.T) {
	var costs []float64
	for _, size := range []int{250, 500, 1000} {
		var q updateQueue
		for i := range size {
			q.add(&memberpb.News{
				Id: fmt.Sprint("r", i),
			})
		}
		costs = append(costs, testing.AllocsPerRun(20, func() { q.take(8, size) }))
	}
	for _, cost := range costs {
		if cost > costs[0]+2 {
			t.Errorf("got %v allocations with 250, 500 and 1000 queued updates, want the same", costs)
		}
	}
}
