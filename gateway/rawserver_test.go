package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
)

// rawServer is a backend server that writes its responses as bytes. handle returns what it writes on the connection for
// a request; the requests that it ran are counted by ID with run.
type rawServer struct {
	id      string
	address string
	handle  func(s *rawServer, conn int, r *http.Request) string

	mu    sync.Mutex
	conns int
	runs  map[string]int
}

func newRawServer(t *testing.T, id string, handle func(s *rawServer, conn int, r *http.Request) string) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{
		id:      id,
		address: listener.Addr().String(),
		handle:  handle,
		runs:    make(map[string]int),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.mu.Lock()
	s.conns++
	number := s.conns
	s.mu.Unlock()
	for requests := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := conn.Write([]byte(s.handle(s, number, r))); err != nil {
			return
		}
	}
}

// run counts a run of the request and returns the response to it.
func (s *rawServer) run(r *http.Request) string {
	id := r.Header.Get("Slipwick-Request")
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	return rawResponse(http.StatusOK, rawAnswer(id), "Slipwick-Request", id, "Slipwick-Stamp", s.id)
}

// runsOf returns how often the servers ran a request in all.
func runsOf(id string, servers ...*rawServer) int {
	runs := 0
	for _, s := range servers {
		s.mu.Lock()
		runs += s.runs[id]
		s.mu.Unlock()
	}
	return runs
}

// rawResponse returns a response; header has names and values in turn.
func rawResponse(status int, body string, header ...string) string {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
	for i := 0; i+1 < len(header); i += 2 {
		text += header[i] + ": " + header[i+1] + "\r\n"
	}
	return text + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// rawRejection returns a rejection that names the request, unless the ID is empty.
func rawRejection(status int, id string) string {
	if id == "" {
		return rawResponse(status, "", "Slipwick-Not-Run", "1")
	}
	return rawResponse(status, "", "Slipwick-Not-Run", "1", "Slipwick-Request", id)
}

// setRawServers replaces the servers of the fixture.
func (f *fixture) setRawServers(servers ...*rawServer) {
	var list []balance.Entry
	for _, s := range servers {
		list = append(list, balance.Entry{
			Backend: slipwick.Backend{
				ID:         s.id,
				Address:    s.address,
				DataCentre: "near",
			},
			Pool: "p",
		})
	}
	f.gateway.Balancer.SetBackends(list)
}

// rawAnswer returns the body of the response to a request: a whole event, so that it ends a stream too.
func rawAnswer(id string) string {
	return "data: answer to " + id + "\n\n"
}
