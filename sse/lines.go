package sse

import "bytes"

// lineSplitter splits a stream into lines that end with LF, CR or CRLF.
type lineSplitter struct {
	// afterCR is true if the last line ended with a CR, so that an LF that follows belongs to it.
	afterCR bool
}

// split is a bufio.SplitFunc. It returns a line at its CR without waiting for the next byte, so
// that the reader gets an event as soon as it has arrived.
func (s *lineSplitter) split(data []byte, atEOF bool) (int, []byte, error) {
	start := 0
	if s.afterCR && len(data) > 0 {
		s.afterCR = false
		if data[0] == '\n' {
			start = 1
		}
	}
	end := bytes.IndexAny(data[start:], "\r\n")
	if end >= 0 {
		end += start
		s.afterCR = data[end] == '\r'
		return end + 1, data[start:end], nil
	}
	if atEOF && start < len(data) {
		return len(data), data[start:], nil
	}
	return start, nil, nil
}
