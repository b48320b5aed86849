package fairqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/slipwick/slipwick"
)

// level has the waiting requests of one priority.
type level struct {
	priority int
	// virtualTime is the start of the account that was due first when a request was last served. No
	// account with waiting requests starts before it.
	virtualTime float64
	// accounts is sorted by start. Accounts without requests stay while they are ahead of the
	// virtual time.
	accounts []*account
	byName   map[string]*account
	// timely and late have the level's requests, oldest first.
	timely, late itemList
}

func newLevel(priority int) *level {
	return &level{
		priority: priority,
		byName:   make(map[string]*account),
		timely:   itemList{compare: byArrival},
		late:     itemList{compare: byArrival},
	}
}

func (l *level) len() int {
	return len(l.timely.items) + len(l.late.items)
}

// arrivals returns the list by arrival that an item of the class belongs to.
func (l *level) arrivals(c class) *itemList {
	if c == classLate {
		return &l.late
	}
	return &l.timely
}

// insert adds an item. total is the work that the queue has served so far.
func (l *level) insert(item *Item, now time.Time, total float64) {
	item.level = l
	item.account = l.accountOf(item.Request)
	item.account.backlog.mark(now, total)
	item.account.lists[item.class].insert(item)
	l.arrivals(item.class).insert(item)
}

func (l *level) remove(item *Item) {
	item.account.lists[item.class].remove(item)
	if item.account.len() == 0 {
		item.account.backlog.end()
	}
	l.arrivals(item.class).remove(item)
	item.level, item.account = nil, nil
}

// accountOf returns the account of a request's workspace, which starts no earlier than the virtual
// time.
func (l *level) accountOf(request *slipwick.PermitRequest) *account {
	a := l.byName[request.Workspace]
	if a == nil {
		a = newAccount(request.Workspace, l.virtualTime)
		l.byName[request.Workspace] = a
		l.place(a)
	}
	a.weight = weightOf(request)
	if a.start < l.virtualTime {
		l.charge(a, l.virtualTime-a.start)
	}
	return a
}

// charge moves the start of an account by an amount of virtual time.
func (l *level) charge(a *account, amount float64) {
	if index := slices.Index(l.accounts, a); index >= 0 {
		l.accounts = slices.Delete(l.accounts, index, index+1)
	}
	a.start += amount
	l.place(a)
}

// place inserts an account into the sorted list.
func (l *level) place(a *account) {
	index, _ := slices.BinarySearchFunc(l.accounts, a, func(x, y *account) int {
		return cmp.Compare(x.start, y.start)
	})
	l.accounts = slices.Insert(l.accounts, index, a)
}

// serve removes an item that is served and charges its workspace.
func (l *level) serve(item *Item) {
	l.advance()
	a := item.account
	a.backlog.served += workOf(item.Request)
	l.remove(item)
	l.charge(a, workOf(item.Request)/a.weight)
}

// advance sets the virtual time to the earliest start of an account with requests, and removes the
// accounts without requests that start before.
func (l *level) advance() {
	due := slices.IndexFunc(l.accounts, func(a *account) bool { return a.len() > 0 })
	if due < 0 {
		return
	}
	l.virtualTime = max(l.virtualTime, l.accounts[due].start)
	for _, a := range l.accounts[:due] {
		delete(l.byName, a.workspace)
	}
	l.accounts = slices.Delete(l.accounts, 0, due)
}

// chooser returns the request of an account that is next, or nil.
type chooser func(a *account, virtualTime float64, accept func(*Item) bool) *Item

// next returns the item that is due first among those that the chooser returns; the deadline decides
// between accounts with the same start.
func (l *level) next(choose chooser, accept func(*Item) bool) *Item {
	var best *Item
	for _, a := range l.accounts {
		if best != nil && a.start > best.account.start {
			return best
		}
		item := choose(a, l.virtualTime, accept)
		if item != nil && (best == nil || byDeadline(item, best) < 0) {
			best = item
		}
	}
	return best
}

// nextTimely returns the next item that can meet its objective, or nil.
func (l *level) nextTimely(accept func(*Item) bool) *Item {
	for _, choose := range []chooser{(*account).returning, (*account).firstAttempt, (*account).retry} {
		if item := l.next(choose, accept); item != nil {
			return item
		}
	}
	return nil
}

// aheadOfShare reports whether a workspace's next request of the class is so far ahead of its fair share
// that a returning caller doesn't come first.
func (l *level) aheadOfShare(due, mean float64) bool {
	return due > l.virtualTime+returningLead*mean
}

// dueAt returns the virtual time at which a request of the class would be due, and the work of its
// workspace that comes before it.
func (l *level) dueAt(request *slipwick.PermitRequest, c class) (due, ahead float64) {
	due = l.virtualTime
	if own := l.byName[request.Workspace]; own != nil {
		due = max(due, own.start)
		ahead = own.work(c-1) + own.lists[c].workUntil(request)
	}
	return due + ahead/weightOf(request), ahead
}

// workAhead returns the work at this priority that comes before a request of the class, of those that
// wait.
func (l *level) workAhead(request *slipwick.PermitRequest, c class) float64 {
	due, ahead := l.dueAt(request, c)
	if c == classReturning && l.aheadOfShare(due, workOf(request)/weightOf(request)) {
		c = classFirst
	}
	for _, a := range l.accounts {
		if a.workspace == request.Workspace || a.len() == 0 {
			continue
		}
		ahead += a.workAhead(l.virtualTime, due, c)
	}
	return ahead
}

// fairWork returns the work that is served at all priorities until the workspace of the request, whose
// requests have been waiting for a while, has got that of its requests that come first. It is 0 without
// such a workspace. total is the work that the queue has served so far.
func (l *level) fairWork(request *slipwick.PermitRequest, c class, now time.Time, total float64) float64 {
	own := l.byName[request.Workspace]
	if own == nil {
		return 0
	}
	_, ahead := l.dueAt(request, c)
	return own.backlog.totalFor(ahead, workOf(request), now, total)
}

// work returns the work of the level's requests of the class c or an earlier one.
func (l *level) work(c class) float64 {
	if c == classLate {
		return l.timely.work + l.late.work
	}
	return l.timely.work
}

// furthestAbove returns the account whose waiting work is the largest for its weight, with work that
// a request of one workspace adds. It returns nil if that is the request's workspace.
func (l *level) furthestAbove(request *slipwick.PermitRequest) *account {
	var furthest *account
	most := 0.0
	if request != nil {
		most = workOf(request) / weightOf(request)
	}
	for _, a := range l.accounts {
		ratio := a.work(classLate) / a.weight
		if request != nil && a.workspace == request.Workspace {
			ratio += workOf(request) / a.weight
		}
		if ratio > most {
			furthest, most = a, ratio
		}
	}
	return furthest
}

// newest returns the newest item of an account whose removal frees enough bytes, or nil.
func (l *level) newest(a *account, bytes int64) *Item {
	var newest *Item
	for _, list := range []*itemList{&l.timely, &l.late} {
		for _, item := range slices.Backward(list.items) {
			if item.account != a || item.Request.Bytes < bytes {
				continue
			}
			if newest == nil || byArrival(item, newest) > 0 {
				newest = item
			}
			break
		}
	}
	return newest
}
