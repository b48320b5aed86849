package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// unreadRequest returns a request with a body of size bytes.
func unreadRequest(size int, firstByte time.Duration) *Request {
	return &Request{
		Method: http.MethodPost,
		Target: "/",
		Host:   "a",
		Header: http.Header{},
		Body:   make([]byte, size),
		Timeouts: Timeouts{
			FirstByte: firstByte,
			OnTimeout: func() time.Duration { return NoTimeout },
		},
	}
}

// awaitUnread waits until the bytes that servers have not read meet the condition.
func awaitUnread(t *testing.T, c *Client, meets func(total int64) bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		total, _ := c.UnreadBytes()
		if meets(total) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("got %d unread bytes after 5 s", total)
		}
	}
}

// TestServerThatReadsNothingGetsNoFurtherBodies sends a body of 16 MB to a server that doesn't read: the
// next one is not sent, which counts against the server once it has read nothing for the first-byte
// timeout, and other servers and small requests are not affected.
func TestServerThatReadsNothingGetsNoFurtherBodies(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	stuck := serve(t, func(conn net.Conn, _ *bufio.Reader) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		<-release
	})
	other := serve(t, script(responseText("", "answer")))
	c := &Client{}
	defer c.Close()
	c.SetMaxUnreadBytes(1 << 20)
	ctx, cancel := context.WithCancel(t.Context())
	var first sync.WaitGroup
	first.Go(func() {
		if _, err := c.Do(ctx, "stuck", stuck.address, unreadRequest(16<<20, 0)); err == nil {
			t.Error("got a response of a server that reads nothing")
		}
	})
	awaitUnread(t, c, func(total int64) bool { return total > 1<<20 })
	_, err := c.Do(t.Context(), "stuck", stuck.address, unreadRequest(100_000, time.Hour))
	typed, _ := slipwick.AsError(err)
	if limited, stalled := IsUnreadLimit(err); !limited || stalled || typed.Outcome != slipwick.OutcomeNotRun {
		t.Errorf("got %v, want a request that is not run without evidence", err)
	}
	time.Sleep(100 * time.Millisecond)
	_, err = c.Do(t.Context(), "stuck", stuck.address, unreadRequest(100_000, 50*time.Millisecond))
	if limited, stalled := IsUnreadLimit(err); !limited || !stalled {
		t.Errorf("got %v, want evidence that the server has stalled", err)
	}
	response, err := c.Do(t.Context(), "other", other.address, unreadRequest(1<<19, 0))
	if err != nil {
		t.Fatalf("got %v at another server, want a response", err)
	}
	response.Close()
	if got := len(stuck.connections); got != 1 {
		t.Errorf("got %d connections to the server that reads nothing, want 1", got)
	}
	cancel()
	first.Wait()
	awaitUnread(t, c, func(total int64) bool { return total == 0 })
}

// TestSlowlyReadingServerHoldsNoOtherRequests has a server read 64 KB each 100 ms of a body of 16 MB:
// another request waits for the first-byte timeout and is then not sent, without evidence.
func TestSlowlyReadingServerHoldsNoOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &unreadBodies{
			limit: 1 << 20,
		}
		if err := u.add(t.Context(), "slow", 16<<20, 0); err != nil {
			t.Fatal(err)
		}
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					u.remove("slow", writeChunkBytes, true)
				}
			}
		}()
		const firstByte = 620 * time.Millisecond
		started := time.Now()
		if err := u.add(t.Context(), "slow", 100_000, firstByte); !errors.Is(err, errUnreadLimit) {
			t.Errorf("got %v, want %v", err, errUnreadLimit)
		}
		if took := time.Since(started); took != firstByte {
			t.Errorf("got the end after %v, want it after %v", took, firstByte)
		}
		close(stop)
		synctest.Wait()
		if got := u.byKey["slow"]; len(got.waiters) != 0 || got.bytes != 16<<20-6*writeChunkBytes {
			t.Errorf("got %d bytes and %d requests waiting, want the body without 6 chunks, and none",
				got.bytes, len(got.waiters))
		}
	})
}

// TestReadBodiesAreNotLimited guards against bytes that stay counted after a server has read them: 20
// bodies of 900 KB, one after the other, with a limit of 1 MiB.
func TestReadBodiesAreNotLimited(t *testing.T) {
	server := serve(t, script(responseText("", "answer")))
	c := &Client{}
	defer c.Close()
	c.SetMaxUnreadBytes(1 << 20)
	for range 20 {
		response, err := c.Do(t.Context(), "s", server.address, unreadRequest(900_000, 0))
		if err != nil {
			t.Fatal(err)
		}
		response.Close()
		awaitUnread(t, c, func(total int64) bool { return total == 0 })
	}
	// A header with a small body may be too large to be written inline; such a body is not counted.
	request := unreadRequest(maxInlineBytes, 0)
	response, err := c.Do(t.Context(), "s", server.address, request)
	if err != nil {
		t.Fatal(err)
	}
	response.Close()
	if _, err := c.Do(t.Context(), "s", "127.0.0.1:1", unreadRequest(900_000, 0)); err == nil {
		t.Error("got a connection to a closed port")
	}
	if total, most := c.UnreadBytes(); total != 0 || most != 0 {
		t.Errorf("got %d and %d unread bytes, want 0", total, most)
	}
}
