package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// ports are the ports of all machines.
type ports struct {
	callers, ready, control, internal int
}

// machine is a machine of the system with one gateway process.
type machine struct {
	name, host, zone string
	ports            ports
	settings         string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	output  *bytes.Buffer
}

func (m *machine) callers() string { return net.JoinHostPort(m.host, strconv.Itoa(m.ports.callers)) }

// freePorts returns ports that are free on all hosts.
func freePorts(hosts []string) (ports, error) {
	for first := 21000; first < 31000; first += 50 {
		if areFree(hosts, first) {
			return ports{
				callers:  first,
				ready:    first + 1,
				control:  first + 2,
				internal: first + 10,
			}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports on %v", hosts)
}

func areFree(hosts []string, first int) bool {
	const used = 30
	for _, host := range hosts {
		for port := first; port < first+used; port++ {
			listener, err := net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// newMachines lays the settings of a fleet into a folder. The zones are used in turn.
func newMachines(folder, network string, count int, site *site, storeAddress string) ([]*machine, error) {
	var hosts []string
	for i := range count {
		hosts = append(hosts, fmt.Sprintf("%s.%d", network, 11+i))
	}
	p, err := freePorts(hosts)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, host := range hosts[:min(count, 3)] {
		seeds = append(seeds, net.JoinHostPort(host, strconv.Itoa(p.control)))
	}
	var machines []*machine
	for i, host := range hosts {
		m := &machine{
			name:     fmt.Sprintf("frontend-%s-%d", site.zones[i%len(site.zones)], i),
			host:     host,
			zone:     site.zones[i%len(site.zones)],
			ports:    p,
			settings: filepath.Join(folder, fmt.Sprintf("boot-%d.json", i)),
		}
		text, err := json.Marshal(settingsOf(m, site, seeds, storeAddress))
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(m.settings, text, 0o600); err != nil {
			return nil, err
		}
		machines = append(machines, m)
	}
	return machines, nil
}

// settingsOf returns the settings file of a machine.
func settingsOf(m *machine, site *site, seeds []string, storeAddress string) map[string]any {
	regions := make(map[string]string)
	for _, zone := range site.zones {
		regions[zone] = site.region
	}
	return map[string]any{
		"node_name": m.name, "role": "gateway", "machine_class": "frontend",
		"serves":     []string{"frontend", "control_plane"},
		"ip_address": m.host, "zone": m.zone, "region": site.region, "zones": regions,
		"listen_addresses": map[string]string{
			"frontend":      m.callers(),
			"ready":         net.JoinHostPort(m.host, strconv.Itoa(m.ports.ready)),
			"control_plane": net.JoinHostPort(m.host, strconv.Itoa(m.ports.control)),
		},
		"internal_port_range": []int{m.ports.internal, m.ports.internal + 15},
		"seed_nodes":          seeds,
		"bootstrap":           true,
		"counts_as_loss":      false,
		"limits":              site.limits,
		"data_directory":      nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat_interval_ms": 1200,
		"contracts":       site.contracts,
		"fault_tolerance": site.faults,
		"bounds":          site.bounds,
		"platform_settings": map[string]any{
			"address": storeAddress, "form": "objects", "writes_per_s": site.writes, "reads_per_s": site.reads,
			"history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000,
		},
	}
}

// start starts the process with the command of the deploy file, in the current folder, which is the root of the
// repository.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	command := exec.Command("target/slipwickd", "gateway")
	command.Env = []string{
		"SLIPWICK_NODE_FILE=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
	}
	m.output = &bytes.Buffer{}
	command.Stdout, command.Stderr = m.output, m.output
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := command.Start(); err != nil {
		return err
	}
	m.command, m.exited = command, make(chan struct{})
	go func() {
		// How the process ended shows in its output.
		_ = command.Wait()
		close(m.exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(signal os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		// An error means that the process has ended.
		_ = m.command.Process.Signal(signal)
	}
}

// stop kills the process and waits for its end.
func (m *machine) stop() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// isReady asks the machine as the platform does.
func (m *machine) isReady() bool {
	client := &http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", m.host, m.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func awaitReady(machines []*machine, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range machines {
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready after %s", m.name, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
