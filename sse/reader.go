package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong is returned for an event that exceeds MaxEventBytes.
var ErrTooLong = errors.New("server-sent event is too long; configure the server to send smaller events")

// MaxEventBytes limits the data of an event that Reader accepts, and each of its lines.
const MaxEventBytes = 256 << 10

// initialBufferBytes is the initial size of the read buffer, which grows up to MaxEventBytes.
const initialBufferBytes = 4 << 10

// Reader reads events from a response body. It is not safe for concurrent use.
type Reader struct {
	scanner *bufio.Scanner
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, initialBufferBytes), MaxEventBytes)
	scanner.Split((&lineSplitter{}).split)
	return &Reader{
		scanner: scanner,
	}
}

// Next blocks until the next event with data has arrived and returns it. It returns io.EOF at the
// end of input; an event that is incomplete there is dropped, as the HTML standard requires.
func (r *Reader) Next() (Event, error) {
	var event Event
	// data is that of the lines so far, each followed by a line feed.
	var data []byte
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if len(line) == 0 {
			if len(data) == 0 {
				event = Event{}
				continue
			}
			event.Data = data[:len(data)-1]
			return event, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			event.ID = string(value)
		case "event":
			event.Type = string(value)
		case "data":
			data = append(append(data, value...), '\n')
		}
		if len(data) > MaxEventBytes+1 {
			return Event{}, ErrTooLong
		}
	}
	err := r.scanner.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return Event{}, ErrTooLong
	}
	if err != nil {
		return Event{}, errors.Wrap(err, "read event")
	}
	return Event{}, io.EOF
}
