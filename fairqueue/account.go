package fairqueue

// account has the waiting requests of one workspace at one priority.
type account struct {
	workspace string
	weight    float64
	// start is the virtual time at which the next request of the workspace is due. It grows by the
	// work of each served request, divided by the weight.
	start float64
	lists [classes]itemList
	// backlog measures the part of the work that the workspace gets at this priority.
	backlog backlog
}

func newAccount(workspace string, start float64) *account {
	a := &account{
		workspace: workspace,
		start:     start,
	}
	for c := range a.lists {
		a.lists[c].compare = byDeadline
	}
	return a
}

func (a *account) len() int {
	n := 0
	for c := range a.lists {
		n += len(a.lists[c].items)
	}
	return n
}

// work returns the waiting work of the classes up to a last one.
func (a *account) work(last class) float64 {
	work := 0.0
	for c := classReturning; c <= last; c++ {
		work += a.lists[c].work
	}
	return work
}

// returning returns the first accepted request of a caller that returns, as long as the workspace is
// no further ahead of its fair share than returningLead such requests.
func (a *account) returning(virtualTime float64, accept func(*Item) bool) *Item {
	list := &a.lists[classReturning]
	if len(list.items) == 0 {
		return nil
	}
	mean := list.work / float64(len(list.items)) / a.weight
	if a.start > virtualTime+returningLead*mean {
		return nil
	}
	return list.first(accept)
}

// workAhead returns the work of the account that comes before a request of the class, of another
// workspace, that is due at a virtual time.
func (a *account) workAhead(virtualTime, due float64, c class) float64 {
	returning := &a.lists[classReturning]
	lead := 0.0
	if n := len(returning.items); n > 0 {
		mean := returning.work / float64(n) / a.weight
		lead = returning.workBefore((virtualTime + returningLead*mean - a.start) * a.weight)
	}
	switch c {
	case classReturning:
		return min(lead, returning.workBefore((due-a.start)*a.weight))
	case classFirst:
		items := len(returning.items) + len(a.lists[classFirst].items)
		return max(lead, workBefore((due-a.start)*a.weight, a.work(classFirst), items))
	default:
		before := a.work(c - 1)
		return before + a.lists[c].workBefore((due-a.start)*a.weight-before)
	}
}

// returningLead is the number of requests by which a workspace may be ahead of its fair share while
// its returning callers still come first. Without a bound, a workspace with many refused callers
// would exclude all others.
const returningLead = 8

// firstAttempt returns the workspace's first accepted request that is neither late nor a retry.
func (a *account) firstAttempt(_ float64, accept func(*Item) bool) *Item {
	if item := a.lists[classReturning].first(accept); item != nil {
		return item
	}
	return a.lists[classFirst].first(accept)
}

func (a *account) retry(_ float64, accept func(*Item) bool) *Item {
	return a.lists[classRetry].first(accept)
}

func (a *account) late(_ float64, accept func(*Item) bool) *Item {
	return a.lists[classLate].first(accept)
}
