package gatewayd

import (
	"flag"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

var measureBudget = flag.Bool("measure-budget", false, "test the retry budget of fleets of up to 330 routers")

const (
	// budgetSlot is the interval at which retryLoad sends, slotsPerWindow of them are a window of the budget.
	budgetSlot     = 100 * time.Millisecond
	slotsPerWindow = 100
	// budgetRate is the number of requests a second of the whole fleet.
	budgetRate = 330
)

// TestRetryBudgetHoldsWhileRoutersKnowFewOthers has all routers of a fleet make every retry that they may, as
// while all servers of a pool fail, and counts the retries of all routers in each window.
//
// It guards against routers that use more than their part of the budget, because they know fewer routers than
// there are, or do not know that an earlier process of their box has used its part.
func TestRetryBudgetHoldsWhileRoutersKnowFewOthers(t *testing.T) {
	sizes := []int{7, 30}
	if *measureBudget {
		sizes = append(sizes, 62, 330)
	}
	useOneProcessor(t)
	for _, test := range []struct {
		name string
		play func(*retryLoad)
	}{
		{"all know each other", func(l *retryLoad) {
			l.sendFor(25 * time.Second)
		}},
		{"each is cut off from all others", func(l *retryLoad) {
			l.sendFor(3 * time.Second)
			l.isolated.Store(true)
			// A router takes about a second to find out that one other doesn't respond.
			l.sendFor(min(20*time.Second+time.Duration(l.size)*1500*time.Millisecond, 2*time.Minute))
			l.isolated.Store(false)
			l.sendFor(5 * time.Second)
		}},
		{"all start again", func(l *retryLoad) {
			l.sendFor(12 * time.Second)
			l.restart()
			l.sendFor(15 * time.Second)
		}},
		{"all start again four times", func(l *retryLoad) {
			l.sendFor(12 * time.Second)
			for range 4 {
				l.restart()
				l.sendFor(time.Second)
			}
			l.sendFor(15 * time.Second)
		}},
		{"all start again while cut off from all others", func(l *retryLoad) {
			l.sendFor(3 * time.Second)
			l.isolated.Store(true)
			l.restart()
			l.sendFor(25 * time.Second)
			l.isolated.Store(false)
			l.sendFor(5 * time.Second)
		}},
	} {
		for _, size := range sizes {
			t.Run(fmt.Sprintf("%s/%d", test.name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newRetryLoad(t, size)
					test.play(l)
					l.stop()
					if excess := l.worstExcess(); excess > 0 {
						t.Errorf("got %.0f retries above the budget within a window, want none", excess)
					}
					t.Logf("%.0f retries below the budget in the worst window, %d retries for %d requests in all",
						-l.worstExcess(), total(l.retries), total(l.requests))
				})
			})
		}
	}
}

// TestHealthyFleetUsesItsRetryBudget guards against shares so careful that requests are not retried though the
// budget is far from used up, in a fleet whose routers all know each other.
func TestHealthyFleetUsesItsRetryBudget(t *testing.T) {
	useOneProcessor(t)
	for _, size := range []int{1, 7, 30} {
		synctest.Test(t, func(t *testing.T) {
			l := newRetryLoad(t, size)
			l.sendFor(30 * time.Second)
			l.stop()
			last := len(l.retries) - slotsPerWindow
			requests, retries := total(l.requests[last:]), total(l.retries[last:])
			budget := l.fleet.retries
			want := 0.8*budget.Ratio*float64(requests) + 0.5*budget.Extra
			if got := float64(retries); got < want {
				t.Errorf("%d routers: got %.0f retries for %d requests within a window, want at least %.0f",
					size, got, requests, want)
			}
		})
	}
}

// retryLoad has the routers of a fleet make every retry that they may.
type retryLoad struct {
	t       *testing.T
	fleet   *startingFleet
	size    int
	stop    func()
	started time.Time
	// isolated says that no router reaches another one.
	isolated atomic.Bool
	// requests counts what callers sent, also to routers that don't run, and retries those of all routers, by slot;
	// owed has the part of a request that is due
	// at each router.
	requests, retries []int
	owed              []float64
	// weightOf returns the part of the requests that the i-th router gets, relative to an equal one; nil gives each an
	// equal part.
	weightOf func(i int) float64
}

// newRetryLoad starts a fleet of routers, all for the first time, and waits until they know each other.
func newRetryLoad(t *testing.T, size int) *retryLoad {
	l := &retryLoad{
		t:     t,
		fleet: newStartingFleet(size),
		size:  size,
		owed:  make([]float64, size),
	}
	l.fleet.retries = Retries{
		Ratio:  0.2,
		Extra:  54,
		Window: slotsPerWindow * budgetSlot,
	}
	l.fleet.isCut = func(_, _ netip.Addr) bool { return l.isolated.Load() }
	l.fleet.createRouters(size, true)
	l.stop = l.fleet.run(t)
	time.Sleep(5 * time.Second)
	l.started = time.Now()
	for i := range l.owed {
		l.owed[i] = float64(i) / float64(size)
	}
	return l
}

// restart stops all routers and starts them again a second later. Callers go on to send meanwhile.
func (l *retryLoad) restart() {
	l.stop()
	for slot := l.slot(); len(l.requests) < slot; {
		l.requests = append(l.requests, int(budgetRate*budgetSlot/time.Second))
		l.retries = append(l.retries, 0)
	}
	l.fleet.createRouters(l.size, false)
	l.stop = l.fleet.run(l.t)
}

// sendFor sends requests to all running routers for the given time, and has them make all retries that they may.
func (l *retryLoad) sendFor(duration time.Duration) { l.send(duration, true) }

// serveFor sends requests to all running routers for the given time, none of which fails.
func (l *retryLoad) serveFor(duration time.Duration) { l.send(duration, false) }

func (l *retryLoad) send(duration time.Duration, areFailing bool) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(budgetSlot) {
		slot := l.slot()
		for len(l.requests) <= slot {
			l.requests, l.retries = append(l.requests, 0), append(l.retries, 0)
		}
		for i, r := range l.fleet.routers {
			weight := 1.0
			if l.weightOf != nil {
				weight = l.weightOf(i)
			}
			isRunning := r.isRunning.Load()
			for l.owed[i] += weight * budgetRate * budgetSlot.Seconds() / float64(l.size); l.owed[i] >= 1; l.owed[i]-- {
				l.requests[slot]++
				if isRunning {
					r.gateway.Budget.CountRequest(startPool)
				}
			}
			for areFailing && isRunning && r.gateway.Budget.Take(startPool) {
				l.retries[slot]++
			}
		}
	}
}

// slot returns the number of slots since the load began.
func (l *retryLoad) slot() int { return int(time.Since(l.started) / budgetSlot) }

// worstExcess returns by how much the retries of the worst window exceed the budget. The requests are those of
// that window, of the one before, or of the window half a window before, whichever has the most.
func (l *retryLoad) worstExcess() float64 {
	budget := l.fleet.retries
	worst := -budget.Extra
	for end := 1; end <= len(l.retries); end++ {
		begin := max(end-slotsPerWindow, 0)
		requests := 0
		for _, back := range []int{0, slotsPerWindow / 2, slotsPerWindow} {
			requests = max(requests, total(l.requests[max(begin-back, 0):max(end-back, 0)]))
		}
		worst = max(worst, float64(total(l.retries[begin:end]))-budget.Ratio*float64(requests)-budget.Extra)
	}
	return worst
}

func total(counts []int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}
