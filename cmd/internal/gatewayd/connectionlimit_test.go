package gatewayd

import (
	"net/http"
	"testing"
	"time"

	"github.com/slipwick/slipwick/connlimit"
)

// TestOverloadedRouterClosesConnections floods a router that lacks processor time with connections. It
// guards against requests that are read and then served late, while other routers could take them:
// connections beyond the limit have to be closed unread, and others after their response.
func TestOverloadedRouterClosesConnections(t *testing.T) {
	f := newFixture(t)
	router := startUnready(t, f, f.feeds(), "r1")
	waitFor(t, "readiness", router.ready)
	update := func(n int, lateness time.Duration) {
		for range n {
			router.connectionLimit.Update(connlimit.Interval, lateness)
		}
	}
	get := func() (*http.Response, error) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet,
			"http://"+router.Settings.Listen.Callers+"/1/x", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "a.example"
		request.Header.Set("Slipwick-Request", "q")
		response, err := (&http.Transport{}).RoundTrip(request)
		if err == nil {
			_ = response.Body.Close()
		}
		return response, err
	}
	if response, err := get(); err != nil || response.Close {
		t.Fatalf("usual load: got %v, error %v, want a response that keeps the connection", response, err)
	}
	update(200, 0)
	for range 100 {
		router.connectionLimit.Allow()
	}
	update(1, 0)
	update(20, time.Second)
	closedUnread, closedAfter := 0, 0
	for range 50 {
		response, err := get()
		switch {
		case err != nil:
			closedUnread++
		case response.Close:
			closedAfter++
		}
	}
	if closedUnread < 25 || closedAfter == 0 || closedUnread+closedAfter != 50 {
		t.Errorf("got %d of 50 connections closed unread and %d after the response, want at least 25 and all others",
			closedUnread, closedAfter)
	}
}
