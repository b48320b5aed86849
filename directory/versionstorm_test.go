package directory

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// TestVersionsArriveInTimeThoughRoutersAreCutOff writes a version every 0.2 s while 30% of the routers
// become unresponsive. It guards against a router that waits for two unresponsive relays one after the
// other, with a copy in between that was old when it was adopted.
func TestVersionsArriveInTimeThoughRoutersAreCutOff(t *testing.T) {
	for _, size := range []int{8, 87, 295} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d/%d", size, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testVersionsArriveInTime(t, size, seed) })
			})
		}
	}
}

func testVersionsArriveInTime(t *testing.T, size int, seed uint64) {
	const (
		interval  = 200 * time.Millisecond
		calm      = 2 * time.Second
		cut       = 6 * time.Second
		detection = 4 * time.Second
		check     = 50 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, uint64(size)))
	f := newSimFleet(size)
	stop := f.start(t)
	defer stop()
	time.Sleep(5*time.Second + time.Duration(random.IntN(1000))*time.Millisecond)
	written := []time.Time{time.Now()}
	for elapsed := time.Duration(0); elapsed < calm+cut; elapsed += check {
		if elapsed == calm {
			f.cutOff(random, size*3/10, detection)
		}
		if elapsed%interval == 0 {
			f.setValue(strconv.Itoa(len(written)))
			written = append(written, time.Now())
		}
		time.Sleep(check)
		for _, r := range f.routers {
			if got := r.versionLag(written); got > fleetPropagationTime {
				t.Fatalf("router %s, %v after the start: got a version missing for %v, want at most %v",
					r.self.ID, elapsed, got, fleetPropagationTime)
			}
		}
	}
}

// cutOff makes n routers unresponsive. Each of the others detects at some time within detection that
// each of them is gone.
func (f *simFleet) cutOff(random *rand.Rand, n int, detection time.Duration) {
	order := random.Perm(len(f.routers))
	for _, i := range order[:n] {
		f.routers[i].set(func(r *simRouter) { r.unresponsive = true })
	}
	for _, i := range order[n:] {
		leftAt := make(map[string]time.Time, n)
		for _, gone := range order[:n] {
			leftAt[f.routers[gone].self.ID] = time.Now().Add(time.Duration(random.Int64N(int64(detection))))
		}
		f.routers[i].set(func(r *simRouter) { r.leftAt = leftAt })
	}
}

// versionLag returns for how long the router has lacked the oldest version that it does not know; 0
// if it knows all or is unresponsive.
func (r *simRouter) versionLag(written []time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, err := strconv.Atoi(r.values["a"])
	if err != nil || r.unresponsive || known+1 >= len(written) {
		return 0
	}
	return time.Since(written[known+1])
}
