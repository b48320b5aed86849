package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// The extent of the case: a fleet of 8 machines before 4 replicas of the application of the site, with the slots and the
// work of the site.
const (
	machineCount   = 8
	replicaCount   = 4
	replicaSlots   = 6
	replicaQueue   = 24
	clientCount    = 96
	clientInterval = 130 * time.Millisecond
	garbled        = 2
	// The disruption: windows of 5 s. One replica of 4 sheds 0.45 of its requests, 2 of 4, that one among them, send
	// 0.03 of their answers twice.
	windows     = 16
	windowTime  = 5 * time.Second
	windowPause = time.Second
	shedShare   = 0.45
	extraShare  = 0.03
)

// extraAnswer plays the case: some replicas send an answer once more, where the next one on the connection is due.
// It returns the exit code.
func extraAnswer(log *record, trouble bool) (int, error) {
	zones := []string{"quito-norte", "quito-sur", "cumbaya", "sangolqui"}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return exitFailed, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s, err := newStore("127.83.0.2")
	if err != nil {
		return exitFailed, err
	}
	s.put("config", "main", configuration())
	l := newLedger()
	var replicas []*replica
	for i := range replicaCount {
		r, err := newReplica(fmt.Sprintf("i-%08x", 0x7f3a0000+i), "127.83.0.3", "wuno96b", zones[i%len(zones)],
			replicaSlots, replicaQueue, log, l)
		if err != nil {
			return exitFailed, err
		}
		s.put("servers", r.id, r.entry())
		replicas = append(replicas, r)
	}
	machines, err := newMachines(folder, "127.83.1", machineCount, zones, s.address)
	if err != nil {
		return exitFailed, err
	}
	for _, m := range machines {
		defer m.stop()
		if err := m.start(); err != nil {
			return exitFailed, err
		}
	}
	if err := awaitReady(machines, 20*time.Second); err != nil {
		return exitFailed, err
	}
	const settle = 3 * time.Second
	end := time.Now().Add(settle + windows*(windowTime+windowPause) + settle)
	var clients sync.WaitGroup
	for i := range clientCount {
		c := &client{
			name:     fmt.Sprintf("client-%d", i),
			machines: machines[i%machineCount : i%machineCount+1],
			every:    clientInterval,
			log:      log,
			ledger:   l,
		}
		clients.Go(func() { c.run(end) })
	}
	time.Sleep(settle)
	for range windows {
		if trouble {
			disrupt(replicas, log)
		}
		time.Sleep(windowTime)
		for _, r := range replicas {
			r.faults.Store(&faults{})
		}
		time.Sleep(windowPause)
	}
	clients.Wait()
	return l.judge(log), nil
}

func disrupt(replicas []*replica, log *record) {
	for i, r := range replicas[:garbled] {
		f := &faults{
			extra: extraShare,
		}
		if i == 0 {
			f.shed = shedShare
		}
		r.faults.Store(f)
	}
	log.note("disruption: %s rejects %v of its requests; it and %d others send %v of their answers twice",
		replicas[0].id, shedShare, garbled-1, extraShare)
}

// configuration is the operator's configuration: one route whose requests run at most once.
func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-6bxty4y", "host": hostName, "path_prefix": "/cufi504/", "kind": "unsafe", "timeout_ms": 800,
			"target_latency_ms": 150, "priority": 2, "service": "wuno96b", "max_attempts": 1, "allow_anonymous": false,
			"session_affinity": false, "resume_streams": false,
		}},
		"services": []any{map[string]any{
			"name": "wuno96b", "health_check_path": "/health", "max_connections": 560, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// judge counts what broke a rule, and returns the exit code.
func (l *ledger) judge(log *record) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	served, twice, refused := 0, 0, 0
	for id, e := range l.requests {
		if e.status == http.StatusOK {
			served++
		}
		if len(e.runs) > 1 {
			twice++
			log.say("TWICE: %s ran %d times: %v; its client got %d", id, len(e.runs), e.runs, e.status)
		}
		if isPromise(e.status) && len(e.runs) > 0 {
			refused++
			log.say("REFUSED: %s ran at %v; its client got %d", id, e.runs, e.status)
		}
	}
	log.say("%d requests sent, %d served; %d ran more than once, %d ran and were refused",
		len(l.requests), served, twice, refused)
	switch {
	case twice+refused > 0:
		return exitBroken
	case served*10 < len(l.requests)*9:
		log.say("fewer than nine in ten requests were served: the case couldn't run")
		return exitFailed
	default:
		return exitHeld
	}
}

func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
