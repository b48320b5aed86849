package quota

import (
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// TestLateRequestIsKeptWhenOthersAsk has an urgent request that waits until after its objective and can be
// served by its deadline. It guards against its refusal because a request of a lower priority, which is
// left few slots, arrives meanwhile.
func TestLateRequestIsKeptWhenOthersAsk(t *testing.T) {
	for _, asksLower := range []bool{false, true} {
		p := newTestPool()
		newRequest := func(priority int, now time.Time) *slipwick.PermitRequest {
			return &slipwick.PermitRequest{
				Workspace: "a",
				Priority:  priority,
				Work:      500 * time.Millisecond,
				Arrived:   now,
				Objective: now.Add(time.Second),
				Deadline:  now.Add(2 * time.Second),
			}
		}
		now := epoch
		for range 6 {
			if _, ok := p.admit(newRequest(0, now), now); !ok {
				if _, err := p.enqueue(newRequest(0, now), nil, now); err != nil {
					t.Fatal(err)
				}
			}
		}
		if got, want := p.queue.Len(), 2; got != want {
			t.Fatalf("got %d waiting requests, want %d", got, want)
		}
		if asksLower {
			_, _ = p.enqueue(newRequest(2, now), nil, now)
		}
		now = now.Add(1100 * time.Millisecond)
		p.expire(now)
		for _, d := range p.takeDecisions() {
			if d.item.Request.Priority == 0 {
				t.Errorf("lower asks %t: got %v for an urgent request that can be served by its deadline", asksLower, d.err)
			}
		}
	}
}
