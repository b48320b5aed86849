package gateway

import (
	"bytes"
	"strconv"
)

// passedOn is what a caller has of a stream.
type passedOn struct {
	// begun says that the head was written.
	begun bool
	// lastID is the ID of the last event passed on, or what the caller named.
	lastID string
	events int
}

// wholeEvents gives the length of the whole events at the start of data.
func wholeEvents(data []byte) int {
	end := bytes.LastIndex(data, []byte("\n\n"))
	crlf := bytes.LastIndex(data, []byte("\r\n\r\n"))
	switch {
	case end < 0 && crlf < 0:
		return 0
	case crlf > end:
		return crlf + len("\r\n\r\n")
	default:
		return end + len("\n\n")
	}
}

// take gives the part of the whole events that the caller does not have yet,
// by their rising IDs, and counts it as passed on.
func (p *passedOn) take(events []byte) []byte {
	last, _ := strconv.ParseInt(p.lastID, 10, 64)
	known := p.lastID != ""
	skipped := 0
	for rest := events; len(rest) > 0; {
		size := nextEvent(rest)
		id, ok := eventID(rest[:size])
		if ok && known && id <= last {
			skipped += size
		} else {
			p.events++
		}
		if ok && (!known || id > last) {
			last, known = id, true
			p.lastID = strconv.FormatInt(id, 10)
		}
		rest = rest[size:]
	}
	return events[skipped:]
}

// nextEvent gives the length of the first event of whole events.
func nextEvent(events []byte) int {
	size := len(events)
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.Index(events, []byte(end)); at >= 0 {
			size = min(size, at+len(end))
		}
	}
	return size
}

// eventID gives the ID of an event; ok is false without a numeric one.
func eventID(event []byte) (id int64, ok bool) {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
