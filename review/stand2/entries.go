package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// deniedShare and deniedSlack are the bound of the rule DENIED: 5 and one in 500 of all requests.
	deniedShare, deniedSlack = 500, 5
	// writtenAt is when the other writer writes its entry.
	writtenAt = 3 * time.Second
)

// otherServer is a sound HTTP server that is no replica: it knows none of the paths that are asked for.
type otherServer struct {
	address string
	arrived atomic.Int64
	rec     *record
}

func startOtherServer(rec *record) (*otherServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &otherServer{
		address: listener.Addr().String(),
		rec:     rec,
	}
	server := &http.Server{
		Handler:           o,
		ReadHeaderTimeout: maxWait,
	}
	go func() { _ = server.Serve(listener) }()
	return o, nil
}

// ServeHTTP answers as a server does that has no such page.
func (o *otherServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.arrived.Add(1)
	o.rec.add("the server that is no replica gets %s %s, request %s", r.Method, r.URL.Path, r.Header.Get("Request-Id"))
	http.NotFound(w, r)
}

// entryCase is a case in which another writer leaves an entry among those of the replicas. The entry lacks the
// named fields.
type entryCase struct {
	missing []string
}

var entryCases = map[string]entryCase{
	"missing-fields": {
		missing: []string{"version", "cold_remaining_ms", "sequence", "born"},
	},
	"missing-sequence": {
		missing: []string{"sequence"},
	},
}

// entry returns the entry of the other writer.
func (c *entryCase) entry(address string) map[string]any {
	fields := map[string]any{
		"service": serviceName, "address": address, "zone": "zone-1", "version": "v1", "slots": 64,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
	for _, name := range c.missing {
		delete(fields, name)
	}
	return fields
}

// play plays a case; with trouble the entry is written. It returns how many proper requests got a 4xx that no
// replica gave, if these are more than the rule allows.
func (c *entryCase) play(program string, hasTrouble bool, rec *record) (broken int, err error) {
	s, runs, err := startBackend([]tenant{{"desk", []string{keptKey}}})
	if err != nil {
		return 0, err
	}
	other, err := startOtherServer(rec)
	if err != nil {
		return 0, err
	}
	f, err := startFleet(program, s.address, gatewayCount, listings)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	rec.add("%d gateways are ready; %d replicas", gatewayCount, replicaCount)
	client := &http.Client{
		Timeout: requestDeadline + time.Second,
	}
	sentCount, denied, succeeded := 0, 0, 0
	isWritten := !hasTrouble
	for started := time.Now(); time.Since(started) < playTime; time.Sleep(sendInterval) {
		if !isWritten && time.Since(started) >= writtenAt {
			isWritten = true
			if err := s.put("servers", "exporter-1", c.entry(other.address)); err != nil {
				return 0, err
			}
			rec.add("another writer has left an entry without %s", strings.Join(c.missing, ", "))
		}
		for _, g := range f.gateways {
			answer := send(client, g, closedPath, keptKey)
			sentCount++
			verdict := "served"
			switch {
			case answer.status == http.StatusOK && answer.hasStamp:
				succeeded++
			case isDenial(answer):
				denied++
				verdict = "DENIED: a 4xx that no replica gave, to a proper request"
			default:
				verdict = fmt.Sprintf("not served, error %v", answer.err)
			}
			rec.add("request %s: status %d, runs at replicas %d; %s", answer.id, answer.status, len(runs.of(answer.id)),
				verdict)
		}
	}
	rec.add("sent %d, served %d, denied %d (allowed %d), at the server that is no replica %d", sentCount, succeeded,
		denied, deniedSlack+sentCount/deniedShare, other.arrived.Load())
	if succeeded == 0 {
		return 0, errNotPlayed
	}
	if denied <= deniedSlack+sentCount/deniedShare {
		return 0, nil
	}
	return denied, nil
}

// isDenial reports whether a request got a 4xx of the kind that the rule DENIED counts, which no replica gave.
func isDenial(answer *sent) bool {
	switch answer.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	default:
		return answer.status/100 == 4 && !answer.hasStamp
	}
}
