package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	apiKey      = "yhks8nbkxxmibw6kpqk8"
	hostName    = "ficu95.example"
	serviceName = "wuno96b"
)

// client sends requests that may run at most once, one at a time, over a connection that it keeps.
type client struct {
	name     string
	machines []*machine
	// every is the mean time between the end of a request and the next one.
	every, deadline time.Duration
	log             *record
	ledger          *ledger

	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

// run sends requests until the end.
func (c *client) run(end time.Time) {
	defer c.hangUp()
	for {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(c.every)))
		if time.Now().After(end) {
			return
		}
		c.request()
	}
}

func (c *client) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// request sends a request, and once more after a promise that it was not run.
func (c *client) request() {
	began := time.Now()
	c.sent++
	body := strings.Repeat(fmt.Sprintf("%s/%d;", c.name, c.sent), 40)
	for try := range 2 {
		left := c.deadline - time.Since(began)
		if left <= 0 {
			return
		}
		status, after := c.attempt(body, left)
		switch status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
			http.StatusMisdirectedRequest:
		default:
			return
		}
		c.hangUp()
		if try == 0 {
			time.Sleep(min(after, (c.deadline-time.Since(began))/3))
		}
	}
}

// attempt sends one attempt, and returns the status of the answer, 0 without one, and its Retry-After.
func (c *client) attempt(body string, left time.Duration) (status int, after time.Duration) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	const target = "/cufi504/book"
	c.ledger.recordSent(id, http.MethodPost, target, body)
	c.log.note("%s sends %s", c.name, id)
	status, after, err := c.exchange(id, target, body, left)
	if err != nil {
		c.hangUp()
		status = 0
		c.log.note("%s gets no answer to %s: %v", c.name, id, err)
	} else {
		c.log.note("%s gets %d for %s", c.name, status, id)
	}
	c.ledger.recordAnswer(id, status)
	return status, after
}

func (c *client) exchange(id, target, body string, left time.Duration) (status int, after time.Duration, err error) {
	if c.conn == nil {
		m := c.machines[rand.IntN(len(c.machines))]
		if c.conn, err = net.DialTimeout("tcp4", m.callers(), time.Second); err != nil {
			return 0, 0, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	const grace = 500 * time.Millisecond
	if err := c.conn.SetDeadline(time.Now().Add(left + grace)); err != nil {
		return 0, 0, err
	}
	_, err = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		target, hostName, id, left.Milliseconds(), apiKey, len(body), body)
	if err != nil {
		return 0, 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, 0, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0, err
	}
	if response.Close {
		c.hangUp()
	}
	// Without the header, the client comes back at once.
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}
