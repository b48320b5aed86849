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

// All gateways use the same ports, each on an IP address of its own: callersPort for callers'
// requests, readyPort for readiness probes, and peersPort for connections between gateways. They
// ignore the port of the seed nodes in their settings.
const (
	callersPort  = 18080
	readyPort    = 18081
	seedNodePort = 18082
	peersPort    = 18090
)

// gracePeriod is how long a gateway may take to exit after SIGTERM.
const gracePeriod = 6 * time.Second

// gateway runs real gateway processes at one address, one at a time.
type gateway struct {
	name      string
	host      string
	binary    string
	directory string

	mu sync.Mutex
	// running is the current process, or nil.
	running *gatewayProcess
	// output has the standard output and error of all processes so far.
	output *bytes.Buffer
	// disturbedAt is the time of the last disturbance: a start of the process, or a signal other
	// than SIGHUP and SIGTERM. isLasting is set while the disturbance goes on.
	disturbedAt time.Time
	isLasting   bool
	// version is the newest configuration version seen in force in the current process.
	version int
}

// gatewayProcess is one process of a gateway.
type gatewayProcess struct {
	process *os.Process
	exited  chan struct{}
}

// writeSettings writes the settings file that the platform would write. bootstrap says that the
// whole fleet starts for the first time.
func (g *gateway) writeSettings(t *testing.T, storeAddress, zone string, seedNodes []string, bootstrap bool) {
	t.Helper()
	// 284 MB is the memory of a box in a usual deployment.
	settings := map[string]any{
		"node_name": g.name, "ip_address": g.host, "zone": zone, "region": "r",
		"listen_addresses": map[string]string{
			"frontend": fmt.Sprintf("%s:%d", g.host, callersPort),
			"ready":    fmt.Sprintf("%s:%d", g.host, readyPort),
		},
		"internal_port_range": []int{peersPort, peersPort + 9},
		"seed_nodes":          seedNodes,
		"bootstrap":           bootstrap,
		"limits":              map[string]int{"memory_mb": 284},
		// The contract turns admission control on.
		"contracts": []string{"pressure"},
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

func (g *gateway) settingsPath() string { return filepath.Join(g.directory, g.name+".json") }

// start starts a process unless one is running.
func (g *gateway) start(t *testing.T) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running != nil {
		return
	}
	command := exec.Command(g.binary, "gateway")
	command.Env = append(os.Environ(), "SLIPWICK_NODE_FILE="+g.settingsPath())
	output := g.output
	if output == nil {
		output = &bytes.Buffer{}
	}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		t.Errorf("start %s: %v", g.name, err)
		return
	}
	started := &gatewayProcess{
		process: command.Process,
		exited:  make(chan struct{}),
	}
	go func() {
		// The exit status is not checked: callers observe how the process ended.
		_ = command.Wait()
		close(started.exited)
	}()
	g.running, g.output, g.disturbedAt, g.isLasting, g.version = started, output, time.Now(), false, 0
}

// signal sends a signal to the current process and returns that process, or nil if there is
// none. Signals except SIGHUP and SIGTERM count as disturbances; isLasting says that the
// disturbance goes on until the next disturbance.
func (g *gateway) signal(signal syscall.Signal, isLasting bool) *gatewayProcess {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == nil {
		return nil
	}
	// Sending fails only if the process has already exited.
	_ = g.running.process.Signal(signal)
	if signal != syscall.SIGHUP && signal != syscall.SIGTERM {
		g.disturbedAt, g.isLasting = time.Now(), isLasting
	}
	return g.running
}

// kill kills the process and waits until it has exited.
func (g *gateway) kill() {
	if killed := g.signal(syscall.SIGKILL, true); killed != nil {
		<-killed.exited
		g.clearProcess(killed)
	}
}

// terminate sends SIGTERM and waits until the process has exited. SIGTERM does not count as a
// disturbance because requests in flight at the gateway must still get their responses.
func (g *gateway) terminate(r *recorder) {
	stopped := g.signal(syscall.SIGTERM, false)
	if stopped == nil {
		return
	}
	for signaledAt := time.Now(); ; time.Sleep(pollInterval) {
		select {
		case <-stopped.exited:
			g.clearProcess(stopped)
			return
		default:
		}
		// Another fault may send SIGSTOP in the meantime, which delays the exit.
		if undisturbed := min(g.undisturbedFor(), time.Since(signaledAt)); undisturbed > gracePeriod+time.Second {
			r.addViolation("%s is still running %v after SIGTERM", g.name, time.Since(signaledAt))
			g.kill()
			return
		}
	}
}

// clearProcess clears the current process unless it is already a later one.
func (g *gateway) clearProcess(process *gatewayProcess) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == process {
		g.running = nil
	}
}

// undisturbedFor returns the time since the last disturbance, or 0 while one goes on.
func (g *gateway) undisturbedFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isLasting {
		return 0
	}
	return time.Since(g.disturbedAt)
}

// isReady checks readiness as the platform's load balancer does.
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
