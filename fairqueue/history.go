package fairqueue

import (
	"math"
	"time"
)

// history has the work that was served lately while requests waited, by priority. What is served ahead
// of a request is likely to arrive in the same amount while the request waits. Amounts decay
// exponentially.
type history struct {
	at    time.Time
	ranks []rankWork
}

// rankWork is the work, in seconds, served at one priority to requests that were late or not.
type rankWork struct {
	priority int
	late     bool
	work     float64
}

const (
	// historyWindow is the time in which the amounts decay to 1/e: as long as the shortest latency
	// objectives, so that estimates follow a change within one.
	historyWindow = 600 * time.Millisecond
	// historyPrior is the time for which the history counts as having nothing served ahead: without
	// it, the first requests that are served after an idle time would decide all estimates.
	historyPrior = 200 * time.Millisecond
	// minLateShare bounds the estimate for late requests while only others are served.
	minLateShare = 0.001
)

// decay applies the decay since the last call.
func (h *history) decay(now time.Time) {
	if h.at.IsZero() || !now.After(h.at) {
		h.at = now
		return
	}
	factor := math.Exp(-now.Sub(h.at).Seconds() / historyWindow.Seconds())
	h.at = now
	for i := range h.ranks {
		h.ranks[i].work *= factor
	}
}

// record adds served work.
func (h *history) record(priority int, late bool, work float64) {
	for i := range h.ranks {
		if r := &h.ranks[i]; r.priority == priority && r.late == late {
			r.work += work
			return
		}
	}
	h.ranks = append(h.ranks, rankWork{
		priority: priority,
		late:     late,
		work:     work,
	})
}

// shareLeft returns the part of the slots that is left for the requests of a priority after those that
// come before them. slots is the work served per second.
func (h *history) shareLeft(priority int, late bool, slots float64) float64 {
	ahead, total := 0.0, slots*historyPrior.Seconds()
	for _, r := range h.ranks {
		total += r.work
		if late && !r.late || r.late == late && r.priority < priority {
			ahead += r.work
		}
	}
	if late {
		return max(1-ahead/total, minLateShare)
	}
	return max(1-ahead/total, guardShare)
}
