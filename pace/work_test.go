package pace

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// testPrefillTime is the prefill time of engines with 100 tokens a millisecond, and none for the pool
// of a plain service.
func testPrefillTime(pool string, tokens int) time.Duration {
	if pool == "plain" {
		return 0
	}
	return 50*time.Millisecond + time.Duration(tokens)*10*time.Microsecond
}

// TestWorkEstimatesMatchRoutes guards against estimates that mix up routes or count the prefill as
// output. The load is 400 requests of each of three routes, with prompts of 0 to 20,000 tokens and
// output times that vary by a factor of two around their mean.
func TestWorkEstimatesMatchRoutes(t *testing.T) {
	e, random := NewWorkEstimator(testPrefillTime), rand.New(rand.NewPCG(1, 2))
	routes := []struct {
		pool, route string
		output      time.Duration
	}{
		{"engines", "summaries", 300 * time.Millisecond},
		{"engines", "essays", 6 * time.Second},
		{"plain", "lookups", 20 * time.Millisecond},
	}
	for range 400 {
		for _, r := range routes {
			tokens := random.IntN(20_000)
			output := time.Duration((2.0/3 + random.Float64()*2/3) * float64(r.output))
			prefill := testPrefillTime(r.pool, tokens)
			e.Record(r.pool, r.route, tokens, prefill+output/4, prefill+output)
		}
	}
	for _, r := range routes {
		for _, tokens := range []int{0, 12_000} {
			got, start, known := e.Estimate(r.pool, r.route, tokens)
			want := testPrefillTime(r.pool, tokens) + r.output
			if got < want*85/100 || got > want*115/100 || !known {
				t.Errorf("%s with %d tokens: got %v, %t, want about %v", r.route, tokens, got, known, want)
			}
			want = testPrefillTime(r.pool, tokens) + r.output/4
			if start < want*85/100 || start > want*115/100 {
				t.Errorf("%s with %d tokens: got a start after %v, want about %v", r.route, tokens, start, want)
			}
		}
		low, _ := e.ErrorQuantile(r.pool, r.route, 0.1)
		high, ok := e.ErrorQuantile(r.pool, r.route, 0.9)
		if !ok || low < 0.6 || low > 1 || high < 1 || high > 1.5 {
			t.Errorf("%s: got errors from %.2f to %.2f, %t; want 0.6 to 1 and 1 to 1.5", r.route, low, high, ok)
		}
	}
}

// TestUnknownRoutesHaveThePoolsWork guards against a wrong estimate for a route that is new, and
// against invalid records.
func TestUnknownRoutesHaveThePoolsWork(t *testing.T) {
	e := NewWorkEstimator(testPrefillTime)
	if got, start, known := e.Estimate("plain", "new", -5); got != initialOutputTime || start != 0 || known {
		t.Errorf("got %v, a start after %v, %t without records, want %v, 0, false", got, start, known, initialOutputTime)
	}
	e.Record("plain", "lookups", 0, 0, -time.Second)
	e.Record("plain", "lookups", -1, 0, time.Second)
	e.Record("plain", "lookups", 0, 30*time.Millisecond, 40*time.Millisecond)
	if got, start, known := e.Estimate("plain", "new", 0); got != 40*time.Millisecond ||
		start != 30*time.Millisecond || !known {
		t.Errorf("got %v, a start after %v, %t, want the pool's 40ms, 30ms, true", got, start, known)
	}
	if _, ok := e.ErrorQuantile("plain", "lookups", 0.9); ok {
		t.Error("got an error of the estimates after one request, want none")
	}
}

// TestCutOffRequestsCountAsLongerThanTheyTook guards against estimates that fall with the time after which
// requests are cut off, and against one request to a server that hangs that multiplies the estimate.
func TestCutOffRequestsCountAsLongerThanTheyTook(t *testing.T) {
	const usual = 40 * time.Millisecond
	for _, test := range []struct {
		cutOff, want time.Duration
	}{
		{10 * time.Millisecond, usual},
		{100 * time.Millisecond, 100 * time.Millisecond},
		{time.Minute, cutOffFactor * usual},
	} {
		e := NewWorkEstimator(testPrefillTime)
		e.RecordCutOff("plain", "lookups", 0, 0, test.cutOff)
		if _, _, known := e.Estimate("plain", "lookups", 0); known {
			t.Errorf("%v: got an estimate after a request that was cut off alone, want none", test.cutOff)
		}
		for range 100 {
			e.Record("plain", "lookups", 0, usual/2, usual)
		}
		e.RecordCutOff("plain", "lookups", 0, 0, test.cutOff)
		want := usual + time.Duration(outputWeight*float64(test.want-usual))
		if got, _, _ := e.Estimate("plain", "lookups", 0); (got - want).Abs() > time.Microsecond {
			t.Errorf("%v: got %v of work, want %v", test.cutOff, got, want)
		}
	}
}

// TestWorkRoutesAreBounded guards against memory that grows with the routes of many configurations.
func TestWorkRoutesAreBounded(t *testing.T) {
	e := NewWorkEstimator(testPrefillTime)
	for i := range 3 * maxWorkRoutes {
		e.Record("plain", fmt.Sprint("r", i), 0, 0, time.Second)
	}
	if got := e.routes.Len(); got != maxWorkRoutes {
		t.Errorf("got %d routes kept, want %d", got, maxWorkRoutes)
	}
}

// TestWorkEstimatorIsSafeForConcurrentUse guards against data races, which the race detector finds.
func TestWorkEstimatorIsSafeForConcurrentUse(_ *testing.T) {
	e := NewWorkEstimator(testPrefillTime)
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for n := range 200 {
				route := fmt.Sprint(i, n%3)
				e.Record("engines", route, n, 0, time.Second)
				e.Estimate("engines", route, n)
				e.ErrorQuantile("engines", route, 0.5)
			}
		})
	}
	group.Wait()
}

func BenchmarkWorkEstimate(b *testing.B) {
	e := NewWorkEstimator(testPrefillTime)
	e.Record("engines", "r", 100, 0, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		e.Estimate("engines", "r", 1000)
	}
}

func BenchmarkWorkRecord(b *testing.B) {
	e := NewWorkEstimator(testPrefillTime)
	b.ReportAllocs()
	for b.Loop() {
		e.Record("engines", "r", 1000, 0, time.Second)
	}
}
