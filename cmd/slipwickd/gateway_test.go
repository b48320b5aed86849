package main

import (
	"bytes"
	"fmt"
	"io"
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

const gatewaySettings = `{
	"id": "g", "data_centre": "dc",
	"listen": {"callers": "%s", "ready": "%s", "peers": "%s"},
	"table": "table.jsonc", "grace": "%s",
}`

const gatewayTable = `{
	"version": %d,
	"pools": [{"name": "p", "backends": [{"id": "b", "address": "%s", "data_centre": "dc"}]}],
	"routes": [{"name": "r", "host": "a.example", "prefix": "/v%d/", "kind": "single", "timeout": "5s",
		"targets": [{"pool": "p"}]}],
}`

// gatewayBinary is a running slipwickd gateway, with a backend server that counts runs.
type gatewayBinary struct {
	process *exec.Cmd
	callers string
	ready   string
	table   string
	backend *httptest.Server
	runs    atomic.Int64
	// work is for how long the backend server works on each request.
	work time.Duration
}

// startGateway builds and starts slipwickd gateway with table version 1, and waits until it is ready.
func startGateway(t *testing.T) *gatewayBinary {
	t.Helper()
	return startGatewayWith(t, 30*time.Second, 30*time.Millisecond)
}

// startGatewayWith is startGateway with a grace period, and with the time for which the backend server works on each
// request.
func startGatewayWith(t *testing.T, grace, work time.Duration) *gatewayBinary {
	t.Helper()
	g := &gatewayBinary{
		callers: freeAddress(t),
		ready:   freeAddress(t),
		work:    work,
	}
	g.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The request runs once its whole body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		g.runs.Add(1)
		time.Sleep(g.work)
		w.Header().Set("Slipwick-Request", r.Header.Get("Slipwick-Request"))
		w.Header().Set("Slipwick-Stamp", "b")
		_, _ = io.WriteString(w, r.Header.Get("Slipwick-Request"))
	}))
	t.Cleanup(g.backend.Close)
	directory := t.TempDir()
	g.table = filepath.Join(directory, "table.jsonc")
	g.setTable(t, 1)
	settings := filepath.Join(directory, "gateway.jsonc")
	text := fmt.Sprintf(gatewaySettings, g.callers, g.ready, freeAddress(t), grace)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	g.process = exec.Command(buildBinary(t), "gateway", "--config", settings)
	var output bytes.Buffer
	g.process.Stdout, g.process.Stderr = &output, &output
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("output of the gateway: %s", output.String())
		}
	})
	if err := g.process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = g.process.Process.Kill()
		// The error is ignored: the test may have waited for the process already.
		_ = g.process.Wait()
	})
	g.waitUntil(t, "the gateway is ready", func() bool {
		return g.status("http://"+g.ready+"/readyz", "") == http.StatusOK
	})
	return g
}

// setTable writes the table file with a version, whose route has the prefix /vVERSION/.
func (g *gatewayBinary) setTable(t *testing.T, version int) {
	t.Helper()
	text := fmt.Sprintf(gatewayTable, version, g.backend.Listener.Addr(), version)
	if err := os.WriteFile(g.table, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// waitUntil polls the condition for 5 s.
func (g *gatewayBinary) waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 200 {
		if condition() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("not within 5 s: %s", description)
}

// status sends a request with the ID and returns the status of the response. It returns 0 if there is
// no response, or if a 200 belongs to another request.
func (g *gatewayBinary) status(address, id string) int {
	request, err := http.NewRequest(http.MethodPost, address, http.NoBody)
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	request.Header.Set("Slipwick-Request", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == http.StatusOK && string(body) != id {
		return 0
	}
	return response.StatusCode
}

func (g *gatewayBinary) signal(t *testing.T, signal os.Signal) {
	t.Helper()
	if err := g.process.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// TestGatewayBinaryLosesNoRequests has callers send requests over persistent connections during a
// SIGHUP and a SIGTERM. Every request must get its own response or a refusal, and the backend server
// must have run exactly the requests with a response.
func TestGatewayBinaryLosesNoRequests(t *testing.T) {
	g := startGateway(t)
	var served, refused, lost atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				switch g.status("http://"+g.callers+"/v1/x", fmt.Sprintf("q-%d-%d", caller, n)) {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
					time.Sleep(10 * time.Millisecond)
				default:
					lost.Add(1)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	g.signal(t, syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	g.signal(t, syscall.SIGTERM)
	// The gateway keeps serving for a while, then refuses requests, and only then exits.
	g.waitUntil(t, "a request is refused", func() bool { return refused.Load() > 0 })
	close(stop)
	callers.Wait()
	if err := g.process.Wait(); err != nil {
		t.Errorf("got %v after SIGTERM, want exit code 0", err)
	}
	if lost.Load() > 0 || served.Load() < 100 || refused.Load() == 0 {
		t.Errorf("got %d responses, %d refusals and %d lost; want at least 100, some and none",
			served.Load(), refused.Load(), lost.Load())
	}
	if got, want := g.runs.Load(), served.Load(); got != want {
		t.Errorf("got %d runs, want %d, the number of responses", got, want)
	}
}

// TestGatewayBinaryReloadsTable checks that a newer version of the table file comes into force and an
// older one does not.
func TestGatewayBinaryReloadsTable(t *testing.T) {
	g := startGateway(t)
	g.setTable(t, 2)
	g.waitUntil(t, "version 2 is in force", func() bool {
		return g.status("http://"+g.callers+"/v2/x", "q") == http.StatusOK
	})
	if got := g.status("http://"+g.callers+"/v1/x", "q"); got != http.StatusNotFound {
		t.Errorf("route of version 1: got status %d, want 404", got)
	}
	g.setTable(t, 1)
	time.Sleep(1200 * time.Millisecond)
	if got := g.status("http://"+g.callers+"/v2/x", "q"); got != http.StatusOK {
		t.Errorf("after an older version: got status %d, want 200, version 2 still in force", got)
	}
}
