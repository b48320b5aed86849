package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/slipwick/slipwick/cmd/internal/gatewayd"
)

const (
	// drainedDelay is the time after the end of the load by which nothing may be in flight. It is longer
	// than the timeout of the routes.
	drainedDelay = 8 * time.Second
	// operatorsPort is the port at which gateways on the platform serve their status.
	operatorsPort = 9464
)

// checkDrained checks that after the load nothing is in flight at any backend server, by its own count
// and by those of the gateways, and that no request waits at a gateway.
func (f *fleet) checkDrained() {
	for ended := time.Now(); ; time.Sleep(pollInterval) {
		left := f.leftInFlight()
		if len(left) == 0 {
			return
		}
		if time.Since(ended) > drainedDelay {
			for _, text := range left {
				f.recorder.addViolation("%v after the load, %s", drainedDelay, text)
			}
			return
		}
	}
}

// leftInFlight describes what is still in flight or waits.
func (f *fleet) leftInFlight() (left []string) {
	f.mu.Lock()
	started := f.started
	f.mu.Unlock()
	for _, b := range started {
		if n := b.inFlight.Load(); n != 0 {
			left = append(left, fmt.Sprintf("%s has %d requests in flight", b.id, n))
		}
	}
	for _, g := range f.gateways {
		status, err := g.status()
		if err != nil {
			left = append(left, fmt.Sprintf("%s gives no status: %v", g.name, err))
			continue
		}
		for i := range status.Backends {
			if s := &status.Backends[i]; s.InFlight != 0 {
				left = append(left, fmt.Sprintf("%s counts %d requests in flight at %s", g.name, s.InFlight, s.ID))
			}
		}
		for i := range status.Pools {
			if p := &status.Pools[i]; p.Waiting != 0 {
				left = append(left, fmt.Sprintf("%d requests for %s wait at %s", p.Waiting, p.Pool, g.name))
			}
		}
	}
	return left
}

// status returns the gateway's state as operators see it.
func (g *gateway) status() (*gatewayd.Status, error) {
	client := &http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", g.host, operatorsPort, gatewayd.StatusPath))
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	status := &gatewayd.Status{}
	return status, json.NewDecoder(response.Body).Decode(status)
}
