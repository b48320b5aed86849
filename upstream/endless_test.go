package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// writeEndless writes the beginning and then the same text until the connection is closed.
func writeEndless(conn net.Conn, beginning, text string) {
	if _, err := io.WriteString(conn, beginning); err != nil {
		return
	}
	chunk := []byte(strings.Repeat(text, (64<<10)/len(text)))
	for {
		if _, err := conn.Write(chunk); err != nil {
			return
		}
	}
}

// TestResponsesWithoutEndAreGivenUp guards against responses whose head, or whose part that is skipped, does not end,
// and that take memory, or the time until the deadline. Each ends the exchange and its connection.
func TestResponsesWithoutEndAreGivenUp(t *testing.T) {
	const (
		deadline = 5 * time.Second
		// maxTime is less than the deadline, also on a busy machine; maxHeap is a part of what arrives within it.
		maxTime = 2 * time.Second
		maxHeap = 16 << 20
	)
	for _, test := range []struct{ name, beginning, text string }{
		{"one line", "HTTP/1.1 200 OK\r\nId: a\r\nX: ", "x"},
		{"many lines", "HTTP/1.1 200 OK\r\nId: a\r\n", "X: y\r\n"},
		{"status line", "", "HTTP/1.1 200 "},
		{"no line end", "HTTP/1.1 200 OK\r\n", "\x00\xff"},
		{"informational", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		{"head of an informational response", "HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n"},
		{
			"body of another request's response",
			"HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 100000000000\r\n\r\n", "x",
		},
		{
			"chunks of another request's response",
			"HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
				if _, err := http.ReadRequest(requests); err == nil {
					writeEndless(conn, test.beginning, test.text)
				}
			})
			client := &Client{}
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			stopped := make(chan struct{})
			peak := watchHeap(stopped)
			started := time.Now()
			response, err := client.Do(ctx, "s", server.address, &Request{
				Method:   http.MethodGet,
				Target:   "/",
				ID:       "a",
				IDHeader: "Id",
			})
			took := time.Since(started)
			close(stopped)
			if err == nil {
				response.Close()
				t.Fatal("got a response, want an error")
			}
			if took > maxTime {
				t.Errorf("got the error %v after %v, want it within %v", err, took, maxTime)
			}
			if heap := <-peak; heap > maxHeap {
				t.Errorf("got %d MB of heap, want at most %d", heap>>20, maxHeap>>20)
			}
			if got := client.OpenConns("s"); got != 0 {
				t.Errorf("got %d open connections, want none", got)
			}
		})
	}
}

// TestSlowResponseToAnotherRequestIsGivenUp guards against a body that is skipped, and that arrives byte by byte until
// the deadline.
func TestSlowResponseToAnotherRequestIsGivenUp(t *testing.T) {
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		_, err := http.ReadRequest(requests)
		for text := "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 100000\r\n\r\n"; err == nil; text = "x" {
			_, err = io.WriteString(conn, text)
			time.Sleep(10 * time.Millisecond)
		}
	})
	client := &Client{}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	started := time.Now()
	_, err := client.Do(ctx, "s", server.address, &Request{
		Method:   http.MethodGet,
		Target:   "/",
		ID:       "a",
		IDHeader: "Id",
	})
	if took := time.Since(started); err == nil || took > 5*time.Second {
		t.Errorf("got the error %v after %v, want one after %v", err, took, maxStrayTime)
	}
	if got := client.OpenConns("s"); got != 0 {
		t.Errorf("got %d open connections, want none", got)
	}
}

// TestBodyFramingWithoutEndIsGivenUp guards against chunk extensions and trailers that take memory or time without
// end.
func TestBodyFramingWithoutEndIsGivenUp(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct{ name, beginning, text string }{
		{"chunk extension", head + "5;", "x=y;"},
		{"chunk extensions", head, "1;" + strings.Repeat("x", 2000) + "\r\nz\r\n"},
		{"trailer line", head + "0\r\nX: ", "x"},
		{"trailer lines", head + "0\r\n", "X: y\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
				if _, err := http.ReadRequest(requests); err == nil {
					writeEndless(conn, test.beginning, test.text)
				}
			})
			client := &Client{}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			response, err := client.Do(ctx, "s", server.address, &Request{
				Method:   http.MethodGet,
				Target:   "/",
				ID:       "a",
				IDHeader: "Id",
			})
			if err != nil {
				t.Fatal(err)
			}
			started := time.Now()
			n, err := io.Copy(io.Discard, response)
			if err == nil || time.Since(started) > 2*time.Second || n > 1<<20 {
				t.Errorf("got %d bytes and the error %v after %v, want an error within 2 s", n, err, time.Since(started))
			}
			response.Close()
			if got := client.OpenConns("s"); got != 0 {
				t.Errorf("got %d open connections, want none", got)
			}
		})
	}
}

// watchHeap returns a channel that receives, once stopped is closed, by how much the heap grew at most.
func watchHeap(stopped <-chan struct{}) <-chan uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	begin, peak := stats.HeapAlloc, make(chan uint64, 1)
	go func() {
		most := uint64(0)
		for {
			runtime.ReadMemStats(&stats)
			most = max(most, max(stats.HeapAlloc, begin)-begin)
			select {
			case <-stopped:
				peak <- most
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return peak
}
