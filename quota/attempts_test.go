package quota

import (
	"time"
)

// attempt is what happened to one attempt of a caller of the workspace that a fleet follows.
type attempt struct {
	request *request
	at      time.Duration
	// hasPermit and isInTime say that it got a permit, and that it got it within its objective.
	hasPermit, isInTime bool
	// isRefused says that it was refused and its caller told to return after a time.
	isRefused  bool
	retryAfter time.Duration
}

// noteAttempt records the arrival of a request of the workspace that the fleet follows.
func (f *fleet) noteAttempt(r *request) {
	if f.follow == "" || r.Workspace != f.follow {
		return
	}
	r.attempt = &attempt{
		request: r,
		at:      f.now,
	}
	f.attempts = append(f.attempts, r.attempt)
}

func (f *fleet) noteRefusal(r *request, retryAfter time.Duration) {
	if r.attempt != nil {
		r.attempt.isRefused, r.attempt.retryAfter = true, retryAfter
	}
}

func (f *fleet) notePermit(r *request) {
	if r.attempt != nil {
		r.attempt.hasPermit, r.attempt.isInTime = true, !f.clock().After(r.Objective)
	}
}

// returnsWithinShare returns how many callers returned while the workspace that the fleet follows had
// demanded no more than a number of slots for the last second, after a time, and how many of these got a
// permit within their objective.
func (f *fleet) returnsWithinShare(slots float64, after time.Duration) (returned, inTime int) {
	demanded, first := 0.0, 0
	for _, a := range f.attempts {
		demanded += a.request.service.Seconds()
		for a.at-f.attempts[first].at > time.Second {
			demanded -= f.attempts[first].request.service.Seconds()
			first++
		}
		if !a.request.Returning || a.at <= after || demanded > slots {
			continue
		}
		returned++
		if a.isInTime {
			inTime++
		}
	}
	return returned, inTime
}

// permitShare returns the share of the attempts in a time that got a permit within their objective, of
// first attempts or of callers who returned.
func (f *fleet) permitShare(isReturning bool, from, until time.Duration) float64 {
	count, inTime := 0, 0
	for _, a := range f.attempts {
		if a.request.Returning != isReturning || a.at < from || a.at >= until {
			continue
		}
		count++
		if a.isInTime {
			inTime++
		}
	}
	return float64(inTime) / float64(max(count, 1))
}

// fullestReturn returns the largest share of the callers refused in a time who were told to return within
// one of the intervals of the given length.
func (f *fleet) fullestReturn(from, until, interval time.Duration) float64 {
	counts, count, most := make(map[time.Duration]int), 0, 0
	for _, a := range f.attempts {
		if !a.isRefused || a.at < from || a.at >= until {
			continue
		}
		at := (a.at + a.retryAfter) / interval
		counts[at]++
		count++
		most = max(most, counts[at])
	}
	return float64(most) / float64(max(count, 1))
}

// retryAfters returns what the callers refused in a time were told.
func (f *fleet) retryAfters(from, until time.Duration) []time.Duration {
	var list []time.Duration
	for _, a := range f.attempts {
		if a.isRefused && a.at >= from && a.at < until {
			list = append(list, a.retryAfter)
		}
	}
	return list
}
