package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

func itoa(n int) string {
	return strconv.Itoa(n)
}

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

// ask makes one exchange and reads the whole answer.
func ask(t *testing.T, client *Client, address string, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a, err := client.Do(ctx, "key", address, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func mustAsk(t *testing.T, client *Client, address string, r *Request, want string) {
	t.Helper()
	got, err := ask(t, client, address, r)
	if err != nil {
		t.Fatalf("request %s: got error %v", r.ID, err)
	}
	if got != want {
		t.Errorf("request %s: got %q, want %q", r.ID, got, want)
	}
}

func outcome(t *testing.T, err error) slipwick.Outcome {
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
		_, _ = conn.Write([]byte(answer("1", "")))
	})
	r := request("1")
	r.Header.Set("X-A", "b")
	mustAsk(t, &Client{}, server.address, r, "")
	want := "POST /a//b?c=%20d HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8\r\nX-A: b\r\n\r\nquestion"
	if got := <-got; got != want {
		t.Errorf("got request %q, want %q", got, want)
	}
}

func TestClientKeepsConnections(t *testing.T) {
	server := serve(t, script(answer("1", "one"), answer("2", "two")))
	client := &Client{}
	defer client.Close()
	mustAsk(t, client, server.address, request("1"), "one")
	mustAsk(t, client, server.address, request("2"), "two")
	if got := client.Opened.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

// TestClientSkipsAnswersToEarlierRequests has the backend server answer the
// first request twice; the second answer arrives where the next is due.
func TestClientSkipsAnswersToEarlierRequests(t *testing.T) {
	server := serve(t, script(answer("1", "one"), answer("1", "one")+answer("2", "two")))
	client := &Client{}
	defer client.Close()
	mustAsk(t, client, server.address, request("1"), "one")
	mustAsk(t, client, server.address, request("2"), "two")
	if got := client.Strays.Load(); got != 1 {
		t.Errorf("got %d stray answers, want 1", got)
	}
}

// TestClientLeavesConnectionsWithStrayBytes has the second answer arrive before
// the next request is sent.
func TestClientLeavesConnectionsWithStrayBytes(t *testing.T) {
	server := serve(t, script(answer("1", "one")+answer("1", "one"), answer("3", "wrong")))
	client := &Client{}
	defer client.Close()
	mustAsk(t, client, server.address, request("1"), "one")
	second := serve(t, script(answer("2", "two")))
	mustAsk(t, client, second.address, request("2"), "two")
	if got := client.Opened.Load(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

// TestClientNoticesClosedConnections closes the kept connection before the next
// request: a request that may run at most once must not be sent on it.
func TestClientNoticesClosedConnections(t *testing.T) {
	closed := make(chan struct{})
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = conn.Write([]byte(answer("1", "one")))
		_ = conn.Close()
		closed <- struct{}{}
	})
	client := &Client{}
	defer client.Close()
	for range 3 {
		go func() { <-closed }()
		mustAsk(t, client, server.address, request("1"), "one")
		time.Sleep(20 * time.Millisecond)
	}
}

func TestClientTellsThatNothingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = ask(t, &Client{}, address, request("1"))
	if got, want := outcome(t, err), slipwick.OutcomeNotRun; got != want {
		t.Errorf("got outcome %s, want %s", got, want)
	}
}

func TestClientTellsThatTheRequestMayHaveRun(t *testing.T) {
	for name, text := range map[string]string{
		"no answer":     "",
		"no HTTP":       "garbage\r\n\r\n",
		"broken head":   "HTTP/1.1 200 OK\r\nContent-Le",
		"another's":     "HTTP/1.1 200 OK\r\nId: 9\r\nConnection: close\r\n\r\nbody",
		"short body":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort",
		"broken chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
	} {
		server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
			if _, err := http.ReadRequest(requests); err == nil {
				_, _ = conn.Write([]byte(text))
			}
		})
		_, err := ask(t, &Client{}, server.address, request("1"))
		if err == nil {
			t.Errorf("%s: got no error", name)
			continue
		}
		if got, want := outcome(t, err), slipwick.OutcomeUnknown; got != want {
			t.Errorf("%s: got outcome %s, want %s", name, got, want)
		}
	}
}

// TestClientTakesEarlyAnswers has a backend server answer without reading a
// long body; the connection must not be used again.
func TestClientTakesEarlyAnswers(t *testing.T) {
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = conn.Write([]byte(answer("1", "early")))
		time.Sleep(200 * time.Millisecond)
	})
	client := &Client{}
	defer client.Close()
	r := request("1")
	r.Body = []byte(strings.Repeat("x", 8<<20))
	mustAsk(t, client, server.address, r, "early")
	client.mu.Lock()
	defer client.mu.Unlock()
	if got := len(client.resting["key"]); got != 0 {
		t.Errorf("got %d kept connections, want 0", got)
	}
}

func TestClientUsesNoConnectionThatRestedTooLong(t *testing.T) {
	server := serve(t, script(answer("1", "one"), answer("2", "two")))
	client := &Client{}
	defer client.Close()
	mustAsk(t, client, server.address, request("1"), "one")
	time.Sleep(30 * time.Millisecond)
	r := request("1")
	r.MaxRest = 10 * time.Millisecond
	mustAsk(t, client, server.address, r, "one")
	if got := client.Opened.Load(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

func TestClientClosesConnectionsOfBackendsThatAreGone(t *testing.T) {
	server := serve(t, script(answer("1", "one"), answer("2", "two")))
	client := &Client{}
	defer client.Close()
	mustAsk(t, client, server.address, request("1"), "one")
	client.Retain(func(key string) bool { return key == "key" })
	mustAsk(t, client, server.address, request("2"), "two")
	if got := client.Opened.Load(); got != 1 {
		t.Errorf("known backend server: got %d connections, want 1", got)
	}
	client.Retain(func(string) bool { return false })
	mustAsk(t, client, server.address, request("1"), "one")
	if got := client.Opened.Load(); got != 2 {
		t.Errorf("backend server that was gone: got %d connections, want a new one", got)
	}
}

func TestClientKeepsNoMoreThanItMay(t *testing.T) {
	hold := make(chan struct{})
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err == nil {
			<-hold
			_, _ = conn.Write([]byte(answer("1", "one")))
		}
		_, _ = requests.ReadByte()
	})
	client := &Client{}
	defer client.Close()
	client.SetMaxResting(2)
	var asks sync.WaitGroup
	for range 5 {
		asks.Go(func() { mustAsk(t, client, server.address, request("1"), "one") })
	}
	for range 5 {
		<-server.connections
	}
	close(hold)
	asks.Wait()
	client.mu.Lock()
	defer client.mu.Unlock()
	if got := len(client.resting["key"]); got != 2 {
		t.Errorf("got %d kept connections, want 2", got)
	}
}

func TestClientHonoursKeepAlive(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5, max=100": 5*time.Second - restMargin,
		"timeout=100":        defaultRest,
		"":                   defaultRest,
		"max=3":              defaultRest,
	} {
		header := http.Header{}
		header.Set("Keep-Alive", text)
		if got := restTime(header); got != want {
			t.Errorf("Keep-Alive %q: got %v, want %v", text, got, want)
		}
	}
}

// TestClientEndsExchangesWithTheirContext also has to close the connection, so
// that the backend server stops.
func TestClientEndsExchangesWithTheirContext(t *testing.T) {
	gone := make(chan struct{})
	server := serve(t, func(_ net.Conn, requests *bufio.Reader) {
		_, _ = http.ReadRequest(requests)
		_, _ = io.Copy(io.Discard, requests)
		close(gone)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := (&Client{}).Do(ctx, "key", server.address, request("1"))
	if !slipwick.IsKind(err, slipwick.KindCancelled) {
		t.Errorf("got error %v, want kind %s", err, slipwick.KindCancelled)
	}
	select {
	case <-gone:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open")
	}
}

// TestDialTimeoutFollowsWhatConnectionsTook has a backend server that is known wait no
// longer than its connections allow to expect, and one that is far for longer.
func TestDialTimeoutFollowsWhatConnectionsTook(t *testing.T) {
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
			want: leastDialTimeout,
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
		client.took = nil
		for _, took := range test.took {
			client.reached("key", took)
		}
		if got := client.dialTimeout("key"); got != test.want {
			t.Errorf("after %v: got a time-out of %v, want %v", test.took, got, test.want)
		}
	}
	client.reached("gone", time.Millisecond)
	client.Retain(func(key string) bool { return key != "gone" })
	if _, isKept := client.took["gone"]; isKept {
		t.Error("got what is known of a server that is gone, want it forgotten")
	}
}
