package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/slipwick/slipwick/cmd/internal/loopback"
	"github.com/slipwick/slipwick/platform"
	"github.com/slipwick/slipwick/standin/scripted"
)

const (
	// linkGroups is the number of groups of gateways that have links of their own to the servers.
	linkGroups = 2
	// linkBufferBytes is the size of the buffers of links, so that long bodies wait for the servers to read them.
	linkBufferBytes = 16 << 10
	// serversPerPool is the number of servers of each pool, with exchangeSlots and exchangeQueue.
	serversPerPool = 4
	exchangeSlots  = 6
	exchangeQueue  = 24
	exchangeWork   = 15 * time.Millisecond
	// exchangeTimeout and exchangeObjective are those of the routes, exchangeDeadline is that of the callers.
	exchangeTimeout   = 800 * time.Millisecond
	exchangeObjective = 150 * time.Millisecond
	exchangeDeadline  = 1500 * time.Millisecond
	allReadyTimeout   = 60 * time.Second
)

// exchangeFleet is a fleet of gateway processes with servers that answer by plans.
type exchangeFleet struct {
	t        *testing.T
	recorder *recorder
	ledger   *scripted.Ledger
	gateways []*gateway
	store    *store
	// servers are those that were started, guarded by mu; slots is where the servers of the pools run.
	mu      sync.Mutex
	servers []*scripted.Server
	slots   [2 * serversPerPool]serverSlot
	// links are the links to the servers, by group of gateways.
	links   [linkGroups][]*proxy
	mix     atomic.Pointer[scripted.Mix]
	callers atomic.Int64
}

// serverSlot is a place where one server runs after the other, with the same address.
type serverSlot struct {
	// mu is held while a server is replaced.
	mu     sync.Mutex
	server *scripted.Server
	// started counts the servers so far.
	started int
}

func newExchangeFleet(t *testing.T) *exchangeFleet {
	t.Helper()
	host := loopback.Host()
	f := &exchangeFleet{
		t:        t,
		recorder: newRecorder(),
		ledger:   scripted.NewLedger(),
	}
	f.mix.Store(&scripted.Mix{})
	s := newStore(t, host)
	f.store, f.recorder.store = s, s
	s.put("config", "main", exchangeConfiguration())
	for i := range f.slots {
		f.addSlot(host, i)
	}
	binary := *exchangeBinary
	if binary == "" {
		binary = filepath.Join(t.TempDir(), "slipwickd")
		if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "..").CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	f.startGateways(binary, host, s)
	return f
}

// addSlot starts a server behind links of its own and lists it in the store.
func (f *exchangeFleet) addSlot(host string, number int) {
	f.t.Helper()
	server, err := f.startServer(host, number)
	if err != nil {
		f.t.Fatal(err)
	}
	for i := range f.links {
		link := newProxy(f.t, host, server.Listener.Addr().String())
		link.bufferBytes.Store(linkBufferBytes)
		f.links[i] = append(f.links[i], link)
	}
	f.list(server, number)
}

// startServer starts the next server of a slot. Each one has an ID of its own.
func (f *exchangeFleet) startServer(host string, number int) (*scripted.Server, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, err
	}
	slot := &f.slots[number]
	server := &scripted.Server{
		ID:             fmt.Sprintf("i-%04x%04x", 0x7f3a+slot.started, number),
		Listener:       listener,
		Headers:        platform.Headers(),
		NotRunValue:    "1",
		Ledger:         f.ledger,
		HealthPath:     "/health",
		InstanceHeader: "Instance-Id",
		Slots:          exchangeSlots,
		Queue:          exchangeQueue,
		Work:           exchangeWork,
		Plan:           func(send scripted.Send) scripted.Plan { return f.mix.Load().PlanFor(send) },
	}
	slot.server = server
	slot.started++
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = append(f.servers, server)
	go server.Run()
	f.t.Cleanup(server.Close)
	return server, nil
}

// list writes the entry of a server to the store.
func (f *exchangeFleet) list(server *scripted.Server, number int) {
	pool := poolPlain
	if number >= serversPerPool {
		pool = poolEngines
	}
	f.store.put("servers", server.ID, map[string]any{
		"service": pool, "address": f.links[0][number].address, "zone": siteZones[number%len(siteZones)],
		"version": "v1", "slots": exchangeSlots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	})
}

// restartServer ends a server as a crash does and, some time later, starts one with another ID at its address. The
// entry of the one that has ended stays in the store until then.
func (f *exchangeFleet) restartServer(d disruption) {
	number := d.Server % len(f.slots)
	slot := &f.slots[number]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	ended := slot.server
	for _, links := range f.links {
		links[number].close()
	}
	ended.Close()
	time.Sleep(d.Duration)
	host, _, _ := net.SplitHostPort(ended.Listener.Addr().String())
	server, err := f.startServer(host, number)
	if err != nil {
		f.t.Error(err)
		return
	}
	for _, links := range f.links {
		link := links[number]
		if err := link.open(link.address, server.Listener.Addr().String()); err != nil {
			f.t.Error(err)
		}
		link.setMode(proxyForwards)
	}
	f.store.removeServer(ended.ID)
	f.list(server, number)
}

// storeOf returns the address of the store for a group of gateways, which gives them the addresses of their links.
func (f *exchangeFleet) storeOf(s *store, group int) string {
	var addresses []string
	for i, link := range f.links[0] {
		addresses = append(addresses, link.address, f.links[group][i].address)
	}
	replacer := strings.NewReplacer(addresses...)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		s.ServeHTTP(recorded, r)
		for name, values := range recorded.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorded.Code)
		_, _ = replacer.WriteString(w, recorded.Body.String())
	}))
	f.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (f *exchangeFleet) startGateways(binary, host string, s *store) {
	f.t.Helper()
	directory, prefix := f.t.TempDir(), strings.TrimSuffix(host, "1")
	var seedNodes, stores []string
	for group := range linkGroups {
		stores = append(stores, f.storeOf(s, group))
	}
	for i := range *exchangeRouters {
		g := &gateway{
			name:      fmt.Sprintf("g%d", i),
			host:      fmt.Sprintf("%s%d", prefix, 10+i),
			binary:    binary,
			directory: directory,
		}
		f.gateways = append(f.gateways, g)
		if i < 3 {
			seedNodes = append(seedNodes, fmt.Sprintf("%s:%d", g.host, seedNodePort))
		}
	}
	for i, g := range f.gateways {
		f.writeSettings(g, i, stores[i%linkGroups], seedNodes, true)
		g.start(f.t)
		f.t.Cleanup(g.kill)
	}
	f.awaitReady()
	for i, g := range f.gateways {
		// Later starts of a gateway are not the first start of the fleet.
		f.writeSettings(g, i, stores[i%linkGroups], seedNodes, false)
	}
}

func (f *exchangeFleet) awaitReady() {
	for started := time.Now(); !f.areReady(); time.Sleep(pollInterval) {
		if time.Since(started) > allReadyTimeout {
			f.gateways[0].kill()
			f.t.Fatalf("not all gateways are ready after %v; output of the first: %s", allReadyTimeout, f.gateways[0].output)
		}
	}
}

// siteZones are the zones of the site whose settings the gateways have.
var siteZones = []string{"quito-norte", "quito-sur", "cumbaya", "sangolqui"}

// writeSettings writes the settings of a large site with admission control for a gateway.
func (f *exchangeFleet) writeSettings(g *gateway, number int, storeAddress string, seedNodes []string, bootstrap bool) {
	f.t.Helper()
	contracts := []string{
		"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine", "stream", "tenants", "places",
		"platform",
	}
	if *exchangePermits {
		contracts = append(contracts, "pressure")
	}
	zone, regions := siteZones[number%len(siteZones)], make(map[string]string)
	for _, z := range siteZones {
		regions[z] = "ec-sierra"
	}
	text, err := json.Marshal(map[string]any{
		"node_name": g.name, "role": "gateway", "machine_class": "frontend", "ip_address": g.host,
		"serves": []string{"frontend", "control_plane"}, "zone": zone, "region": "ec-sierra", "zones": regions,
		"listen_addresses": map[string]string{
			"frontend":      fmt.Sprintf("%s:%d", g.host, callersPort),
			"ready":         fmt.Sprintf("%s:%d", g.host, readyPort),
			"control_plane": fmt.Sprintf("%s:%d", g.host, seedNodePort),
		},
		"internal_port_range": []int{peersPort, peersPort + 15}, "seed_nodes": seedNodes, "bootstrap": bootstrap,
		"discovery": "platform", "entry": "virtual_ip", "heartbeat_interval_ms": 1200, "contracts": contracts,
		"limits": map[string]any{
			"cpu_share": 0.8, "cpu_cores": 1, "memory_mb": 184, "file_descriptors": 4100, "link_mbps": 200.0,
		},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1},
		"bounds": map[string]any{
			"seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": 4000, "ack_timeout_ms": 6000, "catch_up_s": 6,
			"drain_timeout_ms": 3000, "grace_period_s": gracePeriod.Seconds(), "loss_slack_ms": 200, "config_apply_ms": 3000,
			"downgrade_slack_ms": 250, "outer_bound_ms": 6000, "retry_budget_ratio": 0.2, "retry_window_s": 10,
			"retry_budget_extra": 208, "recovery_s": 15, "pass_ms": 200, "retry_after_s": 10, "capacity_factor": 2,
		},
		"platform_settings": map[string]any{
			"address": storeAddress, "form": "objects", "writes_per_s": 1200, "reads_per_s": 6000, "history_s": 20,
			"value_bytes": 1 << 20, "min_ttl_ms": 1000,
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(g.settingsPath(), bytes.TrimSpace(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// exchangeConfiguration has a route for each kind of request.
func exchangeConfiguration() map[string]any {
	kinds := map[string]string{
		routeSingle: "unsafe", routeRepeatable: "safe", routeStream: "streaming", routeResumable: "streaming",
	}
	var routeList []map[string]any
	for _, route := range routes {
		isStream := kinds[route] == "streaming"
		service, attempts := poolPlain, 1
		if isStream {
			service = poolEngines
		}
		if route == routeRepeatable || route == routeResumable {
			attempts = 2
		}
		routeList = append(routeList, map[string]any{
			"name": route, "host": "soak.example", "path_prefix": "/" + route + "/", "kind": kinds[route],
			"timeout_ms": exchangeTimeout.Milliseconds(), "target_latency_ms": exchangeObjective.Milliseconds(),
			"priority": 2, "service": service, "max_attempts": attempts, "allow_anonymous": false,
			"session_affinity": isStream, "resume_streams": route == routeResumable,
		})
	}
	return map[string]any{
		"version": 7, "routes": routeList,
		"services": []map[string]any{
			{"name": poolPlain, "health_check_path": "/health", "max_connections": 560},
			{
				"name": poolEngines, "health_check_path": "/health", "max_connections": 560,
				"inference_engine": map[string]any{"link_mbps": 0},
			},
		},
		"limits": map[string]int{
			"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []map[string]any{{"name": "w", "api_keys": []string{workspaceKey}, "priority": 1}},
	}
}

// end ends the gateways and logs how often they used other routers' paths and skipped responses and, if the test has
// failed, the end of what each wrote.
func (f *exchangeFleet) end() {
	const kept = 64 << 10
	lostPaths, skipped := 0, 0
	for _, g := range f.gateways {
		g.kill()
		output := g.output.Bytes()
		lostPaths += bytes.Count(output, []byte(`path-lost"`))
		skipped += bytes.Count(output, []byte(`"name":"stray-response"`))
		if f.t.Failed() {
			f.t.Logf("output of %s: %s", g.name, output[max(len(output)-kept, 0):])
		}
	}
	f.t.Logf("lines of lost paths: %d, of skipped responses: %d", lostPaths, skipped)
}
