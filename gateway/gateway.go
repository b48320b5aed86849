package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/pace"
	"github.com/slipwick/slipwick/quarantine"
	"github.com/slipwick/slipwick/retry"
	"github.com/slipwick/slipwick/routing"
	"github.com/slipwick/slipwick/upstream"
)

// Gateway is the HTTP handler that forwards callers' requests to backend servers. Set the exported
// fields before the first request.
type Gateway struct {
	Headers  Headers
	Balancer *balance.Balancer
	Client   *upstream.Client
	// Budget limits the retries that all routers together send to each pool.
	Budget *retry.Budget
	// Permits decides when a request may be sent; nil sends each at once. If it implements
	// slipwick.PressureSource, no second send is made for a request while a pool is under pressure
	// and the first one still waits.
	Permits slipwick.PermitSource
	// PermitsActive reports whether requests need permits; nil says that they do if Permits is set.
	PermitsActive func() bool
	// OnPace is called when a backend server first reports its pace, once at most; may be nil. It must
	// not block.
	OnPace func()
	// Quarantine refuses requests that have crashed several backend servers; nil disables it.
	Quarantine *quarantine.Tracker
	// Streams knows at which pool and version streams began that callers take up; nil if nobody does.
	Streams slipwick.StreamSource
	// BackendsAge returns how long ago the store was in the state of the list of backend servers, MaxBackendsAge how
	// old the list may be. Nil stands for 0.
	BackendsAge, MaxBackendsAge func() time.Duration
	// Memory bounds the bytes held for bodies, responses and streams; nil sets no bound.
	Memory *memory.Account
	// Ready is closed once the router has a configuration and the list of backend servers, and
	// knows the evacuated data centres and the rollouts or has waited for these for long enough.
	// CachesKnown is closed once the router has learnt which engines have which prompts cached, or
	// has given up on the rest. Requests that arrive earlier wait for a limited time. A nil channel
	// disables the wait.
	Ready, CachesKnown <-chan struct{}
	// EarliestArrival returns the earliest time, by package clock, at which a request can have arrived that the router
	// reads now; nil stands for the present.
	EarliestArrival func() time.Time
	// StartedAt is when the router started, by package clock. If set, requests wait only briefly for a
	// router that is not ready long after that.
	StartedAt time.Time
	// IsOverloaded reports whether the router lacks processor time; responses then close their
	// connections, so that callers open one to another router. Nil stands for never.
	IsOverloaded func() bool
	// Observer receives how each request ended.
	Observer Observer

	table atomic.Pointer[routing.Table]
	// endsAt is when a draining router stops at the latest, stopAt the time from which on it has to have finished
	// requests; those that may last longer are refused. They are nil until Drain and StopAt are called.
	endsAt, stopAt atomic.Pointer[time.Time]
	stop           stopSignals
	inFlight       atomic.Int64
	// firstPace guards the call of OnPace.
	firstPace sync.Once
	// work estimates the work of requests; workOnce guards its creation.
	workOnce sync.Once
	work     *pace.WorkEstimator
	refused  refusedKeys
	routes   routeHistory
}

// RecordPace notes that a backend server reported its pace.
func (g *Gateway) RecordPace() {
	if g.OnPace != nil {
		g.firstPace.Do(g.OnPace)
	}
}

// SetTable puts a routing table into use and reports whether it did: a table that is not newer than
// the current one is ignored.
func (g *Gateway) SetTable(table *routing.Table) bool {
	for {
		current := g.table.Load()
		if current != nil && current.Version >= table.Version {
			return false
		}
		if g.table.CompareAndSwap(current, table) {
			g.routes.recordTable(table)
			return true
		}
	}
}

// Table returns the current routing table, or nil before the first.
func (g *Gateway) Table() *routing.Table {
	return g.table.Load()
}

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 {
	return g.inFlight.Load()
}

// ServeHTTP forwards one request and blocks until its response has been written. If the response
// breaks off after a part was written, or the caller has disconnected, it panics with
// http.ErrAbortHandler, so that the caller does not take it for complete.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	clock.DetectSuspension()
	arrived := clock.Now()
	countedAt := arrived
	if g.EarliestArrival != nil {
		countedAt = g.EarliestArrival()
	}
	// Clear the write deadline that an earlier request on the same connection set. An error means
	// that the writer does not support deadlines, so that there is none to clear.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	if id := r.Header.Get(g.Headers.RequestID); id != "" {
		w.Header().Set(g.Headers.RequestID, id)
	}
	if g.isDraining() || g.IsOverloaded != nil && g.IsOverloaded() {
		w.Header().Set("Connection", "close")
	}
	g.awaitReady(r, arrived)
	held := g.Memory.NewReservation()
	defer held.Release()
	c, refusal := g.admit(w, r, arrived, countedAt, held)
	if refusal != nil {
		writeRefusal(w, r, refusal)
		g.Observer.Refused(r, refusal)
		return
	}
	c.limitWrite()
	ctx, cancel := context.WithDeadline(r.Context(), clock.ToRuntime(c.deadline))
	defer cancel()
	defer context.AfterFunc(g.ended(), cancel)()
	c.ctx = ctx
	if g.usesPermits() {
		permitCtx, release := g.untilRefused(ctx, c.deadline)
		defer release()
		c.permitCtx = permitCtx
	}
	if refusal := c.checkQuarantine(); refusal != nil {
		refusal.write(w)
		g.Observer.Refused(r, refusal)
		return
	}
	if refusal := c.bindToOrigin(); refusal != nil {
		refusal.write(w)
		g.Observer.Refused(r, refusal)
		return
	}
	c.awaitCachedPrompt()
	c.serve()
}

// admit checks a request, reads its body, and returns either its call or the reason to refuse it.
func (g *Gateway) admit(
	w http.ResponseWriter, r *http.Request, arrived, countedAt time.Time, held *memory.Reservation,
) (*call, *Refusal) {
	table := g.table.Load()
	if table == nil || g.Ready != nil && !isClosed(g.Ready) {
		return nil, refuseNotReady()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := table.Route(r.Host, path)
	if route == nil {
		return nil, refuseNoRoute(table.Version)
	}
	workspace, refusal := authenticate(r, table, route)
	if refusal != nil {
		return nil, refusal
	}
	if limit := table.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, refuseHeader(limit)
	}
	deadline := requestDeadline(r.Header.Get(g.Headers.Deadline), route, arrived)
	if g.stopsBefore(deadline) {
		return nil, refuseStopping()
	}
	body, refusal := g.readBody(w, r, route, table.Limits.BodyBytes, deadline, held)
	if refusal != nil {
		return nil, refusal
	}
	c := &call{
		gateway:   g,
		writer:    w,
		request:   r,
		table:     table,
		route:     route,
		workspace: workspace,
		id:        r.Header.Get(g.Headers.RequestID),
		body:      body,
		held:      held,
		arrived:   arrived,
		countedAt: countedAt,
		deadline:  deadline,
	}
	c.key = quarantine.KeyOf(c.workspaceName(), r.Method, r.RequestURI, body)
	c.selection.Regions = routing.AllowedRegions(route, workspace)
	c.selection.MaxIdleTime = c.maxIdleTime()
	if route.Affinity {
		c.selection.Prompt, c.selection.UniqueTokens = promptParts(r.Header.Get(g.Headers.Prompt))
	}
	c.setPool(route.ChoosePool(rand.Float64()))
	c.progress.lastID, c.resumes = r.Header.Get(lastEventID), r.Header.Get(g.Headers.Resumes)
	c.progress.isTakenUp = c.progress.lastID != "" || c.resumes != ""
	c.recordDeadline()
	return c, nil
}

// headerBytes returns how many bytes the head of a request had at least: callers may leave out the space after a colon
// and the carriage return.
func headerBytes(r *http.Request) int64 {
	const separatorBytes = 2
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separatorBytes
		}
	}
	return int64(size)
}
