package retry

import "time"

const (
	// reportDelay is after what time all other routers know of a retry, in a fleet whose reports are relayed twice.
	reportDelay = 700 * time.Millisecond
	// reportedShare is the share of the budget up to which routers use what the reports of the others leave. The rest
	// allows for shares that have grown since the last reports.
	reportedShare = 0.95
	// uncountedSlots is how many slots at the beginning of each window are left out when requests that were reported are
	// counted: as reports come once a second, a window may have the requests of a longer time.
	uncountedSlots = 8
)

// fleetAllowsLocked reports whether this router may make a retry if all routers use what is left of their shares, of
// which this one has the unused part. If the budget has no room for all of these, each router uses the same part of its
// share, and takes into account that the others don't know of its latest retries.
func (b *Budget) fleetAllowsLocked(w *window, unused float64) bool {
	first := w.slot - windowSlots
	requests := float64(b.fleetRequestsLocked(w, first, w.slot))
	unshared := (1-ratioShare)*b.Ratio*requests + (1-extraShare)*b.Extra
	if float64(b.fleetRetriesLocked(w, first, w.slot)) <= unshared {
		// The shares of all routers leave as many for processes that are gone.
		return true
	}
	room := b.roomLocked(w)
	if !b.fleet.IsKnown && w.fleetRetries.sum(first, w.slot) > 0 {
		return b.partAllowsLocked(w, room)
	}
	recent := float64(w.retries.sum(w.slot-b.slotsIn(reportDelay), w.slot))
	total := float64(b.fleet.ByPool[w.hash])
	if b.fleet.HasOwn {
		total = max(total, unused)
	} else {
		total += unused
		room += recent
	}
	total += recent
	if total <= room {
		return true
	}
	return recent+1 <= room/total*(unused+recent)+w.rounding
}

// partAllowsLocked reports whether this router may make a retry while it knows that others have made some, but has no
// recent reports of theirs: it uses an equal part of the room.
func (b *Budget) partAllowsLocked(w *window, room float64) bool {
	own := float64(w.retryCount())
	if !b.fleet.HasOwn {
		room += own
	}
	return own+1 <= room/float64(max(b.fleet.Routers, 1))+w.rounding
}

// IsNearLimit reports whether the fleet has used half of its budget for a pool.
func (b *Budget) IsNearLimit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for pool := range b.pools {
		w := b.windowOfLocked(pool)
		first := w.slot - windowSlots
		limit := b.Ratio*float64(b.fleetRequestsLocked(w, first, w.slot)) + b.Extra
		if float64(b.fleetRetriesLocked(w, first, w.slot)) > limit/2 {
			return true
		}
	}
	return false
}

// roomLocked returns how many more retries the budget of the fleet allows now, in each window that contains the
// present. The requests of a window are its own, those of the window before it, or those of the window half a window
// before it, whichever are the most.
func (b *Budget) roomLocked(w *window) float64 {
	oldest := w.slot - historySlots + 1
	// requests and retries have the counts of the fleet before each slot, from oldest on.
	var requests, retries [historySlots + 1]int
	for i := range historySlots {
		slot := oldest + int64(i)
		requests[i+1] = requests[i] + b.fleetRequestsLocked(w, slot, slot)
		retries[i+1] = retries[i] + b.fleetRetriesLocked(w, slot, slot)
	}
	room := 0.0
	for first := windowSlots; first < historySlots; first++ {
		most := 0
		for _, begin := range []int{first, first - windowSlots/2, first - windowSlots} {
			most = max(most, requests[min(begin+windowSlots, historySlots)]-requests[min(begin+uncountedSlots, historySlots)])
		}
		left := reportedShare*(b.Ratio*float64(most)+b.Extra) - float64(retries[historySlots]-retries[first])
		if first == windowSlots || left < room {
			room = left
		}
	}
	return room
}

// fleetRequestsLocked returns the requests of the whole fleet from the first to the last slot.
func (b *Budget) fleetRequestsLocked(w *window, first, last int64) int {
	requests := w.fleetRequests.sum(first, last)
	if !b.fleet.HasOwn {
		requests += w.requests.sum(first, last)
	}
	return requests
}

// fleetRetriesLocked returns the retries of the whole fleet from the first to the last slot.
func (b *Budget) fleetRetriesLocked(w *window, first, last int64) int {
	retries := w.fleetRetries.sum(first, last)
	if !b.fleet.HasOwn {
		retries += w.retries.sum(first, last)
	}
	return retries
}

// slotsIn returns how many slots a time has.
func (b *Budget) slotsIn(duration time.Duration) int64 {
	return int64(duration) / max(int64(b.Window)/windowSlots, 1)
}
