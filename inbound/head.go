package inbound

import "bytes"

const (
	// fieldBytes is what a parsed field of a head takes beside its bytes: its place in a map and the header's slice.
	fieldBytes = 128
	// freeHeadBytes is what each head may take without room in the account, so that usual requests are never refused for
	// the heads of others.
	freeHeadBytes = 8 << 10
	// headSlackBytes is by how much more bytes than the limit are read: the limit on a head doesn't count all bytes of
	// its lines.
	headSlackBytes = 4 << 10
	// readerBytes is the size of the buffer with which http.Server reads heads and, beside larger ones, bodies.
	readerBytes = 4 << 10
)

// head counts the bytes and lines of the head of one request as they arrive.
type head struct {
	bytes, lines int64
	// lineBytes are the bytes of the current line, hasText says that they are more than a carriage return.
	lineBytes int
	hasText   bool
	ended     bool
}

// add counts what arrived up to the end of the head, which is an empty line. Empty lines before a request don't count.
func (h *head) add(data []byte) (rest []byte) {
	for len(data) > 0 && !h.ended {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			h.bytes += int64(len(data))
			h.addToLine(data)
			return nil
		}
		h.bytes += int64(end) + 1
		h.addToLine(data[:end])
		data = data[end+1:]
		if h.hasText {
			h.lines++
		}
		h.ended = !h.hasText && h.lines > 0
		h.lineBytes, h.hasText = 0, false
	}
	return data
}

func (h *head) addToLine(data []byte) {
	isReturn := len(data) == 1 && data[0] == '\r'
	h.hasText = h.hasText || len(data) > 0 && (h.lineBytes > 0 || !isReturn)
	h.lineBytes += len(data)
}

// takes returns what the head takes in memory.
func (h *head) takes() int64 {
	return h.bytes + fieldBytes*h.lines
}

// extend counts data that may be a part of the head: all of its lines count.
func (h *head) extend(data []byte) {
	h.bytes += int64(len(data))
	h.lines += int64(bytes.Count(data, []byte{'\n'}))
	if end := bytes.LastIndexByte(data, '\n'); end >= 0 {
		h.lineBytes, h.hasText = 0, false
		data = data[end+1:]
	}
	h.addToLine(data)
}

// continuation returns a head that begins with the data that the server has read ahead, or may have.
func continuation(data []byte) (h head) {
	h.extend(data)
	return h
}
