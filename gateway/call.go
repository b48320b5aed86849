package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/quarantine"
	"github.com/slipwick/slipwick/routing"
	"github.com/slipwick/slipwick/upstream"
)

// call holds the state of one caller's request while it is served.
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
	// held counts the memory that the request holds.
	held *memory.Reservation
	// key identifies the content of the request; a retry of the caller has the same key and another
	// request ID.
	key quarantine.Key
	// promptParts are the keys of the parts of the prompt that other requests may share.
	promptParts []quarantine.Key
	arrived     time.Time
	// countedAt is from when on the request counts in the retry budget: when it can have arrived at the earliest.
	countedAt time.Time
	// deadline is the earlier one of the caller's deadline and the route's timeout.
	deadline time.Time
	ctx      context.Context
	// permitCtx ends with ctx, or once the router refuses the request because it stops. A request that has not run
	// waits for permits until then. It is nil without permits.
	permitCtx context.Context

	selection balance.Request
	// nextLease is the lease of the next send, acquired while the current one was still waiting;
	// nil if there is none.
	nextLease *balance.Lease
	// permit belongs to the current lease, nextPermit to nextLease; they are zero without admission
	// control. permitRequest is the description of the first send for the permit source. waited is
	// how long the request has waited for permits.
	permit, nextPermit heldPermit
	permitRequest      slipwick.PermitRequest
	waited             time.Duration
	// sends counts how often the gateway sent the request or tried to, unreached those sends that
	// reached no backend server, possibleRuns those after which the request may have run.
	sends, unreached, possibleRuns int
	// progress is how much of a stream the caller has received.
	progress streamProgress
	// resumes is the ID of the caller's request that brought the first event of the stream that this one
	// continues, as the caller says.
	resumes string
	// origin is how the version of a stream that the caller takes up is known.
	origin OriginSource
	// eventsBegun says that events of the current send are being forwarded.
	eventsBegun bool
	// originNotedAt is when the other routers were last told where the stream began.
	originNotedAt time.Time
	// wasRejected says that a full server rejected the last send.
	wasRejected bool
	// hasNoPath says that the last send found no network path to any backend server.
	hasNoPath bool
	// isTrial says that the request is quarantined and is let through to find out whether it still
	// crashes backend servers.
	isTrial bool
	// watch finds out whether the backend server crashes during the current send.
	watch *crashWatch
	// overdue says that the balancer has counted the response to the current send as overdue.
	overdue bool
	// responseStart is when the response to the current send began.
	responseStart time.Time
	// restBytes is how many bytes followed the last complete event of the response to the current send.
	restBytes int
	// unframed is the caller's connection while a close of it resets it; see beginUnframed.
	unframed lingerer
	// retryAfter is what the caller was told if the request was refused.
	retryAfter time.Duration
	// failedResponse is the latest failure response of a backend server.
	failedResponse *bufferedResponse
}

// setPool sets the pool to whose servers the request is sent.
func (c *call) setPool(pool string) {
	c.pool, c.selection.Pool = pool, pool
	if c.route.Affinity {
		c.promptParts = partKeys(pool, c.request.Header.Get(c.gateway.Headers.Prompt), c.selection.Prompt)
	}
}

// workspaceName returns the empty string for anonymous requests.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// upstreamRequest returns the request as it is sent to the backend server of the lease.
func (c *call) upstreamRequest(lease *balance.Lease) *upstream.Request {
	names := &c.gateway.Headers
	header := c.request.Header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		header.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	for _, name := range names.RouterOnly {
		header.Del(name)
	}
	header.Del("Authorization")
	header.Del(names.Workspace)
	header.Del(names.FetchFrom)
	if c.workspace != nil {
		header.Set(names.Workspace, c.workspace.Name)
	}
	header.Set(names.Instance, lease.Backend.ID)
	if c.route.Affinity {
		header.Set(names.Priority, strconv.Itoa(c.priority()))
	}
	if pool := c.table.Pools[c.pool]; lease.FetchFrom != "" &&
		pool != nil && pool.Engine != nil && pool.Engine.CanFetchPrompts {
		header.Set(names.FetchFrom, lease.FetchFrom)
	}
	if c.progress.lastID != "" {
		header.Set(lastEventID, c.progress.lastID)
	}
	request := &upstream.Request{
		Method:   c.request.Method,
		Target:   c.request.RequestURI,
		Host:     c.request.Host,
		Header:   header,
		Body:     c.body,
		ID:       c.id,
		IDHeader: names.RequestID,
		RunsOnce: !c.route.MayRepeat(),
	}
	request.BeforeWrite = func() error { return c.checkSend(lease, header) }
	request.Timeouts = c.timeoutsFor(lease)
	request.MaxIdleTime = c.maxIdleTime()
	return request
}

// checkSend is called right before the request is written to the server of the lease. It returns an error if the
// request must not be sent there any more because of what has changed during the waits since the server was chosen, and
// sets the time that is left in the header.
func (c *call) checkSend(lease *balance.Lease, header http.Header) error {
	switch {
	case c.isWithdrawn():
		return errStopping
	case !c.gateway.Balancer.StillAccepts(lease):
		return errNotAccepting
	}
	header.Set(c.gateway.Headers.Deadline, strconv.FormatInt(max(clock.Until(c.deadline).Milliseconds(), 1), 10))
	return nil
}

// maxIdleTime returns for how long a connection may have been idle that is used for the request; 0 sets
// no bound.
func (c *call) maxIdleTime() time.Duration {
	if c.route.MayRepeat() {
		return 0
	}
	return c.gateway.Client.SafeIdleTime()
}

// Priorities range from 0, the most urgent, to lowestPriority. The workspace's priority takes
// precedence over the route's: each workspace priority has routePriorities values of its own, among
// which the route's priority chooses.
const (
	lowestPriority  = 9
	routePriorities = 3
)

// priority returns the priority of the request at an engine.
func (c *call) priority() int {
	routePriority := max(c.route.Priority, 0)
	if c.workspace == nil || c.workspace.Priority == nil {
		return min(routePriority, lowestPriority)
	}
	return min(max(*c.workspace.Priority, 0)*routePriorities+min(routePriority, routePriorities-1), lowestPriority)
}

// requestDeadline returns the earlier one of the caller's deadline, which the header gives in
// milliseconds, and the route's timeout.
func requestDeadline(header string, route *routing.Route, arrived time.Time) time.Time {
	timeout := route.Timeout
	requested, err := strconv.ParseInt(header, 10, 64)
	if err == nil && requested >= 0 && (timeout == 0 || requested < timeout.Milliseconds()) {
		timeout = time.Duration(min(requested, maxTimeout.Milliseconds())) * time.Millisecond
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return arrived.Add(timeout)
}

const (
	// defaultTimeout is the time limit of a request if neither the caller nor the route sets one.
	defaultTimeout = time.Minute
	// maxTimeout caps the caller's time limit, which would overflow a time.Duration above some 292
	// years.
	maxTimeout = 24 * time.Hour
)
