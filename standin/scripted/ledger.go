package scripted

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Rule is a rule of an exchange.
type Rule string

// The rules.
const (
	// RunsTwice says that a request which must run once ran more often.
	RunsTwice Rule = "TWICE"
	// RunsThoughRefused says that a caller was told that a request was not run, though it was.
	RunsThoughRefused Rule = "REFUSED"
	// IsMixedUp says that a caller got something other than the whole response of a run of its request.
	IsMixedUp Rule = "MIXED"
	// IsUnasked says that a server got a request that no caller sent, or one with another body.
	IsUnasked Rule = "UNASKED"
	// IsOutOfOrder says that the events of a stream were not those of one run in order.
	IsOutOfOrder Rule = "ORDER"
)

// Violation is a case of a broken rule.
type Violation struct {
	Rule Rule
	// Request is the ID of the request, Text what happened to it.
	Request string
	Text    string
}

// Run is one run of a request.
type Run struct {
	Server string
	Stamp  string
	Status int
}

// Request is a request of a caller, and what became of it.
type Request struct {
	ID string
	// Kind is the kind of its route, Events how many events its stream has.
	Kind   Kind
	Events int
	Body   string

	sends int
	runs  []Run
}

// Kind is what may be done with a request.
type Kind int

// The kinds.
const (
	// Once is for requests that must run once, Repeatable for those that may run again.
	Once Kind = iota
	Repeatable
	// StreamOnce is for streams that must run once, Resumable for those that another run may continue.
	StreamOnce
	Resumable
)

// IsStream reports whether the response is a stream of events.
func (k Kind) IsStream() bool { return k == StreamOnce || k == Resumable }

// RunsOnce reports whether a request must run once.
func (k Kind) RunsOnce() bool { return k == Once || k == StreamOnce }

// Outcome is what a caller got. Status is 0 without a response; IsWhole says that the response ended as complete.
type Outcome struct {
	Status  int
	Stamp   string
	Body    string
	IsWhole bool
}

// Ledger records requests, runs and outcomes. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	requests map[string]*Request
	outcomes map[string]Outcome
	runs     int
	// others are violations that callers saw beside the outcomes. found has those that Violations has returned.
	others []Violation
	found  map[Violation]struct{}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		requests: make(map[string]*Request),
		outcomes: make(map[string]Outcome),
		found:    make(map[Violation]struct{}),
	}
}

// Sent records a request before it is sent.
func (l *Ledger) Sent(request Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[request.ID] = &request
}

// Ended records what the caller of a request got.
func (l *Ledger) Ended(id string, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[id] = outcome
}

// GotBytes records that bytes arrived at a caller on a connection without a request under way.
func (l *Ledger) GotBytes(after, bytes string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others = append(l.others, Violation{
		Rule:    IsMixedUp,
		Request: after,
		Text:    fmt.Sprintf("after the response its caller got %q", bytes),
	})
}

// arrived counts a send and returns the request and the number of the send, from 0; nil if nobody sent such a request.
// A send without an ID is a call of a router.
func (l *Ledger) arrived(id string) (request *Request, number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request = l.requests[id]
	if request == nil {
		if id != "" {
			l.others = append(l.others, Violation{
				Rule:    IsUnasked,
				Request: id,
				Text:    "no caller sent it",
			})
		}
		return nil, 0
	}
	request.sends++
	return request, request.sends - 1
}

// bodyArrived records a whole body of a request.
func (l *Ledger) bodyArrived(request *Request, body string) {
	if body == request.Body {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	const shown = 100
	l.others = append(l.others, Violation{
		Rule:    IsUnasked,
		Request: request.ID,
		Text: fmt.Sprintf("a server got a body of %d bytes, its caller sent %d; it begins with %q", len(body),
			len(request.Body), body[:min(len(body), shown)]),
	})
}

// began records that a server begins to run a request, and returns the stamp of the run.
func (l *Ledger) began(request *Request, server string, status int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	run := Run{
		Server: server,
		Stamp:  fmt.Sprintf("%s.%d", server, l.runs),
		Status: status,
	}
	request.runs = append(request.runs, run)
	return run.Stamp
}

// Counts are the numbers of requests, of those by status of their response, of runs and of sends.
type Counts struct {
	Requests, Runs, Sends int
	ByStatus              map[int]int
}

// Counts returns the counts so far.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := Counts{
		Requests: len(l.requests),
		Runs:     l.runs,
		ByStatus: make(map[int]int),
	}
	for id, request := range l.requests {
		counts.Sends += request.sends
		counts.ByStatus[l.outcomes[id].Status]++
	}
	return counts
}

// Since returns the difference to earlier counts.
func (c Counts) Since(earlier Counts) Counts {
	byStatus := make(map[int]int)
	for status, count := range c.ByStatus {
		if since := count - earlier.ByStatus[status]; since != 0 {
			byStatus[status] = since
		}
	}
	return Counts{
		Requests: c.Requests - earlier.Requests,
		Runs:     c.Runs - earlier.Runs,
		Sends:    c.Sends - earlier.Sends,
		ByStatus: byStatus,
	}
}

// Violations returns the cases of broken rules that it has not returned before, ordered by request.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.others)
	for _, id := range slices.Sorted(maps.Keys(l.requests)) {
		all = append(all, check(l.requests[id], l.outcomes[id])...)
	}
	return slices.DeleteFunc(all, func(v Violation) bool {
		key := Violation{
			Rule:    v.Rule,
			Request: v.Request,
		}
		_, isKnown := l.found[key]
		l.found[key] = struct{}{}
		return isKnown
	})
}

// check returns the rules that one request broke.
func check(request *Request, outcome Outcome) []Violation {
	var violations []Violation
	add := func(rule Rule, got string) {
		violations = append(violations, Violation{
			Rule:    rule,
			Request: request.ID,
			Text: fmt.Sprintf("its caller got %s; it was sent %d times, its runs are %v", got, request.sends,
				request.runs),
		})
	}
	status := fmt.Sprint(outcome.Status)
	if request.Kind.RunsOnce() && len(request.runs) > 1 {
		add(RunsTwice, status)
	}
	if len(request.runs) > 0 && IsPromise(outcome.Status) {
		add(RunsThoughRefused, status)
	}
	if rule := checkResponse(request, outcome); rule != "" {
		add(rule, fmt.Sprintf("%d with the stamp %q and %q (complete: %v)", outcome.Status, outcome.Stamp, outcome.Body,
			outcome.IsWhole))
	}
	return violations
}

// checkResponse returns the rule that the response to a request breaks; empty if it breaks none.
func checkResponse(request *Request, outcome Outcome) Rule {
	run, ok := findRun(request.runs, outcome.Stamp)
	isSuccess := outcome.Status/100 == 2
	switch {
	case outcome.Stamp != "" && (!ok || run.Status != outcome.Status), isSuccess && !ok:
		return IsMixedUp
	case !isSuccess:
		return ""
	case request.Kind.IsStream() && !isPart(outcome, streamOf(request, run.Stamp, 0)):
		return IsOutOfOrder
	case !request.Kind.IsStream() && !isPart(outcome, bodyOf(request, run.Stamp)):
		return IsMixedUp
	default:
		return ""
	}
}

// isPart reports whether a caller got the body or, if it can tell that the end is missing, the beginning of it.
func isPart(outcome Outcome, body string) bool {
	return outcome.Body == body || !outcome.IsWhole && strings.HasPrefix(body, outcome.Body)
}

func findRun(runs []Run, stamp string) (Run, bool) {
	at := slices.IndexFunc(runs, func(run Run) bool { return run.Stamp == stamp })
	if at < 0 {
		return Run{}, false
	}
	return runs[at], true
}

// IsPromise reports whether callers take the status for a promise that the request was not run and never will be.
func IsPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// bodyLines is how many lines the response to a plain request has.
const bodyLines = 12

// bodyOf returns the body of the response of a run.
func bodyOf(request *Request, stamp string) string {
	return strings.Repeat("response of "+stamp+" to "+request.ID+"\n", bodyLines)
}

// streamOf returns the events of a stream after the one with the given number. Those of one that must run once show
// their run.
func streamOf(request *Request, stamp string, last int) string {
	var events strings.Builder
	if request.Kind == Resumable {
		stamp = "any"
	}
	for n := last + 1; n <= request.Events; n++ {
		fmt.Fprintf(&events, "id: %d\ndata: event %d of %s by %s\n\n", n, n, request.ID, stamp)
	}
	return events.String()
}
