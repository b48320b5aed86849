package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// The extent of the cases: a fleet of 8 machines before 4 replicas of the application of the site, with its slots and
// its work.
const (
	machineCount = 8
	replicaCount = 4
	replicaSlots = 6
	replicaQueue = 24
	clientCount  = 96
	garbled      = 2
	// The disruption: windows of 5 s. One replica of 4 sheds 0.45 of its requests, 2 of 4, that one among them, send
	// 0.03 of their answers twice.
	windows     = 19
	windowTime  = 5 * time.Second
	windowPause = 250 * time.Millisecond
	shedShare   = 0.45
	extraShare  = 0.03
	// firstVersion is that of the first configuration.
	firstVersion = 7
)

// plan is what differs between the cases that this file has.
type plan struct {
	site *site
	// network is the first half of all addresses.
	network string
	// every is as in client, shed and isBare as in faults.
	every  time.Duration
	shed   float64
	isBare bool
}

// extraAnswer plays the case in which some replicas send an answer once more, where the next one on the connection is
// due. It returns the exit code.
func extraAnswer(log *record, trouble bool) (int, error) {
	return play(log, trouble, &plan{
		site:    cuotafacil(),
		network: "127.83",
		every:   130 * time.Millisecond,
		shed:    shedShare,
	})
}

// bareRejection plays the case in which some replicas send a rejection without a request ID there.
func bareRejection(log *record, trouble bool) (int, error) {
	return play(log, trouble, &plan{
		site:    chantha(),
		network: "127.84",
		every:   400 * time.Millisecond,
		isBare:  true,
	})
}

func play(log *record, trouble bool, plan *plan) (int, error) {
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
	replicas, err := newReplicas(s, plan, log, l)
	if err != nil {
		return exitFailed, err
	}
	machines, err := newMachines(folder, plan.network+".1", machineCount, plan.site, s.address)
	if err != nil {
		return exitFailed, err
	}
	for _, m := range machines {
		defer m.stop()
		if err := m.start(); err != nil {
			return exitFailed, err
		}
	}
	const startTime, settleTime = 20 * time.Second, 2 * time.Second
	if err := awaitReady(machines, startTime); err != nil {
		return exitFailed, err
	}
	end := time.Now().Add(settleTime + windows*(windowTime+windowPause))
	clients := startClients(machines, plan, end, log, l)
	time.Sleep(settleTime)
	for range windows {
		if trouble {
			disrupt(replicas, plan, log)
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

// newReplicas starts the replicas and lists them in the store.
func newReplicas(s *store, plan *plan, log *record, l *ledger) ([]*replica, error) {
	var replicas []*replica
	for i := range replicaCount {
		id, zone := fmt.Sprintf("i-%08x", 0x7f3a0000+i), plan.site.zones[i%len(plan.site.zones)]
		r, err := newReplica(id, plan.network+".0.3", zone, plan.site.work, log, l)
		if err != nil {
			return nil, err
		}
		s.put("servers", r.id, r.entry())
		replicas = append(replicas, r)
	}
	return replicas, nil
}

// startClients starts clients that send requests until the end, an equal number to each machine.
func startClients(machines []*machine, plan *plan, end time.Time, log *record, l *ledger) *sync.WaitGroup {
	clients := &sync.WaitGroup{}
	for i := range clientCount {
		c := &client{
			name:     fmt.Sprintf("client-%d", i),
			machines: machines[i%machineCount : i%machineCount+1],
			every:    plan.every,
			deadline: plan.site.deadline,
			log:      log,
			ledger:   l,
		}
		clients.Go(func() { c.run(end) })
	}
	return clients
}

func disrupt(replicas []*replica, plan *plan, log *record) {
	for i, r := range replicas[:garbled] {
		f := &faults{
			extra:  extraShare,
			isBare: plan.isBare,
		}
		if i == 0 {
			f.shed = plan.shed
		}
		r.faults.Store(f)
	}
	log.note("disruption: %s rejects %v of its requests; it and %d other send more after %v of their answers",
		replicas[0].id, plan.shed, garbled-1, extraShare)
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
