package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/slipwick/slipwick/memory"
)

// pipeListener accepts connections that are pipes in memory, which buffer nothing and use no file
// descriptors.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error { return nil }

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// dial returns the caller's end of a new connection.
func (l *pipeListener) dial() net.Conn {
	caller, router := net.Pipe()
	l.conns <- router
	return caller
}

// heapInUse returns the bytes of the heap after a collection.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// maxCallerWait is how long a caller waits for the next 1 KB of its response: the timeout of its route.
const maxCallerWait = 20 * time.Second

// awaitSuccess reads the status of the response to a request that was sent, and no more. If the request
// was refused as not run, as on a busy machine where dials to the backend servers time out, it sends the
// request again after the time told.
func awaitSuccess(conn net.Conn, request string) error {
	_ = conn.SetDeadline(time.Now().Add(maxCallerWait))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	for {
		status := make([]byte, len("HTTP/1.1 200"))
		if _, err := io.ReadFull(conn, status); err != nil {
			return err
		}
		if string(status) == "HTTP/1.1 200" {
			return nil
		}
		response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(status), conn)), nil)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		after, invalid := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil || invalid != nil || response.StatusCode != http.StatusServiceUnavailable {
			return fmt.Errorf("got %d %q, want 200 or a refusal with Retry-After", response.StatusCode, body)
		}
		time.Sleep(time.Duration(after * float64(time.Second)))
		if _, err := io.WriteString(conn, request); err != nil {
			return err
		}
	}
}

// readSlowly has each of the callers read 1 KB a second for some seconds.
func readSlowly(t *testing.T, callers []net.Conn, seconds int) {
	t.Helper()
	const readers = 20
	var all sync.WaitGroup
	for first := range readers {
		all.Go(func() {
			buffer := make([]byte, 1_000)
			for range seconds {
				started := time.Now()
				for i := first; i < len(callers); i += readers {
					// A response that is too short leaves the connection open.
					_ = callers[i].SetReadDeadline(time.Now().Add(maxCallerWait))
					if n, err := io.ReadFull(callers[i], buffer); err != nil {
						t.Errorf("caller %d: got %q, %v, want 1 KB", i, buffer[:n], err)
						return
					}
				}
				time.Sleep(time.Second - time.Since(started))
			}
		})
	}
	all.Wait()
}

// TestManySlowCallers has 2,000 callers read 1 KB a second: 1,600 of them plain responses of 64 KB, 400
// streams of 100 KB. They would hold 130 MB, and the limit is 40 MiB, as on a box of 160 MB. Other
// callers have to be served meanwhile, and all memory is free once the callers are gone.
func TestManySlowCallers(t *testing.T) {
	const callers, streams, limit = 2_000, 400, 40 << 20
	events, answer := largeEvents(100), strings.Repeat("x", 64<<10)
	f := newMemoryFixture(t, limit, newBackends(t, 4, func(b *backend, w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.RequestURI, "/stream/"):
			sendStream(events, func() {})(b, w, r)
		case strings.HasPrefix(r.RequestURI, "/repeatable/"):
			respondWith(http.StatusOK, "answer")(b, w, r)
		default:
			respondWith(http.StatusOK, answer)(b, w, r)
		}
	})...)
	listener := &pipeListener{
		conns: make(chan net.Conn),
		done:  make(chan struct{}),
	}
	server := &http.Server{
		Handler: f.gateway,
	}
	go func() { _ = server.Serve(listener) }()
	defer func() {
		close(listener.done)
		_ = server.Close()
	}()
	before := heapInUse()
	conns := make([]net.Conn, 0, callers)
	var begins sync.WaitGroup
	for i := range callers {
		path := "/single/x"
		if i < streams {
			path = "/stream/x"
		}
		conn := listener.dial()
		defer func() { _ = conn.Close() }()
		request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer good\r\n"+
			"Slipwick-Request: q1\r\nContent-Length: 0\r\n\r\n", path)
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
		begins.Go(func() {
			if err := awaitSuccess(conn, request); err != nil {
				t.Errorf("caller %d: %v", i, err)
			}
		})
	}
	begins.Wait()
	readSlowly(t, conns, 2)
	got := send(t, f.request(t, "/repeatable/x", strings.Repeat("x", 1<<20)))
	if got.status != http.StatusOK {
		t.Errorf("got %d %q beside slow callers, want 200", got.status, got.body)
	}
	account := f.gateway.Memory
	heap := heapInUse() - before
	t.Logf("%d callers: held %d bytes for responses, %d for streams, peak %d of %d; heap %d more than before",
		callers, account.HeldFor(memory.Response), account.HeldFor(memory.Stream), account.Peak(), int64(limit), heap)
	// The buffers of the connections of the router and of the backend servers, which are in this process.
	const bytesPerCaller = 48 << 10
	if most := int64(limit + callers*bytesPerCaller); heap > most {
		t.Errorf("got %d bytes more of heap, want at most %d", heap, most)
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	f.awaitReleased(t)
}
