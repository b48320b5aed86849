package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

func request(id string) *Request {
	return &Request{
		Method:   http.MethodPost,
		Target:   "/a//b?c=%20d",
		Host:     "h.example",
		Header:   http.Header{},
		Body:     []byte("question"),
		ID:       id,
		IDHeader: "Id",
	}
}

// exchange makes one exchange and returns the response body.
func exchange(t *testing.T, client *Client, address string, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := client.Do(ctx, "key", address, r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func mustExchange(t *testing.T, client *Client, address string, r *Request, want string) {
	t.Helper()
	got, err := exchange(t, client, address, r)
	if err != nil {
		t.Fatalf("request %s: got error %v", r.ID, err)
	}
	if got != want {
		t.Errorf("request %s: got %q, want %q", r.ID, got, want)
	}
}

func errorOutcome(t *testing.T, err error) slipwick.Outcome {
	t.Helper()
	typed, ok := slipwick.AsError(err)
	if !ok {
		t.Fatalf("got error %v, want an *slipwick.Error", err)
	}
	return typed.Outcome
}

func TestClientSendsTargetHeaderAndBodyUnchanged(t *testing.T) {
	got := make(chan string, 1)
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		buffer := make([]byte, 4<<10)
		n, _ := requests.Read(buffer)
		got <- string(buffer[:n])
		_, _ = conn.Write([]byte(responseText("1", "")))
	})
	r := request("1")
	r.Header.Set("X-A", "b")
	mustExchange(t, &Client{}, server.address, r, "")
	want := "POST /a//b?c=%20d HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8\r\nX-A: b\r\n\r\nquestion"
	if got := <-got; got != want {
		t.Errorf("got request %q, want %q", got, want)
	}
}

func TestClientReusesConnections(t *testing.T) {
	server := serve(t, script(responseText("1", "one"), responseText("2", "two")))
	client := &Client{}
	defer client.Close()
	mustExchange(t, client, server.address, request("1"), "one")
	mustExchange(t, client, server.address, request("2"), "two")
	if got := client.OpenedConnections.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

// TestClientSkipsResponsesToEarlierRequests has the backend server respond to the first request
// twice; the second response arrives in place of the one to the next request.
func TestClientSkipsResponsesToEarlierRequests(t *testing.T) {
	server := serve(t, script(responseText("1", "one"), responseText("1", "one")+responseText("2", "two")))
	client := &Client{}
	defer client.Close()
	mustExchange(t, client, server.address, request("1"), "one")
	mustExchange(t, client, server.address, request("2"), "two")
	if got := client.StrayResponses.Load(); got != 1 {
		t.Errorf("got %d stray responses, want 1", got)
	}
}

// TestInformationalResponsesAreNoStrayOnes guards against exchanges that fail because a backend server sends
// informational responses, alone or besides responses to an earlier request. Both kinds stay bounded.
func TestInformationalResponsesAreNoStrayOnes(t *testing.T) {
	hint, stray, response := "HTTP/1.1 103 Early Hints\r\n\r\n", responseText("1", "one"), responseText("2", "two")
	for _, test := range []struct {
		hints, strays int
		isServed      bool
	}{
		{maxInformational, 0, true},
		{maxInformational, maxStrayResponses, true},
		{maxInformational + 1, 0, false},
		{0, maxStrayResponses + 1, false},
	} {
		server := serve(t, script(stray, strings.Repeat(hint, test.hints)+strings.Repeat(stray, test.strays)+response))
		client := &Client{}
		mustExchange(t, client, server.address, request("1"), "one")
		got, err := exchange(t, client, server.address, request("2"))
		if test.isServed != (err == nil) || err == nil && got != "two" {
			t.Errorf("%+v: got %q and error %v", test, got, err)
		}
		client.Close()
	}
}

// TestClientDiscardsConnectionsWithUnreadBytes has the duplicate response arrive before the next
// request is sent.
func TestClientDiscardsConnectionsWithUnreadBytes(t *testing.T) {
	server := serve(t, script(responseText("1", "one")+responseText("1", "one"), responseText("3", "wrong")))
	client := &Client{}
	defer client.Close()
	mustExchange(t, client, server.address, request("1"), "one")
	second := serve(t, script(responseText("2", "two")))
	mustExchange(t, client, second.address, request("2"), "two")
	if got := client.OpenedConnections.Load(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

// TestClientDetectsClosedIdleConnections has the server close the idle connection before the next
// request: a request that may run at most once must not be sent on it.
func TestClientDetectsClosedIdleConnections(t *testing.T) {
	closed := make(chan struct{})
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		id, err := readRequest(requests)
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(responseText(id, "one")))
		_ = conn.Close()
		closed <- struct{}{}
	})
	client := &Client{}
	defer client.Close()
	for i := range 3 {
		mustExchange(t, client, server.address, requestWithID(itoa(i)), "one")
		<-closed
		// The end of the connection may take a moment to arrive.
		time.Sleep(20 * time.Millisecond)
	}
}

func TestConnectionFailureMeansNotRun(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = exchange(t, &Client{}, address, request("1"))
	if got, want := errorOutcome(t, err), slipwick.OutcomeNotRun; got != want {
		t.Errorf("got outcome %s, want %s", got, want)
	}
}

func TestFailureAfterSendingMeansUnknownOutcome(t *testing.T) {
	for name, text := range map[string]string{
		"no response":   "",
		"not HTTP":      "garbage\r\n\r\n",
		"broken header": "HTTP/1.1 200 OK\r\nContent-Le",
		"other ID":      "HTTP/1.1 200 OK\r\nId: 9\r\nConnection: close\r\n\r\nbody",
		"short body":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort",
		"broken chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
	} {
		server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
			if _, err := http.ReadRequest(requests); err == nil {
				_, _ = conn.Write([]byte(text))
			}
		})
		_, err := exchange(t, &Client{}, server.address, request("1"))
		if err == nil {
			t.Errorf("%s: got no error", name)
			continue
		}
		if got, want := errorOutcome(t, err), slipwick.OutcomeUnknown; got != want {
			t.Errorf("%s: got outcome %s, want %s", name, got, want)
		}
	}
}

// TestClientAcceptsEarlyResponses has a backend server respond without reading a long body; the
// connection must not be used again.
func TestClientAcceptsEarlyResponses(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = conn.Write([]byte(responseText("1", "early")))
		<-release
	})
	client := &Client{}
	defer client.Close()
	r := request("1")
	r.Body = []byte(strings.Repeat("x", 8<<20))
	mustExchange(t, client, server.address, r, "early")
	client.mu.Lock()
	defer client.mu.Unlock()
	if got := len(client.idle["key"]); got != 0 {
		t.Errorf("got %d idle connections, want 0", got)
	}
}

func TestClientObservesMaxIdleTimeOfARequest(t *testing.T) {
	server := serve(t, respondToAll)
	client := &Client{}
	defer client.Close()
	mustExchange(t, client, server.address, requestWithID("1"), "from 1")
	time.Sleep(30 * time.Millisecond)
	r := requestWithID("2")
	r.MaxIdleTime = 10 * time.Millisecond
	mustExchange(t, client, server.address, r, "from 2")
	if got := client.OpenedConnections.Load(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

func TestRetainClosesConnectionsOfRemovedBackends(t *testing.T) {
	server := serve(t, respondToAll)
	client := &Client{}
	defer client.Close()
	mustExchange(t, client, server.address, requestWithID("1"), "from 1")
	client.Retain(func(key string) bool { return key == "key" })
	mustExchange(t, client, server.address, requestWithID("2"), "from 2")
	if got := client.OpenedConnections.Load(); got != 1 {
		t.Errorf("retained backend server: got %d connections, want 1", got)
	}
	client.Retain(func(string) bool { return false })
	mustExchange(t, client, server.address, requestWithID("3"), "from 3")
	if got := client.OpenedConnections.Load(); got != 2 {
		t.Errorf("removed backend server: got %d connections, want a new one", got)
	}
}

// TestExchangeThatOutlivesTheClientLeavesNoConnection guards against a connection that stays open, because
// its exchange ended after the client was closed.
func TestExchangeThatOutlivesTheClientLeavesNoConnection(t *testing.T) {
	closed := make(chan struct{})
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		script(responseText("1", "one"))(conn, requests)
		close(closed)
	})
	client := &Client{}
	response, err := client.Do(t.Context(), "key", server.address, request("1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(response); err != nil {
		t.Fatal(err)
	}
	client.Close()
	response.Close()
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("got the connection open 2 s after the exchange, want it closed")
	}
}

func TestClientLimitsIdleConnections(t *testing.T) {
	hold := make(chan struct{})
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err == nil {
			<-hold
			_, _ = conn.Write([]byte(responseText("1", "one")))
		}
		_, _ = requests.ReadByte()
	})
	client := &Client{}
	defer client.Close()
	client.SetMaxIdleConns(2)
	var exchanges sync.WaitGroup
	for range 5 {
		exchanges.Go(func() { mustExchange(t, client, server.address, request("1"), "one") })
	}
	for range 5 {
		<-server.connections
	}
	close(hold)
	exchanges.Wait()
	client.mu.Lock()
	defer client.mu.Unlock()
	if got := len(client.idle["key"]); got != 2 {
		t.Errorf("got %d idle connections, want 2", got)
	}
}

func TestClientObservesKeepAliveTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5, max=100": 5*time.Second - idleMargin,
		"timeout=100":        defaultMaxIdleTime,
		"":                   defaultMaxIdleTime,
		"max=3":              defaultMaxIdleTime,
	} {
		header := http.Header{}
		header.Set("Keep-Alive", text)
		if got := parseMaxIdleTime(header); got != want {
			t.Errorf("Keep-Alive %q: got %v, want %v", text, got, want)
		}
	}
}

// TestContextCancellationClosesTheConnection checks that a cancelled exchange closes its
// connection, so that the backend server stops working on the request.
func TestContextCancellationClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	server := serve(t, func(_ net.Conn, requests *bufio.Reader) {
		_, _ = http.ReadRequest(requests)
		cancel()
		_, _ = io.Copy(io.Discard, requests)
		close(closed)
	})
	_, err := (&Client{}).Do(ctx, "key", server.address, request("1"))
	if !slipwick.IsKind(err, slipwick.KindCancelled) {
		t.Errorf("got error %v, want kind %s", err, slipwick.KindCancelled)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open")
	}
}

// TestDialTimeoutFollowsRecordedDialTimes checks that the dial timeout is short for a backend
// server whose connections opened quickly, and longer for a distant one.
func TestDialTimeoutFollowsRecordedDialTimes(t *testing.T) {
	client := &Client{}
	for _, test := range []struct {
		took []time.Duration
		want time.Duration
	}{
		{
			want: defaultDialTimeout,
		},
		{
			took: []time.Duration{time.Millisecond, 2 * time.Millisecond},
			want: minDialTimeout,
		},
		{
			took: []time.Duration{30 * time.Millisecond, time.Millisecond},
			want: dialFactor * 15 * time.Millisecond,
		},
		{
			took: []time.Duration{30 * time.Millisecond},
			want: dialFactor * 30 * time.Millisecond,
		},
		{
			took: []time.Duration{200 * time.Millisecond},
			want: defaultDialTimeout,
		},
	} {
		client.dialTimes = nil
		for _, took := range test.took {
			client.recordDialTime("key", took)
		}
		if got := client.dialTimeout("key"); got != test.want {
			t.Errorf("after %v: got a timeout of %v, want %v", test.took, got, test.want)
		}
	}
	client.recordDialTime("gone", time.Millisecond)
	client.Retain(func(key string) bool { return key != "gone" })
	if _, isKept := client.dialTimes["gone"]; isKept {
		t.Error("got the dial time of a removed server, want it forgotten")
	}
}

// TestFailedDialsAreCounted guards against a router that can't connect to any backend server and whose
// metrics don't show how its dials fail.
func TestFailedDialsAreCounted(t *testing.T) {
	client := &Client{}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	if _, err := exchange(t, client, listener.Addr().String(), request("1")); err == nil {
		t.Fatal("got no error from a closed port, want one")
	}
	if got := client.FailedDials[DialRefused].Load(); got != 1 {
		t.Errorf("got %d refused dials, want 1", got)
	}
	client.DialTimeout = time.Nanosecond
	if _, err := exchange(t, client, listener.Addr().String(), request("2")); err == nil {
		t.Fatal("got no error from a dial without time, want one")
	}
	if got := client.FailedDials[DialTimedOut].Load(); got != 1 {
		t.Errorf("got %d dials timed out, want 1", got)
	}
}

// TestWithheldRequestIsNotSent guards against a request that is written after the caller of the client has found,
// during the wait for a connection, that it must not be sent; and against the loss of a connection that it didn't use.
func TestWithheldRequestIsNotSent(t *testing.T) {
	server := serve(t, script(responseText("a", "first"), responseText("c", "third")))
	client := &Client{}
	defer client.Close()
	mustExchange(t, client, server.address, request("a"), "first")
	withheld, cause := request("b"), errors.New("the router stops")
	withheld.BeforeWrite = func() error { return cause }
	_, err := exchange(t, client, server.address, withheld)
	if got := errorOutcome(t, err); got != slipwick.OutcomeNotRun || !errors.Is(err, cause) {
		t.Errorf("got outcome %q, error %v; want not-run because of %v", got, err, cause)
	}
	mustExchange(t, client, server.address, request("c"), "third")
	if got := client.OpenedConnections.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}
