package gatewayd

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// quietTime is for how long no request fails, so that the routers can make many retries at once afterwards.
const quietTime = 22 * time.Second

// retryHistory is a history of a fleet whose routers make all retries that ten seconds without failures allow.
type retryHistory struct {
	name string
	play func(*retryLoad)
}

// restarts are histories in which processes take the place of others that may have made such retries just before.
var restarts = []retryHistory{
	{"all are killed", func(l *retryLoad) {
		l.serveFor(quietTime)
		l.sendFor(time.Second)
		l.restart()
		l.sendFor(20 * time.Second)
	}},
	{"all are killed before they fail", func(l *retryLoad) {
		l.serveFor(quietTime)
		l.restart()
		l.serveFor(5 * time.Second)
		l.sendFor(15 * time.Second)
	}},
	{"all are killed three times", func(l *retryLoad) {
		l.serveFor(quietTime)
		l.sendFor(time.Second)
		for range 3 {
			l.restart()
			l.sendFor(1500 * time.Millisecond)
		}
		l.sendFor(15 * time.Second)
	}},
	{"a third are killed twice", func(l *retryLoad) {
		l.serveFor(quietTime)
		l.sendFor(time.Second)
		for range 2 {
			l.replaceAll(func(i int) bool { return i%3 == 0 }, 0)
			l.sendFor(3 * time.Second)
		}
		l.sendFor(15 * time.Second)
	}},
	{"one after another is killed", func(l *retryLoad) {
		l.serveFor(quietTime)
		l.sendFor(time.Second)
		for killed := range l.size {
			l.replaceAll(func(i int) bool { return i == killed }, 0)
			l.sendFor(max(9*time.Second/time.Duration(l.size), budgetSlot))
		}
		l.sendFor(15 * time.Second)
	}},
	{"half are replaced by other boxes", func(l *retryLoad) {
		l.serveFor(quietTime)
		l.sendFor(time.Second)
		l.replaceAll(func(i int) bool { return i%2 == 0 }, l.size)
		l.sendFor(15 * time.Second)
	}},
}

// moves are histories in which routers get the load that others had when they made such retries.
var moves = []retryHistory{
	{"the load moves to another half", func(l *retryLoad) {
		l.weightOf = func(i int) float64 { return float64(2 * (i % 2)) }
		l.serveFor(quietTime)
		l.sendFor(500 * time.Millisecond)
		l.weightOf = func(i int) float64 { return float64(2 * ((i + 1) % 2)) }
		l.serveFor(9 * time.Second)
		l.sendFor(5 * time.Second)
	}},
	{"the load moves from data centre to data centre", func(l *retryLoad) {
		l.serveFor(quietTime)
		for centre := range fleetDataCentres {
			l.weightOf = func(i int) float64 {
				if i%fleetDataCentres == centre {
					return fleetDataCentres
				}
				return 0
			}
			l.serveFor(1500 * time.Millisecond)
			l.sendFor(300 * time.Millisecond)
		}
		l.weightOf = nil
		l.sendFor(15 * time.Second)
	}},
}

// TestRetryBudgetHoldsOverProcesses guards against a process that makes the retries which the process before it has
// made already, as it doesn't know of them.
func TestRetryBudgetHoldsOverProcesses(t *testing.T) {
	testRetryHistories(t, restarts)
}

// TestRetryBudgetHoldsAsLoadMoves guards against retries of several routers for the same load, each of which had it
// for a part of the window.
func TestRetryBudgetHoldsAsLoadMoves(t *testing.T) {
	testRetryHistories(t, moves)
}

func testRetryHistories(t *testing.T, histories []retryHistory) {
	sizes := []int{1, 8}
	if *measureBudget {
		sizes = append(sizes, 62, 330)
	}
	useOneProcessor(t)
	for _, history := range histories {
		for _, size := range sizes {
			t.Run(fmt.Sprintf("%s/%d", history.name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newRetryLoad(t, size)
					history.play(l)
					l.stop()
					excess := l.worstExcess()
					if excess > 0 {
						t.Errorf("got %.0f retries above the budget within a window, want none", excess)
					}
					t.Logf("%.0f retries below the budget in the worst window, %d retries for %d requests in all",
						-excess, total(l.retries), total(l.requests))
				})
			})
		}
	}
}

// replaceAll kills the chosen routers and starts the processes of the boxes whose numbers are larger by offset.
func (l *retryLoad) replaceAll(isChosen func(i int) bool, offset int) {
	for i := range l.size {
		if isChosen(i) {
			l.fleet.replace(i, i+offset, time.Second)
		}
	}
}

// TestRouterThatStartsAloneRetriesAtOnce guards against a process that makes few retries in its first window though
// nothing else happens in the fleet: the other routers know that no share was used.
func TestRouterThatStartsAloneRetriesAtOnce(t *testing.T) {
	useOneProcessor(t)
	for _, size := range []int{8, 30} {
		for _, test := range []struct {
			age time.Duration
			// extraShare is the part of an equal share of Extra that the router uses. It uses none until it knows the
			// size of the fleet.
			extraShare float64
		}{
			{500 * time.Millisecond, 0},
			{6 * time.Second, 0.6},
		} {
			t.Run(fmt.Sprintf("%d/%v", size, test.age), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newRetryLoad(t, size)
					l.serveFor(quietTime)
					l.fleet.replace(0, 0, 0)
					l.serveFor(test.age)
					budget := l.fleet.routers[0].gateway.Budget
					requests, retries := float64(budget.Reports()[0].Requests), 0
					for budget.Take(startPool) {
						retries++
					}
					l.stop()
					want := 0.85*l.fleet.retries.Ratio*requests + test.extraShare*l.fleet.retries.Extra/float64(size)
					if retries < int(want) {
						t.Errorf("got %d retries for %.0f requests, want at least %d", retries, requests, int(want))
					}
				})
			})
		}
	}
}
