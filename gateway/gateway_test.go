package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

func TestSetTableIgnoresOlderVersions(t *testing.T) {
	f := newFixture(t)
	if !f.gateway.SetTable(testTable(5)) {
		t.Error("version 5 after 1: got it ignored")
	}
	for _, version := range []uint64{5, 4, 1} {
		if f.gateway.SetTable(testTable(version)) {
			t.Errorf("version %d after 5: got it accepted", version)
		}
	}
	if got := f.gateway.Table().Version; got != 5 {
		t.Errorf("got version %d, want 5", got)
	}
}

func TestRequestIsForwardedUnchangedExceptRouterHeaders(t *testing.T) {
	b := newBackend(t, "b1", respondWith(http.StatusTeapot, "answer"))
	f := newFixture(t, b)
	r := f.request(t, "/single/a%2Fb//c?d=%20e&f", "question")
	r.Header.Set("X-Custom", "kept")
	r.Header.Set("Slipwick-Workspace", "forged")
	r.Header.Set("Slipwick-Fetch-From", "forged")
	r.Header.Set("Slipwick-Deadline-Ms", "1500")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "dropped")
	got := send(t, r)
	if got.status != http.StatusTeapot || got.body != "answer" || got.header.Get("Slipwick-Stamp") != "b1" {
		t.Errorf("got %+v, want the backend server's own response", got)
	}
	seen := b.last.Load()
	if got, want := seen.RequestURI, "/single/a%2Fb//c?d=%20e&f"; got != want {
		t.Errorf("got target %q, want %q", got, want)
	}
	if got := *b.body.Load(); got != "question" {
		t.Errorf("got body %q, want %q", got, "question")
	}
	for name, want := range map[string]string{
		"X-Custom":            "kept",
		"X-Hop":               "",
		"Authorization":       "",
		"Slipwick-Workspace":  "w",
		"Slipwick-Instance":   "b1",
		"Slipwick-Fetch-From": "",
		"Slipwick-Request":    "q1",
	} {
		if got := seen.Header.Get(name); got != want {
			t.Errorf("header %s: got %q, want %q", name, got, want)
		}
	}
	left, err := strconv.Atoi(seen.Header.Get("Slipwick-Deadline-Ms"))
	if err != nil || left > 1500 || left < 1000 {
		t.Errorf("got deadline %q, want what is left of 1500 ms", seen.Header.Get("Slipwick-Deadline-Ms"))
	}
}

func TestDrainingAndStoppingRouters(t *testing.T) {
	b := newBackend(t, "b1", respondWith(http.StatusOK, "answer"))
	f := newFixture(t, b)
	f.gateway.Drain(time.Now().Add(time.Minute))
	got := f.post(t, "/single/x")
	if got.status != http.StatusOK || !got.closesConnection {
		t.Errorf("draining: got %d, closing %v; want 200, closing", got.status, got.closesConnection)
	}
	f.gateway.StopAt(time.Now().Add(time.Second))
	if got := f.post(t, "/single/x"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("stopping: got %d, want 503 with Retry-After", got.status)
	}
	if got := b.runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
	if got := f.post(t, "/short/x"); got.status != http.StatusOK || !got.closesConnection {
		t.Errorf("stopping, earlier deadline: got %d, closing %v; want 200, closing", got.status, got.closesConnection)
	}
}
