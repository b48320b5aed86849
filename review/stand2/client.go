package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const requestDeadline = 3 * time.Second

// sequence makes the IDs of requests different.
var sequence atomic.Int64

// sent is a request of a client, and its answer.
type sent struct {
	id, path, key string
	at            time.Time
	status        int
	hasStamp      bool
	err           error
}

// send sends a request with a key to a gateway and waits for the answer.
func send(client *http.Client, g *gateway, path, key string) *sent {
	return sendBody(client, g, path, key, strings.NewReader("body"), requestDeadline)
}

// sendBody sends a request with a body and a deadline.
func sendBody(client *http.Client, g *gateway, path, key string, body io.Reader, deadline time.Duration) *sent {
	s := &sent{
		id:   fmt.Sprintf("%016x", 0x51ab000000+sequence.Add(1)),
		path: path,
		key:  key,
		at:   time.Now(),
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+g.frontend()+path, body)
	if err != nil {
		s.err = err
		return s
	}
	request.Host = serviceHost
	request.Header.Set("Request-Id", s.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		s.err = err
		return s
	}
	defer func() { _ = response.Body.Close() }()
	_, s.err = io.Copy(io.Discard, response.Body)
	s.status, s.hasStamp = response.StatusCode, response.Header.Get("Response-Stamp") != ""
	return s
}
