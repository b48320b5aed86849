package balance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// serve sends a request whose response begins after the given time and ends at once.
func serve(t *testing.T, b *Balancer, request *Request, took time.Duration) {
	t.Helper()
	lease := acquire(t, b, request)
	b.RecordSend(lease)
	time.Sleep(took)
	b.RecordResponseStart(lease)
	b.RecordResponseTime(lease)
	b.Release(lease, slipwick.EvidenceGood)
}

// firstByteTimeout returns the timeout of the pool's next request.
func firstByteTimeout(t *testing.T, b *Balancer, request *Request) time.Duration {
	t.Helper()
	lease := acquire(t, b, request)
	defer b.Abandon(lease)
	return b.FirstByteTimeout(lease)
}

func expectBetween(t *testing.T, what string, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: got %v, want %v to %v", what, got, low, high)
	}
}

func TestFirstByteTimeoutIsUnknownAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(3)
		for range minSlowdownSamples - 1 {
			serve(t, b, plainRequest, 10*time.Millisecond)
		}
		if got := firstByteTimeout(t, b, plainRequest); got != 0 {
			t.Errorf("got a timeout of %v after too few requests, want 0", got)
		}
	})
}

// TestFirstByteTimeoutFollowsThePool checks the timeout of a plain service that becomes slow, and
// fast again.
func TestFirstByteTimeoutFollowsThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(3)
		for _, took := range []time.Duration{80 * time.Millisecond, 400 * time.Millisecond, 80 * time.Millisecond} {
			for range 512 {
				serve(t, b, plainRequest, took)
			}
			expectBetween(t, fmt.Sprintf("responses after %v", took), firstByteTimeout(t, b, plainRequest), 2*took, 5*took/2)
		}
		for range 512 {
			serve(t, b, plainRequest, time.Millisecond)
		}
		if got := firstByteTimeout(t, b, plainRequest); got != minFirstByteTimeout {
			t.Errorf("got %v for a fast service, want the minimum, %v", got, minFirstByteTimeout)
		}
	})
}

// TestFirstByteTimeoutAllowsForPrefill checks the timeouts of short and long prompts on engines
// that prefill at a tenth of the usual speed.
func TestFirstByteTimeoutAllowsForPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(3)
		const base, perToken = 500 * time.Millisecond, 100 * time.Microsecond
		key := uint64(0)
		sendPrompt := func(tokens int) {
			key++
			request := prompt(key)
			request.Prompt[0].Tokens, request.UniqueTokens = tokens, 0
			serve(t, b, request, base+time.Duration(tokens)*perToken)
		}
		for i := range 300 {
			sendPrompt(100 + i%100)
			if i%5 == 0 {
				sendPrompt(10000)
			}
		}
		expectBetween(t, "a short prompt", firstByteTimeout(t, b, newPrompt(1, 100)), time.Second, 1500*time.Millisecond)
		expectBetween(t, "a long prompt", firstByteTimeout(t, b, newPrompt(2, 20000)), 4*time.Second, 6500*time.Millisecond)
		if got := b.timings["p"].prefill.TokensWithin(longPrefillTime); got > 1200 {
			t.Errorf("got %d tokens for a long prompt, want about 800", got)
		}
	})
}

// newPrompt returns a request for a prompt that no engine has cached.
func newPrompt(key uint64, tokens int) *Request {
	request := prompt(key + 1<<40)
	request.Prompt[0].Tokens, request.UniqueTokens = tokens, 0
	return request
}

// TestOneSlowServerDoesNotRaiseFirstByteTimeout has few responses begin very late, as when one of
// eight servers hangs at times.
func TestOneSlowServerDoesNotRaiseFirstByteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(8)
		for i := range 512 {
			took := 40 * time.Millisecond
			if i%200 == 0 {
				took = 3 * time.Second
			}
			serve(t, b, plainRequest, took)
		}
		expectBetween(t, "with few late responses", firstByteTimeout(t, b, plainRequest),
			80*time.Millisecond, 200*time.Millisecond)
	})
}

// TestSlowPoolIsNotUnresponsive has engines that take 900 ms to their first token. An engine that
// sends nothing for 2 s must still get requests, and none after maxSilence more.
func TestSlowPoolIsNotUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(3)
		for range 2 * minSlowdownSamples {
			serve(t, b, prompt(7), 900*time.Millisecond)
		}
		id := topRanked(7, 3)
		waiting := acquire(t, b, prompt(7))
		time.Sleep(2 * time.Second)
		if got := acquire(t, b, prompt(7)).Backend.ID; got != id {
			t.Errorf("after 2 s: got %s, want still %s", got, id)
		}
		time.Sleep(maxSilence)
		if got := acquire(t, b, prompt(7)).Backend.ID; got == id {
			t.Errorf("after %v: got %s, want another", 2*time.Second+maxSilence, got)
		}
		b.Release(waiting, slipwick.EvidenceNone)
	})
}

func TestMedianResponseTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(3)
		if got := b.MedianResponseTime(plainRequest); got != 0 {
			t.Errorf("got %v at the start, want 0", got)
		}
		for i := range 512 {
			took := 40 * time.Millisecond
			if i%4 == 0 {
				took = time.Second
			}
			serve(t, b, plainRequest, took)
		}
		expectBetween(t, "median", b.MedianResponseTime(plainRequest), 40*time.Millisecond, 45*time.Millisecond)
	})
}

// TestStreamIdleTimeoutFollowsThePool checks the timeout of a pool whose streams begin to have
// long gaps, and then short ones again.
func TestStreamIdleTimeoutFollowsThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(3)
		stream := func(longestGap time.Duration) {
			lease := acquire(t, b, prompt(7))
			b.RecordResponseStart(lease)
			for i := range 4 {
				time.Sleep(time.Duration(i+1) * longestGap / 4)
				b.RecordProgress(lease)
			}
			b.Release(lease, slipwick.EvidenceGood)
		}
		lease := acquire(t, b, prompt(7))
		if got := b.StreamIdleTimeout(lease); got != 0 {
			t.Errorf("got %v at the start, want 0", got)
		}
		for _, gap := range []time.Duration{40 * time.Millisecond, 900 * time.Millisecond, 40 * time.Millisecond} {
			for range 2 * streamGapsWindow {
				stream(gap)
			}
			if got, want := b.StreamIdleTimeout(lease), timeoutFactor*gap; got != want {
				t.Errorf("gaps of %v: got %v, want %v", gap, got, want)
			}
		}
	})
}
