package gateway

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/quarantine"
	"github.com/slipwick/slipwick/retry"
	"github.com/slipwick/slipwick/routing"
	"github.com/slipwick/slipwick/upstream"
)

// writeMargin is how long after its deadline an answer may still be written.
const writeMargin = time.Second

// Gateway serves callers. Set the exported fields before the first request.
type Gateway struct {
	Headers  Headers
	Balancer *balance.Balancer
	Client   *upstream.Client
	Budget   *retry.Budget
	// Quarantine keeps requests from backend servers that end under them; nil keeps none.
	Quarantine *quarantine.Ledger
	// Ready is closed once the router has a configuration, the list of backend
	// servers and that of evacuated data centres, Homes once it has learnt which
	// engines keep which prompts. Requests that come before wait a moment for what
	// they need. Nil waits for nothing.
	Ready, Homes <-chan struct{}
	// Observer is told of each request's ending.
	Observer Observer

	table atomic.Pointer[routing.Table]
	// leaving says that the router will stop: callers are to take other
	// connections.
	leaving atomic.Bool
	// closing is when it stops, once it has begun to refuse what may last
	// longer; nil before.
	closing  atomic.Pointer[time.Time]
	inFlight atomic.Int64
}

// SetTable puts a version of the table in force. Older versions are ignored.
func (g *Gateway) SetTable(table *routing.Table) bool {
	for {
		current := g.table.Load()
		if current != nil && current.Version >= table.Version {
			return false
		}
		if g.table.CompareAndSwap(current, table) {
			return true
		}
	}
}

// Table is the version in force; nil before the first.
func (g *Gateway) Table() *routing.Table {
	return g.table.Load()
}

// Leave tells callers from now on to take other connections.
func (g *Gateway) Leave() {
	g.leaving.Store(true)
}

// Close refuses all requests from now on that may last beyond the end.
func (g *Gateway) Close(end time.Time) {
	g.closing.Store(&end)
}

// closesBefore tells whether the router stops before the time.
func (g *Gateway) closesBefore(deadline time.Time) bool {
	end := g.closing.Load()
	return end != nil && deadline.After(*end)
}

// InFlight counts the requests in progress.
func (g *Gateway) InFlight() int64 {
	return g.inFlight.Load()
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	clock.Notice()
	arrived := clock.Now()
	// The connection's earlier request set a deadline of its own; without
	// support for deadlines there is none to set.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	if id := r.Header.Get(g.Headers.RequestID); id != "" {
		w.Header().Set(g.Headers.RequestID, id)
	}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	g.awaitReady(r, arrived)
	c, refusal := g.admit(w, r, arrived)
	if refusal != nil {
		refusal.write(w)
		g.Observer.Refused(r, refusal)
		return
	}
	// A caller that reads nothing does not hold the router beyond the end.
	_ = http.NewResponseController(w).SetWriteDeadline(clock.Runtime(c.deadline.Add(writeMargin)))
	ctx, cancel := context.WithDeadline(r.Context(), clock.Runtime(c.deadline))
	defer cancel()
	c.ctx = ctx
	if refusal := c.admitToBackends(); refusal != nil {
		refusal.write(w)
		g.Observer.Refused(r, refusal)
		return
	}
	c.awaitHome()
	c.serve()
}

// admit checks a request and reads its body.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, arrived time.Time) (*call, *Refusal) {
	table := g.table.Load()
	if table == nil || g.Ready != nil && !isClosed(g.Ready) {
		return nil, refuseNotReady()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := table.Route(r.Host, path)
	if route == nil {
		return nil, refuseNoRoute(table.Version)
	}
	var workspace *routing.Workspace
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		workspace = table.Workspace(key)
	}
	if workspace == nil && !route.Anonymous && table.Workspaces > 0 {
		return nil, refuseNoKey(table.Version)
	}
	if limit := table.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, refuseHeader(limit)
	}
	deadline := deadlineOf(r.Header.Get(g.Headers.Deadline), route, arrived)
	if g.closesBefore(deadline) {
		return nil, refuseStopping()
	}
	body, refusal := readBody(w, r, table.Limits.BodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	c := &call{
		gateway:   g,
		writer:    w,
		request:   r,
		table:     table,
		route:     route,
		pool:      route.Choose(rand.Float64()),
		workspace: workspace,
		id:        r.Header.Get(g.Headers.RequestID),
		body:      body,
		arrived:   arrived,
		deadline:  deadline,
	}
	c.key = quarantine.KeyOf(c.workspaceName(), r.Method, r.RequestURI, body)
	c.ask.Pool = c.pool
	c.ask.Regions = routing.Regions(route, workspace)
	if route.Affinity {
		c.ask.Prompt, c.ask.Own = promptParts(r.Header.Get(g.Headers.Prompt))
	}
	c.stream.lastID = r.Header.Get(lastEventID)
	return c, nil
}

func headerBytes(r *http.Request) int64 {
	const separators = 4
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return int64(size)
}

// readBody reads the whole body, so that it can be sent again.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, refuseBody(limit)
	}
	reader := io.Reader(r.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	if _, err := body.ReadFrom(reader); err != nil {
		return nil, refuseUnreadBody(err, limit)
	}
	return body.Bytes(), nil
}
