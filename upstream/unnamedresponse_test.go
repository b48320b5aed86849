package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// unnamedText returns a response that names no request, as a rejection would be.
func unnamedText(status int) string {
	return rejectionText("", status)
}

// once returns a request that must not run twice.
func once(id string) *Request {
	r := requestWithID(id)
	r.RunsOnce = true
	return r
}

// insertBefore returns a handler that responds to all requests; with the n-th one of each connection it sends a text
// and waits before it responds.
func insertBefore(n int, text string, wait time.Duration) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, requests *bufio.Reader) {
		for i := 1; ; i++ {
			id, err := readRequest(requests)
			if err != nil {
				return
			}
			if i == n {
				if _, err := io.WriteString(conn, text); err != nil {
					return
				}
				time.Sleep(wait)
			}
			if _, err := io.WriteString(conn, responseText(id, "from "+id)); err != nil {
				return
			}
		}
	}
}

// TestUnnamedResponseDoesNotAnswerTheNextRequest guards against a response without an ID that a server sends after a
// complete one, and that counts as the response to the next request of the connection: a rejection, after which an
// unsafe request is sent again though it runs, or a failure, a redirection or a success of nobody.
func TestUnnamedResponseDoesNotAnswerTheNextRequest(t *testing.T) {
	for _, status := range []int{200, 302, 307, 400, 404, 408, 421, 429, 500, 503} {
		for _, isTunnelled := range []bool{false, true} {
			for _, runsOnce := range []bool{false, true} {
				server := serve(t, insertBefore(2, unnamedText(status), 20*time.Millisecond))
				client := &Client{}
				defer client.Close()
				if isTunnelled {
					client.Tunnels, client.path.isLost = &otherRouters{
						addresses: map[string]string{
							"key": server.address,
						},
					}, true
					client.ProbeTargets = func(int) []slipwick.Backend { return nil }
				}
				mustExchange(t, client, server.address, once("1"), "from 1")
				r := requestWithID("2")
				r.RunsOnce = runsOnce
				mustExchange(t, client, server.address, r, "from 2")
				mustExchange(t, client, server.address, once("3"), "from 3")
				if got := client.StrayResponses.Load(); got != 1 {
					t.Errorf("status %d: got %d stray responses, want 1", status, got)
				}
				if got := len(server.connections); got != 1 {
					t.Errorf("status %d: got %d connections, want 1", status, got)
				}
			}
		}
	}
}

// TestLateResponseAfterAnUnnamedOne guards against a request that fails because a server which names requests in such
// responses sends one that names none, and takes longer for the right one than responses may be in doubt.
func TestLateResponseAfterAnUnnamedOne(t *testing.T) {
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		_, _ = io.WriteString(conn, rejectionText(id, http.StatusServiceUnavailable))
		insertBefore(1, unnamedText(http.StatusServiceUnavailable), maxDoubtTime+200*time.Millisecond)(conn, requests)
	})
	client := &Client{}
	defer client.Close()
	mustExchange(t, client, server.address, once("1"), "")
	mustExchange(t, client, server.address, once("2"), "from 2")
}

// rejectUnnamed rejects all but the first request of each connection, and names none in the rejections.
func rejectUnnamed(conn net.Conn, requests *bufio.Reader) {
	for i := 0; ; i++ {
		id, err := readRequest(requests)
		if err != nil {
			return
		}
		text := unnamedText(http.StatusServiceUnavailable)
		if i == 0 && id == "first" {
			text = responseText(id, "from first")
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// TestUnnamedRejectionsAreProvenOnNewConnections guards against servers whose rejections name no request, and where
// unsafe requests wait long for a response that doesn't come, count as rejected though they may have run, or fail
// one after the other. Requests that may be repeated keep to the connections that are open.
func TestUnnamedRejectionsAreProvenOnNewConnections(t *testing.T) {
	server := serve(t, rejectUnnamed)
	client := &Client{}
	defer client.Close()
	mustExchange(t, client, server.address, once("first"), "from first")
	started := time.Now()
	_, err := exchange(t, client, server.address, once("2"))
	if status, ok := UnnamedStatus(err); !ok || status != http.StatusServiceUnavailable {
		t.Fatalf("got the error %v, want one of an unnamed response", err)
	}
	if got, want := errorOutcome(t, err), slipwick.OutcomeUnknown; got != want {
		t.Errorf("got the outcome %s, want %s", got, want)
	}
	if took := time.Since(started); took < maxDoubtTime || took > 5*maxDoubtTime {
		t.Errorf("got the error after %v, want it after %v", took, maxDoubtTime)
	}
	for _, id := range []string{"3", "4"} {
		response, err := client.Do(t.Context(), "key", server.address, once(id))
		if err != nil || response.Status != http.StatusServiceUnavailable {
			t.Fatalf("got the error %v, want the rejection on a new connection", err)
		}
		if _, err := io.ReadAll(response); err != nil {
			t.Fatal(err)
		}
		response.Close()
	}
	if got := client.OpenedByCause[DialNeedsUnused].Load(); got != 1 {
		t.Errorf("got %d connections in place of idle ones, want 1", got)
	}
	opened := client.OpenedConnections.Load()
	started = time.Now()
	if _, err := exchange(t, client, server.address, requestWithID("5")); err == nil {
		t.Error("got a response to a request that may be repeated, want an error at once")
	}
	if took := time.Since(started); took >= maxDoubtTime {
		t.Errorf("got the error after %v, want it at once", took)
	}
	if got := client.OpenedConnections.Load(); got != opened {
		t.Errorf("got %d connections opened for a request that may be repeated, want none", got-opened)
	}
}

// TestRequestsWithoutIDUseUnusedConnections guards against responses to other requests that are taken for the one to
// a request without an ID.
func TestRequestsWithoutIDUseUnusedConnections(t *testing.T) {
	server := serve(t, insertBefore(2, responseText("1", "from 1"), 0))
	client := &Client{}
	defer client.Close()
	mustExchange(t, client, server.address, requestWithID("1"), "from 1")
	mustExchange(t, client, server.address, request(""), "from ")
	if got := client.OpenedByCause[DialNeedsUnused].Load(); got != 1 {
		t.Errorf("got %d connections in place of idle ones, want 1", got)
	}
	named := serve(t, script(responseText("1", "of another")))
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if response, err := client.Do(ctx, "other", named.address, request("")); err == nil {
		response.Close()
		t.Error("got a response that names another request, want an error")
	}
}

// TestSoundServersGetNoMoreConnections guards against connections that are opened though all responses name their
// requests, rejections and failures among them.
func TestSoundServersGetNoMoreConnections(t *testing.T) {
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		for i := 0; ; i++ {
			id, err := readRequest(requests)
			if err != nil {
				return
			}
			text := rejectionText(id, []int{200, 503, 429, 500}[i%4])
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	})
	client := &Client{}
	defer client.Close()
	for i := range 100 {
		r := requestWithID(itoa(i))
		r.RunsOnce = i%2 == 0
		mustExchange(t, client, server.address, r, "")
	}
	if got := client.OpenedConnections.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

// TestNamingIsForgottenWithTheServer guards against memory for servers that are not listed any more.
func TestNamingIsForgottenWithTheServer(t *testing.T) {
	server := serve(t, respondToAll)
	client := &Client{}
	defer client.Close()
	mustExchange(t, client, server.address, requestWithID("1"), "from 1")
	if !client.names("key", http.StatusOK) {
		t.Error("got a server that names no requests, want one that does")
	}
	client.Retain(func(string) bool { return false })
	if got := len(client.namings); got != 0 {
		t.Errorf("got %d servers remembered, want none", got)
	}
}
