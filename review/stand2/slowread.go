package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	uploadPath = "/upload/"
	// uploadBytes is the size of a body, that of max_body_bytes; uploadTimeout is the route's timeout and the
	// client's deadline, uploadTarget the route's target latency.
	uploadBytes   = 4 << 20
	uploadTimeout = 12 * time.Second
	uploadTarget  = 600 * time.Millisecond
	// uploadsPerGateway is how many clients upload through each gateway, one body after the other.
	uploadsPerGateway = 24
	// slowPiece is what a replica that reads slowly reads of a body every slowPause: some 2.3 MB a second.
	slowPiece, slowPause = 16 << 10, 7 * time.Millisecond
	// succeededAt is when the service's next replica is ready, leavesAt when the one before says that it leaves, and
	// uploadTime for how long bodies are sent.
	succeededAt, leavesAt, uploadTime = 12 * time.Second, 13 * time.Second, 18 * time.Second
	// drainTimeout is the bound drain_timeout_ms of the settings.
	drainTimeout = 3 * time.Second
)

// readCase is a case in which replicas read the bodies of requests slowly, while one of them says that it leaves.
type readCase struct{}

// readCases are the cases by name.
var readCases = map[string]readCase{
	"slow-readers": {},
}

// play plays the case; with trouble the replicas read slowly. It returns how many requests reached the replica that
// leaves later than the rule allows.
func (readCase) play(program string, hasTrouble bool, rec *record) (broken int, err error) {
	s, err := startStore()
	if err != nil {
		return 0, err
	}
	if err := s.put("config", "main", uploadConfiguration()); err != nil {
		return 0, err
	}
	runs := newLedger()
	leaving, err := startReplica("i-replica-a", serviceName, s, runs)
	if err != nil {
		return 0, err
	}
	leaving.readsSlowly.Store(hasTrouble)
	f, err := startFleet(program, s.address, gatewayCount, bookkeeping)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	rec.add("%d gateways are ready, and replica %s; replicas read slowly: %t", gatewayCount, leaving.id, hasTrouble)
	var uploads []*sent
	var mu sync.Mutex
	ctx, stop := context.WithTimeout(context.Background(), uploadTime)
	defer stop()
	var clients sync.WaitGroup
	for _, g := range f.gateways {
		for range uploadsPerGateway {
			clients.Go(func() {
				for ctx.Err() == nil {
					upload := sendUpload(g)
					mu.Lock()
					uploads = append(uploads, upload)
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(succeededAt)
	next, err := startReplica("i-replica-b", serviceName, s, runs)
	if err != nil {
		return 0, err
	}
	next.readsSlowly.Store(hasTrouble)
	rec.add("the store has acknowledged replica %s, which takes the place of %s", next.id, leaving.id)
	time.Sleep(leavesAt - succeededAt)
	if err := leaving.writeEntry(s, "draining", 2); err != nil {
		return 0, err
	}
	leftAt := time.Now()
	leaving.isLeaving.Store(true)
	rec.add("the store has acknowledged that replica %s is draining; it goes on to serve until the end", leaving.id)
	clients.Wait()
	return judgeUploads(uploads, runs, leaving, leftAt, rec)
}

// judgeUploads records the uploads, and returns how many reached the replica that leaves too late.
func judgeUploads(
	uploads []*sent, runs *ledger, leaving *replica, leftAt time.Time, rec *record,
) (broken int, err error) {
	succeeded := 0
	for _, upload := range uploads {
		if upload.status == http.StatusOK && upload.hasStamp {
			succeeded++
		}
		ran := runs.of(upload.id)
		if len(ran) == 0 {
			rec.add("request %s sent at %.3f: status %d, error %v, reached no replica", upload.id, rec.seconds(upload.at),
				upload.status, upload.err)
		}
		for _, run := range ran {
			late, verdict := run.at.Sub(leftAt), ""
			switch {
			case run.replica != leaving.id || late <= 0:
			case late <= drainTimeout:
				verdict = "; within the bound"
			default:
				broken++
				verdict = "; BROKEN"
			}
			rec.add("request %s sent at %.3f: status %d, error %v, reached %s at %.3f, %.3f s after %s was draining%s",
				upload.id, rec.seconds(upload.at), upload.status, upload.err, run.replica, rec.seconds(run.at),
				late.Seconds(), leaving.id, verdict)
		}
	}
	rec.add("sent %d, answered with success %d; reached %s more than %v after it was draining: %d", len(uploads),
		succeeded, leaving.id, drainTimeout, broken)
	if succeeded == 0 {
		return 0, errNotPlayed
	}
	return broken, nil
}

// uploadConfiguration returns a configuration with a route for bodies.
func uploadConfiguration() map[string]any {
	c := configuration(7, []tenant{{"desk", []string{keptKey}}})
	c["routes"] = []any{map[string]any{
		"name": "upload", "host": serviceHost, "path_prefix": uploadPath, "kind": "unsafe",
		"timeout_ms": uploadTimeout.Milliseconds(), "target_latency_ms": uploadTarget.Milliseconds(), "priority": 1,
		"service": serviceName, "max_attempts": 1, "allow_anonymous": false, "session_affinity": false,
		"resume_streams": false,
	}}
	return c
}

// sendUpload sends a body and waits for the answer.
func sendUpload(g *gateway) *sent {
	client := &http.Client{
		Timeout: uploadTimeout + time.Second,
	}
	defer client.CloseIdleConnections()
	return sendBody(client, g, uploadPath, keptKey, bytes.NewReader(make([]byte, uploadBytes)), uploadTimeout)
}

// readSlowly reads a body as a replica does whose machine or storage takes only so much.
func readSlowly(body io.Reader) error {
	for {
		_, err := io.CopyN(io.Discard, body, slowPiece)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(slowPause)
	}
}
