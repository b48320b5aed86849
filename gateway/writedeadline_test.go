package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/routing"
	"github.com/slipwick/slipwick/upstream"
)

// TestLateResponsesAreWritten guards against a router that gets no processor time for longer than
// writeGrace after the deadline of a request, and then closes the connection without any response: each
// kind of response is begun when its write deadline is long over.
func TestLateResponsesAreWritten(t *testing.T) {
	t.Parallel()
	kept := func() *bufferedResponse {
		return &bufferedResponse{
			status: http.StatusInternalServerError,
			body:   []byte("text"),
		}
	}
	head := &upstream.Response{
		Status: http.StatusOK,
		Length: int64(len("text")),
	}
	for name, respond := range map[string]func(*call, *balance.Lease){
		"refusal": func(c *call, _ *balance.Lease) { c.refuse(refuseTimeout()) },
		"failure": func(c *call, _ *balance.Lease) {
			c.failedResponse = kept()
			c.finishUndelivered("timeout", 0)
		},
		"buffered": func(c *call, lease *balance.Lease) { _ = c.writeBuffered(lease, kept()) },
		"stream": func(c *call, _ *balance.Lease) {
			_ = c.writeHead(head)
			_, _ = io.WriteString(c.writer, "text")
		},
		"large": func(c *call, lease *balance.Lease) {
			large := &largeResponse{
				call:     c,
				lease:    lease,
				response: head,
				source:   strings.NewReader("text"),
			}
			_, _, _ = large.forward(&bufferedResponse{
				status: http.StatusOK,
				held:   c.held,
			})
		},
	} {
		f := newFixture(t, newBackend(t, "b1", rejectNotRun))
		lease, err := f.gateway.Balancer.Acquire(&balance.Request{
			Pool: "p",
		})
		if err != nil {
			t.Fatal(err)
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(-time.Second))
			respond(&call{
				gateway:  f.gateway,
				table:    f.gateway.Table(),
				writer:   w,
				request:  r,
				ctx:      r.Context(),
				route:    &routing.Route{},
				held:     f.gateway.Memory.NewReservation(),
				deadline: clock.Now().Add(-2 * writeGrace),
			}, lease)
		}))
		response, err := http.Get(server.URL)
		if err != nil {
			t.Errorf("%s: got %v, want a response", name, err)
			server.Close()
			continue
		}
		if body, err := io.ReadAll(response.Body); err != nil || len(body) == 0 {
			t.Errorf("%s: got %d, %q and %v, want a complete response", name, response.StatusCode, body, err)
		}
		_ = response.Body.Close()
		server.Close()
	}
}
