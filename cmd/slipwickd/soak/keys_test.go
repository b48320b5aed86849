package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/slipwick/slipwick/cmd/internal/loopback"
)

const (
	keysHost   = "keys.example"
	closedPath = "/closed/x"
	openPath   = "/open/x"
	// firstKey and secondKey are held by some of the configurations, neverKey by none.
	firstKey, secondKey, neverKey = "first-first-first-fir", "second-second-second", "never-never-never-nev"
	// inForceTimeout is the time within which a new version has to be in force.
	inForceTimeout = 2 * time.Second
)

// keyStep is a configuration and the keys that it holds.
type keyStep struct {
	name string
	// tenants is the field of the configuration; isMissing leaves it out.
	tenants   any
	isMissing bool
	keys      []string
}

// tenantOf returns a tenant with one key.
func tenantOf(name, key string) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}}
}

// keySteps come into force one after the other. Each one that lets fewer in follows one that lets more in.
var keySteps = []keyStep{
	{
		name:    "a tenant",
		tenants: []any{tenantOf("w", firstKey)},
		keys:    []string{firstKey},
	},
	{
		name:    "an empty list",
		tenants: []any{},
	},
	{
		name:    "two tenants",
		tenants: []any{tenantOf("w", firstKey), tenantOf("v", secondKey)},
		keys:    []string{firstKey, secondKey},
	},
	{
		name:    "a tenant without keys",
		tenants: []any{map[string]any{"name": "w", "api_keys": []string{}}},
	},
	{
		name:    "another tenant",
		tenants: []any{tenantOf("v", secondKey)},
		keys:    []string{secondKey},
	},
	{
		name:    "a tenant without the field of keys",
		tenants: []any{map[string]any{"name": "v"}},
	},
	{
		name:    "null for the keys",
		tenants: []any{map[string]any{"name": "v", "api_keys": nil}},
	},
	{
		name:      "no list",
		isMissing: true,
	},
	{
		name:    "null for the list",
		tenants: nil,
	},
	{
		name:    "a tenant again",
		tenants: []any{tenantOf("w", firstKey)},
		keys:    []string{firstKey},
	},
	{
		name:      "the field removed",
		isMissing: true,
	},
}

// accepts reports whether the configuration lets a request with the key, or without one, run.
func (s *keyStep) accepts(path, key string) bool {
	if key == "" {
		return s.isMissing || path == openPath
	}
	for _, k := range s.keys {
		if k == key {
			return true
		}
	}
	return false
}

// keyFleet is two gateways in front of a server that records which requests it ran.
type keyFleet struct {
	store    *store
	gateways []*gateway
	version  int

	mu   sync.Mutex
	runs map[string]string
	sent int
}

func newKeyFleet(t *testing.T) *keyFleet {
	t.Helper()
	host := loopback.Host()
	f := &keyFleet{
		store: newStore(t, host),
		runs:  make(map[string]string),
	}
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: f,
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	f.store.put("servers", "i-1", map[string]any{
		"service": poolPlain, "address": listener.Addr().String(), "zone": "zone-0", "version": "v1", "slots": 6,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	f.configure(&keySteps[0])
	binary, directory := filepath.Join(t.TempDir(), "slipwickd"), t.TempDir()
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "..").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for i := range 2 {
		g := &gateway{
			name:      fmt.Sprintf("g%d", i),
			host:      fmt.Sprintf("%s%d", strings.TrimSuffix(host, "1"), 10+i),
			binary:    binary,
			directory: directory,
		}
		g.writeSettings(t, f.store.address, "zone-0", nil, false)
		g.start(t)
		t.Cleanup(g.kill)
		f.gateways = append(f.gateways, g)
	}
	return f
}

// ServeHTTP runs each request and records the tenant that it came from.
func (f *keyFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		f.mu.Lock()
		f.runs[id] = r.Header.Get("Tenant")
		f.mu.Unlock()
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", "i-1")
	w.Header().Set("Response-Stamp", "stamp")
}

// configure writes the next version of the configuration, which has a route of its own.
func (f *keyFleet) configure(step *keyStep) {
	f.version++
	route := func(name, prefix string, isOpen bool) map[string]any {
		return map[string]any{
			"name": name, "host": keysHost, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 300, "priority": 1, "service": poolPlain, "max_attempts": 1, "allow_anonymous": isOpen,
		}
	}
	specification := map[string]any{
		"version": f.version,
		"routes": []any{
			route("closed", "/closed/", false), route("open", "/open/", true),
			route("version", fmt.Sprintf("/v%d/", f.version), true),
		},
		"services": []any{map[string]any{"name": poolPlain, "max_connections": 100}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "idle_timeout_ms": 15000},
	}
	if !step.isMissing {
		specification["tenants"] = step.tenants
	}
	f.store.put("config", "main", specification)
}

// send sends a request and returns its status, 0 without a response, and whether the server ran it.
func (f *keyFleet) send(g *gateway, path, key string) (status int, ran bool) {
	f.mu.Lock()
	f.sent++
	id := fmt.Sprintf("%016x", f.sent)
	f.mu.Unlock()
	address := fmt.Sprintf("http://%s:%d%s", g.host, callersPort, path)
	request, err := http.NewRequest(http.MethodPost, address, strings.NewReader("body"))
	if err != nil {
		return 0, false
	}
	request.Host = keysHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "3000")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	client := &http.Client{
		Timeout: time.Second,
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	// A body that breaks off leaves the status as it is.
	_, _ = io.Copy(io.Discard, response.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ran = f.runs[id]
	return response.StatusCode, ran
}

// awaitInForce waits until the newest version is in force at the gateway.
func (f *keyFleet) awaitInForce(t *testing.T, g *gateway, timeout time.Duration) {
	t.Helper()
	for started := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		status, _ := f.send(g, fmt.Sprintf("/v%d/x", f.version), "")
		if status == http.StatusOK {
			return
		}
		if time.Since(started) > timeout {
			t.Fatalf("%s: version %d isn't in force after %v: status %d", g.name, f.version, timeout, status)
		}
	}
}

// check sends requests with all keys, and without one, to a gateway.
func (f *keyFleet) check(t *testing.T, g *gateway, step *keyStep, when string) {
	t.Helper()
	for _, path := range []string{closedPath, openPath} {
		for _, key := range []string{"", firstKey, secondKey, neverKey} {
			status, ran := f.send(g, path, key)
			want := step.accepts(path, key)
			if ran != want || want != (status == http.StatusOK) || !want && status != http.StatusUnauthorized {
				t.Errorf("%s, %s, %s: %s with key %q: got status %d and ran %t, want ran %t, and 401 if not",
					step.name, when, g.name, path, key, status, ran, want)
			}
		}
	}
}

// TestKeysOfNoConfigurationInForceAreRefused guards against requests that run with a key, or without one, that the
// configuration in force doesn't accept: as the last tenant is removed, or fields are empty, missing or null, after
// changes, a reload, a restart, and a version older than the one in force.
func TestKeysOfNoConfigurationInForceAreRefused(t *testing.T) {
	f := newKeyFleet(t)
	for i := range keySteps {
		step := &keySteps[i]
		if i > 0 {
			f.configure(step)
		}
		for _, g := range f.gateways {
			timeout := inForceTimeout
			if i == 0 {
				timeout = startTimeout
			}
			f.awaitInForce(t, g, timeout)
			f.check(t, g, step, "in force")
		}
		f.gateways[0].signal(syscall.SIGHUP, false)
		f.check(t, f.gateways[0], step, "after SIGHUP")
		f.gateways[1].kill()
		f.gateways[1].start(t)
		f.awaitInForce(t, f.gateways[1], startTimeout)
		f.check(t, f.gateways[1], step, "after a restart")
	}
	last := &keySteps[len(keySteps)-1]
	newest := f.version
	f.version = 0
	f.configure(&keySteps[0])
	f.version = newest
	time.Sleep(inForceTimeout)
	f.check(t, f.gateways[0], last, "after an older version")
}
