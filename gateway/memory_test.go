package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/routing"
)

// bodyLimit is the largest body that the table of newMemoryFixture allows.
const bodyLimit = 8 << 20

// newMemoryFixture returns a gateway that holds at most limit bytes and accepts large bodies.
func newMemoryFixture(t *testing.T, limit int64, backends ...*backend) *fixture {
	t.Helper()
	f := newFixture(t, backends...)
	f.gateway.Memory = &memory.Account{
		Limit: limit,
	}
	f.setTable(2, routing.Limits{
		BodyBytes: bodyLimit,
	}, 0)
	f.server.Close()
	f.server = httptest.NewUnstartedServer(f.gateway)
	f.server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		// A write blocks soon after the caller stops reading.
		_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
		return ctx
	}
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

// setTable puts the routes of testTable into use with other limits and a timeout of 20 s. An objective
// other than 0 replaces those of the routes.
func (f *fixture) setTable(version uint64, limits routing.Limits, objective time.Duration) {
	var routes []routing.Route
	for _, r := range testRoutes {
		r.Host = "a.example"
		r.Timeout = 20 * time.Second
		if objective > 0 {
			r.ResponseObjective = objective
		}
		r.Targets = []routing.Target{
			{
				Pool:   "p",
				Weight: 1,
			},
		}
		routes = append(routes, r)
	}
	f.gateway.SetTable(routing.NewTable(version, limits, nil, routes, []routing.Workspace{
		{
			Name: "w",
			Keys: []string{"good"},
		},
	}))
}

// dialCaller opens a connection as a caller whose receive buffer is small, and sends the header of a
// POST request with further header lines.
func (f *fixture) dialCaller(t *testing.T, path, header string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer good\r\n"+
		"Slipwick-Request: q1\r\n%s\r\n", path, header)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// readResponse reads a caller's response to its end.
func readResponse(t *testing.T, conn net.Conn) reply {
	t.Helper()
	// The small buffer of dialCaller would make this slow.
	if err := conn.(*net.TCPConn).SetReadBuffer(1 << 20); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{
		status:  response.StatusCode,
		header:  response.Header,
		body:    string(body),
		bodyErr: err,
	}
}

// awaitCondition waits until done returns true.
func awaitCondition(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got no %s within 5 s, want it", what)
		}
	}
}

// awaitReleased checks that the gateway stayed within its limit and holds nothing any more.
func (f *fixture) awaitReleased(t *testing.T) {
	t.Helper()
	account := f.gateway.Memory
	awaitCondition(t, "release of all memory", func() bool { return account.Held() == 0 && f.gateway.InFlight() == 0 })
	if got := account.Peak(); account.Limit > 0 && got > account.Limit {
		t.Errorf("got a peak of %d bytes, want at most the limit of %d", got, account.Limit)
	}
	for _, use := range memory.Uses() {
		if got := account.HeldFor(use); got != 0 {
			t.Errorf("got %d bytes held for %s, want 0", got, use)
		}
	}
}
