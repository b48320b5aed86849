package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is an answer in progress. It belongs to one goroutine and has to be
// closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, or -1.
	Length int64

	ctx      context.Context
	client   *Client
	key      string
	address  string
	conn     *connection
	written  <-chan error
	body     io.ReadCloser
	stop     func() bool
	keep     bool
	whole    bool
	finished bool
	patience Patience
}

// Read reads the body. It gives io.EOF at the end of a whole body, and an
// *slipwick.Error when the body breaks off.
func (a *Answer) Read(into []byte) (int, error) {
	if a.Length < 0 {
		if err := a.conn.awaitByte(a.ctx, a.patience.Pause, a.patience.Overdue); err != nil {
			return 0, broken(a.ctx, a.address, err)
		}
	}
	n, err := a.body.Read(into)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.whole = true
		return n, io.EOF
	default:
		return n, broken(a.ctx, a.address, err)
	}
}

// Close keeps the connection if the answer was read to its end, and closes it
// otherwise, which tells the backend server to stop.
func (a *Answer) Close() {
	if a.finished {
		return
	}
	a.finished = true
	undisturbed := a.stop()
	select {
	case err := <-a.written:
		undisturbed = undisturbed && err == nil
	default:
		// The answer came before the request was sent.
		undisturbed = false
	}
	if !a.keep || !a.whole || !undisturbed || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.client.rest(a.key, a.conn, restTime(a.Header))
}

const (
	// defaultRest is how long a connection is kept when the backend server
	// does not say for how long it keeps it.
	defaultRest = 10 * time.Second
	// restMargin lets a connection go before the backend server closes it.
	restMargin = 500 * time.Millisecond
)

// restTime is how long the connection may rest, by the header Keep-Alive.
func restTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			return min(time.Duration(seconds)*time.Second-restMargin, defaultRest)
		}
	}
	return defaultRest
}
