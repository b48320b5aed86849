package claims

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var measure = flag.Bool("measure", false, "run and print the measurements")

// TestMeasure prints, in the format of benchmarks, the cost of claims at several rates and the
// duration of takeovers.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("make measure runs it")
	}
	for _, perSecond := range []int{1, 100, 1000} {
		synctest.Test(t, func(t *testing.T) { measureRate(t, perSecond) })
	}
	synctest.Test(t, measureTakeover)
}

// measureRate makes claims at an even rate through 8 routers for half a minute.
func measureRate(t *testing.T, perSecond int) {
	const routers, length = 8, 30 * time.Second
	f := newFleet(1, routers, DefaultPolicy())
	time.Sleep(5 * time.Second)
	writes, bytes := f.store.cost()
	latency := hdrhistogram.New(1, 100_000, 3)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 1))
	refused := 0
	count := perSecond * int(length/time.Second)
	for range count {
		time.Sleep(time.Second / time.Duration(perSecond))
		key, n := newKey(random), f.node(f.ids[random.IntN(routers)])
		tasks.Go(func() {
			began := time.Now()
			parsed, err := n.claims.Policy.ParseKey("w", key, began)
			if err == nil {
				_, err = n.claims.Claim(t.Context(), parsed)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refused++
				return
			}
			_ = latency.RecordValue(max(1, time.Since(began).Milliseconds()))
		})
	}
	tasks.Wait()
	writesAfter, bytesAfter := f.store.cost()
	f.stop()
	fmt.Printf("BenchmarkClaims/%d-per-second 1 %d p50-ms %d p99-ms %.1f writes/s %.3f writes/claim %.0f bytes/claim "+
		"%.0f holder-B/s %.4f refused-ratio\n", perSecond,
		latency.ValueAtQuantile(50), latency.ValueAtQuantile(99),
		float64(writesAfter-writes)/length.Seconds(), float64(writesAfter-writes)/float64(count),
		float64(bytesAfter-bytes)/float64(count), float64(bytesAfter-bytes)/length.Seconds()/routers,
		float64(refused)/float64(count))
}

// measureTakeover removes a random router from the views of the others, and measures the time until
// one of these has granted a claim of a key.
func measureTakeover(t *testing.T) {
	const runs = 50
	latency := hdrhistogram.New(1, 100_000, 3)
	f := newFleet(1, 8, DefaultPolicy())
	time.Sleep(5 * time.Second)
	random := rand.New(rand.NewPCG(1, 1))
	for range runs {
		removed := f.ids[random.IntN(len(f.ids))]
		key, err := f.node(removed).claims.Policy.ParseKey("w", newKey(random), time.Now())
		if err != nil {
			t.Fatal(err)
		}
		requester := f.node(others(f.ids, removed)[0])
		began := time.Now()
		for _, id := range others(f.ids, removed) {
			f.node(id).claims.SetRouters(routersOf(others(f.ids, removed)))
		}
		for {
			if _, err := requester.claims.Claim(t.Context(), key); err == nil {
				break
			}
		}
		_ = latency.RecordValue(max(1, time.Since(began).Milliseconds()))
		for _, id := range f.ids {
			f.node(id).claims.SetRouters(routersOf(f.ids))
		}
		time.Sleep(5 * time.Second)
	}
	f.stop()
	fmt.Printf("BenchmarkClaims/takeover 1 %d p50-ms %d max-ms\n", latency.ValueAtQuantile(50), latency.Max())
}

func (f *fakeStore) cost() (writes, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes, f.bytes
}
