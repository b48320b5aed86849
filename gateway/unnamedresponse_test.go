package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
)

// sendMoreAfterEachFifth returns a handler that runs each request, and that sends a further response, which names no
// request, where the one to each fifth request of the server is due.
func sendMoreAfterEachFifth(further string) func(s *rawServer, conn int, r *http.Request) string {
	var requests atomic.Int64
	return func(s *rawServer, _ int, r *http.Request) string {
		if requests.Add(1)%5 == 0 {
			return further + s.run(r)
		}
		return s.run(r)
	}
}

// TestFurtherResponsesRunNoRequestTwice guards against responses that name no request, that a server sends after a
// complete response, and that count as the response to the next request: an unsafe one then runs at two servers, or
// the caller gets what belongs to nobody. Each request is served.
func TestFurtherResponsesRunNoRequestTwice(t *testing.T) {
	stamped := rawResponse(http.StatusOK, "of nobody", "Slipwick-Stamp", "b")
	for name, further := range map[string]string{
		"rejection":         rawRejection(http.StatusServiceUnavailable, ""),
		"rejection, 408":    rawRejection(http.StatusRequestTimeout, ""),
		"rejection, 421":    rawRejection(http.StatusMisdirectedRequest, ""),
		"rejection, 429":    rawRejection(http.StatusTooManyRequests, ""),
		"failure":           rawResponse(http.StatusInternalServerError, "of nobody"),
		"not found":         rawResponse(http.StatusNotFound, "of nobody"),
		"redirection":       rawResponse(http.StatusTemporaryRedirect, "", "Location", "/x"),
		"success":           rawResponse(http.StatusOK, "of nobody"),
		"stamped success":   stamped,
		"informational":     "HTTP/1.1 103 Early Hints\r\n\r\n",
		"two of them":       stamped + rawRejection(http.StatusServiceUnavailable, ""),
		"another's success": rawResponse(http.StatusOK, "of nobody", "Slipwick-Request", "x", "Slipwick-Stamp", "b"),
	} {
		for _, path := range []string{"/single/x", "/repeatable/x", "/stream/x"} {
			for _, usesPermits := range []bool{false, true} {
				t.Run(fmt.Sprint(name, path, usesPermits), func(t *testing.T) {
					first := newRawServer(t, "b1", sendMoreAfterEachFifth(further))
					second := newRawServer(t, "b2", sendMoreAfterEachFifth(further))
					f := newFixture(t)
					f.setRawServers(first, second)
					if usesPermits {
						f.gateway.Permits = newPermits(1)
					}
					for i := range 40 {
						id := fmt.Sprint("r", i)
						r := f.request(t, path, "question")
						r.Header.Set("Slipwick-Request", id)
						got := send(t, r)
						if runs := runsOf(id, first, second); runs != 1 {
							t.Errorf("got %d runs of %s, want 1", runs, id)
						}
						if want := rawAnswer(id); got.status != http.StatusOK || got.body != want {
							t.Errorf("got %d %q as the response to %s, want %q", got.status, got.body, id, want)
						}
					}
				})
			}
		}
	}
}
