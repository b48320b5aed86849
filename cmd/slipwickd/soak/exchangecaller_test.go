package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/slipwick/slipwick/standin/scripted"
)

const (
	// minCallers is the least number of callers in a play, which has two for each gateway, and callerPause the mean time
	// between their requests.
	minCallers  = 120
	callerPause = 40 * time.Millisecond
	// leavePercent is the percentage of requests whose callers close the connection before the response.
	leavePercent = 2
	// retriesAfterRefusal is how often a caller comes back after a refusal, with a request of another ID.
	retriesAfterRefusal = 1
	maxStreamEvents     = 12
	// longPercent is the percentage of bodies that are longer than the buffers of a connection to a server,
	// chunkedPercent that of bodies without a length.
	longPercent    = 2
	chunkedPercent = 25
	longBodyBytes  = 256 << 10
	// slowPercent is the percentage of requests whose callers pause within them, for up to maxSlowPause, unless the
	// servers are sound: some of these pauses are longer than the request may take.
	slowPercent  = 4
	maxSlowPause = exchangeTimeout * 3 / 2
)

// exchangeCaller sends one request after the other over a connection that it keeps.
type exchangeCaller struct {
	fleet  *exchangeFleet
	conn   net.Conn
	reader *bufio.Reader
	// last is the ID of the last request on the connection.
	last string
}

func (f *exchangeFleet) newCaller(number int) *exchangeCaller {
	c := &exchangeCaller{
		fleet: f,
	}
	// The first gateways are spread evenly.
	c.dial(f.gateways[number%len(f.gateways)])
	return c
}

// run sends requests until the end.
func (c *exchangeCaller) run(end time.Time) {
	defer c.hangUp()
	for {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(callerPause)))
		if time.Now().After(end) {
			return
		}
		c.request(scripted.Kind(rand.IntN(int(scripted.Resumable) + 1)))
	}
}

// request sends a request, and another one in its place after a refusal.
func (c *exchangeCaller) request(kind scripted.Kind) {
	deadline := time.Now().Add(exchangeDeadline)
	for range 1 + retriesAfterRefusal {
		left := time.Until(deadline)
		if left <= 0 {
			return
		}
		status, after := c.attempt(kind, left)
		if !scripted.IsPromise(status) {
			return
		}
		c.hangUp()
		time.Sleep(min(after, time.Until(deadline)/3))
	}
}

// attempt sends one request and returns the status of the response, 0 without one, and its Retry-After.
func (c *exchangeCaller) attempt(kind scripted.Kind, left time.Duration) (status int, after time.Duration) {
	request := scripted.Request{
		ID:   fmt.Sprintf("%08x-%d", rand.Uint32(), c.fleet.callers.Add(1)),
		Kind: kind,
	}
	if kind.IsStream() {
		request.Events = 1 + rand.IntN(maxStreamEvents)
	}
	if kind != scripted.Repeatable {
		request.Body = requestBody(request.ID)
	}
	if request.Body != "" && rand.IntN(100) < longPercent {
		request.Body += strings.Repeat("x", longBodyBytes)
	}
	c.fleet.ledger.Sent(request)
	outcome, after, err := c.exchange(&request, left)
	if err != nil {
		c.hangUp()
	}
	c.fleet.ledger.Ended(request.ID, outcome)
	return outcome.Status, after
}

func (c *exchangeCaller) exchange(
	request *scripted.Request, left time.Duration,
) (outcome scripted.Outcome, after time.Duration, err error) {
	if err := c.connect(); err != nil {
		return outcome, 0, err
	}
	c.last = request.ID
	const grace = 500 * time.Millisecond
	limit := left + grace
	if rand.IntN(100) < leavePercent {
		limit = time.Duration(rand.Int64N(int64(100 * time.Millisecond)))
	}
	if err := c.conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return outcome, 0, err
	}
	if err := c.write(request, left); err != nil {
		return outcome, 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return outcome, 0, err
	}
	outcome.Status, outcome.Stamp = response.StatusCode, response.Header.Get("Response-Stamp")
	body, err := io.ReadAll(response.Body)
	outcome.Body, outcome.IsWhole = string(body), err == nil
	if err != nil {
		return outcome, 0, err
	}
	if response.Close {
		c.hangUp()
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return outcome, time.Duration(seconds * float64(time.Second)), nil
}

func (c *exchangeCaller) write(request *scripted.Request, left time.Duration) error {
	method, extra, body := http.MethodPost, "", request.Body
	if request.Kind == scripted.Repeatable {
		method = http.MethodGet
	}
	if request.Kind.IsStream() {
		extra = "Accept: text/event-stream\r\nModel: m\r\nToken-Counts: 910,20\r\n" +
			fmt.Sprintf("Prompt-Prefix: %x:900,%s:10\r\n", rand.IntN(20), request.ID[:8])
	}
	if body != "" && rand.IntN(100) < chunkedPercent {
		extra += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	} else {
		extra += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	text := fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"+
		"Authorization: Bearer %s\r\n%s\r\n%s",
		method, routes[request.Kind], request.ID, left.Milliseconds(), workspaceKey, extra, body)
	if len(c.fleet.mix.Load().Plans) > 0 && rand.IntN(100) < slowPercent {
		at := rand.IntN(len(text))
		if _, err := io.WriteString(c.conn, text[:at]); err != nil {
			return err
		}
		time.Sleep(rand.N(maxSlowPause))
		text = text[at:]
	}
	_, err := io.WriteString(c.conn, text)
	return err
}

// connect opens a connection to any gateway unless one is open. Bytes that have come on the open one belong to no
// request.
func (c *exchangeCaller) connect() error {
	if c.conn != nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		switch _, err := c.reader.Peek(1); {
		case err == nil:
			bytes, _ := c.reader.Peek(c.reader.Buffered())
			c.fleet.ledger.GotBytes(c.last, string(bytes))
			c.hangUp()
		case !errors.Is(err, os.ErrDeadlineExceeded):
			// The gateway has closed the connection.
			c.hangUp()
		}
	}
	const tries = 3
	for range tries {
		if c.conn != nil {
			return nil
		}
		c.dial(c.fleet.gateways[rand.IntN(len(c.fleet.gateways))])
	}
	return fmt.Errorf("no gateway accepts a connection")
}

func (c *exchangeCaller) dial(g *gateway) {
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", g.host, callersPort), time.Second)
	if err != nil {
		return
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
}

func (c *exchangeCaller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
