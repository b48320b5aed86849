package gateway

import (
	"bytes"
	"strconv"
)

// streamProgress records how much of a stream the caller has received.
type streamProgress struct {
	// headWritten says that the response header has been written.
	headWritten bool
	// lastID is the ID of the last event forwarded or, before the first, the one in the caller's
	// Last-Event-Id header.
	lastID string
	// isTakenUp says that the caller has received events of the stream with an earlier request.
	isTakenUp bool
	// events counts the events forwarded.
	events int
}

// eventEnds are the ends of an event: its last line and a blank one, with either line end of the standard.
var eventEnds = []string{"\n\n", "\n\r\n", "\r\r"}

// completeLength returns the length of the complete events at the start of data.
func completeLength(data []byte) int {
	for size := len(data); size > 0; size-- {
		if last := data[size-1]; last != '\n' && last != '\r' {
			continue
		}
		for _, end := range eventEnds {
			if bytes.HasSuffix(data[:size], []byte(end)) {
				return size
			}
		}
	}
	return 0
}

// filterNew returns those of the complete events that the caller does not have yet, and records
// them as forwarded. It moves new events that follow known ones within the slice. The IDs of events
// have to increase within a stream.
func (p *streamProgress) filterNew(events []byte) []byte {
	last, _ := strconv.ParseInt(p.lastID, 10, 64)
	known := p.lastID != ""
	// The new events up to at are events[start:end].
	start, end := 0, 0
	for at := 0; at < len(events); {
		size := firstEventLength(events[at:])
		event := events[at : at+size]
		at += size
		id, ok := eventID(event)
		if ok && known && id <= last {
			if start == end {
				start, end = at, at
			}
			continue
		}
		p.events++
		if ok {
			last, known = id, true
			p.lastID = strconv.FormatInt(id, 10)
		}
		end += copy(events[end:], event)
	}
	return events[start:end]
}

// firstEventLength returns the length of the first event in a sequence of complete events.
func firstEventLength(events []byte) int {
	size := len(events)
	for _, end := range eventEnds {
		if at := bytes.Index(events, []byte(end)); at >= 0 {
			size = min(size, at+len(end))
		}
	}
	return size
}

func isLineEnd(r rune) bool {
	return r == '\n' || r == '\r'
}

// eventID returns the ID of an event; ok is false if it has no numeric one.
func eventID(event []byte) (id int64, ok bool) {
	for line := range bytes.FieldsFuncSeq(event, isLineEnd) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
