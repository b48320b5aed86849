package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	frontendPort = 8227
	readyPort    = 8220
	controlPort  = 8229
	internalPort = 7340
	// metricsPort is that of the deploy file.
	metricsPort  = 9464
	readyTimeout = 10 * time.Second
	stopTimeout  = 12 * time.Second
)

// deployment has the settings that differ between sites.
type deployment struct {
	memoryMB, descriptors, retryExtra, recoveryS int
	contact, drainTimeout, configApply           time.Duration
}

var (
	// listings is chantha-board, bookkeeping the smallest machine of ledgerlight-grown.
	listings    = deployment{284, 4100, 56, 12, 3 * time.Second, 2 * time.Second, configApply}
	bookkeeping = deployment{415, 8192, 168, 15, 4 * time.Second, drainTimeout, 3 * time.Second}
)

// gateway is a gateway process.
type gateway struct {
	name, ip string
	process  *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// fleet has the gateways of a deployment, and the folder of their settings and logs.
type fleet struct {
	program, folder string
	deployment      deployment

	// mu guards the fields after it: a signal may end the fleet while it starts.
	mu        sync.Mutex
	isStopped bool
	gateways  []*gateway
}

// startFleet starts gateways and waits until all are ready.
func startFleet(program, storeAddress string, count int, of deployment) (*fleet, error) {
	folder, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		program:    program,
		folder:     folder,
		deployment: of,
	}
	stopOnSignal(f)
	network := freeNetwork(count)
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, i+1, controlPort))
	}
	for i := range count {
		g := &gateway{
			name: fmt.Sprintf("frontend-%d", i+1),
			ip:   fmt.Sprintf("%s.%d", network, i+1),
		}
		if err := f.start(g, storeAddress, seeds[:min(count, 3)]); err != nil {
			f.stop()
			return nil, err
		}
	}
	for _, g := range f.gateways {
		if !g.awaitReady() {
			f.stop()
			return nil, fmt.Errorf("gateway %s is not ready", g.name)
		}
	}
	return f, nil
}

// stopOnSignal ends the fleet and this process when the script is cut off by a signal that can be handled.
func stopOnSignal(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.stop()
		os.Exit(exitNotPlayed)
	}()
}

// freeNetwork returns the first three numbers of loopback addresses whose ports are free.
func freeNetwork(count int) string {
	for {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		isFree := true
		for i := range count {
			isFree = isFree && hasFreePorts(fmt.Sprintf("%s.%d", network, i+1))
		}
		if isFree {
			return network
		}
	}
}

// hasFreePorts reports whether the ports that a gateway uses are free at an address.
func hasFreePorts(ip string) bool {
	for _, port := range []int{frontendPort, readyPort, controlPort, metricsPort, internalPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	for port := internalPort; port < internalPort+3; port++ {
		connection, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = connection.Close()
	}
	return true
}

// start writes the settings of a gateway and starts its process as the deploy file says.
func (f *fleet) start(g *gateway, storeAddress string, seeds []string) error {
	text, err := json.Marshal(settings(g, storeAddress, seeds, f.deployment))
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, g.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.folder, g.name+".log"))
	if err != nil {
		return err
	}
	g.process = exec.Command(f.program, "gateway")
	g.process.Env = []string{"SLIPWICK_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + f.folder}
	g.process.Stdout, g.process.Stderr = log, log
	// The gateway ends with this process, also if that is killed; see init.
	g.process.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isStopped {
		return errNotPlayed
	}
	if err := g.process.Start(); err != nil {
		return err
	}
	g.done = make(chan struct{})
	go func() {
		// The error is that of the kill.
		_ = g.process.Wait()
		close(g.done)
	}()
	f.gateways = append(f.gateways, g)
	return nil
}

// settings returns the settings of a process of a small deployment.
func settings(g *gateway, storeAddress string, seeds []string, of deployment) map[string]any {
	return map[string]any{
		"node_name":     g.name,
		"role":          "gateway",
		"machine_class": "frontend",
		"serves":        []string{"frontend", "control_plane"},
		"ip_address":    g.ip,
		"zone":          "zone-1",
		"region":        "region-1",
		"zones":         map[string]string{"zone-1": "region-1"},
		"listen_addresses": map[string]string{
			"frontend":      fmt.Sprintf("%s:%d", g.ip, frontendPort),
			"ready":         fmt.Sprintf("%s:%d", g.ip, readyPort),
			"control_plane": fmt.Sprintf("%s:%d", g.ip, controlPort),
		},
		"internal_port_range":   []int{internalPort, internalPort + 15},
		"seed_nodes":            seeds,
		"bootstrap":             true,
		"limits":                map[string]any{"memory_mb": of.memoryMB, "file_descriptors": of.descriptors},
		"heartbeat_interval_ms": 1200,
		"contracts": []string{
			"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform",
		},
		"bounds": map[string]any{
			"contact_ms": of.contact.Milliseconds(), "drain_timeout_ms": of.drainTimeout.Milliseconds(), "grace_period_s": 8,
			"loss_slack_ms":   200,
			"config_apply_ms": of.configApply.Milliseconds(), "retry_budget_ratio": 0.2, "retry_window_s": 10,
			"retry_budget_extra": of.retryExtra, "recovery_s": of.recoveryS, "capacity_factor": 2,
		},
		"platform_settings": map[string]any{"address": storeAddress, "form": "objects"},
	}
}

func (g *gateway) frontend() string { return fmt.Sprintf("%s:%d", g.ip, frontendPort) }

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady() bool {
	client := &http.Client{
		Timeout: time.Second,
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", g.ip, readyPort))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// stop ends all processes and removes their files.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isStopped = true
	for _, g := range f.gateways {
		_ = g.process.Process.Kill()
		select {
		case <-g.done:
		case <-time.After(stopTimeout):
		}
	}
	_ = os.RemoveAll(f.folder)
}
