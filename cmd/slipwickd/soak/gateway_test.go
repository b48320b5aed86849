package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The ports of every gateway; each has an address of its own.
const (
	callersPort = 18080
	readyPort   = 18081
	seedPort    = 18082
	peersPort   = 18090
)

// grace is how long a gateway has from SIGTERM to its end.
const gracePeriod = 6 * time.Second

// gateway is one real gateway process after the other, at one address.
type gateway struct {
	name   string
	host   string
	binary string
	folder string

	mu sync.Mutex
	// life is the process that runs; nil when none does.
	running *gatewayProcess
	// output is what the latest process wrote.
	output *bytes.Buffer
	// disturbed is when something last befell it; held says that it goes on.
	disturbed time.Time
	isLasting bool
	// version is the newest configuration seen in force in this life.
	version int
}

// life is one process of a gateway.
type gatewayProcess struct {
	process *os.Process
	exited  chan struct{}
}

// write writes the settings file that the platform would.
func (g *gateway) writeSettings(t *testing.T, storeAddress, zone string, seeds []string, bootstrap bool) {
	t.Helper()
	settings := map[string]any{
		"node_name": g.name, "ip_address": g.host, "zone": zone, "region": "r",
		"listen_addresses": map[string]string{
			"frontend": fmt.Sprintf("%s:%d", g.host, callersPort),
			"ready":    fmt.Sprintf("%s:%d", g.host, readyPort),
		},
		"internal_port_range": []int{peersPort, peersPort + 9},
		"seed_nodes":          seeds,
		"bootstrap":           bootstrap,
		"limits":              map[string]int{"memory_mb": 284},
		"bounds": map[string]float64{
			"grace_period_s": gracePeriod.Seconds(), "retry_budget_ratio": 0.2, "retry_budget_extra": 50, "retry_window_s": 10,
		},
		"platform_settings": map[string]string{"address": storeAddress},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(g.settingsPath(), text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func (g *gateway) settingsPath() string { return filepath.Join(g.folder, g.name+".json") }

// start starts a process, unless one runs.
func (g *gateway) start(t *testing.T) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running != nil {
		return
	}
	process := exec.Command(g.binary, "gateway")
	process.Env = append(os.Environ(), "SLIPWICK_NODE_FILE="+g.settingsPath())
	output := &bytes.Buffer{}
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		t.Errorf("start %s: %v", g.name, err)
		return
	}
	started := &gatewayProcess{
		process: process.Process,
		exited:  make(chan struct{}),
	}
	go func() {
		// How it ended is told by what callers saw.
		_ = process.Wait()
		close(started.exited)
	}()
	g.running, g.output, g.disturbed, g.isLasting, g.version = started, output, time.Now(), false, 0
}

// signal sends a signal, and gives the process that got it; held says that it
// leaves the gateway disturbed until the next one.
func (g *gateway) signal(signal syscall.Signal, isLasting bool) *gatewayProcess {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == nil {
		return nil
	}
	// A process that has ended needs no signal.
	_ = g.running.process.Signal(signal)
	if signal != syscall.SIGHUP && signal != syscall.SIGTERM {
		g.disturbed, g.isLasting = time.Now(), isLasting
	}
	return g.running
}

// kill ends the process at once.
func (g *gateway) kill() {
	if killed := g.signal(syscall.SIGKILL, true); killed != nil {
		<-killed.exited
		g.clearProcess(killed)
	}
}

// terminate asks the process to end, and waits until it has. Nobody who has a
// request there is to notice, so that it does not count as a disturbance.
func (g *gateway) terminate(r *recorder) {
	stopped := g.signal(syscall.SIGTERM, false)
	if stopped == nil {
		return
	}
	for signaledAt := time.Now(); ; time.Sleep(readyInterval) {
		select {
		case <-stopped.exited:
			g.clearProcess(stopped)
			return
		default:
		}
		// A pause meanwhile puts the end off.
		if undisturbed := min(g.undisturbedFor(), time.Since(signaledAt)); undisturbed > gracePeriod+time.Second {
			r.addViolation("%s still runs %v after SIGTERM", g.name, time.Since(signaledAt))
			g.kill()
			return
		}
	}
}

// ended forgets a process, unless another runs by now.
func (g *gateway) clearProcess(process *gatewayProcess) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == process {
		g.running = nil
	}
}

// calmFor is for how long nothing but planned work has befallen it.
func (g *gateway) undisturbedFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isLasting {
		return 0
	}
	return time.Since(g.disturbed)
}

// isReady asks as the platform's balancer does.
func (g *gateway) isReady() bool {
	client := &http.Client{
		Timeout: 300 * time.Millisecond,
	}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", g.host, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
