package gatewayd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/routing"
)

const (
	// crashRun is how long the request runs until its engine ends, crashBack how
	// long the engine is away.
	crashRun  = 30 * time.Millisecond
	crashBack = 700 * time.Millisecond
	// crashAgain is the pause between two tries, crashFor how long they come.
	crashAgain = 40 * time.Millisecond
	crashFor   = 4 * time.Second
	// crashKnown is how long after the third end no router may try it any more, but
	// for crashMore that were on their way.
	crashKnown = time.Second
	crashMore  = 3
	// crashBody is the body of the request that ends engines.
	crashBody = "ends engines"
)

// crashingFleet are engines that a request can end, and that come back as others.
type crashingFleet struct {
	*world
	t *testing.T

	mu     sync.Mutex
	at     map[string]string
	lives  int
	closed bool
	// ends are when engines ended, tries when they got the request that ends them.
	ends, tries []time.Time
}

func newCrashingFleet(t *testing.T, engines int) *crashingFleet {
	t.Helper()
	f := &crashingFleet{
		world: newWorld(t),
		t:     t,
		at:    make(map[string]string),
	}
	for range engines {
		f.begin(freeAddress(t))
	}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed = true
	})
	return f
}

// begin has an engine live at the address, under an ID of its own.
func (f *crashingFleet) begin(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return
	}
	f.lives++
	id := fmt.Sprintf("engine-%d", f.lives)
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
	}
	var ended sync.Once
	end := func() { ended.Do(func() { f.end(id, address, server) }) }
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) == crashBody {
			f.mu.Lock()
			f.tries = append(f.tries, time.Now())
			f.mu.Unlock()
			time.Sleep(crashRun)
			end()
			return
		}
		w.Header().Set("Slipwick-Request", r.Header.Get("Slipwick-Request"))
		w.Header().Set("Slipwick-Stamp", id)
		for i := range 5 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(crashRun)
		}
	})
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	f.at[id] = address
	f.listLocked()
}

// end breaks all of an engine's connections. Another one follows at its address.
func (f *crashingFleet) end(id, address string, server *http.Server) {
	_ = server.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends = append(f.ends, time.Now())
	time.AfterFunc(crashBack, func() {
		f.mu.Lock()
		delete(f.at, id)
		f.mu.Unlock()
		f.begin(address)
	})
}

func (f *crashingFleet) listLocked() {
	var ids []string
	for id := range f.at {
		ids = append(ids, id)
	}
	f.setBackends(ids...)
}

func (f *crashingFleet) feeds() Feeds {
	feeds := f.world.feeds()
	feeds.DecodeTable = func(string, []byte) (*routing.Table, error) {
		return routing.NewTable(1, routing.Limits{
			IdleTimeout: f.idle,
		}, nil, []routing.Route{
			{
				Name:        "chat",
				Host:        "a.example",
				Prefix:      "/",
				Kind:        routing.KindStream,
				Resumable:   true,
				Timeout:     5 * time.Second,
				MaxAttempts: 2,
				Targets: []routing.Target{
					{
						Pool:   "p",
						Weight: 1,
					},
				},
			},
		}, nil), nil
	}
	feeds.DecodeBackend = func(name string, _ []byte) (balance.Entry, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		return balance.Entry{
			Backend: slipwick.Backend{
				ID:         name,
				Address:    f.at[name],
				DataCentre: "d",
			},
			Pool: "p",
		}, nil
	}
	return feeds
}

// triesAfter counts the tries later than the pause after the third end.
func (f *crashingFleet) triesAfter(pause time.Duration) (ends, tries int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ends) < 3 {
		return len(f.ends), 0
	}
	for _, at := range f.tries {
		if at.Sub(f.ends[2]) > pause {
			tries++
		}
	}
	return len(f.ends), tries
}

// askFor sends a request and gives its status; 0 if the answer broke off.
func askFor(ctx context.Context, client *http.Client, router *running, id, body string) (int, http.Header) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+router.Settings.Listen.Callers+"/chat", strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = "a.example"
	request.Header.Set("Slipwick-Request", id)
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, response.Header
}

// TestRequestThatEndsEnginesIsTriedNoMore has a caller ask for the same at three
// routers in turn, while others ask for other things.
//
// What was seen: engines ended one after the other, some sixty in a quarter of a
// minute, where eighteen stood; all that ran there broke off, and what could be sent
// again met the next end.
//
// How it came about: one caller asked for the same again and again, at whichever
// router, with a new request ID each time. The request ends each engine that begins to
// run it. A router took the broken connection for a failure of the engine, sent the
// request to another, and forgot it with its answer; none told the others.
//
// Cause: what a request does to backend servers was remembered for the server alone,
// never for the request, and requests were known by an ID that is new with each try.
//
// What proved it: this test, which does the same to real processes, and fails where
// nothing is remembered of requests.
func TestRequestThatEndsEnginesIsTriedNoMore(t *testing.T) {
	f := newCrashingFleet(t, 6)
	first := begin(t, f.world, f.feeds(), "r1")
	routers := []*running{first}
	for _, id := range []string{"r2", "r3"} {
		routers = append(routers, begin(t, f.world, f.feeds(), id, first.Settings.Listen.Peers))
	}
	for _, r := range routers {
		waitFor(t, "readiness", r.ready)
	}
	waitFor(t, "one fleet", func() bool { return len(first.node.Routers()) == len(routers) })
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 50,
		},
	}
	t.Cleanup(client.CloseIdleConnections)

	var callers sync.WaitGroup
	var served, unserved atomic.Int64
	var last atomic.Pointer[http.Header]
	var lastStatus atomic.Int64
	started := time.Now()
	for i := 0; time.Since(started) < crashFor; i++ {
		router := routers[i%len(routers)]
		callers.Go(func() {
			status, header := askFor(t.Context(), client, router, fmt.Sprintf("bad-%d", i), crashBody)
			lastStatus.Store(int64(status))
			last.Store(&header)
		})
		isLate := time.Since(started) > crashFor/2
		callers.Go(func() {
			status, _ := askFor(t.Context(), client, router, fmt.Sprintf("good-%d", i), fmt.Sprint("question ", i))
			switch {
			case !isLate:
			case status == http.StatusOK:
				served.Add(1)
			default:
				unserved.Add(1)
			}
		})
		time.Sleep(crashAgain)
	}
	callers.Wait()

	ends, tries := f.triesAfter(crashKnown)
	t.Logf("%d engines ended, %d tries later than %v after the third", ends, tries, crashKnown)
	if ends < 3 || tries > crashMore {
		t.Errorf("got %d engines ended, and %d tries later than %v after the third, want 3 ends and at most %d tries",
			ends, tries, crashKnown, crashMore)
	}
	if got := unserved.Load(); got > 0 {
		t.Errorf("got %d of %d other requests unserved in the second half, want none", got, got+served.Load())
	}
	for _, r := range routers {
		if got := readStatus(t, r).Quarantined; got != 1 {
			t.Errorf("router %s: got %d requests quarantined, want that one", r.Settings.ID, got)
		}
	}
	if got := lastStatus.Load(); got != http.StatusServiceUnavailable {
		t.Errorf("got status %d for the request that ends engines, want a refusal that says it was not run", got)
	} else if last.Load().Get("Retry-After") == "" {
		t.Error("got no Retry-After with the refusal, want when to come back")
	}
}
