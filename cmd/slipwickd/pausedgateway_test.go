package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const pausedGatewaySettings = `{
	"id": "g", "data_centre": "dc",
	"listen": {"callers": "%s", "ready": "%s", "peers": "%s"},
	"table": "table.jsonc",
	"retries": {"ratio": 0.2, "extra": 5, "window": "3s"},
}`

const pausedGatewayTable = `{
	"version": 1,
	"pools": [{"name": "p", "backends": [
		{"id": "b", "address": "%s", "data_centre": "dc"},
		{"id": "c", "address": "%s", "data_centre": "dc"}]}],
	"routes": [{"name": "r", "host": "a.example", "prefix": "/", "kind": "single", "timeout": "10s",
		"targets": [{"pool": "p"}]}],
}`

// retryRecorder counts the requests that callers sent, and the requests that reached servers more than once.
type retryRecorder struct {
	// isRejecting makes the servers reject all requests.
	isRejecting atomic.Bool

	mu      sync.Mutex
	arrived map[string]bool
	sent    []time.Time
	retries []time.Time
}

func (r *retryRecorder) recordSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, time.Now())
}

// ServeHTTP handles a request to a backend server.
func (r *retryRecorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Slipwick-Request")
	r.mu.Lock()
	if r.arrived[id] {
		r.retries = append(r.retries, time.Now())
	}
	r.arrived[id] = true
	r.mu.Unlock()
	w.Header().Set("Slipwick-Request", id)
	w.Header().Set("Slipwick-Stamp", "b")
	if r.isRejecting.Load() {
		w.Header().Set("Slipwick-Not-Run", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// worstExcess returns by how much the retries of the worst window exceed the budget. The requests are those of that
// window, of the one before or of that half a window before, whichever has the most.
func (r *retryRecorder) worstExcess(ratio, extra float64, window time.Duration) float64 {
	worst := -extra
	for _, from := range r.retries {
		requests := 0
		for _, back := range []time.Duration{0, window / 2, window} {
			requests = max(requests, countWithin(r.sent, from.Add(-back), window))
		}
		worst = max(worst, float64(countWithin(r.retries, from, window))-ratio*float64(requests)-extra)
	}
	return worst
}

func countWithin(times []time.Time, from time.Time, window time.Duration) (count int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			count++
		}
	}
	return count
}

// TestPausedGatewayStaysWithinRetryBudget guards against a process that counts what callers sent while it stood still
// as requests of the window in which it goes on, and retries for them beyond the budget.
func TestPausedGatewayStaysWithinRetryBudget(t *testing.T) {
	const interval, window = 5 * time.Millisecond, 3 * time.Second
	recorder := &retryRecorder{
		arrived: make(map[string]bool),
	}
	var addresses []any
	for range 2 {
		server := httptest.NewServer(recorder)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr())
	}
	callers, ready := freeAddress(t), freeAddress(t)
	directory := t.TempDir()
	settings := filepath.Join(directory, "gateway.jsonc")
	for path, text := range map[string]string{
		settings: fmt.Sprintf(pausedGatewaySettings, callers, ready, freeAddress(t)),

		filepath.Join(directory, "table.jsonc"): fmt.Sprintf(pausedGatewayTable, addresses...),
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	process := exec.CommandContext(t.Context(), buildBinary(t), "gateway", "--config", settings)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	waitReady(t, "http://"+ready+"/readyz")
	// Callers send at a steady rate, each over a connection of its own.
	var sending sync.WaitGroup
	sendFor := func(duration time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
			recorder.recordSent()
			id := fmt.Sprint("q-", len(recorder.sent))
			sending.Go(func() { sendOnce(callers, id) })
		}
	}
	signal := func(signal os.Signal) {
		if err := process.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
	}
	// A process that does not start for the first time has a smaller share in its first window.
	sendFor(window + window/2)
	signal(syscall.SIGSTOP)
	sendFor(2 * window / 3)
	recorder.isRejecting.Store(true)
	signal(syscall.SIGCONT)
	sendFor(window + window/2)
	sending.Wait()
	if excess := recorder.worstExcess(0.2, 5, window); excess > 0 {
		t.Errorf("got %.0f retries above the budget within a window, want none", excess)
	}
	if got, want := len(recorder.retries), 50; got < want {
		t.Errorf("got %d retries in all, want at least %d", got, want)
	}
	t.Logf("%.0f retries below the budget in the worst window, %d retries for %d requests in all",
		-recorder.worstExcess(0.2, 5, window), len(recorder.retries), len(recorder.sent))
}

// sendOnce sends one request and reads the response.
func sendOnce(address, id string) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: a.example\r\nSlipwick-Request: %s\r\nContent-Length: 0\r\n"+
		"Connection: close\r\n\r\n", id)
	if err != nil {
		return
	}
	buffer := make([]byte, 4096)
	for err == nil {
		_, err = conn.Read(buffer)
	}
}
