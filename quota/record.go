package quota

import (
	"slices"
	"time"

	"github.com/slipwick/slipwick/fairqueue"
)

// record is what one workspace uses of a pool through this router at one priority.
type record struct {
	workspace string
	hash      uint32
	priority  int
	weight    uint32
	// localWeight is the weight in the local queue.
	localWeight uint32

	inFlight    int
	waiting     int
	waitingWork time.Duration
	// timely are the waiting requests that could meet their objective when dropLate was last called.
	timely     []*fairqueue.Item
	timelyWork time.Duration
	refused    recent
	offered    recent
	// bookings plans the returns of refused callers.
	bookings bookings
	// lead is the work in seconds that was served beyond the fair share, as of leadAt.
	lead   float64
	leadAt time.Time
	usedAt time.Time

	// claim is nil if the fleet's sums don't have the workspace yet.
	claim *claim
	// allowance is nil if operators set no limit.
	allowance *allowance
}

type recordKey struct {
	workspace string
	priority  int
}

// overShare is how far a workspace may be above its share of the fleet's slots before routers pass over
// its requests. Deciding by this router's part alone would order requests by the chance of small counts,
// and let many miss their objective that were accepted.
const overShare = 1.05

// isUnderLimit reports whether the workspace is within its share of the fleet's slots, or has fewer
// requests in flight here than its part.
func (r *record) isUnderLimit() bool {
	if r.claim == nil {
		return r.inFlight == 0
	}
	return r.claim.inFlight <= overShare*r.claim.target || r.claim.used < r.claim.allowed
}

// count changes the requests in flight.
func (r *record) count(change int) {
	r.inFlight += change
	if r.claim != nil {
		r.claim.used += change
	}
	if r.allowance != nil {
		r.allowance.inFlight += change
	}
}

func (r *record) addWaiting(item *fairqueue.Item) {
	r.waiting++
	r.waitingWork += item.Request.Work
	r.timely = append(r.timely, item)
	r.timelyWork += item.Request.Work
}

func (r *record) removeWaiting(item *fairqueue.Item) {
	r.waiting--
	r.waitingWork -= item.Request.Work
	if i := slices.Index(r.timely, item); i >= 0 {
		r.timely = slices.Delete(r.timely, i, i+1)
		r.timelyWork -= item.Request.Work
	}
}

// dropLate removes the requests that can't meet their objective any more from the timely ones.
func (r *record) dropLate(now time.Time) {
	r.timely = slices.DeleteFunc(r.timely, func(item *fairqueue.Item) bool {
		isLate := !item.Request.Objective.IsZero() && now.After(item.Request.Objective)
		if isLate {
			r.timelyWork -= item.Request.Work
		}
		return isLate
	})
}

// drain lets the lead shrink at the rate of the workspace's fair share.
func (r *record) drain(rate float64, now time.Time) {
	r.lead = max(r.lead-rate*now.Sub(r.leadAt).Seconds(), 0)
	r.leadAt = now
}

// isIdle reports whether the record may be dropped.
func (r *record) isIdle(now time.Time) bool {
	return r.inFlight == 0 && r.waiting == 0 && now.Sub(r.usedAt) > recordTTL
}

// entry returns the report of the record; ok is false if it has nothing to report. urgent is the most urgent
// priority of the pool.
func (r *record) entry(pool uint32, urgent int, now time.Time) (entry Entry, ok bool) {
	r.refused.decay(now)
	entry = Entry{
		Pool:      pool,
		Workspace: r.hash,
		Priority:  r.priority,
		Weight:    r.weight,
		InFlight:  r.inFlight,
		Waiting:   r.waiting + int(r.refused.count),
		Work:      r.waitingWork + time.Duration(r.refused.work*float64(time.Second)),
	}
	if r.priority <= urgent {
		entry.Queued = r.waiting
	}
	return entry, entry.InFlight+entry.Waiting > 0
}
