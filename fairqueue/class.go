package fairqueue

import (
	"time"

	"github.com/slipwick/slipwick"
)

// class groups the requests of a priority: those of a class come before those of the next one.
type class int

const (
	classReturning class = iota
	classFirst
	classRetry
	// classLate has the requests that can't meet their objective any more. They come after the
	// requests of all priorities that can.
	classLate
	classes
)

// classOf returns the class of a request at a time.
func classOf(request *slipwick.PermitRequest, now time.Time) class {
	switch {
	case !request.Objective.IsZero() && now.After(request.Objective):
		return classLate
	case request.Retry:
		return classRetry
	case request.Returning:
		return classReturning
	default:
		return classFirst
	}
}
