package upstream

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// TestPassedOverConnectionStaysOpen guards against a connection that is closed because it was idle for
// too long for one request that must not be repeated, though others could use it: the router then opens
// a connection for nearly each request of a server that it seldom uses.
func TestPassedOverConnectionStaysOpen(t *testing.T) {
	server := serve(t, respondToAll)
	client := &Client{}
	defer client.Close()
	mustExchange(t, client, server.address, requestWithID("1"), "from 1")
	time.Sleep(30 * time.Millisecond)
	once := requestWithID("2")
	once.MaxIdleTime = 10 * time.Millisecond
	mustExchange(t, client, server.address, once, "from 2")
	mustExchange(t, client, server.address, requestWithID("3"), "from 3")
	if got := client.OpenedConnections.Load(); got != 2 {
		t.Errorf("got %d connections opened, want 2", got)
	}
	if got := client.OpenConns("key"); got != 2 {
		t.Errorf("got %d connections open, want 2", got)
	}
	if got := client.OpenedByCause[DialIdleTooLong].Load(); got != 1 {
		t.Errorf("got %d connections opened for idle time, want 1", got)
	}
}

// setDialTime replaces the recorded dial time of a key.
func (c *Client) setDialTime(key string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialTimes[key] = took
}

// TestForgottenConnectionBoundsIdleTime guards against requests that are lost, one after the other, on
// connections that a server has forgotten without closing them, as it states a longer time than it
// keeps them.
func TestForgottenConnectionBoundsIdleTime(t *testing.T) {
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		id, err := readRequest(requests)
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(responseText(id, "one")))
		// The second request of the connection finds it forgotten.
		_, _ = http.ReadRequest(requests)
	})
	client := &Client{}
	defer client.Close()
	mustExchange(t, client, server.address, requestWithID("1"), "one")
	if got := client.SafeIdleTime(); got != 0 {
		t.Errorf("got bound %v before a connection was forgotten, want none", got)
	}
	// The server counts as distant, so that a busy machine may take long to close the connection.
	client.setDialTime("key", time.Second)
	const idle = minForgottenIdle + 20*time.Millisecond
	time.Sleep(idle)
	if _, err := exchange(t, client, server.address, requestWithID("2")); err == nil {
		t.Fatal("got no error on the forgotten connection")
	}
	bound := client.SafeIdleTime()
	if bound < idle/2 || bound > 10*idle {
		t.Errorf("got bound %v, want about half of the idle time of %v", bound, idle)
	}
	mustExchange(t, client, server.address, requestWithID("3"), "one")
	time.Sleep(2 * bound)
	once := requestWithID("4")
	once.MaxIdleTime = client.SafeIdleTime()
	mustExchange(t, client, server.address, once, "one")
}

// TestCrashBoundsNoIdleTime guards against a server that crashes while it works on a request being taken
// for one that forgets connections: the router would then open a connection for nearly each request that
// must not be repeated.
func TestCrashBoundsNoIdleTime(t *testing.T) {
	for name, test := range map[string]struct {
		idle, work time.Duration
	}{
		"a connection in constant use": {
			idle: time.Millisecond,
		},
		"during the work on a request": {
			idle: minForgottenIdle + 20*time.Millisecond,
			work: 50 * time.Millisecond,
		},
	} {
		server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
			if _, err := http.ReadRequest(requests); err != nil {
				return
			}
			_, _ = conn.Write([]byte(responseText("1", "one")))
			_, _ = http.ReadRequest(requests)
			time.Sleep(test.work)
		})
		client := &Client{}
		defer client.Close()
		mustExchange(t, client, server.address, request("1"), "one")
		// On a busy machine, the dial may have taken as long as the work on the request.
		client.setDialTime("key", time.Millisecond)
		time.Sleep(test.idle)
		if _, err := exchange(t, client, server.address, request("2")); err == nil {
			t.Fatalf("%s: got no error", name)
		}
		if got := client.SafeIdleTime(); got != 0 {
			t.Errorf("%s: got bound %v, want none", name, got)
		}
	}
}

// TestOpenConnectionsStayWithinTheLimit guards against a burst that opens more connections than the
// server accepts from all routers, which then resets those of others too.
func TestOpenConnectionsStayWithinTheLimit(t *testing.T) {
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
	const limit = 3
	client.SetMaxOpenConns(limit)
	var exchanges sync.WaitGroup
	for range limit {
		exchanges.Go(func() { mustExchange(t, client, server.address, request("1"), "one") })
	}
	for range limit {
		<-server.connections
	}
	_, err := exchange(t, client, server.address, request("1"))
	if !IsConnectionLimit(err) {
		t.Fatalf("got %v, want the error of the limit", err)
	}
	if got := errorOutcome(t, err); got != slipwick.OutcomeNotRun {
		t.Errorf("got outcome %s, want %s", got, slipwick.OutcomeNotRun)
	}
	close(hold)
	exchanges.Wait()
	if got := client.OpenConns("key"); got != limit {
		t.Errorf("got %d open connections, want %d", got, limit)
	}
	client.Retain(func(string) bool { return false })
	if got := client.OpenConns("key"); got != 0 {
		t.Errorf("got %d open connections after all were closed, want 0", got)
	}
}

// TestFailedDialsLeaveNoCount guards against a limit that is used up by connections that never existed.
func TestFailedDialsLeaveNoCount(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client := &Client{}
	client.SetMaxOpenConns(1)
	for range 3 {
		if _, err := exchange(t, client, address, request("1")); !IsConnectionRefused(err) {
			t.Fatalf("got %v, want a refused connection", err)
		}
	}
	if got := client.OpenConns("key"); got != 0 {
		t.Errorf("got %d open connections, want 0", got)
	}
}
