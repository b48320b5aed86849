package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/slipwick/slipwick/upstream"
)

// askedConnections records for which idle time the balancer last asked.
type askedConnections struct {
	client *upstream.Client

	mu   sync.Mutex
	last time.Duration
}

func (a *askedConnections) HasIdleConnection(incarnation string, maxIdleTime time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = maxIdleTime
	return a.client.HasIdleConnection(incarnation, maxIdleTime)
}

// TestBalancerKnowsWhichConnectionsARequestMayUse guards against a choice by connections that the request
// doesn't use: one that must not be repeated uses none that was idle for too long.
func TestBalancerKnowsWhichConnectionsARequestMayUse(t *testing.T) {
	const forget = "X-Forget"
	f := newFixture(t, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forget) == "" {
			respondWith(http.StatusOK, "answer")(b, w, r)
			return
		}
		// The client learns from this that servers forget connections.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.Close()
		}
	}))
	asked := &askedConnections{
		client: f.gateway.Client,
	}
	f.gateway.Balancer.Connections = asked
	f.gateway.Balancer.SetPosition(0, 1)
	f.gateway.Balancer.SetPreferConnected(true)
	// On a busy machine, a connection may be closed too late to count as forgotten.
	for range 20 {
		send(t, f.request(t, "/single/x", ""))
		time.Sleep(250 * time.Millisecond)
		r := f.request(t, "/single/x", "")
		r.Header.Set("Slipwick-Request", "q2")
		r.Header.Set(forget, "1")
		send(t, r)
		if f.gateway.Client.SafeIdleTime() > 0 {
			break
		}
	}
	want := f.gateway.Client.SafeIdleTime()
	if want == 0 {
		t.Fatal("got no bound on idle times, want one after a forgotten connection")
	}
	for path, want := range map[string]time.Duration{
		"/single/x":     want,
		"/repeatable/x": 0,
	} {
		send(t, f.request(t, path, ""))
		if asked.last != want {
			t.Errorf("%s: got connections that were idle for up to %v, want %v", path, asked.last, want)
		}
	}
}
