package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
)

// serveTurns starts an engine that responds to the n-th turn of each connection with the n-th text, and to later ones
// with the last text.
func serveTurns(t *testing.T, texts ...string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondInTurn(conn, texts)
		}
	}()
	return listener.Addr().String()
}

func respondInTurn(conn net.Conn, texts []string) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	for i := 0; ; i++ {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, texts[min(i, len(texts)-1)]); err != nil {
			return
		}
	}
}

// rejection returns a rejection that names the request, unless the ID is empty.
func rejection(id string) string {
	named := ""
	if id != "" {
		named = RequestHeader + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + named + NotRunHeader + ": true\r\nContent-Length: 0\r\n\r\n"
}

// TestFurtherRejectionDoesNotAnswerTheNextTurn guards against a rejection that an engine sends after a complete
// response, and that counts as the response to the next turn on the connection, which the engine runs: a turn that must
// run once is then sent to another engine.
func TestFurtherRejectionDoesNotAnswerTheNextTurn(t *testing.T) {
	for _, test := range []struct {
		name           string
		names          bool
		first, further string
		want           slipwick.Outcome
		wantConns      int64
	}{
		{
			name:      "without an ID, engine that names requests",
			names:     true,
			first:     rejection("1"),
			further:   rejection(""),
			want:      slipwick.OutcomeUnknown,
			wantConns: 1,
		},
		{
			name:      "of an earlier turn, engine that names requests",
			names:     true,
			first:     rejection("1"),
			further:   rejection("1"),
			want:      slipwick.OutcomeUnknown,
			wantConns: 1,
		},
		{
			name:      "own, engine that names requests",
			names:     true,
			first:     rejection("1"),
			further:   rejection("2"),
			want:      slipwick.OutcomeNotRun,
			wantConns: 1,
		},
		{
			name:      "own, engine that names no requests",
			first:     rejection(""),
			further:   "HTTP/1.1 500 of another turn\r\nContent-Length: 0\r\n\r\n",
			want:      slipwick.OutcomeNotRun,
			wantConns: 2,
		},
	} {
		var opened connCounter
		shared, singleUse := httpclient.New(), httpclient.NewSingleUse()
		opened.count(shared)
		opened.count(singleUse)
		client := &Client{
			Address:   serveTurns(t, test.first, test.further),
			HTTP:      shared,
			SingleUse: singleUse,
			Names:     test.names,
		}
		for _, id := range []string{"1", "2"} {
			_, err := client.Stream(t.Context(), slipwick.ChatRequest{
				ID:       id,
				RunsOnce: true,
				Body:     []byte("{}"),
			})
			want := slipwick.OutcomeNotRun
			if id == "2" {
				want = test.want
			}
			if failure, ok := slipwick.AsError(err); !ok || failure.Outcome != want {
				t.Errorf("%s, turn %s: got the error %v, want the outcome %s", test.name, id, err, want)
			}
		}
		if got := opened.opened.Load(); got != test.wantConns {
			t.Errorf("%s: got %d connections, want %d", test.name, got, test.wantConns)
		}
	}
}
