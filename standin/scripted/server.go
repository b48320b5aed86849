package scripted

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slipwick/slipwick/gateway"
)

// Send is one send of a request, as it arrives at a server.
type Send struct {
	RequestID string
	// Number counts the sends of the request before this one, at all servers.
	Number int
}

// Server is a stand-in of a backend server. Set the exported fields before Run.
type Server struct {
	ID       string
	Listener net.Listener
	// Headers are the names of the headers. NotRunValue is the value of the one that says that a request was not run.
	Headers     gateway.Headers
	NotRunValue string
	Ledger      *Ledger
	// HealthPath is the path of health checks, InstanceHeader the header of their responses with the server's ID.
	HealthPath, InstanceHeader string
	// Slots is how many requests run at once, Queue how many more wait; others are rejected. Work is how long a
	// request runs beside the pause of its plan.
	Slots, Queue int
	Work         time.Duration
	// FormatBody, if not nil, returns the header lines and the body of the response to a plain request, from its text.
	FormatBody func(request *Request, text string) (header, body string)
	// Plan returns how the server answers a send. It is called concurrently.
	Plan func(send Send) Plan

	places chan struct{}
	// waiting counts the requests that wait for a place, inFlight all that are not over.
	waiting, inFlight atomic.Int64
	// held is how long requests have held places, in nanoseconds.
	held atomic.Int64
	mu   sync.Mutex
	open map[net.Conn]struct{}
	// isClosed says that Close was called.
	isClosed bool
}

// Run accepts connections until Close is called.
func (s *Server) Run() {
	s.places = make(chan struct{}, s.Slots)
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			return
		}
		exchanges.Go(func() {
			defer s.remove(conn)
			s.serve(conn)
		})
	}
}

// Close ends Run, and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	_ = s.Listener.Close()
	for conn := range s.open {
		_ = conn.Close()
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		_ = conn.Close()
		return false
	}
	if s.open == nil {
		s.open = make(map[net.Conn]struct{})
	}
	s.open[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
	_ = conn.Close()
}

// serve answers the requests of one connection, one at a time.
func (s *Server) serve(conn net.Conn) {
	c := &connection{
		Conn:   conn,
		reader: bufio.NewReader(conn),
	}
	for {
		request, err := c.readHead()
		if err != nil {
			return
		}
		if isKept := s.answer(c, request); !isKept {
			return
		}
	}
}

// answer reads the body of one request and answers it, or the other way round, and reports whether the connection is
// kept.
func (s *Server) answer(c *connection, request *http.Request) bool {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	id := request.Header.Get(s.Headers.RequestID)
	sent, number := s.Ledger.arrived(id)
	expected := request.Header.Get(s.Headers.Instance)
	isExpected := expected == "" || expected == s.ID
	if request.URL.Path == s.HealthPath || sent == nil || !isExpected {
		return s.readBody(request, sent) == nil && c.sendDue(WhereDue) == nil && s.answerOther(c, request, sent) == nil
	}
	e := &exchange{
		server:  s,
		conn:    c,
		arrived: time.Now(),
		request: request,
		sent:    sent,
		plan: s.Plan(Send{
			RequestID: id,
			Number:    number,
		}),
	}
	if !e.plan.IsEarly && s.readBody(request, sent) != nil || c.sendDue(WhereDue) != nil {
		return false
	}
	c.maxIdle = e.plan.MaxIdle
	isKept := e.play()
	return isKept && (!e.plan.IsEarly || s.readBody(request, sent) == nil)
}

// readBody reads the body of a request, which is that of its caller.
func (s *Server) readBody(request *http.Request, sent *Request) error {
	body, err := io.ReadAll(request.Body)
	if err == nil && sent != nil {
		s.Ledger.bodyArrived(sent, string(body))
	}
	return err
}

// answerOther answers a health check, a request that nobody sent, or one for another server.
func (s *Server) answerOther(c *connection, request *http.Request, sent *Request) error {
	switch {
	case request.URL.Path == s.HealthPath:
		return c.send(http.StatusOK, s.InstanceHeader+": "+s.ID+"\r\n", "")
	case sent == nil:
		return c.send(http.StatusNotFound, "", "")
	default:
		return c.send(http.StatusMisdirectedRequest, s.Headers.RequestID+": "+sent.ID+"\r\n", "")
	}
}

// InFlight returns the number of requests that are not over.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Held returns for how long requests have held places, all together.
func (s *Server) Held() time.Duration { return time.Duration(s.held.Load()) }

// enter takes a place and reports whether there was one.
func (s *Server) enter() bool {
	if s.waiting.Add(1) > int64(s.Queue) {
		s.waiting.Add(-1)
		return false
	}
	s.places <- struct{}{}
	s.waiting.Add(-1)
	return true
}

func (s *Server) leave() { <-s.places }

// connection is a connection to a router, with the bytes that are due later.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// mu guards writes: further bytes may be sent after a pause.
	mu  sync.Mutex
	due []dueBytes
	// maxIdle is how long the connection is kept while no request begins; 0 for ever.
	maxIdle time.Duration
}

type dueBytes struct {
	moment Moment
	bytes  string
}

// readHead reads the head of the next request, which has to begin within maxIdle.
func (c *connection) readHead() (*http.Request, error) {
	if c.maxIdle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.maxIdle)); err != nil {
			return nil, err
		}
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return http.ReadRequest(c.reader)
}

// sendDue sends the bytes that are due at a moment.
func (c *connection) sendDue(moment Moment) error {
	kept := c.due[:0]
	for _, due := range c.due {
		if due.moment != moment {
			kept = append(kept, due)
			continue
		}
		if err := c.write(due.bytes); err != nil {
			return err
		}
	}
	c.due = kept
	return nil
}

func (c *connection) write(text string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := io.WriteString(c.Conn, text)
	return err
}

// isClosed reports whether the other side has closed the connection. It takes up to a millisecond.
func (c *connection) isClosed() bool {
	if err := c.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		return true
	}
	_, err := c.reader.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) || c.SetReadDeadline(time.Time{}) != nil
}

// send sends a response with a length.
func (c *connection) send(status int, header, body string) error {
	return c.write(head(status, header+"Content-Length: "+strconv.Itoa(len(body))+"\r\n") + body)
}

// head returns the head of a response.
func head(status int, header string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + header + "\r\n"
}

// reset makes the close of the connection reset it.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
