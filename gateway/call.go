package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/quarantine"
	"github.com/slipwick/slipwick/routing"
	"github.com/slipwick/slipwick/upstream"
)

// call is one caller's request on its way.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	table   *routing.Table
	route   *routing.Route
	pool    string
	// workspace is nil for anonymous requests.
	workspace *routing.Workspace
	id        string
	body      []byte
	// key names what is asked for, whatever the request's ID.
	key     quarantine.Key
	arrived time.Time
	// deadline is when the caller or the route gives up.
	deadline time.Time
	ctx      context.Context

	ask balance.Ask
	// next is the place that was granted for the next send while one ran.
	next *balance.Lease
	// sends counts the requests sent to backend servers, unsent those that did
	// not reach one, runs those that may have run there.
	sends, unsent, runs int
	// stream is what has been passed on of a stream.
	stream passedOn
	// isTrial says that the request is quarantined, and is to show whether it has to be.
	isTrial bool
	// firstEvent is when the first event of the send in progress was passed on; zero
	// before.
	firstEvent time.Time
	// failure is the latest answer that a backend server failed with.
	failure *wholeAnswer
}

// workspaceName is empty for anonymous requests.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// upstreamRequest makes the request for the backend server of the lease.
func (c *call) upstreamRequest(lease *balance.Lease) *upstream.Request {
	names := &c.gateway.Headers
	header := c.request.Header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		header.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	for _, name := range names.Withheld {
		header.Del(name)
	}
	header.Del("Authorization")
	header.Del(names.Workspace)
	header.Del(names.FetchFrom)
	if c.workspace != nil {
		header.Set(names.Workspace, c.workspace.Name)
	}
	header.Set(names.Instance, lease.Backend.ID)
	header.Set(names.Deadline, strconv.FormatInt(max(clock.Until(c.deadline).Milliseconds(), 1), 10))
	if c.route.Affinity {
		header.Set(names.Priority, strconv.Itoa(c.priority()))
	}
	if pool := c.table.Pools[c.pool]; lease.FetchFrom != "" && pool != nil && pool.Engine != nil && pool.Engine.Fetches {
		header.Set(names.FetchFrom, lease.FetchFrom)
	}
	if c.stream.lastID != "" {
		header.Set(lastEventID, c.stream.lastID)
	}
	request := &upstream.Request{
		Method:   c.request.Method,
		Target:   c.request.RequestURI,
		Host:     c.request.Host,
		Header:   header,
		Body:     c.body,
		ID:       c.id,
		IDHeader: names.RequestID,
	}
	request.Patience = c.patienceFor(lease)
	if !c.route.MayRepeat() {
		request.MaxRest = singleMaxRest
	}
	return request
}

// singleMaxRest bounds the rest of connections that carry requests which may
// not be sent again: a shorter rest is less likely to end unseen.
const singleMaxRest = 2 * time.Second

// Priorities are 0 to lowestPriority; a workspace's goes before the route's.
const (
	lowestPriority  = 9
	routePriorities = 3
)

func (c *call) priority() int {
	own := max(c.route.Priority, 0)
	if c.workspace == nil || c.workspace.Priority == nil {
		return min(own, lowestPriority)
	}
	return min(max(*c.workspace.Priority, 0)*routePriorities+min(own, routePriorities-1), lowestPriority)
}

// deadlineOf is when the caller or the route gives up, whichever is earlier.
func deadlineOf(header string, route *routing.Route, arrived time.Time) time.Time {
	wait := route.Timeout
	given, err := strconv.ParseInt(header, 10, 64)
	if err == nil && given >= 0 && (wait == 0 || given < wait.Milliseconds()) {
		wait = time.Duration(given) * time.Millisecond
	}
	if wait == 0 {
		wait = defaultTimeout
	}
	return arrived.Add(wait)
}

// defaultTimeout holds for requests without deadline on routes without one.
const defaultTimeout = time.Minute
