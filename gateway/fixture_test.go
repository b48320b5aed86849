package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange"
	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/retry"
	"github.com/slipwick/slipwick/routing"
	"github.com/slipwick/slipwick/upstream"
)

// backend is a backend server that counts the requests it ran and keeps the last one.
type backend struct {
	id string
	// version is the version of its software.
	version string
	server  *httptest.Server
	runs    atomic.Int64
	last    atomic.Pointer[http.Request]
	body    atomic.Pointer[string]
}

// newBackend starts a backend server that passes each request to handle.
func newBackend(t *testing.T, id string, handle func(*backend, http.ResponseWriter, *http.Request)) *backend {
	b := &backend{
		id: id,
	}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		text := string(body)
		b.body.Store(&text)
		b.last.Store(r)
		w.Header().Set("Slipwick-Request", r.Header.Get("Slipwick-Request"))
		handle(b, w, r)
	}))
	t.Cleanup(b.server.Close)
	return b
}

func newBackends(t *testing.T, n int, handle func(*backend, http.ResponseWriter, *http.Request)) []*backend {
	t.Helper()
	var backends []*backend
	for i := range n {
		backends = append(backends, newBackend(t, fmt.Sprint("b", i), handle))
	}
	return backends
}

// respondWith returns a handler that runs the request and responds.
func respondWith(status int, body string) func(*backend, http.ResponseWriter, *http.Request) {
	return func(b *backend, w http.ResponseWriter, _ *http.Request) {
		b.runs.Add(1)
		w.Header().Set("Slipwick-Stamp", b.id)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// rejectNotRun is a handler that rejects the request without running it.
func rejectNotRun(_ *backend, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Slipwick-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breakAfter returns a handler that runs the request, writes part, and then breaks the connection.
func breakAfter(part string) func(*backend, http.ResponseWriter, *http.Request) {
	return func(b *backend, w http.ResponseWriter, _ *http.Request) {
		b.runs.Add(1)
		w.Header().Set("Slipwick-Stamp", b.id)
		if part != "" {
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
}

// withHeaders returns a handler that sets response headers, given as names and values in turn, and
// then calls handle.
func withHeaders(
	handle func(*backend, http.ResponseWriter, *http.Request), header ...string,
) func(*backend, http.ResponseWriter, *http.Request) {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		handle(b, w, r)
	}
}

// recordingObserver records all calls.
type recordingObserver struct {
	mu        sync.Mutex
	summaries []RequestSummary
	refusals  []Refusal
	attempts  []FailedAttempt
	reads     []ReadResponse
	continued []ContinuedStream
}

func (o *recordingObserver) Refused(_ *http.Request, refusal *Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusals = append(o.refusals, *refusal)
}

func (o *recordingObserver) AttemptFailed(attempt *FailedAttempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts = append(o.attempts, *attempt)
}

func (o *recordingObserver) StreamContinued(stream *ContinuedStream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.continued = append(o.continued, *stream)
}

func (o *recordingObserver) ResponseRead(read *ReadResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads = append(o.reads, *read)
}

func (o *recordingObserver) Ended(summary *RequestSummary) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.summaries = append(o.summaries, *summary)
}

// ended returns the summaries so far.
func (o *recordingObserver) ended() []RequestSummary {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.summaries)
}

// responsesRead returns the responses read to their end so far.
func (o *recordingObserver) responsesRead() []ReadResponse {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.reads)
}

// refused returns the refusals so far.
func (o *recordingObserver) refused() []Refusal {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.refusals)
}

// fixture is a gateway in front of backend servers that all belong to the one pool of all routes.
type fixture struct {
	gateway  *Gateway
	server   *httptest.Server
	observer *recordingObserver
}

var testRoutes = []routing.Route{
	{
		Name:        "repeatable",
		Prefix:      "/repeatable/",
		Kind:        routing.KindRepeatable,
		MaxAttempts: 2,
	},
	{
		Name:        "single",
		Prefix:      "/single/",
		Kind:        routing.KindSingle,
		MaxAttempts: 1,
	},
	{
		Name:        "short",
		Prefix:      "/short/",
		Kind:        routing.KindRepeatable,
		MaxAttempts: 2,
		Timeout:     150 * time.Millisecond,
	},
	{
		Name:        "stream",
		Prefix:      "/stream/",
		Kind:        routing.KindStream,
		MaxAttempts: 1,
	},
	{
		Name:        "resumable",
		Prefix:      "/resumable/",
		Kind:        routing.KindStream,
		Resumable:   true,
		MaxAttempts: 2,
	},
	{
		Name:        "affine",
		Prefix:      "/affine/",
		Kind:        routing.KindRepeatable,
		Affinity:    true,
		MaxAttempts: 1,
	},
	{
		Name:              "soon",
		Prefix:            "/soon/",
		Kind:              routing.KindRepeatable,
		Affinity:          true,
		MaxAttempts:       1,
		ResponseObjective: 200 * time.Millisecond,
	},
	{
		Name:        "affine-again",
		Prefix:      "/affine-again/",
		Kind:        routing.KindRepeatable,
		Affinity:    true,
		MaxAttempts: 2,
	},
	{
		Name:           "open",
		Prefix:         "/open/",
		Kind:           routing.KindRepeatable,
		AllowAnonymous: true,
		MaxAttempts:    1,
	},
}

func testTable(version uint64) *routing.Table {
	routes := make([]routing.Route, 0, len(testRoutes))
	for _, r := range testRoutes {
		r.Host = "a.example"
		r.Targets = []routing.Target{
			{
				Pool:   "p",
				Weight: 1,
			},
		}
		if r.Timeout == 0 {
			r.Timeout = 5 * time.Second
		}
		routes = append(routes, r)
	}
	return routing.NewTable(version, routing.Limits{
		HeaderBytes: 2 << 10,
		BodyBytes:   1 << 10,
	}, nil, routes, []routing.Workspace{
		{
			Name: "w",
			Keys: []string{"good"},
		},
		{
			Name: "other",
			Keys: []string{"other"},
		},
	})
}

// newBalancer returns a balancer of pool p, whose first server is in the data centre of the gateway.
func newBalancer(backends []*backend) *balance.Balancer {
	balancer := balance.New("near")
	var list []balance.Entry
	for i, b := range backends {
		dataCentre := "near"
		if i > 0 {
			// The balancer prefers the first backend server, which is in the gateway's data centre.
			dataCentre = "far"
		}
		list = append(list, balance.Entry{
			Backend: slipwick.Backend{
				ID:         b.id,
				Address:    b.server.Listener.Addr().String(),
				DataCentre: dataCentre,
			},
			Pool:    "p",
			Version: b.version,
		})
	}
	balancer.SetBackends(list)
	return balancer
}

func newFixture(t *testing.T, backends ...*backend) *fixture {
	t.Helper()
	f := &fixture{
		observer: &recordingObserver{},
	}
	f.gateway = &Gateway{
		Headers:  DefaultHeaders(),
		Balancer: newBalancer(backends),
		Client:   &upstream.Client{},
		Observer: f.observer,
		Memory:   &memory.Account{},
		Streams:  newLocalStreams(),
		Budget: &retry.Budget{
			Ratio:   0.2,
			Extra:   100,
			Window:  10 * time.Second,
			Routers: func() int { return 1 },
		},
	}
	f.gateway.SetTable(testTable(1))
	f.server = httptest.NewServer(f.gateway)
	t.Cleanup(func() {
		if got := f.gateway.Memory.Held(); got != 0 {
			t.Errorf("got %d bytes held after the last request, want 0", got)
		}
	})
	t.Cleanup(f.server.Close)
	t.Cleanup(f.gateway.Client.Close)
	return f
}

// newLocalStreams returns the streams of a router that is alone.
func newLocalStreams() *exchange.Streams {
	s := exchange.NewStreams("r")
	s.Routers = func() []slipwick.Router { return nil }
	s.FleetSize = func() int { return 1 }
	return s
}

// request returns a caller's request with a valid API key.
func (f *fixture) request(t *testing.T, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Authorization", "Bearer good")
	r.Header.Set("Slipwick-Request", "q1")
	return r
}

// reply is a response that was read to its end.
type reply struct {
	status int
	header http.Header
	body   string
	// closesConnection says that the router asked the caller to close the connection.
	closesConnection bool
	// bodyErr is the error that ended the reading of the body, if any.
	bodyErr error
}

func send(t *testing.T, r *http.Request) reply {
	t.Helper()
	client := &http.Client{
		Transport: &http.Transport{
			DisableCompression: true,
		},
	}
	response, err := client.Do(r)
	if err != nil {
		t.Fatalf("%s: %v", r.URL.Path, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{
		status:           response.StatusCode,
		header:           response.Header,
		body:             string(body),
		closesConnection: response.Close,
		bodyErr:          err,
	}
}

func (f *fixture) post(t *testing.T, path string) reply {
	t.Helper()
	return send(t, f.request(t, path, "question"))
}
