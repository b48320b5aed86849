package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/slipwick/slipwick"
)

// rejectFirst returns a handler that rejects each request when it gets it first, sends the rejection once more where
// the response to the next request of the connection is due, and runs all that comes later.
func rejectFirst(status int) func(s *rawServer, conn int, r *http.Request) string {
	var mu sync.Mutex
	rejected, repeated := make(map[string]bool), make(map[int]string)
	return func(s *rawServer, conn int, r *http.Request) string {
		id := r.Header.Get("Slipwick-Request")
		mu.Lock()
		earlier, isRejected := repeated[conn], rejected[id]
		delete(repeated, conn)
		rejected[id] = true
		if !isRejected {
			repeated[conn] = rawRejection(status, id)
		}
		mu.Unlock()
		if !isRejected {
			return earlier + rawRejection(status, id)
		}
		return earlier + s.run(r)
	}
}

// TestRepeatedRejectionRunsNoRequestTwice guards against a rejection that a server sends twice and that counts as the
// response to the next send of its request: a request that must not be repeated then runs at two servers, or runs and
// is refused. Permits let a rejected request go to the same server again.
func TestRepeatedRejectionRunsNoRequestTwice(t *testing.T) {
	for _, mode := range []string{"without permits", "permits", "permits without ID"} {
		for _, status := range []int{
			http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
		} {
			t.Run(fmt.Sprint(mode, " ", status), func(t *testing.T) {
				first, second := newRawServer(t, "b1", rejectFirst(status)), newRawServer(t, "b2", rejectFirst(status))
				f := newFixture(t)
				f.setRawServers(first, second)
				source := newPermits(1)
				source.name = func(*slipwick.PermitRequest) string { return "b1" }
				switch mode {
				case "permits":
					f.gateway.Permits = source
				case "permits without ID":
					source.pressure.Store(true)
					f.gateway.Permits = &zeroPermits{
						permits: source,
					}
				}
				for i := range 20 {
					id := fmt.Sprint("r", i)
					r := f.request(t, "/single/x", "question")
					r.Header.Set("Slipwick-Request", id)
					got := send(t, r)
					runs := runsOf(id, first, second)
					if runs > 1 || runs > 0 && impliesNotRun(got.status) {
						t.Errorf("got %d runs of %s and the status %d, want one run, or a refusal and none", runs, id, got.status)
					}
					if got.status == http.StatusOK && got.body != rawAnswer(id) {
						t.Errorf("got %q as the response to %s", got.body, id)
					}
				}
			})
		}
	}
}
