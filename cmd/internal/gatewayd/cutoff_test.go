package gatewayd

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/routing"
)

const (
	// Two routers each are in a data centre.
	cutFleetRouters  = 8
	routersPerCentre = 2
	cutFleetServers  = 6
	// closeOneIn is the number of responses of which a server closes the connection after one.
	closeOneIn = 4
	// cutContact is the time from a cut after which first attempts at the routers that are cut off have to be
	// served.
	cutContact = 1500 * time.Millisecond
	// cutRequestInterval is the interval between the requests of one router, cutMeasured how long they are
	// counted.
	cutRequestInterval = 12 * time.Millisecond
	cutMeasured        = time.Second
	// minServedShare is the least share of first attempts that have to be served at the routers that are cut
	// off.
	minServedShare = 0.95
)

// cutFleet is a fleet of routers, each with network paths of its own to the backend servers.
type cutFleet struct {
	*fixture
	t       testing.TB
	servers map[string]*httptest.Server
	routers []*testGateway
	// links are the paths of each router by server ID.
	links  []map[string]*link
	client *http.Client
	// otherPool has the IDs of the servers that are in pool "q" instead of "p", to which no requests are sent.
	otherPool map[string]bool

	mu sync.Mutex
	// runs counts how often each request ran, requests all requests.
	runs     map[string]int
	requests int
}

func newCutFleet(t testing.TB, otherPool ...string) *cutFleet {
	t.Helper()
	f := &cutFleet{
		fixture: newFixture(t),
		t:       t,
		servers: make(map[string]*httptest.Server),
		runs:    make(map[string]int),
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 50,
			},
		},
	}
	t.Cleanup(f.client.CloseIdleConnections)
	f.otherPool = make(map[string]bool)
	for _, id := range otherPool {
		f.otherPool[id] = true
	}
	var ids []string
	for i := range cutFleetServers {
		id := fmt.Sprintf("s%d", i)
		f.servers[id] = httptest.NewServer(http.HandlerFunc(f.serve))
		t.Cleanup(f.servers[id].Close)
		ids = append(ids, id)
	}
	f.setBackends(ids...)
	var seed string
	for i := range cutFleetRouters {
		links := make(map[string]*link)
		for _, id := range ids {
			links[id] = newLink(t, func() string { return f.servers[id].Listener.Addr().String() })
		}
		f.links = append(f.links, links)
		router := f.startRouter(i, links, seed)
		seed = router.Settings.Listen.Peers
		f.routers = append(f.routers, router)
	}
	for _, r := range f.routers {
		waitFor(t, "readiness", r.ready)
		waitFor(t, "all routers to know each other", func() bool { return len(r.node.Routers()) == cutFleetRouters })
	}
	return f
}

// startRouter starts the router with an index.
func (f *cutFleet) startRouter(i int, links map[string]*link, seed string) *testGateway {
	f.t.Helper()
	feeds := f.feeds()
	feeds.DecodeBackend = func(name string, _ []byte) (balance.Entry, error) {
		pool := "p"
		if f.otherPool[name] {
			pool = "q"
		}
		return balance.Entry{
			Backend: slipwick.Backend{
				ID:         name,
				Address:    links[name].address,
				DataCentre: "dc-0",
			},
			Pool: pool,
		}, nil
	}
	feeds.DecodeTable = func(string, []byte) (*routing.Table, error) { return cutFleetTable(), nil }
	var seeds []string
	if seed != "" {
		seeds = append(seeds, seed)
	}
	f.dataCentre = fmt.Sprintf("dc-%d", i/routersPerCentre)
	return startUnready(f.t, f.fixture, feeds, fmt.Sprintf("r%d", i), seeds...)
}

// cutFleetTable has a route with requests that must not be repeated, one with requests that may, and one with
// streams.
func cutFleetTable() *routing.Table {
	var routes []routing.Route
	for _, kind := range []routing.Kind{routing.KindSingle, routing.KindRepeatable, routing.KindStream} {
		routes = append(routes, routing.Route{
			Name:              string(kind),
			Host:              "a.example",
			AllowAnonymous:    true,
			Prefix:            "/" + string(kind) + "/",
			Kind:              kind,
			Timeout:           3 * time.Second,
			ResponseObjective: 200 * time.Millisecond,
			MaxAttempts:       2,
			Targets: []routing.Target{
				{
					Pool:   "p",
					Weight: 1,
				},
			},
		})
	}
	return routing.NewTable(1, routing.Limits{
		IdleTimeout: 5 * time.Second,
	}, nil, routes, nil)
}

// serve responds to a request after a few milliseconds, to one for a stream with some events.
func (f *cutFleet) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Slipwick-Request")
	f.mu.Lock()
	f.runs[id]++
	f.requests++
	closes := f.requests%closeOneIn == 0
	f.mu.Unlock()
	if closes {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Slipwick-Request", id)
	w.Header().Set("Slipwick-Stamp", "s")
	const work = 10 * time.Millisecond
	if r.URL.Path != "/"+string(routing.KindStream)+"/" {
		time.Sleep(work)
		_, _ = io.WriteString(w, "answer")
		return
	}
	for i := range 3 {
		time.Sleep(work)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// cut cuts the paths of some routers to all servers.
func (f *cutFleet) cut(routers []int, kind cutKind) {
	for _, i := range routers {
		for _, l := range f.links[i] {
			l.cut(f.t, kind)
		}
	}
}

func (f *cutFleet) heal(routers []int) {
	for _, i := range routers {
		for _, l := range f.links[i] {
			l.heal(f.t)
		}
	}
}

// served counts the first attempts of one router.
type served struct {
	sent, ok atomic.Int64
}

func (s *served) share() float64 {
	return float64(s.ok.Load()) / float64(max(s.sent.Load(), 1))
}

// sendFor sends requests of all kinds to all routers for a time and returns the counts of each router.
func (f *cutFleet) sendFor(phase string, duration time.Duration) []*served {
	counts := make([]*served, len(f.routers))
	var senders sync.WaitGroup
	for i, router := range f.routers {
		counts[i] = &served{}
		senders.Go(func() {
			var requests sync.WaitGroup
			defer requests.Wait()
			kinds := []routing.Kind{routing.KindSingle, routing.KindRepeatable, routing.KindStream}
			for n, started := 0, time.Now(); time.Since(started) < duration; n++ {
				id, kind := fmt.Sprintf("%s-%d-%d", phase, i, n), kinds[n%len(kinds)]
				counts[i].sent.Add(1)
				requests.Go(func() {
					status, _, err := router.post(f.t, f.client, "/"+string(kind)+"/", "Slipwick-Request", id)
					if err == nil && status == http.StatusOK {
						counts[i].ok.Add(1)
					}
				})
				time.Sleep(cutRequestInterval)
			}
		})
	}
	senders.Wait()
	return counts
}

// checkRunOnce checks that no request that must not be repeated ran twice.
func (f *cutFleet) checkRunOnce() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, runs := range f.runs {
		var router, n int
		var phase string
		if _, err := fmt.Sscanf(id, "%1s-%d-%d", &phase, &router, &n); err != nil {
			f.t.Fatalf("request ID %q: %v", id, err)
		}
		if n%3 != 1 && runs > 1 {
			f.t.Errorf("request %s, which must not be repeated, ran %d times", id, runs)
		}
	}
}

// ejected counts the servers that a router has ejected.
func (f *cutFleet) ejected(router int) int {
	return len(f.routers[router].balancer.PoolCapacity("p").Unavailable)
}

// TestRouterWithoutPathServesFirstAttempts cuts the paths of some routers to all backend servers.
//
// It guards against routers that refuse all requests while they can't reach any backend server, though callers and
// the other routers reach them: 16 of 480 first attempts were served there, 1,223 of 1,237 at the others.
func TestRouterWithoutPathServesFirstAttempts(t *testing.T) {
	most := []int{0, 1, 2, 4, 6}
	for _, c := range []struct {
		name    string
		routers []int
		kind    cutKind
	}{
		{"one hangs", []int{3}, cutHangs},
		{"one data centre hangs", []int{0, 1}, cutHangs},
		{"most hang", most, cutHangs},
		{"most are reset", most, cutResets},
		{"most are refused new connections", most, cutRefusesNew},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCutFleet(t)
			f.sendFor("a", 500*time.Millisecond)
			f.cut(c.routers, c.kind)
			f.sendFor("b", cutContact)
			counts := f.sendFor("c", cutMeasured)
			for i, count := range counts {
				if got := count.share(); got < minServedShare {
					t.Errorf("router %d (cut off are %v): got %.3f of %d first attempts served, want at least %.2f",
						i, c.routers, got, count.sent.Load(), minServedShare)
				}
				if got := f.ejected(i); got > 0 {
					t.Errorf("router %d: got %d servers ejected, want none", i, got)
				}
			}
			f.heal(c.routers)
			f.sendFor("d", 500*time.Millisecond)
			for i, count := range f.sendFor("e", 500*time.Millisecond) {
				if got := count.share(); got < 1 {
					t.Errorf("router %d, path restored: got %.3f of %d first attempts served, want all",
						i, got, count.sent.Load())
				}
			}
			f.checkRunOnce()
		})
	}
}
