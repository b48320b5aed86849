package main

import (
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// calmTime is how long the fleet serves before the entry comes, seenTime how long after that all processes are
	// killed, downTime how long they are down, and judgedTime how long requests are judged after the recovery.
	calmTime   = 6 * time.Second
	seenTime   = 6 * time.Second
	downTime   = time.Second
	judgedTime = 15 * time.Second
	// recoveryTime is recovery_s of the site.
	recoveryTime = 18 * time.Second
	// servedPart is the part of the requests that has to be served, before the fault and after the recovery.
	servedPart = 0.25
)

// foreignEntry plays the case in which another writer leaves an entry among those of the replicas, and then all
// processes are killed at once. It returns the exit code. Without trouble there is no such entry; the processes are
// killed all the same.
func foreignEntry(log *record, trouble bool) (int, error) {
	plan := &plan{
		site:    fleet(),
		network: "127.85",
		every:   400 * time.Millisecond,
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return exitFailed, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s, err := newStore(plan.network + ".0.2")
	if err != nil {
		return exitFailed, err
	}
	s.put("config", "main", plan.site.configuration(firstVersion))
	l := newLedger()
	if _, err := newReplicas(s, plan, log, l); err != nil {
		return exitFailed, err
	}
	machines, err := newMachines(folder, plan.network+".1", machineCount, plan.site, s.address)
	if err != nil {
		return exitFailed, err
	}
	for _, m := range machines {
		defer m.stop()
	}
	if err := startAll(machines); err != nil {
		return exitFailed, err
	}
	const startTime = 20 * time.Second
	if err := awaitReady(machines, startTime); err != nil {
		return exitFailed, err
	}
	began := time.Now()
	end := began.Add(calmTime + seenTime + downTime + recoveryTime + judgedTime)
	clients := startClients(machines, plan, end, log, l)
	returned, err := disturb(s, plan.site, machines, trouble, log)
	if err != nil {
		return exitFailed, err
	}
	clients.Wait()
	for _, m := range machines {
		log.say("%s is ready: %t", m.name, m.isReady())
	}
	return l.judgeRecovery(log, began, returned), nil
}

// disturb writes the entry, kills all processes right after another configuration was acknowledged, starts them again,
// and returns when.
func disturb(s *store, site *site, machines []*machine, trouble bool, log *record) (time.Time, error) {
	time.Sleep(calmTime)
	if trouble {
		s.put("servers", "other-1", map[string]any{"service": deeply})
		log.say("another writer puts the entry servers/other-1, whose service is a list that is nested %d times", nestedDepth)
	}
	time.Sleep(seenTime)
	s.put("config", "main", site.configuration(firstVersion+1))
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	log.say("a configuration is acknowledged, and all processes are killed")
	for _, m := range machines {
		m.stop()
	}
	time.Sleep(downTime)
	if err := startAll(machines); err != nil {
		return time.Time{}, err
	}
	log.say("all processes are started again")
	return time.Now(), nil
}

func startAll(machines []*machine) error {
	for _, m := range machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// judgeRecovery compares which part of the requests was served before the fault, and which after the recovery.
func (l *ledger) judgeRecovery(log *record, began, returned time.Time) int {
	before := l.servedBetween(began, began.Add(calmTime))
	after := l.servedBetween(returned.Add(recoveryTime), returned.Add(recoveryTime+judgedTime))
	log.say("served: %.3f before the entry came, %.3f of what was sent more than %s after the processes returned",
		before, after, recoveryTime)
	switch {
	case before < servedPart:
		return exitFailed
	case after < servedPart:
		return exitBroken
	default:
		return exitHeld
	}
}

// servedBetween returns which part of the requests sent between two times was served.
func (l *ledger) servedBetween(from, to time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, served := 0, 0
	for _, e := range l.requests {
		if e.sentAt.Before(from) || e.sentAt.After(to) {
			continue
		}
		sent++
		if e.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}
