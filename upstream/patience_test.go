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

// hanging reads a request and then writes what it is told to.
func hanging(writes <-chan string) func(net.Conn, *bufio.Reader) {
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

func TestPatienceEndsAnExchangeInWhichNothingComes(t *testing.T) {
	writes := make(chan string)
	defer close(writes)
	server := serve(t, hanging(writes))
	r := request("1")
	asked := 0
	r.Patience = Patience{
		First: 20 * time.Millisecond,
		Overdue: func() time.Duration {
			asked++
			if asked < 3 {
				return 10 * time.Millisecond
			}
			return 0
		},
	}
	_, err := ask(t, &Client{}, server.address, r)
	if !IsGivenUp(err) || outcome(t, err) != slipwick.OutcomeUnknown {
		t.Errorf("got %v, want an exchange that was given up and may have run", err)
	}
	if asked != 3 {
		t.Errorf("asked %d times, want 3", asked)
	}
}

// TestBytesThatWaitAreRead has the answer come while the patience decides to
// end the exchange.
func TestBytesThatWaitAreRead(t *testing.T) {
	writes := make(chan string)
	defer close(writes)
	server := serve(t, hanging(writes))
	r := request("1")
	r.Patience = Patience{
		First: 20 * time.Millisecond,
		Overdue: func() time.Duration {
			writes <- answer("1", "late")
			time.Sleep(50 * time.Millisecond)
			return 0
		},
	}
	mustAsk(t, &Client{}, server.address, r, "late")
}

func TestPatienceCountsPausesOfAStream(t *testing.T) {
	writes := make(chan string, 3)
	defer close(writes)
	server := serve(t, hanging(writes))
	r := request("1")
	r.Patience = Patience{
		Pause:   30 * time.Millisecond,
		Overdue: func() time.Duration { return 0 },
	}
	writes <- "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	writes <- "3\r\nabc\r\n"
	got, err := ask(t, &Client{}, server.address, r)
	if got != "abc" || !IsGivenUp(err) {
		t.Errorf("got %q and %v, want abc and an exchange that was given up", got, err)
	}
}

// TestPatienceKeepsTheConnection has an answer that ends in time: the connection
// serves the next request.
func TestPatienceKeepsTheConnection(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	server := serve(t, script(chunked, answer("2", "second")))
	client := &Client{}
	r := request("1")
	r.Patience = Patience{
		First:   time.Second,
		Pause:   time.Second,
		Overdue: func() time.Duration { return 0 },
	}
	mustAsk(t, client, server.address, r, "abc")
	mustAsk(t, client, server.address, request("2"), "second")
	if got := client.Opened.Load(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

func TestEndOfContextEndsAPatientExchange(t *testing.T) {
	writes := make(chan string)
	defer close(writes)
	server := serve(t, hanging(writes))
	r := request("1")
	r.Patience = Patience{
		First:   time.Minute,
		Overdue: func() time.Duration { return Forever },
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	started := time.Now()
	a, err := (&Client{}).Do(ctx, "key", server.address, r)
	if err == nil {
		_, err = io.ReadAll(a)
	}
	if took := time.Since(started); !slipwick.IsKind(err, slipwick.KindTimeout) || IsGivenUp(err) || took > time.Second {
		t.Errorf("got %v after %v, want the time-out of the context", err, took)
	}
}

// TestResetWhilePatientIsNoEnd has an answer without a length be reset: what
// came of it is not whole. The kernel tells of a reset once, and of an end from
// then on.
func TestResetWhilePatientIsNoEnd(t *testing.T) {
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc")
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	r := request("1")
	r.Patience = Patience{
		First:   time.Second,
		Pause:   time.Second,
		Overdue: func() time.Duration { return 0 },
	}
	got, err := ask(t, &Client{}, server.address, r)
	if err == nil || got != "abc" {
		t.Errorf("got %q and error %v, want abc broken off", got, err)
	}
}
