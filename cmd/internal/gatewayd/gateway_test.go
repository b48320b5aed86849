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
	w := newWorld(t)
	r := start(t, w, "r1")
	client := newClient()
	if status, body, err := r.ask(t, client, "/1/x"); status != http.StatusOK || body != "answer" {
		t.Errorf("got %d %q %v, want the backend server's answer", status, body, err)
	}
	w.setTable(2)
	waitFor(t, "version 2", func() bool {
		status, _, _ := r.ask(t, client, "/2/x")
		return status == http.StatusOK
	})
	if status, _, _ := r.ask(t, client, "/1/x"); status != http.StatusNotFound {
		t.Errorf("route of version 1: got %d, want 404", status)
	}
	w.setBackends()
	waitFor(t, "no backend server", func() bool {
		status, _, _ := r.ask(t, client, "/2/x")
		return status == http.StatusServiceUnavailable
	})
}

// TestProcessLeavesRestingConnectionsOpenWhenItDrains sends a request over a
// connection that rested when the process was asked to stop. Closing resting
// connections then loses requests that are on their way.
func TestProcessLeavesRestingConnectionsOpenWhenItDrains(t *testing.T) {
	r := start(t, newWorld(t), "r1")
	client := &http.Client{
		Transport: &http.Transport{
			// One connection alone, and no new one in its place.
			MaxConnsPerHost: 1,
		},
	}
	if status, _, err := r.ask(t, client, "/1/x"); status != http.StatusOK {
		t.Fatalf("got %d %v, want 200", status, err)
	}
	opened := r.connections.Load()
	r.stop()
	waitFor(t, "draining", func() bool { return !r.ready() })
	if status, _, err := r.ask(t, client, "/1/x"); status != http.StatusOK {
		t.Errorf("got %d %v, want 200", status, err)
	}
	if got := r.connections.Load(); got != opened {
		t.Errorf("got %d new connections, want the resting one used", got-opened)
	}
}

func TestProcessFinishesWhatRunsAndRefusesWhatComesLate(t *testing.T) {
	r := start(t, newWorld(t), "r1")
	type result struct {
		status int
		err    error
	}
	long := make(chan result, 1)
	go func() {
		status, _, err := r.ask(t, newClient(), "/1/x", "X-Pause", "4s")
		long <- result{status, err}
	}()
	waitFor(t, "a request in flight", func() bool { return r.gateway.InFlight() == 1 })
	stopped := time.Now()
	r.stop()
	time.Sleep(Bounds{}.orDefaults().announceTime() + 200*time.Millisecond)
	if status, _, err := r.ask(t, newClient(), "/1/x"); status != http.StatusServiceUnavailable {
		t.Errorf("late request: got %d %v, want 503", status, err)
	}
	if got := <-long; got.status != http.StatusOK {
		t.Errorf("request in progress: got %d %v, want 200", got.status, got.err)
	}
	<-r.Done()
	if took := time.Since(stopped); took > r.Settings.Grace {
		t.Errorf("got the end after %v, want it within %v", took, r.Settings.Grace)
	}
}

func TestRestingConnectionsAreClosedByTheLimitInForce(t *testing.T) {
	w := newWorld(t)
	w.idle = 300 * time.Millisecond
	r := start(t, w, "r1")
	client := newClient()
	for range 2 {
		// The limit is for resting connections, not for requests.
		if status, _, err := r.ask(t, client, "/1/x", "X-Pause", "600ms"); status != http.StatusOK {
			t.Fatalf("got %d %v, want 200", status, err)
		}
	}
	if got := r.connections.Load(); got != 1 {
		t.Errorf("got %d connections, want the first used again", got)
	}
	time.Sleep(600 * time.Millisecond)
	if status, _, err := r.ask(t, client, "/1/x"); status != http.StatusOK {
		t.Fatalf("got %d %v, want 200", status, err)
	}
	if got := r.connections.Load(); got != 2 {
		t.Errorf("got %d connections, want a second after the first rested too long", got)
	}
}

// TestMetricsPageAgreesWithCode compares docs/METRICS-GATEWAY.md with what a
// gateway serves.
func TestMetricsPageAgreesWithCode(t *testing.T) {
	r := start(t, newWorld(t), "r1")
	if status, _, err := r.ask(t, newClient(), "/1/x"); status != http.StatusOK {
		t.Fatalf("got %d %v, want 200", status, err)
	}
	// A send that fails, so that each vector has a member.
	r.observer.Attempted(&gateway.FailedAttempt{})
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

// TestRoutersFollowEachOther has three routers: two follow the store, the third
// follows these, and all have a new version in force soon.
func TestRoutersFollowEachOther(t *testing.T) {
	w := newWorld(t)
	first := start(t, w, "r1")
	routers := []*running{
		first,
		start(t, w, "r2", first.Settings.Listen.Peers),
		start(t, w, "r3", first.Settings.Listen.Peers),
	}
	watchers := func() int {
		count := 0
		for _, r := range routers {
			if len(r.node.Routers()) == len(routers) && r.peers.Place().IsWatcher {
				count++
			}
		}
		return count
	}
	waitFor(t, "two watchers of three routers", func() bool { return watchers() == 2 })
	time.Sleep(1500 * time.Millisecond)
	w.setTable(7)
	changed := time.Now()
	for _, r := range routers {
		waitFor(t, "version 7", func() bool { return r.gateway.Table().Version == 7 })
	}
	if took := time.Since(changed); took > 2*time.Second {
		t.Errorf("got version 7 in force after %v, want it within 2 s", took)
	}
}
