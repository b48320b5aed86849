package gateway

import (
	"net/http"
	"sync/atomic"
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

// TestCutOffRequestsDontLowerTheWork guards against an estimate that only the quick requests decide: half
// of the requests take 20 ms and the others are cut off by their deadline of 150 ms.
func TestCutOffRequestsDontLowerTheWork(t *testing.T) {
	var requests atomic.Int64
	release := make(chan struct{})
	defer close(release)
	source := newPermits(1)
	f := newPermitFixture(t, source, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
		if requests.Add(1)%2 == 0 {
			<-release
		}
		respondAfter(20*time.Millisecond, "answer")(b, w, r)
	}))
	f.gateway.Budget.Ratio, f.gateway.Budget.Extra = 0, 0
	const rounds = 16
	for range rounds {
		f.post(t, "/short/x")
		if got := f.post(t, "/short/x"); got.status != http.StatusGatewayTimeout {
			t.Fatalf("got %d, want 504 for a request that is cut off", got.status)
		}
	}
	got, _, known := f.gateway.workEstimator().Estimate("p", "short", 0)
	if !known || got < 60*time.Millisecond || got > 110*time.Millisecond {
		t.Errorf("got %v of work, %t; want about the mean of 20ms and 150ms", got, known)
	}
	source.checkNoLeak(t, f, 2*rounds)
}
