package quota

import (
	"math"
	"time"
)

// fairRates are the rates at which this router serves a workspace with a local weight of 1, by priority, in seconds
// of work per second. A priority is missing if it has room for all that arrives.
type fairRates map[int]float64

// setFairRates computes the rates from the work that arrived recently.
func (p *pool) setFairRates(now time.Time) {
	p.fairRates = make(fairRates)
	byPriority := make(map[int][]*claim)
	for _, r := range p.records {
		r.offered.decay(now)
		byPriority[r.priority] = append(byPriority[r.priority], &claim{
			weight: float64(r.localWeight),
			wanted: r.offered.work / recentTime.Seconds(),
		})
	}
	for priority, claims := range byPriority {
		sum := 0.0
		for _, c := range claims {
			sum += c.wanted
		}
		if left := p.rateLeft(p.arrivals.rate(priority, now)); sum > left {
			p.fairRates[priority] = levelOf(left, claims)
		}
	}
}

// of returns the rate of a record; infinite if it may use what it asks for.
func (f fairRates) of(r *record) float64 {
	if rate, ok := f[r.priority]; ok {
		return max(rate*float64(r.localWeight), minRate)
	}
	return math.Inf(1)
}

// fairWait returns how long a request of a workspace waits if all workspaces use their fair shares from
// now on, also those whose requests are still to arrive. The queue's own estimate knows only requests
// that wait now; requests accepted by it alone are passed by others, and miss their objective.
func (p *pool) fairWait(r *record, now time.Time) time.Duration {
	rate := p.fairRates.of(r)
	r.drain(rate, now)
	r.dropLate(now)
	wait := (r.lead + r.timelyWork.Seconds()) / rate
	return time.Duration(min(wait, maxWait.Seconds()) * float64(time.Second))
}
