package fairqueue

import "time"

// backlog measures which part of the served work an account gets while it always has requests that
// wait.
type backlog struct {
	// served is the work that was served since the account is known, in seconds.
	served float64
	// older and newer are two moments of the current backlog; both are zero without one. Older is
	// between one and two historyWindow ago if the backlog is that old.
	older, newer backlogMark
}

// backlogMark has the work of the account, and of the whole queue, that was served up to a moment.
type backlogMark struct {
	at            time.Time
	served, total float64
}

// mark notes that requests of the account wait. total is the work that the queue has served so far.
func (b *backlog) mark(now time.Time, total float64) {
	m := backlogMark{
		at:     now,
		served: b.served,
		total:  total,
	}
	switch {
	case b.newer.at.IsZero():
		b.older, b.newer = m, m
	case now.Sub(b.newer.at) >= historyWindow:
		b.older, b.newer = b.newer, m
	}
}

// end notes that no requests of the account wait.
func (b *backlog) end() {
	b.older, b.newer = backlogMark{}, backlogMark{}
}

// totalFor returns how much work the queue serves while it serves an amount of the account's, if it
// goes on as lately. It is 0 if the backlog is too short for an estimate, or nothing has arrived lately.
// item is the work of a usual request: a few requests more than were served may have been by chance.
func (b *backlog) totalFor(work, item float64, now time.Time, total float64) float64 {
	if b.older.at.IsZero() || now.Sub(b.older.at) < historyWindow || now.Sub(b.newer.at) > 2*historyWindow {
		return 0
	}
	own, all := b.served-b.older.served, total-b.older.total
	return work * all / (own + chanceItems*item)
}

// chanceItems is the number of requests that count as served in addition to those that were. The
// estimate of the wait is lower with it where few were served, so that no request is refused for chance.
const chanceItems = 2
