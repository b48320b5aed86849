package quota

import (
	"math"
	"time"

	"github.com/slipwick/slipwick"
)

// unseenShare is the part of an operators' limit that is divided equally over the routers, for demand
// that the sums don't show yet. The rest is divided by demand.
const unseenShare = 1.0 / 16

// burstTime is for how long an unused rate of work accumulates.
const burstTime = time.Second

// allowance is this router's part of the limits that operators set for a workspace at a pool.
type allowance struct {
	maxInFlight int
	maxWork     float64

	inFlight int
	// allowed is this router's part of maxInFlight.
	allowed int
	// rate is its part of maxWork, in seconds of work per second. credit is the work that may be
	// admitted now; it is negative after a request that was larger.
	rate, credit float64
	creditAt     time.Time
}

func (a *allowance) refill(now time.Time) {
	if a.maxWork > 0 {
		a.credit = min(a.credit+a.rate*now.Sub(a.creditAt).Seconds(), a.rate*burstTime.Seconds())
	}
	a.creditAt = now
}

// permits reports whether the limits let another request start.
func (a *allowance) permits() bool {
	return (a.maxInFlight <= 0 || a.inFlight < a.allowed) && (a.maxWork <= 0 || a.credit > 0)
}

// charge deducts the work of a request that starts.
func (a *allowance) charge(work time.Duration) {
	if a.maxWork > 0 {
		a.credit -= work.Seconds()
	}
}

// wait returns how long the limits delay a request behind the waiting work of its workspace.
func (a *allowance) wait(waitingWork time.Duration) time.Duration {
	wait := 0.0
	if a.maxInFlight > 0 && a.inFlight >= a.allowed {
		wait = waitingWork.Seconds() / max(float64(a.allowed), minRate)
	}
	if a.maxWork > 0 && a.credit <= 0 {
		wait = max(wait, (waitingWork.Seconds()-a.credit)/max(a.rate, minRate))
	}
	return time.Duration(wait * float64(time.Second))
}

// slots returns the work per second, in slots, that the limits let a workspace get done.
func (a *allowance) slots() float64 {
	slots := math.Inf(1)
	if a.maxInFlight > 0 {
		slots = float64(a.allowed)
	}
	if a.maxWork > 0 {
		slots = min(slots, a.rate)
	}
	return slots
}

// divide sets this router's part of the limits. total is what the workspace uses and wants, with this
// router's part, summed over the priorities.
func (a *allowance) divide(total *claim, routers int, dither float64) {
	n := float64(max(routers, 1))
	part := func(own, all float64) float64 {
		if all <= 0 {
			return 1 / n
		}
		return unseenShare/n + (1-unseenShare)*own/all
	}
	if a.maxInFlight > 0 {
		most := float64(a.maxInFlight)
		kept := min(total.inFlight, most)
		limit := kept*ratio(total.ownInFlight, total.inFlight) + (most-kept)*part(total.ownWanted, total.wanted)
		a.allowed = int(limit + dither)
	}
	a.rate = a.maxWork * part(total.ownDemand(), total.demand())
}

// setLimits applies the limits of operators that a request carries.
func (p *pool) setLimits(r *record, request *slipwick.PermitRequest, now time.Time) {
	if request.MaxInFlight <= 0 && request.MaxWork <= 0 {
		r.setAllowance(nil)
		return
	}
	a := p.allowances[r.workspace]
	if a == nil {
		a = &allowance{
			creditAt: now,
		}
		p.allowances[r.workspace] = a
	}
	r.setAllowance(a)
	if a.maxInFlight != request.MaxInFlight || a.maxWork != request.MaxWork {
		a.maxInFlight, a.maxWork = request.MaxInFlight, request.MaxWork
		a.divide(&claim{}, p.routers, dither(p.self, r.hash, p.round))
		a.credit = a.rate * burstTime.Seconds()
	}
}

// setAllowance moves the record's requests in flight to another allowance; either may be nil.
func (r *record) setAllowance(a *allowance) {
	if r.allowance == a {
		return
	}
	if r.allowance != nil {
		r.allowance.inFlight -= r.inFlight
	}
	if a != nil {
		a.inFlight += r.inFlight
	}
	r.allowance = a
}
