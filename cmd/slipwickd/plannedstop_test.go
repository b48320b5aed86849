package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// slowBody is a request body that arrives in equal parts within a time.
type slowBody struct {
	parts int
	pause time.Duration
}

func (b *slowBody) Read(into []byte) (int, error) {
	if b.parts == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	b.parts--
	return copy(into, "part of a body"), nil
}

// TestBodiesThatEndLateInTheGracePeriod guards against requests that a stopping gateway passes on when their bodies
// have arrived, and cuts without a response at the end of its grace period, though they could have run elsewhere.
func TestBodiesThatEndLateInTheGracePeriod(t *testing.T) {
	const (
		grace, work = 6 * time.Second, 1500 * time.Millisecond
		callers     = 20
		parts       = 10
		bodyTime    = 3800 * time.Millisecond
	)
	g := startGatewayWith(t, grace, work)
	stopped := time.Now()
	g.signal(t, syscall.SIGTERM)
	var refused, lost atomic.Int64
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			time.Sleep(800*time.Millisecond + time.Duration(caller)*30*time.Millisecond)
			switch status := g.post(fmt.Sprintf("q-%d", caller), &slowBody{
				parts: parts,
				pause: bodyTime / parts,
			}); status {
			case http.StatusServiceUnavailable:
				refused.Add(1)
			default:
				t.Logf("got status %d after %v", status, time.Since(stopped))
				lost.Add(1)
			}
		})
	}
	group.Wait()
	if err := g.process.Wait(); err != nil {
		t.Errorf("got %v after SIGTERM, want exit code 0", err)
	}
	if took := time.Since(stopped); took > grace {
		t.Errorf("the gateway ended %v after SIGTERM, want less than %v", took, grace)
	}
	if lost.Load() > 0 || refused.Load() != callers || g.runs.Load() > 0 {
		t.Errorf("got %d requests refused, %d without a refusal and %d run; want %d, 0 and 0",
			refused.Load(), lost.Load(), g.runs.Load(), callers)
	}
}

// post sends a request with the body on a connection of its own, and returns the status of the response, or 0 if there
// is none.
func (g *gatewayBinary) post(id string, body io.Reader) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.callers+"/v1/x", body)
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	request.Header.Set("Slipwick-Request", id)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
