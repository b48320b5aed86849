package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// rejectionText returns a rejection of the request with the ID; without an ID it names none.
func rejectionText(id string, status int) string {
	named := ""
	if id != "" {
		named = "Id: " + id + "\r\n"
	}
	return "HTTP/1.1 " + itoa(status) + " " + http.StatusText(status) + "\r\n" + named +
		"Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// rejectThenRepeat rejects the first request of all connections. It sends the rejection once more where the
// response to the next request of that connection is due, and responds to all other requests.
func rejectThenRepeat(status int) func(net.Conn, *bufio.Reader) {
	isFirst := make(chan struct{}, 1)
	isFirst <- struct{}{}
	return func(conn net.Conn, requests *bufio.Reader) {
		repeated := ""
		for {
			id, err := readRequest(requests)
			if err != nil {
				return
			}
			text := repeated + responseText(id, "answer")
			repeated = ""
			select {
			case <-isFirst:
				text = rejectionText(id, status)
				repeated = text
			default:
			}
			if _, err := conn.Write([]byte(text)); err != nil {
				return
			}
		}
	}
}

// TestRepeatedRejectionDoesNotAnswerTheNextSend guards against a rejection that a server sends twice and that
// counts as the response to the next send of the same request, which the server runs: directly, through another
// router, and where no further connection may be open. The next request uses the connection.
func TestRepeatedRejectionDoesNotAnswerTheNextSend(t *testing.T) {
	for _, status := range []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable, http.StatusInternalServerError, http.StatusTemporaryRedirect,
	} {
		for _, test := range []struct {
			name        string
			isTunnelled bool
			maxOpen     int
			opened      int64
		}{
			{
				name:   "direct",
				opened: 2,
			},
			{
				name:    "one connection allowed",
				maxOpen: 1,
				opened:  2,
			},
			{
				name:        "through another router",
				isTunnelled: true,
				opened:      2,
			},
		} {
			t.Run(itoa(status)+" "+test.name, func(t *testing.T) {
				server := serve(t, rejectThenRepeat(status))
				client := &Client{}
				defer client.Close()
				client.SetMaxOpenConns(test.maxOpen)
				opened := client.OpenedConnections.Load
				if test.isTunnelled {
					others := &otherRouters{
						addresses: map[string]string{
							"key": server.address,
						},
					}
					client.Tunnels, client.path.isLost = others, true
					client.ProbeTargets = func(int) []slipwick.Backend { return nil }
					opened = others.opened.Load
				}
				mustExchange(t, client, server.address, requestWithID("1"), "")
				mustExchange(t, client, server.address, requestWithID("1"), "answer")
				mustExchange(t, client, server.address, requestWithID("2"), "answer")
				if got := opened(); got != test.opened {
					t.Errorf("got %d connections opened, want %d", got, test.opened)
				}
				if got := client.OpenedByCause[DialCarriedRequest].Load(); got != 1 {
					t.Errorf("got %d of them opened because of the first send, want 1", got)
				}
			})
		}
	}
}

// TestRepeatedResponseAfterOtherRequests guards against a response that is sent once more after responses to other
// requests of the connection, and that counts as the one to the next send of its request.
func TestRepeatedResponseAfterOtherRequests(t *testing.T) {
	var texts []string
	ids := strings.Fields("a b c d e f g h")
	for _, id := range ids {
		texts = append(texts, responseText(id, id))
	}
	server := serve(t, script(append(texts, responseText("a", "repeated"))...))
	client := &Client{}
	defer client.Close()
	for _, id := range ids {
		mustExchange(t, client, server.address, request(id), id)
	}
	mustExchange(t, client, server.address, request("a"), "a")
	if got := client.OpenedConnections.Load(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

// TestConnectionsRememberFewRequests guards against memory that grows with the requests of a connection.
func TestConnectionsRememberFewRequests(t *testing.T) {
	var ids recentIDs
	for i := range 3 * rememberedIDs {
		ids.add(itoa(i))
	}
	if got := len(ids.hashes); got != rememberedIDs {
		t.Errorf("got %d requests remembered, want %d", got, rememberedIDs)
	}
	if !ids.contains(itoa(3*rememberedIDs-1)) || !ids.contains(itoa(2*rememberedIDs)) || ids.contains("0") {
		t.Error("got other requests remembered than the last")
	}
}

// TestPutBackConnectionKeepsTheOrderOfIdleTimes guards against a connection that is put back as the most recently used
// one, so that those which are idle for longer are never found to have expired.
func TestPutBackConnectionKeepsTheOrderOfIdleTimes(t *testing.T) {
	client := &Client{}
	defer client.Close()
	start := time.Now()
	for i, id := range []string{"a", "b", "c"} {
		conn := pipeConnection()
		conn.requestIDs.add(id)
		client.putIdle("key", conn, time.Minute)
		conn.idleSince = start.Add(time.Duration(i) * time.Second)
	}
	conn, isPassedOver := client.popIdle("key", request("c"), false)
	if !isPassedOver || !conn.requestIDs.contains("b") {
		t.Fatal("got another connection, want the second one")
	}
	client.pushIdle("key", conn)
	for _, id := range []string{"c", "b", "a"} {
		conn, _ := client.popIdle("key", request("d"), false)
		defer func() { _ = conn.Close() }()
		if !conn.requestIDs.contains(id) {
			t.Errorf("got another connection, want that of %s", id)
		}
	}
}
