package upstream

import (
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/internal/tcpconn"
)

// pipeConnection returns a connection without a network.
func pipeConnection() *connection {
	conn, _ := net.Pipe()
	return &connection{
		route:   &route{},
		Conn:    tcpconn.New(conn),
		onClose: func() {},
	}
}

// TestHasIdleConnectionKeepsToTheBounds guards against a preference for servers whose connections are not
// used, because they were idle for longer than the request or the server allows.
func TestHasIdleConnectionKeepsToTheBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &Client{}
		defer client.Close()
		check := func(when string, maxIdleTime time.Duration, want bool) {
			t.Helper()
			if got := client.HasIdleConnection("key", maxIdleTime); got != want {
				t.Errorf("%s, %v allowed: got %v, want %v", when, maxIdleTime, got, want)
			}
		}
		check("without a connection", 0, false)
		client.putIdle("key", pipeConnection(), 10*time.Second)
		check("at once", 0, true)
		check("at once", 2*time.Second, true)
		time.Sleep(2 * time.Second)
		check("after 2 s", 2*time.Second, true)
		time.Sleep(time.Millisecond)
		check("after more than 2 s", 2*time.Second, false)
		check("after more than 2 s", 0, true)
		client.putIdle("key", pipeConnection(), 10*time.Second)
		check("with a second one", 2*time.Second, true)
		if conn, _ := client.popIdle("key", request("1"), false); conn != nil {
			_ = conn.Close()
		}
		check("with the second one in use", 2*time.Second, false)
		time.Sleep(8 * time.Second)
		check("when the server closes it", 0, false)
		if client.HasIdleConnection("other", 0) {
			t.Error("another server: got a connection, want none")
		}
	})
}

// TestRetainCallsBackWithoutALock guards against a deadlock: the balancer asks for idle connections under
// the lock that it needs to tell which servers are listed.
func TestRetainCallsBackWithoutALock(t *testing.T) {
	client := &Client{}
	defer client.Close()
	client.putIdle("key", pipeConnection(), time.Minute)
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Retain(func(key string) bool { return client.HasIdleConnection(key, 0) })
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("got a deadlock, want the callback to be made without a lock")
	}
	if !client.HasIdleConnection("key", 0) {
		t.Error("got no connection to a known server, want it kept")
	}
}

// TestRetainBesideExchanges has the race detector see connections that are put back and taken while
// servers are removed.
func TestRetainBesideExchanges(t *testing.T) {
	client := &Client{}
	defer client.Close()
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for range 200 {
				client.putIdle("key", pipeConnection(), time.Minute)
				client.Retain(func(string) bool { return false })
				if conn, _ := client.popIdle("key", request("1"), false); conn != nil {
					client.pushIdle("key", conn)
				}
			}
		})
	}
	all.Wait()
	client.Retain(func(string) bool { return false })
	if client.HasIdleConnection("key", 0) {
		t.Error("got a connection to a removed server, want it closed")
	}
}

// TestConnectionIsPutBackAfterClose guards against a panic when a request passes over a connection while
// the client is closed, and against a connection that is then kept open.
func TestConnectionIsPutBackAfterClose(t *testing.T) {
	client := &Client{}
	client.putIdle("key", pipeConnection(), time.Minute)
	conn, _ := client.popIdle("key", request("1"), false)
	isOpen := true
	conn.onClose = func() { isOpen = false }
	client.Close()
	client.pushIdle("key", conn)
	if client.HasIdleConnection("key", 0) || isOpen {
		t.Errorf("got a connection that is open: %t, want it closed", isOpen)
	}
}
