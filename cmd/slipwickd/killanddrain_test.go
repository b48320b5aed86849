package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/engine"
	"github.com/slipwick/slipwick/standin"
)

// stream is one streamed chat of a caller and its result.
type stream struct {
	prompt   string
	router   int
	outcome  slipwick.Outcome
	complete bool
}

// TestKillAndDrain kills one of three routers and drains another during 200 streams that may not be
// repeated. No request may run twice or have a wrong outcome, and only streams through the killed
// router may break.
func TestKillAndDrain(t *testing.T) {
	const count, killAt, drainAt = 200, 100, 125
	const killed, drained = 0, 1
	profile := standin.EngineProfile{
		Tokens:        10,
		TokenInterval: 20 * time.Millisecond,
	}
	engines := []*standin.Engine{standin.NewEngine(profile), standin.NewEngine(profile), standin.NewEngine(profile)}
	platform, url := startPlatform(t, engines...)
	binary := buildBinary(t)
	var addresses []string
	var sendSignal []func(syscall.Signal)
	for i := range 3 {
		address, process := startBinary(t, binary, platform, fmt.Sprintf("r%d", i), url)
		addresses = append(addresses, address)
		sendSignal = append(sendSignal, func(signal syscall.Signal) {
			if err := process.Process.Signal(signal); err != nil {
				t.Error(err)
			}
		})
	}
	// Waits until the takeover window of the routers, which have just become owners, has ended.
	time.Sleep(4 * time.Second)
	streams := make([]stream, count)
	var callers sync.WaitGroup
	for i := range streams {
		s := &streams[i]
		s.prompt = fmt.Sprintf("question %d", i)
		s.router = i % len(addresses)
		// A load balancer sends no new requests to a router that is not ready.
		if i > drainAt && s.router == drained {
			s.router = 2
		}
		callers.Go(func() { s.run(t.Context(), addresses[s.router]) })
		time.Sleep(8 * time.Millisecond)
		switch i {
		case killAt:
			sendSignal[killed](syscall.SIGKILL)
		case drainAt:
			sendSignal[drained](syscall.SIGTERM)
		}
	}
	callers.Wait()
	sendSignal[2](syscall.SIGTERM)
	checkStreams(t, streams, engines, killed)
}

// checkStreams compares the results of the callers with the runs that the engines recorded.
func checkStreams(t *testing.T, streams []stream, engines []*standin.Engine, killed int) {
	t.Helper()
	completed := make(map[int]int)
	for _, s := range streams {
		runs := 0
		for _, e := range engines {
			runs += e.Runs()[standin.Digest(fmt.Sprintf("%q", s.prompt))]
		}
		if runs > 1 {
			t.Errorf("%s ran %d times, want at most once", s.prompt, runs)
		}
		if s.outcome == slipwick.OutcomeNotRun && runs > 0 {
			t.Errorf("%s: got outcome not-run, but it ran", s.prompt)
		}
		if s.outcome == slipwick.OutcomeCompleted && !s.complete {
			t.Errorf("%s: got outcome completed with an incomplete response", s.prompt)
		}
		if s.outcome == slipwick.OutcomeCompleted {
			completed[s.router]++
		}
		broken := s.outcome != slipwick.OutcomeCompleted && s.outcome != slipwick.OutcomeNotRun
		if broken && s.router != killed {
			t.Errorf("%s through router %d: got outcome %q, want completed or not-run", s.prompt, s.router, s.outcome)
		}
	}
	t.Logf("completed by router: %v", completed)
	if completed[0] == 0 || completed[1] == 0 || completed[2] == 0 {
		t.Errorf("got %v completed by router, want some through each", completed)
	}
}

// run sends the request once and records the result. If the connection is refused, the request was
// not run.
func (s *stream) run(ctx context.Context, address string) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":%q}]}`, s.prompt)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engine.CompletionsPath,
		io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("Slipwick-Repeatable", "false")
	// Each request has its own connection; a kept one could be closing when the request is sent.
	request.Close = true
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Do(request)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			s.outcome = slipwick.OutcomeNotRun
		}
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	s.complete = err == nil && strings.Contains(string(content), "data: "+engine.EndMarker)
	s.outcome = slipwick.Outcome(response.Trailer.Get(slipwick.OutcomeHeader))
	if response.StatusCode != http.StatusOK {
		s.outcome = slipwick.Outcome(response.Header.Get(slipwick.OutcomeHeader))
	}
}
