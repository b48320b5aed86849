package gateway

import (
	"net/http"
	"testing"
	"time"
)

// TestWorkCountsTheTokensToPrefill guards against a long prompt that counts as much work as a short one
// of its route, and against prompts that count as long though an engine has them cached.
func TestWorkCountsTheTokensToPrefill(t *testing.T) {
	source := newPermits(1)
	f := newPermitFixture(t, source, newBackend(t, "b1", respondAfter(20*time.Millisecond, "answer")))
	f.gateway.Balancer.MarkCachesKnown()
	for _, prompt := range []string{"a:100,x:10", "b:100,x:10", "c:50000,x:10", "c:50000,x:10"} {
		r := f.request(t, "/soon/x", "question")
		r.Header.Set("Slipwick-Prompt", prompt)
		if got := send(t, r); got.status != http.StatusOK {
			t.Fatalf("%s: got %d, want 200", prompt, got.status)
		}
	}
	calls := source.calls()
	short, long, cached := calls[1].Work, calls[2].Work, calls[3].Work
	if long < 5*short {
		t.Errorf("got %v of work for 50,000 tokens and %v for 100, want 5 times as much at least", long, short)
	}
	if cached > long/2 {
		t.Errorf("got %v of work for a prompt that is cached and %v before, want half at most", cached, long)
	}
	if short > 500*time.Millisecond {
		t.Errorf("got %v of work after a response within 20ms, want half a second at most", short)
	}
	source.checkNoLeak(t, f, 4)
}
