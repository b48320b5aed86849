package gatewayd

import (
	"net/http"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/slipwick/slipwick/gateway"
)

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{},
	}
}

func TestProcessServesAndFollowsTheStore(t *testing.T) {
	f := newFixture(t)
	r := startReady(t, f, "r1")
	client := newClient()
	if status, body, err := r.post(t, client, "/1/x"); status != http.StatusOK || body != "answer" {
		t.Errorf("got %d %q %v, want the backend server's response", status, body, err)
	}
	f.setTable(2)
	waitFor(t, "version 2", func() bool {
		status, _, _ := r.post(t, client, "/2/x")
		return status == http.StatusOK
	})
	if status, _, _ := r.post(t, client, "/1/x"); status != http.StatusNotFound {
		t.Errorf("route of version 1: got %d, want 404", status)
	}
	f.setBackends()
	waitFor(t, "refusals without backend servers", func() bool {
		status, _, _ := r.post(t, client, "/2/x")
		return status == http.StatusServiceUnavailable
	})
}

// TestDrainKeepsIdleConnectionsOpen sends a request over a connection that was idle when the
// process began to drain. Closing idle connections at that time would lose requests that are
// on their way.
func TestDrainKeepsIdleConnectionsOpen(t *testing.T) {
	r := startReady(t, newFixture(t), "r1")
	client := &http.Client{
		Transport: &http.Transport{
			// The client must not open a second connection.
			MaxConnsPerHost: 1,
		},
	}
	if status, _, err := r.post(t, client, "/1/x"); status != http.StatusOK {
		t.Fatalf("got %d %v, want 200", status, err)
	}
	opened := r.connections.Load()
	r.stop()
	waitFor(t, "draining", func() bool { return !r.ready() })
	if status, _, err := r.post(t, client, "/1/x"); status != http.StatusOK {
		t.Errorf("got %d %v, want 200", status, err)
	}
	if got := r.connections.Load(); got != opened {
		t.Errorf("got %d new connections, want the idle one used", got-opened)
	}
}

func TestDrainFinishesRequestsAndRefusesLateOnes(t *testing.T) {
	r := startReady(t, newFixture(t), "r1")
	type result struct {
		status int
		err    error
	}
	long := make(chan result, 1)
	go func() {
		status, _, err := r.post(t, newClient(), "/1/x", "X-Pause", "4s")
		long <- result{status, err}
	}()
	waitFor(t, "a request in flight", func() bool { return r.gateway.InFlight() == 1 })
	stopped := time.Now()
	r.stop()
	time.Sleep(Bounds{}.orDefaults().announceTime() + 200*time.Millisecond)
	if status, _, err := r.post(t, newClient(), "/1/x"); status != http.StatusServiceUnavailable {
		t.Errorf("late request: got %d %v, want 503", status, err)
	}
	if got := <-long; got.status != http.StatusOK {
		t.Errorf("request in progress: got %d %v, want 200", got.status, got.err)
	}
	<-r.Done()
	if took := time.Since(stopped); took > r.Settings.GracePeriod {
		t.Errorf("got the end after %v, want it within %v", took, r.Settings.GracePeriod)
	}
}

func TestIdleConnectionsAreClosedByLimitInForce(t *testing.T) {
	f := newFixture(t)
	f.idleTimeout = 300 * time.Millisecond
	r := startReady(t, f, "r1")
	client := newClient()
	for range 2 {
		// The limit applies to idle connections, not to requests.
		if status, _, err := r.post(t, client, "/1/x", "X-Pause", "600ms"); status != http.StatusOK {
			t.Fatalf("got %d %v, want 200", status, err)
		}
	}
	if got := r.connections.Load(); got != 1 {
		t.Errorf("got %d connections, want the first used again", got)
	}
	time.Sleep(600 * time.Millisecond)
	if status, _, err := r.post(t, client, "/1/x"); status != http.StatusOK {
		t.Fatalf("got %d %v, want 200", status, err)
	}
	if got := r.connections.Load(); got != 2 {
		t.Errorf("got %d connections, want a second one after the first was idle for too long", got)
	}
}

// TestMetricsPageAgreesWithCode compares docs/METRICS-GATEWAY.md with what a
// gateway serves.
func TestMetricsPageAgreesWithCode(t *testing.T) {
	r := startReady(t, newFixture(t), "r1")
	if status, _, err := r.post(t, newClient(), "/1/x"); status != http.StatusOK {
		t.Fatalf("got %d %v, want 200", status, err)
	}
	// The metric of failed attempts is served only after the first one.
	r.observer.AttemptFailed(&gateway.FailedAttempt{})
	page, err := os.ReadFile("../../../docs/METRICS-GATEWAY.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, found := range regexp.MustCompile("(?m)^\\| `(slipwick_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		want = append(want, found[1])
	}
	families, err := r.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, family := range families {
		got = append(got, family.GetName())
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("got metrics %v, the page lists %v", got, want)
	}
}

// TestRoutersFollowEachOther starts three routers: two watch the store, the third follows
// them, and a new version has to be in force at all of them within 2 s.
func TestRoutersFollowEachOther(t *testing.T) {
	f := newFixture(t)
	first := startReady(t, f, "r1")
	routers := []*testGateway{
		first,
		startReady(t, f, "r2", first.Settings.Listen.Peers),
		startReady(t, f, "r3", first.Settings.Listen.Peers),
	}
	watchers := func() int {
		count := 0
		for _, r := range routers {
			if len(r.node.Routers()) == len(routers) && r.peers.RelayPosition().IsWatcher {
				count++
			}
		}
		return count
	}
	waitFor(t, "two watchers of three routers", func() bool { return watchers() == 2 })
	time.Sleep(1500 * time.Millisecond)
	f.setTable(7)
	changed := time.Now()
	for _, r := range routers {
		waitFor(t, "version 7", func() bool { return r.gateway.Table().Version == 7 })
	}
	if took := time.Since(changed); took > 2*time.Second {
		t.Errorf("got version 7 in force after %v, want it within 2 s", took)
	}
}
