package quota

import (
	"time"

	"github.com/slipwick/slipwick"
)

// arrivals is the work that arrived recently, by priority.
type arrivals []priorityArrivals

type priorityArrivals struct {
	priority int
	recent   recent
	// patience sums up the times from the arrivals to the objectives.
	patience recent
}

// maxPatience is what counts as the time to the objective of a request with a later one or without one.
const maxPatience = 10 * time.Second

func (a *arrivals) add(request *slipwick.PermitRequest, now time.Time) {
	at := a.find(request.Priority)
	if at < 0 {
		at = len(*a)
		*a = append(*a, priorityArrivals{
			priority: request.Priority,
		})
	}
	patience := maxPatience
	if !request.Objective.IsZero() {
		patience = min(max(request.Objective.Sub(request.Arrived), 0), maxPatience)
	}
	(*a)[at].recent.add(request.Work, now)
	(*a)[at].patience.add(patience, now)
}

// find returns the index of a priority, or -1.
func (a arrivals) find(priority int) int {
	for i := range a {
		if a[i].priority == priority {
			return i
		}
	}
	return -1
}

// patience returns the mean time to the objective of the recent requests of a priority; 0 without any.
func (a arrivals) patience(priority int, now time.Time) time.Duration {
	at := a.find(priority)
	if at < 0 || a[at].patience.count == 0 {
		return 0
	}
	a[at].patience.decay(now)
	return time.Duration(a[at].patience.work / a[at].patience.count * float64(time.Second))
}

// rate returns the work, in seconds per second, that arrives with priorities above the given one.
func (a arrivals) rate(priority int, now time.Time) float64 {
	rate := 0.0
	for i := range a {
		if a[i].priority < priority {
			a[i].recent.decay(now)
			rate += a[i].recent.work / recentTime.Seconds()
		}
	}
	return rate
}
