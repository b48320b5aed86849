package upstream

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// fakeServer answers each connection by a script: what it writes after each
// request it has read.
type fakeServer struct {
	address string
	// connections counts what was accepted.
	connections chan struct{}
}

// serve runs handle for each connection, with the requests' reader.
func serve(t *testing.T, handle func(conn net.Conn, requests *bufio.Reader)) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := &fakeServer{
		address:     listener.Addr().String(),
		connections: make(chan struct{}, 100),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.connections <- struct{}{}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return server
}

// script answers the n-th request of a connection with the n-th answer, then
// closes the connection.
func script(answers ...string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, requests *bufio.Reader) {
		for _, answer := range answers {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			buffer := make([]byte, 64<<10)
			for err == nil {
				_, err = request.Body.Read(buffer)
			}
			if _, err := conn.Write([]byte(answer)); err != nil {
				return
			}
		}
		// Stay open until the client closes.
		_, _ = requests.ReadByte()
	}
}

// answer is a whole answer to the request with the ID.
func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}
