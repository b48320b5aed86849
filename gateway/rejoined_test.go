package gateway

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

var rejoinedSeeds = flag.Int("rejoined-seeds", 0,
	"how many seeds TestTakenUpStreamsStayAtTheirVersion plays of all histories; 0 plays a part of them")

// versionHistories say when routers are killed, relative to the moment at which the servers of the first version begin
// to leave. Servers of the second one join 16 s before.
var versionHistories = map[string][]time.Duration{
	"as another joins": {-15500 * time.Millisecond, -14700 * time.Millisecond},

	"before": {-14 * time.Second, -2 * time.Second},
	"while":  {500 * time.Millisecond, 1900 * time.Millisecond},
	"after":  {2200 * time.Millisecond, 4 * time.Second, 9 * time.Second},
}

// versionCallers come back for their streams that often, until their deadline.
var versionCallers = []struct {
	maxReturns int
	deadline   time.Duration
}{
	{1, modelTimeout},
	{12, modelTimeout},
	{100, 4 * modelTimeout},
}

// TestTakenUpStreamsStayAtTheirVersion guards against streams with events of two versions, as routers that don't know
// where a stream began guess it from the versions that they have seen: all, most and some routers are killed before,
// while and after a version leaves, and as another one joins, with callers who come back once and more often.
func TestTakenUpStreamsStayAtTheirVersion(t *testing.T) {
	for _, size := range []int{1, 8, 62, 330} {
		for _, callers := range versionCallers {
			for _, share := range []float64{1, 0.6, 0.25} {
				for name, killAt := range versionHistories {
					isLong := size > 62 && (share < 1 || callers.maxReturns < 100) ||
						size > 8 && (share < 0.5 || callers.maxReturns < 12 || name == "before" || name == "while")
					if *rejoinedSeeds == 0 && isLong {
						continue
					}
					for _, seed := range versionSeeds(size) {
						t.Run(fmt.Sprintf("%d routers, %d returns in %v, %v killed %s, seed %d",
							size, callers.maxReturns, callers.deadline, share, name, seed), func(t *testing.T) {
							t.Parallel()
							synctest.Test(t, func(t *testing.T) {
								m := newVersionModel(size, callers.maxReturns, callers.deadline, uint64(seed))
								m.play(killAt, share)
								m.check(t)
							})
						})
					}
				}
			}
		}
	}
}

// versionSeeds returns the seeds of the histories of a fleet: two of those that showed routers with old lists, or all.
func versionSeeds(routers int) []int {
	switch {
	case *rejoinedSeeds > 0:
		seeds := make([]int, *rejoinedSeeds)
		for i := range seeds {
			seeds[i] = i
		}
		return seeds
	case routers == 62:
		return []int{0, 9}
	default:
		return []int{0}
	}
}

// check checks that no stream has events of two versions.
func (m *versionModel) check(t *testing.T) {
	t.Helper()
	t.Logf("%d streams began, %d were taken up, %d of them went on, %d requests ended with their router, refused: %v",
		m.began, m.takenUp, m.wentOn, m.interrupted, m.refused)
	if len(m.mixed) > 0 {
		t.Errorf("got %d continuations at another version, want none; the first: %s", len(m.mixed), m.mixed[0])
	}
}
