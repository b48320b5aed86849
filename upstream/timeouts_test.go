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

// writeOnDemand returns a handler that reads a request and then writes each text that it receives.
func writeOnDemand(writes <-chan string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		for text := range writes {
			if _, err := conn.Write([]byte(text)); err != nil {
				return
			}
		}
	}
}

func TestTimeoutEndsAnExchangeWithoutResponse(t *testing.T) {
	writes := make(chan string)
	defer close(writes)
	server := serve(t, writeOnDemand(writes))
	r := request("1")
	calls := 0
	r.Timeouts = Timeouts{
		FirstByte: 20 * time.Millisecond,
		OnTimeout: func() time.Duration {
			calls++
			if calls < 3 {
				return 10 * time.Millisecond
			}
			return 0
		},
	}
	_, err := exchange(t, &Client{}, server.address, r)
	if !IsResponseTimeout(err) || errorOutcome(t, err) != slipwick.OutcomeUnknown {
		t.Errorf("got %v, want a response timeout with unknown outcome", err)
	}
	if calls != 3 {
		t.Errorf("got %d calls of OnTimeout, want 3", calls)
	}
}

// TestResponseDuringTimeoutCallbackIsRead has the response arrive while OnTimeout decides to end
// the exchange.
func TestResponseDuringTimeoutCallbackIsRead(t *testing.T) {
	writes := make(chan string)
	defer close(writes)
	server := serve(t, writeOnDemand(writes))
	r := request("1")
	r.Timeouts = Timeouts{
		FirstByte: 20 * time.Millisecond,
		OnTimeout: func() time.Duration {
			writes <- responseText("1", "late")
			// The server takes the next text once it has written this one.
			writes <- ""
			time.Sleep(50 * time.Millisecond)
			return 0
		},
	}
	mustExchange(t, &Client{}, server.address, r, "late")
}

func TestIdleTimeoutAppliesWithinAStream(t *testing.T) {
	writes := make(chan string, 3)
	defer close(writes)
	server := serve(t, writeOnDemand(writes))
	r := request("1")
	r.Timeouts = Timeouts{
		Idle:      30 * time.Millisecond,
		OnTimeout: func() time.Duration { return 0 },
	}
	writes <- "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
	got, err := exchange(t, &Client{}, server.address, r)
	if got != "abc" || !IsResponseTimeout(err) {
		t.Errorf("got %q and %v, want abc and a response timeout", got, err)
	}
}

// TestTimeoutsKeepTheConnectionReusable has a response arrive within the timeouts: the connection
// has to serve the next request.
func TestTimeoutsKeepTheConnectionReusable(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	server := serve(t, script(chunked, responseText("2", "second")))
	client := &Client{}
	r := request("1")
	r.Timeouts = Timeouts{
		FirstByte: time.Second,
		Idle:      time.Second,
		OnTimeout: func() time.Duration { return 0 },
	}
	mustExchange(t, client, server.address, r, "abc")
	mustExchange(t, client, server.address, request("2"), "second")
	if got := client.OpenedConnections.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

func TestContextEndsAnExchangeWithTimeouts(t *testing.T) {
	writes := make(chan string)
	defer close(writes)
	server := serve(t, writeOnDemand(writes))
	r := request("1")
	r.Timeouts = Timeouts{
		FirstByte: time.Minute,
		OnTimeout: func() time.Duration { return NoTimeout },
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	started := time.Now()
	response, err := (&Client{}).Do(ctx, "key", server.address, r)
	if err == nil {
		_, err = io.ReadAll(response)
	}
	if took := time.Since(started); !slipwick.IsKind(err, slipwick.KindTimeout) ||
		IsResponseTimeout(err) || took > time.Second {
		t.Errorf("got %v after %v, want the timeout of the context", err, took)
	}
}

// TestResetIsNotTakenForTheEndOfTheBody has a response without a length end in a reset: the body is
// incomplete. The kernel reports a reset once, and the end of the stream from then on.
func TestResetIsNotTakenForTheEndOfTheBody(t *testing.T) {
	received := make(chan struct{})
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc")
		// A reset discards what the client has not read yet.
		<-received
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	r := request("1")
	r.Timeouts = Timeouts{
		FirstByte: time.Second,
		Idle:      time.Second,
		OnTimeout: func() time.Duration { return 0 },
	}
	response, err := (&Client{}).Do(t.Context(), "key", server.address, r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	start := make([]byte, 3)
	_, err = io.ReadFull(response, start)
	close(received)
	if err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(response)
	if got := string(start) + string(rest); err == nil || got != "abc" {
		t.Errorf("got %q and error %v, want abc broken off", got, err)
	}
}
