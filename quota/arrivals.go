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
}

func (a *arrivals) add(request *slipwick.PermitRequest, now time.Time) {
	for i := range *a {
		if (*a)[i].priority == request.Priority {
			(*a)[i].recent.add(request.Work, now)
			return
		}
	}
	*a = append(*a, priorityArrivals{
		priority: request.Priority,
	})
	(*a)[len(*a)-1].recent.add(request.Work, now)
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
